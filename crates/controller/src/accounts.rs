//! Amounts in the state service: pages, holdings and their transactions as keys and values.

use crate::job::keys;
use swiftsail_quota::records::{Holding, Key, Page, Pool, Record, Team, Txn};
use swiftsail_protocol::state::{Change, Commit, Page as Listed, When};

/// Everything about amounts stands under this.
pub const PREFIX: &str = "amount/";
/// Teams of one page at most: with names of 60 bytes a pool then fits a value of 8 KiB.
pub const PAGE_TEAMS: usize = 32;

/// Divides teams into pages: by their order, so that every controller with the same teams divides them alike.
/// Where settings differ for a while, a team stands on the page on which it was first written.
pub fn pages(mut teams: Vec<Team>) -> Vec<Vec<Team>> {
    teams.sort();
    teams.chunks(PAGE_TEAMS).map(<[Team]>::to_vec).collect()
}

/// The key in the state service.
pub fn key(page: usize, key: &Key) -> String {
    match key {
        // With several shares each has a key of its own; today the leader's stands for all.
        Key::Token(_) => keys::LEADER.to_string(),
        Key::Pool => format!("{PREFIX}{page}/pool"),
        Key::Of(decider) => format!("{PREFIX}{page}/of/{decider}"),
    }
}

/// A transaction as the state service takes it. `name`: the key of each condition.
pub fn commit(txn: &Txn, name: impl Fn(&Key) -> String) -> Commit {
    let when = txn.when.iter().map(|(key, stamp)| When { key: name(key), stamp: *stamp });
    let apply = txn.apply.iter().map(|(key, record)| {
        let value = match record {
            Record::Pool(pool) => serde_json::to_value(pool),
            Record::Holding(holding) => serde_json::to_value(holding),
            Record::Gone => return Change::Remove { remove: name(key) },
        };
        Change::Write { write: name(key), value: value.unwrap_or_default(), mooring: None }
    });
    Commit { when: when.collect(), apply: apply.collect() }
}

/// A page of amounts from what was listed under its prefix. What cannot be read is as if it were not there: a
/// transaction over it then fails.
pub fn page(page: usize, listed: &Listed) -> Page {
    let mut found = Page::default();
    let (pool, of) = (key(page, &Key::Pool), format!("{PREFIX}{page}/of/"));
    for pair in &listed.pairs {
        if pair.key == pool {
            if let Ok(read) = serde_json::from_value::<Pool>(pair.value.clone()) {
                found.pool = (read, pair.stamp);
            }
        } else if let Some(decider) = pair.key.strip_prefix(&of)
            && let Ok(read) = serde_json::from_value::<Holding>(pair.value.clone())
        {
            found.holdings.insert(decider.to_string(), (read, pair.stamp));
        }
    }
    found
}
