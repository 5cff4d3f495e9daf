//! Reports passed on between controllers: gathered, sent together, answered by the leader alone. What
//! shows the same as before goes as a few numbers. Where workers are many, the leader shares them out,
//! so that no controller holds all their connections; a proof and a start are exactly what they are
//! when a worker reports to the leader itself.

use super::{Action, Node, Reply, RequestId};
use crate::Time;
use crate::constants::*;
use crate::tables::Source;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use swiftsail_wire::controllers::{Answers, Batch, Passed};
use swiftsail_wire::workers::{Orders, Redirect, Report};

/// A report that waits to be passed on, or for its answer.
#[derive(Debug)]
struct Waiting {
    request: RequestId,
    report: Box<Report>,
    shown: u64,
    since: Time,
    leader: String,
    /// The leader has asked for it whole.
    whole: bool,
}

/// Reports passed on by this node.
#[derive(Debug, Default)]
pub(super) struct Relays {
    queue: VecDeque<Waiting>,
    flying: BTreeMap<u64, Vec<Waiting>>,
    next: u64,
    /// What each machine's last answered report showed, in which session, and to which leader.
    known: HashMap<String, (u64, u64, u64)>,
}

impl Relays {
    /// Whether another report may wait.
    pub fn room(&self) -> bool {
        self.queue.len() < RELAYS_QUEUED
    }

    /// Takes a report to pass on.
    pub fn push(&mut self, request: RequestId, report: Box<Report>, leader: &str, now: Time) {
        let shown = shown(&report);
        let leader = leader.to_string();
        self.queue.push_back(Waiting { request, report, shown, since: now, leader, whole: false });
    }

    /// The next message, if it is time for one.
    fn next(&mut self, node: &str, gather: bool, now: Time) -> Option<(u64, String, Batch)> {
        let first = self.queue.front()?;
        let due = !gather
            || first.whole
            || self.queue.len() >= RELAY_MOST
            || now >= first.since + RELAY_GATHER_MS;
        if !due || self.flying.len() >= RELAYS_FLYING {
            return None;
        }
        let leader = first.leader.clone();
        let (mut items, mut reports, mut bytes) = (Vec::new(), Vec::new(), 0);
        while let Some(item) = self.queue.front() {
            let report = &item.report;
            let answered = (item.shown, report.watch, report.helm);
            let same = !item.whole
                && report.recall_s.is_none()
                && self.known.get(&report.berth) == Some(&answered);
            let size = REPORT_BYTES + if same { 0 } else { SHARD_BYTES * report.shards.len() };
            let full = items.len() >= RELAY_MOST || bytes + size > RELAY_BYTES;
            if item.leader != leader || full && !items.is_empty() {
                break;
            }
            bytes += size;
            let (berth, watch) = (report.berth.clone(), report.watch);
            reports.push(match same {
                true => Passed::Same { berth, watch, tick: report.tick, shown: item.shown },
                false => Passed::Whole { report: report.clone(), shown: item.shown },
            });
            items.extend(self.queue.pop_front());
        }
        self.next += 1;
        self.flying.insert(self.next, items);
        Some((self.next, leader, Batch { node: node.to_string(), reports }))
    }
}

/// Number of what a report shows beside its message number.
fn shown(report: &Report) -> u64 {
    let mut hasher = DefaultHasher::new();
    report.shards.hash(&mut hasher);
    (&report.addr, &report.hull, &report.dock, report.driftwood).hash(&mut hasher);
    // Numbers travel as integers below 2^63 everywhere.
    hasher.finish() >> 1
}

impl Node {
    /// Passes on the reports whose time has come.
    pub(super) fn pass_reports_on(&mut self) {
        let now = self.now.steady;
        let leader = self.term.leader.as_ref().and_then(|l| self.peers.get(l));
        let gather = leader.is_some_and(|p| p.shares);
        while let Some((number, leader, batch)) =
            self.relays.next(&self.settings.host_name, gather, now)
        {
            self.actions.push(Action::Relay(number, leader, Box::new(batch)));
        }
    }

    /// The leader's answers to reports passed on. Without them each worker is told where to go.
    pub(super) fn on_relayed(&mut self, number: u64, answers: Option<Answers>) {
        let now = self.now.steady;
        let Some(items) = self.relays.flying.remove(&number) else { return };
        let Some(Answers { helm, orders }) = answers.filter(|a| a.orders.len() == items.len())
        else {
            for item in items {
                let reply = self.redirect();
                self.answer(item.request, reply);
            }
            return;
        };
        if self.relays.known.len() >= RELAYED_MOST {
            self.relays.known.clear();
        }
        for (mut item, orders) in items.into_iter().zip(orders) {
            match orders {
                Some(orders) => {
                    // The next may go as the same only if the worker then shows the leader's token.
                    let known = (item.shown, item.report.watch, helm);
                    self.relays.known.insert(item.report.berth, known);
                    self.answer(item.request, Reply::new(200, &Orders { helm, orders }));
                }
                // Whole it was refused, or there is no time left to pass it on whole.
                None if item.whole || now >= item.since + RELAY_TIMEOUT_MS => {
                    let reply = self.redirect();
                    self.answer(item.request, reply);
                }
                None => {
                    item.whole = true;
                    self.relays.queue.push_front(item);
                }
            }
        }
    }

    /// Another controller passes reports on. What this node does not lead it does not answer, and
    /// never passes on again: the two could disagree for ever on who leads.
    pub(super) fn on_batch(&mut self, request: RequestId, batch: &Batch) {
        let helms = batch.reports.iter().filter_map(|p| match p {
            Passed::Whole { report, .. } => Some(report.helm),
            Passed::Same { .. } => None,
        });
        if self.term.saw(helms.max().unwrap_or(0)) {
            self.step_down("a worker has seen a newer token");
        }
        if !self.leads() || !self.may_answer() {
            return self
                .answer(request, Reply::later("this node may not answer for the controllers"));
        }
        let (now, from): (Time, Arc<str>) = (self.now.steady, batch.node.as_str().into());
        let types = self.types.clone().unwrap_or_default();
        let Some(leader) = &mut self.leader else { return };
        let mut orders = Vec::with_capacity(batch.reports.len());
        for passed in &batch.reports {
            match passed {
                Passed::Whole { report, shown } => {
                    let found = leader.on_report(report, Source::Report, now, &types);
                    if let Some(machine) = leader.machines.get_mut(report.berth.as_str()) {
                        // One that is older than what is known tells nothing of what is shown now.
                        let newest = machine.latest == (report.watch, report.tick);
                        machine.shown = newest.then_some(*shown);
                        machine.via = Some(from.clone());
                    }
                    orders.push(Some(found.orders));
                }
                Passed::Same { berth, watch, tick, shown } => {
                    let same = leader.on_same(berth, (*watch, *tick), *shown, now);
                    orders.push(same.then(Vec::new));
                }
            }
        }
        let helm = leader.token;
        self.answer(request, Reply::new(200, &Answers { helm, orders }));
        self.end_jobs();
    }

    /// Workers whose connections this node's memory allows before they are shared.
    fn own_most(&self) -> usize {
        let kb = self.settings.settings.machine_limits.mem_mb * 1024.0;
        (kb * CONNECTIONS_SHARE / CONNECTION_KB) as usize
    }

    /// Whether this node leads and the workers are too many for it alone.
    pub(super) fn shares(&self) -> bool {
        let machines = self.leader.as_ref().map_or(0, |l| l.machines.len());
        self.settings.controllers() > 1 && machines > self.own_most()
    }

    /// Counts workers by the controller that they report to.
    pub(super) fn count_loads(&mut self) {
        self.loads.clear();
        let Some(leader) = &self.leader else { return };
        let own: Arc<str> = self.settings.host_name.as_str().into();
        for machine in leader.machines.values().filter(|m| m.heard.is_some()) {
            *self.loads.entry(machine.via.clone().unwrap_or(own.clone())).or_default() += 1;
        }
    }

    /// Where a worker that reports to the leader itself should go instead, if the leader has more than
    /// its part and another controller that hears it has fewer.
    pub(super) fn share_out(&mut self, report: &Report) -> Option<Reply> {
        if !self.shares() {
            return None;
        }
        let now = self.now.steady;
        let own: Arc<str> = self.settings.host_name.as_str().into();
        let part = self.loads.values().sum::<usize>() / self.settings.controllers();
        let mine = self.loads.get(&own).copied().unwrap_or(0);
        let able = self.peers.iter().filter(|(_, peer)| {
            let fresh = now.saturating_sub(peer.voucher.heard) <= BEAT_FRESH_MS;
            fresh && !peer.leads && peer.voucher.token == self.term.token
        });
        let load = |name: &String| self.loads.get(name.as_str()).copied().unwrap_or(0);
        let (to, theirs) = able.map(|(name, _)| (name.clone(), load(name))).min_by_key(|p| p.1)?;
        let slack = 1 + part / SHARE_SLACK;
        if mine <= part + slack || theirs + slack >= mine {
            return None;
        }
        let machine = self.leader.as_mut()?.machines.get_mut(report.berth.as_str())?;
        if machine.sent_at.is_some_and(|at| now < at + SEND_AGAIN_MS) {
            return None;
        }
        machine.sent_at = Some(now);
        *self.loads.entry(own).or_default() -= 1;
        *self.loads.entry(to.as_str().into()).or_default() += 1;
        Some(Reply::new(421, &Redirect { harbor: Some(to) }))
    }
}
