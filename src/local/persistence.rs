//! The state service's contents on disk: every committed change is there before it is answered.

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;
use swiftsail_protocol::state::{KeyValue, Transaction};
use swiftsail_protocol::{decode, encode};

const KEY_VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("pairs");
const METADATA: TableDefinition<&str, u64> = TableDefinition::new("meta");
const REVISION_ENTRY: &str = "epoch";
const MACHINE_COUNT_ENTRY: &str = "machines";

/// What is kept.
pub struct Persistence {
    database: Database,
}

impl Persistence {
    /// Opens or makes the file.
    pub fn open(path: &Path) -> Result<Persistence, redb::Error> {
        let base = Database::create(path)?;
        let txn = base.begin_write()?;
        txn.open_table(KEY_VALUES)?;
        txn.open_table(METADATA)?;
        txn.commit()?;
        Ok(Persistence { database: base })
    }

    /// All pairs, and the revision.
    pub fn load(&self) -> Result<(Vec<KeyValue>, u64), redb::Error> {
        let txn = self.database.begin_read()?;
        let mut pairs = Vec::new();
        for entry in txn.open_table(KEY_VALUES)?.iter()? {
            let (key, value) = entry?;
            match decode::<KeyValue>(value.value()) {
                Ok(pair) => pairs.push(pair),
                Err(e) => {
                    tracing::error!(key = key.value(), cause = %e, "unreadable stored value")
                }
            }
        }
        let epoch = txn.open_table(METADATA)?.get(REVISION_ENTRY)?.map_or(0, |e| e.value());
        Ok((pairs, epoch))
    }

    /// Number of the last machine that was named.
    pub fn machines_named(&self) -> Result<u32, redb::Error> {
        let txn = self.database.begin_read()?;
        let held = txn.open_table(METADATA)?.get(MACHINE_COUNT_ENTRY)?.map_or(0, |n| n.value());
        Ok(held.try_into().unwrap_or(u32::MAX))
    }

    /// Keeps the number of the last machine that was named: no name is given twice.
    pub fn record_machines_named(&self, number: u32) -> Result<(), redb::Error> {
        let txn = self.database.begin_write()?;
        txn.open_table(METADATA)?.insert(MACHINE_COUNT_ENTRY, u64::from(number))?;
        txn.commit()?;
        Ok(())
    }

    /// Keeps a transaction that was applied at a revision, durably.
    pub fn record_transaction(
        &self,
        commit: &Transaction,
        epoch: u64,
        now: impl Fn(&str) -> Option<KeyValue>,
    ) -> Result<(), redb::Error> {
        use swiftsail_protocol::state::Mutation;
        let txn = self.database.begin_write()?;
        {
            let mut pairs = txn.open_table(KEY_VALUES)?;
            for change in &commit.mutations {
                let (Mutation::Put { key, .. } | Mutation::Delete { key }) = change;
                // What hangs on a lease does not outlive the service.
                match now(key).filter(|p| p.lease.is_none()) {
                    Some(pair) => {
                        pairs.insert(key.as_str(), encode(&pair).as_slice())?;
                    }
                    None => {
                        pairs.remove(key.as_str())?;
                    }
                }
            }
            txn.open_table(METADATA)?.insert(REVISION_ENTRY, epoch)?;
        }
        txn.commit()?;
        Ok(())
    }
}
