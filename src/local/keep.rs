//! The state service's contents on disk: every committed change is there before it is answered.

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;
use swiftsail_protocol::state::{Commit, Pair};
use swiftsail_protocol::{read, write};

const PAIRS: TableDefinition<&str, &[u8]> = TableDefinition::new("pairs");
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const EPOCH: &str = "epoch";
const MACHINES: &str = "machines";

/// What is kept.
pub struct Keep {
    base: Database,
}

impl Keep {
    /// Opens or makes the file.
    pub fn open(path: &Path) -> Result<Keep, redb::Error> {
        let base = Database::create(path)?;
        let txn = base.begin_write()?;
        txn.open_table(PAIRS)?;
        txn.open_table(META)?;
        txn.commit()?;
        Ok(Keep { base })
    }

    /// All pairs, and the revision.
    pub fn load(&self) -> Result<(Vec<Pair>, u64), redb::Error> {
        let txn = self.base.begin_read()?;
        let mut pairs = Vec::new();
        for entry in txn.open_table(PAIRS)?.iter()? {
            let (key, value) = entry?;
            match read::<Pair>(value.value()) {
                Ok(pair) => pairs.push(pair),
                Err(e) => {
                    tracing::error!(key = key.value(), cause = %e, "a kept value is unreadable")
                }
            }
        }
        let epoch = txn.open_table(META)?.get(EPOCH)?.map_or(0, |e| e.value());
        Ok((pairs, epoch))
    }

    /// Number of the last machine that was named.
    pub fn machines(&self) -> Result<u32, redb::Error> {
        let txn = self.base.begin_read()?;
        let held = txn.open_table(META)?.get(MACHINES)?.map_or(0, |n| n.value());
        Ok(held.try_into().unwrap_or(u32::MAX))
    }

    /// Keeps the number of the last machine that was named: no name is given twice.
    pub fn name_machines(&self, number: u32) -> Result<(), redb::Error> {
        let txn = self.base.begin_write()?;
        txn.open_table(META)?.insert(MACHINES, u64::from(number))?;
        txn.commit()?;
        Ok(())
    }

    /// Keeps a transaction that was applied at a revision, durably.
    pub fn note(
        &self,
        commit: &Commit,
        epoch: u64,
        now: impl Fn(&str) -> Option<Pair>,
    ) -> Result<(), redb::Error> {
        use swiftsail_protocol::state::Change;
        let txn = self.base.begin_write()?;
        {
            let mut pairs = txn.open_table(PAIRS)?;
            for change in &commit.apply {
                let (Change::Write { write: key, .. } | Change::Remove { remove: key }) = change;
                // What hangs on a lease does not outlive the service.
                match now(key).filter(|p| p.mooring.is_none()) {
                    Some(pair) => {
                        pairs.insert(key.as_str(), write(&pair).as_slice())?;
                    }
                    None => {
                        pairs.remove(key.as_str())?;
                    }
                }
            }
            txn.open_table(META)?.insert(EPOCH, epoch)?;
        }
        txn.commit()?;
        Ok(())
    }
}
