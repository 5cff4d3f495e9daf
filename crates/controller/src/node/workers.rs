//! Workers' reports: answered by the leader, passed on or sent on by the others.

use super::{Action, Node, Reply, RequestId};
use crate::Time;
use crate::constants::*;
use crate::tables::Source;
use crate::term::Voice;
use swiftsail_protocol::workers::{Redirect, Report};

/// What this node, not leading, has done with a worker's reports.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Passed {
    relayed: Time,
    redirected: Time,
    relay_until: Time,
    /// Newest (session, tick) that has come here.
    latest: (u64, u64),
}

impl Node {
    /// Where a worker should report instead.
    pub(super) fn redirect(&self) -> Reply {
        let leader = self.term.leader.clone().filter(|l| *l != self.settings.host_name);
        Reply::new(421, &Redirect { harbor: leader })
    }

    pub(super) fn on_report(&mut self, id: RequestId, report: Box<Report>) {
        if self.term.saw(report.helm) {
            self.step_down("a worker has seen a newer token");
        }
        let waits = self.loading.is_some() || !self.sure() && !self.may_answer();
        if waits && self.held_reports.len() < self.budget.reports {
            self.held_reports.push((id, report));
            return;
        }
        if !self.leads() {
            return self.pass_on(id, report);
        }
        let reply = if !self.may_answer() {
            Reply::later("without the state service this node may not answer for the controllers")
        } else if let Some(elsewhere) = self.share_out(&report) {
            elsewhere
        } else if let Some(leader) = &mut self.leader {
            let types = self.types.as_deref().map_or(&[][..], Vec::as_slice);
            self.reach.heard(self.now.steady);
            let orders = leader.on_report(&report, Source::Report, self.now.steady, types);
            if let Some(machine) = leader.just_heard(&report, self.now.steady) {
                (machine.via, machine.shown) = (None, None);
            }
            Reply::new(200, &orders)
        } else {
            self.redirect()
        };
        self.actions.push(Action::Reply(id, reply));
        self.end_jobs();
    }

    /// Not leading: a worker's first report is passed on to the leader, so that its lease lives;
    /// the next is answered with the way there. A worker that comes back could not reach the
    /// leader (a cut between them) and is served through this node for a while. The answer passed
    /// on is always the leader's own.
    pub(super) fn pass_on(&mut self, id: RequestId, report: Box<Report>) {
        let now = self.now.steady;
        let near = self.term.leader.as_ref().and_then(|l| {
            let peer = self.peers.get(l)?;
            let fresh = now.saturating_sub(peer.voucher.heard) <= BEAT_FRESH_MS;
            (fresh && peer.leads).then(|| (l.clone(), peer.shares))
        });
        if self.passed.len() >= RELAYED_MOST {
            self.passed.clear();
        }
        let passed = self.passed.entry(report.berth.clone()).or_default();
        let at = (report.watch, report.tick);
        // A copy, or a worker that has begun anew: the leader can tell, and nothing is learnt from it here.
        let late = at <= passed.latest;
        passed.latest = passed.latest.max(at);
        let recent = |at: Time| at > 0 && now.saturating_sub(at) <= CAME_BACK_MS;
        let Some((leader, shares)) = near else {
            // Where this node has lost the leader, a worker of its zone will not reach it either:
            // named again and again, the leader would keep it from ever trying the third node.
            let lost = self.term.leader.as_ref().is_some_and(|l| self.peers.contains_key(l));
            let reply = if lost && report.dock == self.settings.site || recent(passed.redirected) {
                Reply::new(421, &Redirect { harbor: None })
            } else {
                passed.redirected = now;
                self.redirect()
            };
            return self.actions.push(Action::Reply(id, reply));
        };
        let room = self.relays.room(self.budget.reports);
        if late && room {
            return self.relays.push(id, report, &leader, true, now);
        }
        if shares && room {
            // Where workers are shared each stays with the node that it has found.
            *passed = Passed { latest: passed.latest, ..Passed::default() };
            if self.answer_under_duty(id, &report) {
                return;
            }
            return self.relays.push(id, report, &leader, false, now);
        }
        if now >= passed.relay_until && recent(passed.redirected) {
            passed.relay_until = now + RELAY_MS;
        } else if now >= passed.relay_until && recent(passed.relayed) {
            *passed = Passed { redirected: now, latest: passed.latest, ..Passed::default() };
            let reply = self.redirect();
            return self.actions.push(Action::Reply(id, reply));
        }
        passed.relayed = now;
        passed.redirected = 0;
        self.relays.push(id, report, &leader, false, now);
    }

    pub(super) fn on_answer(&mut self, report: &Report) {
        if self.term.saw(report.helm) {
            self.step_down("a worker has seen a newer token");
        }
        if let Some(leader) = &mut self.leader {
            let types = self.types.as_deref().map_or(&[][..], Vec::as_slice);
            self.reach.heard(self.now.steady);
            leader.on_report(report, Source::Answer, self.now.steady, types);
        }
        self.end_jobs();
    }

    /// Time for which this node may answer reports after it knew of every cancellation that a user was told of,
    /// whatever happens elsewhere, ms: a lease granted then ends before any falls due.
    fn sure_for_ms(&self) -> u64 {
        let workers = &self.settings.settings.workers;
        let spare = ((workers.cancel_s - workers.lease_s) * MS_PER_S) as u64;
        spare.saturating_sub(FADE_MARGIN_MS).max(FADE_LEAST_MS.min(spare / 2))
    }

    /// When this node, leading, asked for what it has read of the jobs; and as of when it knows every cancellation
    /// that a user was told of, by that or by others' word.
    fn known(&self) -> (Option<Time>, Option<Time>) {
        // In doubt of its lead, a node has only others' word.
        let read = self.leader.as_ref().filter(|_| self.sure()).map(|l| l.read_at);
        let (from, now) = (self.vouched_from(), self.now.steady);
        (read, self.held.known_as_of(read, from, self.settings.controllers(), now))
    }

    /// For how long this node, leading, may go on answering if it learns nothing more, ms.
    pub(super) fn sure_ms(&self) -> u64 {
        let known = self.known().1;
        known.map_or(0, |at| (at + self.sure_for_ms()).saturating_sub(self.now.steady))
    }

    pub(super) fn may_answer(&self) -> bool {
        self.sure_ms() > 0
    }

    /// Tells those on call by what this leader answers its workers, when that changes.
    pub(super) fn weigh_voice(&mut self) {
        let Some(leader) = &self.leader else { return };
        let term = leader.token;
        let (read, known) = self.known();
        let to = Voice::of(read, known, self.sure_for_ms(), self.now.steady);
        if self.voice.advance(to) {
            let sure_ms = self.sure_ms();
            match to {
                Voice::Silent => tracing::warn!(term, "workers are answered no more"),
                _ => tracing::info!(term, by = ?to, sure_ms, "workers are answered"),
            }
        }
    }

    /// By what this node, leading, answers its workers.
    pub fn voice(&self) -> Option<Voice> {
        self.leader.as_ref().map(|_| self.voice)
    }
}
