//! The contents of the emulated state service on disk. Every transaction is durable before it is answered.

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;
use swiftsail_protocol::state::{KeyValue, Transaction};
use swiftsail_protocol::{decode, encode};

const KEY_VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("pairs");
const METADATA: TableDefinition<&str, u64> = TableDefinition::new("meta");
const REVISION_ENTRY: &str = "epoch";
const LAST_MACHINE_NUMBER_ENTRY: &str = "machines";

/// The database file of the emulated state service.
pub struct Persistence {
    database: Database,
}

impl Persistence {
    /// Opens the file, or creates it. Fails if another process uses it.
    pub fn open(path: &Path) -> Result<Persistence, redb::Error> {
        let database = Database::create(path)?;
        let txn = database.begin_write()?;
        txn.open_table(KEY_VALUES)?;
        txn.open_table(METADATA)?;
        txn.commit()?;
        Ok(Persistence { database })
    }

    /// Returns all keys with their values, and the revision. Values that cannot be decoded are logged and left out.
    pub fn load(&self) -> Result<(Vec<KeyValue>, u64), redb::Error> {
        let txn = self.database.begin_read()?;
        let mut pairs = Vec::new();
        for entry in txn.open_table(KEY_VALUES)?.iter()? {
            let (key, value) = entry?;
            match decode::<KeyValue>(value.value()) {
                Ok(pair) => pairs.push(pair),
                Err(e) => {
                    tracing::error!(key = key.value(), cause = %e, "cannot decode a stored value; the key is left out")
                }
            }
        }
        let revision = txn.open_table(METADATA)?.get(REVISION_ENTRY)?.map_or(0, |e| e.value());
        Ok((pairs, revision))
    }

    /// Returns the number in the name of the last provisioned machine, or 0.
    pub fn last_machine_number(&self) -> Result<u32, redb::Error> {
        let txn = self.database.begin_read()?;
        let number =
            txn.open_table(METADATA)?.get(LAST_MACHINE_NUMBER_ENTRY)?.map_or(0, |n| n.value());
        Ok(number.try_into().unwrap_or(u32::MAX))
    }

    /// Records the number in the name of the last provisioned machine, so that no name is reused after a restart.
    pub fn record_last_machine_number(&self, number: u32) -> Result<(), redb::Error> {
        let txn = self.database.begin_write()?;
        txn.open_table(METADATA)?.insert(LAST_MACHINE_NUMBER_ENTRY, u64::from(number))?;
        txn.commit()?;
        Ok(())
    }

    /// Durably records a transaction that was applied at this revision. `current` returns the current entry of a key.
    pub fn record_transaction(
        &self,
        transaction: &Transaction,
        revision: u64,
        current: impl Fn(&str) -> Option<KeyValue>,
    ) -> Result<(), redb::Error> {
        use swiftsail_protocol::state::Mutation;
        let txn = self.database.begin_write()?;
        {
            let mut pairs = txn.open_table(KEY_VALUES)?;
            for mutation in &transaction.mutations {
                let (Mutation::Put { key, .. } | Mutation::Delete { key }) = mutation;
                // Keys attached to a lease are not stored: they do not survive a restart of the service.
                match current(key).filter(|p| p.lease.is_none()) {
                    Some(pair) => {
                        pairs.insert(key.as_str(), encode(&pair).as_slice())?;
                    }
                    None => {
                        pairs.remove(key.as_str())?;
                    }
                }
            }
            txn.open_table(METADATA)?.insert(REVISION_ENTRY, revision)?;
        }
        txn.commit()?;
        Ok(())
    }
}
