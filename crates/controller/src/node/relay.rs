//! Reports passed on between controllers: gathered, sent together, answered by the leader alone. What
//! shows the same as before goes as a few numbers. Where workers are many, the leader shares them out,
//! so that no controller holds all their connections, and gives the others the duty to answer unchanged
//! reports themselves; a proof and a start are exactly what they are when a worker reports to the leader
//! itself.

use super::{Action, Node, Reply, RequestId};
use crate::Time;
use crate::constants::*;
use crate::tables::Source;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use swiftsail_overload_control::constants::{CONNECTION_KB, CONNECTIONS_SPARE, DUTY_MS};
use swiftsail_overload_control::duty::{Duty, Turn};
use swiftsail_protocol::controllers::{Answers, Batch, Passed, Well};
use swiftsail_protocol::workers::{Orders, Redirect, Report};

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
    /// Numbers as high have come here before: whatever it is, it says nothing of what is shown now.
    late: bool,
}

/// A message on its way to the leader.
#[derive(Debug)]
struct Message {
    sent: Time,
    /// The highest token known then: under a later one nobody answers it any more.
    token: u64,
    items: Vec<Waiting>,
}

/// What a machine's last answered report showed.
#[derive(Debug)]
struct Known {
    shown: u64,
    watch: u64,
    /// The leader that answered it.
    helm: u64,
    /// Nothing was left to be said to it.
    calm: bool,
}

/// Reports passed on by this node, and those that it answers itself.
#[derive(Debug, Default)]
pub(super) struct Relays {
    queue: VecDeque<Waiting>,
    flying: BTreeMap<u64, Message>,
    next: u64,
    known: HashMap<String, Known>,
    duty: Duty,
    /// Unchanged reports answered here that the leader has not been told of.
    well: BTreeMap<String, (u64, u64, u64)>,
    told_at: Time,
    /// Reports answered here so far.
    pub answered: u64,
}

impl Relays {
    /// Whether another report may wait.
    pub fn room(&self, most: usize) -> bool {
        self.queue.len() < most
    }

    /// Takes a report to pass on.
    pub fn push(
        &mut self,
        request: RequestId,
        report: Box<Report>,
        leader: &str,
        late: bool,
        now: Time,
    ) {
        let shown = shown(&report);
        let (leader, whole) = (leader.to_string(), false);
        self.queue.push_back(Waiting { request, report, shown, since: now, leader, whole, late });
    }

    /// Answers a report that shows what the last one did, if the duty allows it: with which token. The
    /// leader is told later, and whatever it has to say it says to the next one.
    fn answer_same(&mut self, report: &Report, now: Time) -> Option<u64> {
        let token = self.duty.token(now)?;
        let known = self.known.get(&report.berth)?;
        let shown = shown(report);
        let same = (known.shown, known.watch, known.helm) == (shown, report.watch, token);
        if !same || !known.calm || report.helm != token || report.recall_s.is_some() {
            return None;
        }
        self.well.insert(report.berth.clone(), (report.watch, report.tick, shown));
        self.answered += 1;
        Some(token)
    }

    /// The duty ends, and with it what only it allowed.
    pub(super) fn lose_duty(&mut self) {
        self.duty.advance(Turn::Lost);
        self.well.clear();
        for known in self.known.values_mut() {
            known.calm = false;
        }
    }

    /// The next message, if it is time for one.
    fn next(
        &mut self,
        node: &str,
        token: u64,
        gather: bool,
        now: Time,
    ) -> Option<(u64, String, Batch)> {
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
            let same = !item.whole
                && !item.late
                && report.recall_s.is_none()
                && self.known.get(&report.berth).is_some_and(|k| {
                    (k.shown, k.watch, k.helm) == (item.shown, report.watch, report.helm)
                });
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
        let room = (RELAY_BYTES - bytes.min(RELAY_BYTES)) / WELL_BYTES;
        let batch = Batch { node: node.to_string(), reports, well: self.tell(room, now) };
        Some((self.fly(items, token, now), leader, batch))
    }

    /// A message without reports, if the leader has not been told for a while of those answered here.
    fn summary(
        &mut self,
        node: &str,
        token: u64,
        leader: &str,
        now: Time,
    ) -> Option<(u64, String, Batch)> {
        let due = now >= self.told_at + SUMMARY_MS && self.flying.len() < RELAYS_FLYING;
        if !due || self.duty.token(now).is_none() {
            return None;
        }
        let well = self.tell(RELAY_BYTES / WELL_BYTES, now);
        let batch = Batch { node: node.to_string(), reports: Vec::new(), well };
        Some((self.fly(Vec::new(), token, now), leader.to_string(), batch))
    }

    fn fly(&mut self, items: Vec<Waiting>, token: u64, now: Time) -> u64 {
        self.next += 1;
        self.flying.insert(self.next, Message { sent: now, token, items });
        self.next
    }

    /// Messages that nobody will answer: whoever got them has ended, or leads no more. Their workers wait with
    /// them, 4 s and one more, and a leader that ends a few times in a row would cost them their leases.
    fn in_vain(&self, token: u64, now: Time) -> Vec<u64> {
        let vain = |m: &Message| m.token < token || now >= m.sent + RELAY_TIMEOUT_MS;
        self.flying.iter().filter(|(_, m)| vain(m)).map(|(number, _)| *number).collect()
    }

    /// Takes what the leader is to be told of the reports answered here: with each summary, not with each
    /// message, so that a machine is told of once in a while however often it reports.
    fn tell(&mut self, most: usize, now: Time) -> Vec<Well> {
        if now < self.told_at + SUMMARY_MS {
            return Vec::new();
        }
        let mut told = Vec::with_capacity(self.well.len().min(most));
        while told.len() < most
            && let Some((berth, (watch, tick, shown))) = self.well.pop_first()
        {
            told.push((berth, watch, tick, shown));
        }
        if self.well.is_empty() {
            self.told_at = now;
        }
        told
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
        self.relays.duty.advance(Turn::Now(now));
        let token = self.term.highest;
        for number in self.relays.in_vain(token, now) {
            self.on_relayed(number, None);
        }
        let leader = self.term.leader.as_ref();
        let peer = leader.and_then(|l| Some((l, self.peers.get(l)?)));
        let gather = peer.is_some_and(|(_, p)| p.shares);
        let node = &self.settings.host_name;
        while let Some((number, leader, batch)) = self.relays.next(node, token, gather, now) {
            self.actions.push(Action::Relay(number, leader, Box::new(batch)));
        }
        if let Some((leader, _)) = peer.filter(|(_, p)| p.shares && p.leads)
            && let Some((number, leader, batch)) = self.relays.summary(node, token, leader, now)
        {
            self.actions.push(Action::Relay(number, leader, Box::new(batch)));
        }
    }

    /// Answers a worker's report under this node's duty, if it says nothing new.
    pub(super) fn answer_under_duty(&mut self, id: RequestId, report: &Report) -> bool {
        let Some(helm) = self.relays.answer_same(report, self.now.steady) else { return false };
        self.answer(id, Reply::new(200, &Orders { helm, orders: Vec::new() }));
        true
    }

    /// The leader's answers to reports passed on. Without them each worker is told where to go.
    pub(super) fn on_relayed(&mut self, number: u64, answers: Option<Answers>) {
        let now = self.now.steady;
        let Some(Message { sent, items, .. }) = self.relays.flying.remove(&number) else {
            return;
        };
        let Some(answers) = answers.filter(|a| a.orders.len() == items.len()) else {
            // What was told may not have come; the next reports go to the leader, and tell it.
            self.relays.lose_duty();
            for item in items {
                let reply = self.redirect();
                self.answer(item.request, reply);
            }
            return;
        };
        let Answers { helm, orders, calm, look, duty_ms } = answers;
        let turn = match duty_ms {
            0 => Turn::Refused,
            for_ms => Turn::Granted { token: helm, sent, for_ms },
        };
        // A newer term ends a duty under an older one, whoever answers.
        let turn = if helm < self.term.highest { Turn::Lost } else { turn };
        self.relays.duty.advance(turn);
        if self.relays.known.len() >= RELAYED_MOST {
            self.relays.known.clear();
        }
        for (n, (mut item, orders)) in items.into_iter().zip(orders).enumerate() {
            match orders {
                Some(orders) => {
                    // The next may go as the same only if the worker then shows the leader's token.
                    let (shown, watch) = (item.shown, item.report.watch);
                    let known = Known { shown, watch, helm, calm: calm.binary_search(&n).is_ok() };
                    if !item.late {
                        self.relays.known.insert(item.report.berth, known);
                    }
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
        for berth in look {
            if let Some(known) = self.relays.known.get_mut(&berth) {
                known.calm = false;
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
        self.reach.heard(now);
        let Some(leader) = &mut self.leader else { return };
        let mut answers = Answers { helm: leader.token, ..Answers::default() };
        let mut look: BTreeSet<String> =
            leader.take_look(&from).into_iter().map(|id| id.to_string()).collect();
        for (berth, watch, tick, shown) in &batch.well {
            if !leader.on_same(berth, (*watch, *tick), *shown, now) {
                look.insert(berth.clone());
            }
        }
        for (n, passed) in batch.reports.iter().enumerate() {
            match passed {
                Passed::Whole { report, shown } => {
                    let found = leader.on_report(report, Source::Report, now, &types);
                    // A copy tells nothing of what is shown now, nor of who hears the worker.
                    if let Some(machine) = leader.just_heard(report, now) {
                        machine.shown = Some(*shown);
                        machine.via = Some(from.clone());
                    }
                    if leader.calm(&report.berth, now) {
                        answers.calm.push(n);
                    }
                    answers.orders.push(Some(found.orders));
                }
                Passed::Same { berth, watch, tick, shown } => {
                    let same = leader.on_same(berth, (*watch, *tick), *shown, now);
                    if same {
                        answers.calm.push(n);
                    }
                    answers.orders.push(same.then(Vec::new));
                }
            }
        }
        answers.look = look.into_iter().collect();
        answers.duty_ms = if self.shares() { self.duty_ms() } else { 0 };
        self.answer(request, Reply::new(200, &answers));
        self.end_jobs();
    }

    /// Reports that this node has answered by itself, under its duty.
    pub fn answered_under_duty(&self) -> u64 {
        self.relays.answered
    }

    /// Workers whose connections this node's memory allows before they are shared.
    fn own_most(&self) -> usize {
        let kb = self.settings.settings.machine_limits.mem_mb * 1024.0;
        (kb * SHARE_ABOVE) as usize / CONNECTION_KB
    }

    /// For how long another controller may answer for this leader: no longer than the leader itself could
    /// be sure that a worker's lease, granted then, ends before any cancellation falls due that it has
    /// not heard of.
    fn duty_ms(&self) -> u64 {
        self.sure_ms().min(DUTY_MS)
    }

    /// Whether this node leads and the workers are too many for it alone: by their connections, or by
    /// what they cost its processor.
    pub(super) fn shares(&self) -> bool {
        self.leader.is_some() && self.sharing
    }

    /// Begins to share workers out, or ceases to well below where it began.
    fn weigh_sharing(&mut self) {
        let machines = self.leader.as_ref().map_or(0, |l| l.machines.len());
        let upkeep = self.upkeep.share().unwrap_or(0.0);
        let (most, busy) = match self.sharing {
            false => (self.own_most(), SHARE_LOAD),
            true => (self.own_most() * 3 / 4, SHARE_LOAD / 2.0),
        };
        self.sharing = self.settings.controllers() > 1 && (machines > most || upkeep > busy);
    }

    /// Counts workers by the controller that they report to.
    pub(super) fn count_loads(&mut self) {
        self.loads.clear();
        self.weigh_sharing();
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
        let (to, theirs, busy) =
            able.map(|(name, peer)| (name.clone(), load(name), peer.load)).min_by_key(|p| p.1)?;
        let slack = 1 + part / SHARE_SLACK;
        let by_number = mine > part + slack && theirs + slack < mine;
        // Even shares would leave the leader the busiest, since placement is its alone.
        let spare = self.budget.connections.saturating_sub(CONNECTIONS_SPARE);
        let by_load = self.load.share().zip(busy).is_some_and(|(own, its)| own > its + LOAD_SLACK)
            && mine > slack
            && theirs < spare;
        if !by_number && !by_load {
            return None;
        }
        let machine = self.leader.as_mut()?.machines.get_mut(report.berth.as_str())?;
        // A copy is sent nowhere: its worker is elsewhere.
        if (report.watch, report.tick) <= machine.latest {
            return None;
        }
        if machine.sent_at.is_some_and(|at| now < at + SEND_AGAIN_MS) {
            return None;
        }
        machine.sent_at = Some(now);
        *self.loads.entry(own).or_default() -= 1;
        *self.loads.entry(to.as_str().into()).or_default() += 1;
        Some(Reply::new(421, &Redirect { harbor: Some(to) }))
    }
}
