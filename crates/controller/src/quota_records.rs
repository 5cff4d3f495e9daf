//! Amounts in the state service: pages, holdings and their transactions as keys and values.

use crate::job::keys;
use swiftsail_protocol::state::{KeyPage as Listed, Mutation, Precondition, Transaction};
use swiftsail_quota::records::{
    QuotaHolding, QuotaKey, QuotaPage, QuotaPool, QuotaRecord, QuotaTransaction, TeamName,
};

/// Everything about amounts stands under this.
pub const KEY_PREFIX: &str = "amount/";
/// Teams of one page at most: with names of 60 bytes a pool then fits a value of 8 KiB.
pub const MAX_TEAMS_PER_PAGE: usize = 32;

/// Divides teams into pages: by their order, so that every controller with the same teams divides them alike.
/// Where settings differ for a while, a team stands on the page on which it was first written.
pub fn divide_into_pages(mut teams: Vec<TeamName>) -> Vec<Vec<TeamName>> {
    teams.sort();
    teams.chunks(MAX_TEAMS_PER_PAGE).map(<[TeamName]>::to_vec).collect()
}

/// The key in the state service.
pub fn store_key(page: usize, key: &QuotaKey) -> String {
    match key {
        // With several shares each has a key of its own; today the leader's stands for all.
        QuotaKey::FencingToken(_) => keys::LEADER.to_string(),
        QuotaKey::Pool => format!("{KEY_PREFIX}{page}/pool"),
        QuotaKey::Holding(decider) => format!("{KEY_PREFIX}{page}/of/{decider}"),
    }
}

/// A transaction as the state service takes it. `name`: the key of each condition.
pub fn to_transaction(txn: &QuotaTransaction, name: impl Fn(&QuotaKey) -> String) -> Transaction {
    let when = txn
        .conditions
        .iter()
        .map(|(key, stamp)| Precondition { key: name(key), mod_revision: *stamp });
    let apply = txn.writes.iter().map(|(key, record)| {
        let value = match record {
            QuotaRecord::Pool(pool) => serde_json::to_value(pool),
            QuotaRecord::Holding(holding) => serde_json::to_value(holding),
            QuotaRecord::Removed => return Mutation::Delete { key: name(key) },
        };
        Mutation::Put { key: name(key), value: value.unwrap_or_default(), lease: None }
    });
    Transaction { preconditions: when.collect(), mutations: apply.collect() }
}

/// A page of amounts from what was listed under its prefix. What cannot be read is as if it were not there: a
/// transaction over it then fails.
pub fn parse_page(page: usize, listed: &Listed) -> QuotaPage {
    let mut found = QuotaPage::default();
    let (pool, of) = (store_key(page, &QuotaKey::Pool), format!("{KEY_PREFIX}{page}/of/"));
    for pair in &listed.entries {
        if pair.key == pool {
            if let Ok(read) = serde_json::from_value::<QuotaPool>(pair.value.clone()) {
                found.pool = (read, pair.mod_revision);
            }
        } else if let Some(decider) = pair.key.strip_prefix(&of)
            && let Ok(read) = serde_json::from_value::<QuotaHolding>(pair.value.clone())
        {
            found.holdings.insert(decider.to_string(), (read, pair.mod_revision));
        }
    }
    found
}
