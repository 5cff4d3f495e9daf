//! Leadership: the campaign, what a new leader reads, and stepping down.

use super::{Action, Node, Purpose, rates};
use crate::Time;
use crate::constants::*;
use crate::job::keys;
use crate::store::{Call, Finished, Outcome, Patience, Urgency};
use crate::tables::Tables;
use crate::term::{LeaderRecord, Phase, Voice};
use rand::Rng;
use swiftsail_protocol::state::{Change, Commit, News, When};

impl Node {
    pub(super) fn read_term(&mut self) {
        self.read_at = self.now.steady;
        let call = Call::List { prefix: keys::TERM.into(), from: None };
        let until = self.now.steady + STORE_TIMEOUT_MS;
        self.store.push(call, Purpose::ReadTerm, Urgency::Term, Patience::Once(until));
    }

    pub(super) fn follow_term(&mut self, from: u64) {
        if !self.following {
            self.following = true;
            let call = Call::Follow { prefix: keys::TERM.into(), from };
            let until = self.now.steady + STORE_TIMEOUT_MS;
            self.store.push(call, Purpose::FollowTerm, Urgency::Term, Patience::Once(until));
        }
    }

    pub(super) fn term_key(&mut self, held: Option<(LeaderRecord, u64)>) {
        let first = !std::mem::replace(&mut self.term.read, true);
        match held {
            // The first reading of a process that is back at once finds its predecessor's key, alive for as
            // long as its grant lasts. That process has ended, and this one need not wait for it: it takes
            // the key's place, under a grant and a token of its own, on condition that nobody else has.
            Some((record, stamp))
                if first
                    && record.node == self.settings.host_name
                    && record.process != self.process
                    && self.term.phase() == Phase::Unknown =>
            {
                self.term.saw(stamp);
                self.term.replaces = stamp;
                self.term.advance(Phase::Vacant(self.now.steady));
            }
            None => {
                self.term.replaces = 0;
                if self.term.holds() {
                    self.step_down("its key is gone");
                }
                if matches!(self.term.phase(), Phase::Unknown | Phase::Following) {
                    let wait = self.rng.random_range(0..=CAMPAIGN_JITTER_MS);
                    self.term.leader = None;
                    let at = (self.now.steady + wait).max(self.reach.back_at);
                    self.term.advance(Phase::Vacant(at));
                }
            }
            Some((record, stamp)) => {
                let mine = record.node == self.settings.host_name && record.process == self.process;
                // Only what this campaign has written is a lead: a key of an earlier one, written late or read
                // late, would be led under a token that workers have seen, or lost with a grant nobody extends.
                if mine && self.term.phase() == Phase::Acquiring(record.grant) {
                    self.acquired(stamp);
                    return;
                }
                // Nobody leads by it: others need not wait for its end.
                if mine && !(self.term.holds() && self.term.grant == record.grant) {
                    self.give_back(record.grant);
                }
                if self.term.saw(stamp) {
                    self.step_down("another leads");
                }
                if !self.term.holds() {
                    self.term.held_by(&record.node, stamp);
                    // A campaign under way ends by itself: its write finds the key.
                    if !matches!(self.term.phase(), Phase::Granting | Phase::Acquiring(_)) {
                        self.term.advance(Phase::Following);
                    }
                }
            }
        }
    }

    /// Ends a grant.
    pub(super) fn give_back(&mut self, grant: u64) {
        let until = Patience::Once(self.now.steady + STORE_TIMEOUT_MS);
        self.store.push(Call::Release(grant), Purpose::Release, Urgency::Term, until);
    }

    pub(super) fn acquired(&mut self, token: u64) {
        let now = self.now.steady;
        self.term.token = token;
        if let Phase::Acquiring(grant) = self.term.phase() {
            self.term.grant = grant;
        }
        self.term.saw(token);
        if !self.term.advance(Phase::Loading) {
            self.term.advance(Phase::Unknown);
            return;
        }
        self.term.held_by(&self.settings.host_name.clone(), token);
        self.term.extend_at = now;
        // The key was written under a grant that may have ended while the answer waited.
        self.term.wake(now);
        let (rps, writes) = rates(&self.settings, true);
        self.store.set_rates(rps, writes, now);
        tracing::info!(term = token, "leading: reading the store");
        let era = self.term.era;
        let mut tables = Tables::new(token, era, now);
        tables.read_at = now;
        self.held.forget_vouchers();
        self.voice = Voice::default();
        tables.lease_ms = self.settings.settings.workers.lease_s * MS_PER_S;
        tables.tiers = self.order.tiers.clone();
        self.loading = Some(tables);
        self.open_desk();
        let call = Call::List { prefix: keys::JOBS.into(), from: None };
        self.store.push(call, Purpose::LoadJobs { era }, Urgency::Term, Patience::Always);
    }

    pub(super) fn step_down(&mut self, why: &str) {
        tracing::warn!(term = self.term.token, why, "stepping down");
        self.tell_term("ended", why);
        self.remember_owed();
        self.term.advance(Phase::Unknown);
        let asked = self.leader.take().into_iter().flat_map(|l| l.machines.into_values());
        for machine in asked.filter(|m| m.questions > 0) {
            *self.questions.entry(machine.id).or_default() += machine.questions;
        }
        self.loading = None;
        self.counts.clear();
        self.close_desk();
        self.order.close(self.now.steady);
        let (rps, writes) = rates(&self.settings, false);
        self.store.set_rates(rps, writes, self.now.steady);
        let era = self.term.era;
        self.store.forget(|p| p.era().is_none_or(|e| e == era));
        self.cloud.clear();
        self.direct.clear();
        for (id, _) in std::mem::take(&mut self.held_reports) {
            self.actions.push(Action::Reply(id, self.redirect()));
        }
        self.read_term();
    }

    /// What came of a call about the term.
    pub(super) fn on_term(&mut self, end: Finished<Purpose>) {
        let now = self.now.steady;
        match end.purpose {
            Purpose::ReadTerm => {
                if let Outcome::Page(page) = end.outcome {
                    let held = page.pairs.iter().find(|p| p.key == keys::LEADER).and_then(|p| {
                        Some((serde_json::from_value(p.value.clone()).ok()?, p.stamp))
                    });
                    self.rollout
                        .saw(page.pairs.iter().find(|p| p.key == keys::FORM).map(|p| &p.value));
                    self.held.opened(page.epoch);
                    // Read before the key was written, it says nothing of it.
                    if held.is_some() || !self.term.holds() || page.epoch >= self.term.token {
                        self.term_key(held);
                    }
                    self.follow_term(page.epoch);
                }
            }
            Purpose::FollowTerm => {
                self.following = false;
                if let Outcome::News(news) = end.outcome {
                    for item in &news.news {
                        if item.write.as_deref() == Some(keys::FORM) {
                            self.rollout.saw(Some(&item.value));
                        }
                        if item.write.as_deref() == Some(keys::LEADER)
                            && let Ok(record) = serde_json::from_value(item.value.clone())
                        {
                            self.term_key(Some((record, item.stamp)));
                        } else if item.remove.as_deref() == Some(keys::LEADER) {
                            // Of an older term than ours, the removal says nothing.
                            if !self.term.holds() || item.stamp > self.term.token {
                                self.term_key(None);
                            }
                        }
                    }
                    self.follow_term(news.epoch);
                }
            }
            Purpose::Grant { asked, .. } => match end.outcome {
                Outcome::Granted(grant) => {
                    self.term.extended(asked);
                    self.term.advance(Phase::Acquiring(grant));
                    let record = LeaderRecord {
                        node: self.settings.host_name.clone(),
                        process: self.process,
                        grant,
                    };
                    let commit = Commit {
                        when: vec![When { key: keys::LEADER.into(), stamp: self.term.replaces }],
                        apply: vec![Change::Write {
                            write: keys::LEADER.into(),
                            value: serde_json::to_value(&record).unwrap_or_default(),
                            mooring: Some(grant),
                        }],
                    };
                    let purpose = Purpose::Acquire { era: self.term.era };
                    let until = now + STORE_TIMEOUT_MS;
                    self.store.push(
                        Call::Commit(commit),
                        purpose,
                        Urgency::Term,
                        Patience::Once(until),
                    );
                }
                _ => self.campaign_failed(),
            },
            Purpose::Acquire { .. } => match end.outcome {
                Outcome::Committed(epoch) => self.acquired(epoch),
                // It may have been applied: the key tells. If it shows nothing of ours, the
                // lease is left to run out and the next campaign takes a new one.
                Outcome::Unknown => {
                    self.read_term();
                    self.campaign_failed();
                }
                _ => self.campaign_failed(),
            },
            Purpose::Extend { asked, .. } => match end.outcome {
                Outcome::Granted(_) => self.proved(asked),
                Outcome::NoGrant | Outcome::Missing { .. } => self.step_down("its lease has ended"),
                _ => {}
            },
            _ => {}
        }
    }

    fn campaign_failed(&mut self) {
        self.term.replaces = 0;
        if matches!(self.term.phase(), Phase::Granting | Phase::Acquiring(_)) {
            let wait = CAMPAIGN_RETRY_MS + self.rng.random_range(0..=CAMPAIGN_JITTER_MS);
            self.term.advance(Phase::Vacant(self.now.steady + wait));
            self.read_term();
        }
    }

    /// A page of what a new leader reads: all jobs, then all chunks, then the ledger.
    pub(super) fn on_load(&mut self, outcome: Outcome, era: u64, load: &Purpose) {
        let Some(mut leader) = self.loading.take() else { return };
        let Outcome::Page(page) = outcome else {
            self.loading = Some(leader);
            return;
        };
        let (now, wall) = (self.now.steady, self.now.wall);
        let (prefix, next) = match load {
            Purpose::LoadJobs { .. } => {
                leader.load_jobs(&page, now, wall);
                (keys::JOBS, Some((keys::BINDINGS, Purpose::LoadBindings { era })))
            }
            Purpose::LoadOrder { .. } => {
                self.loading = Some(leader);
                if self.order_loaded(page, era)
                    && let Some(leader) = self.loading.take()
                {
                    self.loaded(leader, era);
                }
                return;
            }
            Purpose::LoadBindings { .. } => {
                leader.load_bindings(&page, now);
                (keys::BINDINGS, Some((keys::SHEETS, Purpose::LoadSheets { era })))
            }
            _ => {
                leader.load_sheets(&page, now);
                (keys::SHEETS, None)
            }
        };
        let more = page.pairs.last().filter(|_| page.has_next).map(|p| p.key.clone());
        let (prefix, purpose) = match (&more, next) {
            (Some(_), _) => (prefix, load.clone()),
            (None, Some(next)) => next,
            (None, None) => {
                self.loading = Some(leader);
                if !self.load_order(era)
                    && let Some(leader) = self.loading.take()
                {
                    self.loaded(leader, era);
                }
                return;
            }
        };
        self.loading = Some(leader);
        let call = Call::List { prefix: prefix.into(), from: more };
        self.store.push(call, purpose, Urgency::Term, Patience::Always);
    }

    fn loaded(&mut self, mut leader: Tables, era: u64) {
        if !self.term.advance(Phase::Leading) {
            self.step_down("a newer term was seen while reading the store");
            return;
        }
        let now = self.now.steady;
        leader.index(now, self.now.wall);
        leader.since = now;
        for (id, note) in self.held.notes() {
            leader.cancelled_elsewhere(id, note.wall, now, self.now.wall);
        }
        let from = leader.follow_from;
        self.held.raise(from);
        tracing::info!(
            term = leader.token,
            jobs = leader.jobs.len(),
            machines = leader.machines.len(),
            "leading"
        );
        self.leader = Some(leader);
        self.order_changed();
        self.restore_loans();
        self.restore_dispatch();
        self.tell_term("begun", &self.settings.host_name.clone());
        self.follow_jobs(from, era);
        self.keep_types();
        for (id, report) in std::mem::take(&mut self.held_reports) {
            self.on_report(id, report);
        }
    }

    fn follow_jobs(&mut self, from: u64, era: u64) {
        let asked = self.now.steady;
        let call = Call::Follow { prefix: keys::JOBS.into(), from };
        self.store.push(call, Purpose::FollowJobs { era, asked }, Urgency::Term, Patience::Always);
    }

    /// Of a leader: reads what has changed of the jobs, if the watch has told nothing for a while. A watch that
    /// waits, or whose answer is slow, proves nothing of the time since it was opened.
    pub(super) fn read_jobs(&mut self) {
        let now = self.now.steady;
        let Some(leader) = &mut self.leader else { return };
        if now < leader.read_at.max(leader.asked_at) + LEADER_READ_MS {
            return;
        }
        leader.asked_at = now;
        let purpose = Purpose::ReadJobs { era: leader.era, asked: now };
        let call = Call::News { prefix: keys::JOBS.into(), from: leader.follow_from };
        self.store.push(call, purpose, Urgency::Term, Patience::Once(now + STORE_TIMEOUT_MS));
    }

    /// Takes in what has changed of the jobs, as asked for then.
    pub(super) fn on_jobs(&mut self, news: &News, asked: Time) {
        let (now, wall) = (self.now.steady, self.now.wall);
        let Some(leader) = &mut self.leader else { return };
        leader.on_jobs(news, now, wall);
        leader.read_at = leader.read_at.max(asked);
        self.held.raise(leader.follow_from);
    }

    pub(super) fn on_follow_jobs(&mut self, outcome: Outcome, era: u64, asked: Time) {
        match outcome {
            Outcome::News(news) => {
                self.on_jobs(&news, asked);
                let from = self.leader.as_ref().map_or(news.epoch, |l| l.follow_from);
                self.follow_jobs(from, era);
            }
            // Too far behind: a new term reads everything anew.
            _ => self.step_down("the watch of jobs was lost"),
        }
    }
}
