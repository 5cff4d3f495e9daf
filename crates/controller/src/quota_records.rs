//! Quota records in the state service: maps pages, holdings and transactions to keys and values.

use crate::job::keys;
use swiftsail_protocol::state::{KeyPage, Mutation, Precondition, Transaction};
use swiftsail_quota::records::{
    QuotaHolding, QuotaKey, QuotaPage, QuotaPool, QuotaRecord, QuotaTransaction, TeamName,
};

/// Prefix of all keys of quota records.
pub const KEY_PREFIX: &str = "amount/";

/// Teams in one page at most. With names of 60 bytes, the pool of a page then fits a value of 8 KiB.
pub const MAX_TEAMS_PER_PAGE: usize = 32;

/// Divides teams into pages in sorted order, so that controllers with the same teams derive the same pages. While
/// settings differ between controllers, a team stays on the page on which it was first written.
pub fn divide_into_pages(mut teams: Vec<TeamName>) -> Vec<Vec<TeamName>> {
    teams.sort();
    teams.chunks(MAX_TEAMS_PER_PAGE).map(<[TeamName]>::to_vec).collect()
}

/// The state service key of a quota record in page `page`.
pub fn store_key(page: usize, key: &QuotaKey) -> String {
    match key {
        // One leader holds all partitions, so its key serves for each. With several holders, each partition would have
        // a key of its own.
        QuotaKey::FencingToken(_) => keys::LEADER.to_string(),
        QuotaKey::Pool => format!("{KEY_PREFIX}{page}/pool"),
        QuotaKey::Holding(decider) => format!("{KEY_PREFIX}{page}/of/{decider}"),
    }
}

/// Translates a quota transaction for the state service. `key_name` maps quota keys to its keys.
pub fn to_transaction(
    txn: &QuotaTransaction,
    key_name: impl Fn(&QuotaKey) -> String,
) -> Transaction {
    let preconditions = txn
        .conditions
        .iter()
        .map(|(key, revision)| Precondition { key: key_name(key), mod_revision: *revision });
    let mutations = txn.writes.iter().map(|(key, record)| {
        let value = match record {
            QuotaRecord::Pool(pool) => serde_json::to_value(pool),
            QuotaRecord::Holding(holding) => serde_json::to_value(holding),
            QuotaRecord::Removed => return Mutation::Delete { key: key_name(key) },
        };
        Mutation::Put { key: key_name(key), value: value.unwrap_or_default(), lease: None }
    });
    Transaction { preconditions: preconditions.collect(), mutations: mutations.collect() }
}

/// Parses a quota page from the entries listed under its prefix. An unreadable entry is treated as missing, so that
/// a transaction on it fails its precondition.
pub fn parse_page(page: usize, listed: &KeyPage) -> QuotaPage {
    let mut parsed = QuotaPage::default();
    let pool_key = store_key(page, &QuotaKey::Pool);
    let holding_prefix = format!("{KEY_PREFIX}{page}/of/");
    for pair in &listed.entries {
        if pair.key == pool_key {
            if let Ok(pool) = serde_json::from_value::<QuotaPool>(pair.value.clone()) {
                parsed.pool = (pool, pair.mod_revision);
            }
        } else if let Some(partition) = pair.key.strip_prefix(&holding_prefix)
            && let Ok(holding) = serde_json::from_value::<QuotaHolding>(pair.value.clone())
        {
            parsed.holdings.insert(partition.to_string(), (holding, pair.mod_revision));
        }
    }
    parsed
}
