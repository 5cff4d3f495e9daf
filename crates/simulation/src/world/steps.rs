//! What happens, event by event.

use super::{Asker, Ev, Processor, STEP_MS, World, settings};
use rand::Rng;
use std::sync::Arc;
use swiftsail_controller::cloud;
use swiftsail_controller::node::{Event, Node, Now};
use swiftsail_controller::settings::Settings;
use swiftsail_protocol as wire;
use swiftsail_protocol::workers::Orders;

impl World {
    pub(super) fn step(&mut self, ev: Ev) {
        match ev {
            Ev::Tick(n, life) => {
                if self.stands_still(n) {
                    let until = self.frozen[n].0;
                    return self.at(until, Ev::Tick(n, life));
                }
                if self.lives[n] == life && self.nodes[n].is_some() {
                    self.handle(n, life, Event::Tick);
                    // A timer that is late fires late again from then on.
                    let free = self.processors[n].free_at;
                    self.at(free.max(self.now) + 100, Ev::Tick(n, life));
                }
            }
            Ev::Free(n, life) => self.go_on(n, life),
            Ev::Freeze(n, until) => {
                self.frozen[n].0 = until;
                let life = self.lives[n];
                self.at(until, Ev::Thaw(n, life));
            }
            Ev::Thaw(n, life) => {
                for event in std::mem::take(&mut self.frozen[n].1) {
                    self.handle(n, life, event);
                }
            }
            Ev::Restart(n) => {
                self.lives[n] += 1;
                let now = Now { steady: self.now, wall: 1_700_000_000_000 + self.now };
                let mut settings = Settings::clone(&settings(n));
                settings.settings.machine_limits.mem_mb = self.memory_mb;
                settings.settings.teams[0].cpus_max = self.red_most[n];
                settings.settings.machine_limits.cores = self.cores.unwrap_or(1.0);
                if let Some((rps, write_rps)) = self.rates {
                    settings.settings.state.rps = rps;
                    settings.settings.state.write_rps = write_rps;
                }
                self.processors[n] = Processor::default();
                let settings = Arc::new(settings);
                let node = Node::operated(settings, &self.operator, self.rng.random(), now);
                self.nodes[n] = Some(node);
                self.at(self.now, Ev::Tick(n, self.lives[n]));
            }
            Ev::Crash(n) => {
                self.nodes[n] = None;
                self.lives[n] += 1;
                self.frozen[n] = (0, Vec::new());
                let pause = self.rng.random_range(2_000..6_000);
                let at = self.now + self.restart_ms.unwrap_or(pause);
                self.at(at, Ev::Restart(n));
            }
            Ev::Copy(n, report) => self.copy_comes(n, report),
            Ev::Reboot(name) => self.plant.reboot(&name, self.now),
            Ev::ToNode(n, life, event) => self.handle(n, life, *event),
            Ev::Beat(from, life, to, beat) => {
                let brief = beat.brief;
                let beat = self.as_of(to, beat);
                self.handle(to, self.lives[to], Event::Beat(beat));
                if self.stands_still(to) {
                    return;
                }
                if let Some(ours) = self.nodes[to].as_mut().map(|n| n.beat(brief)) {
                    self.record_beat_answer(to, &ours);
                    let ours = self.as_of(from, self.as_of(to, ours));
                    let at = self.now + self.delay();
                    self.at(at, Ev::ToNode(from, life, Box::new(Event::Beat(ours))));
                }
            }
            Ev::StoreCall(n, life, id, call) => self.store_call(n, life, id, call),
            Ev::CloudCall(n, life, call) => {
                if let Some((after, outcome)) = self.cloud_trouble(&call) {
                    let event = Box::new(Event::Cloud(call, outcome));
                    return self.at(self.now + after, Ev::ToNode(n, life, event));
                }
                let outcome = if self.lost() {
                    cloud::Outcome::Failed
                } else {
                    let outcome = self.cloud_call(&call);
                    if self.lost() { cloud::Outcome::Failed } else { outcome }
                };
                let at = self.now + self.delay();
                self.at(at, Ev::ToNode(n, life, Box::new(Event::Cloud(call, outcome))));
            }
            Ev::Direct(n, life, addr, direct) => {
                let now = self.now;
                // A machine that hangs takes it, and carries it out if it goes on (protocol: delayed messages).
                let hangs = self.plant.workers.get(&addr).filter(|w| !w.gone).map(|w| w.hang_until);
                if let Some(until) = hangs.filter(|until| now < *until) {
                    self.count("held by a hang");
                    return self.at(until, Ev::Direct(n, life, addr, direct));
                }
                let Some((_, report)) = self.plant.direct(&addr, &direct, now) else { return };
                let at = self.now + self.delay();
                if !self.lost() {
                    self.at(at, Ev::ToNode(n, life, Box::new(Event::Answer(Box::new(report)))));
                }
            }
            Ev::WorkerStep(name) => self.worker_step(&name),
            Ev::Relay(from, from_life, from_id, to, report) => {
                self.next_request += 1;
                let (id, life) = (self.next_request, self.lives[to]);
                self.askers.insert((to, life, id), Asker::Relay(from, from_life, from_id));
                if self.stands_still(to) {
                    let event = Box::new(Event::Relayed(from_id, None));
                    self.at(self.now + 2_500, Ev::ToNode(from, from_life, event));
                }
                self.handle(to, life, Event::Batch(id, report));
            }
            Ev::Report(n, report, sent) => {
                let life = self.lives[n];
                if let Some(until) = self.held_until(n, |c| c.workers) {
                    let (name, watch) = (report.berth.clone(), report.watch);
                    self.at(until, Ev::Copy(n, report));
                    return self.at(sent + 4_000, Ev::Orders(name, watch, sent, None));
                }
                let cut = self.cut(n, |c| c.workers) || self.zone_cut(n, &report.berth);
                if self.nodes[n].is_none() || cut {
                    let (name, watch) = (report.berth.clone(), report.watch);
                    return self.at(self.now + 1, Ev::Orders(name, watch, sent, None));
                }
                self.next_request += 1;
                let id = self.next_request;
                let asker = Asker::Worker(report.berth.clone(), report.watch, sent);
                self.askers.insert((n, life, id), asker);
                if self.stands_still(n) {
                    let (name, watch) = (report.berth.clone(), report.watch);
                    self.at(sent + 4_000, Ev::Orders(name, watch, sent, None));
                }
                self.handle(n, life, Event::Report(id, report));
            }
            Ev::Orders(name, watch, sent, reply) => {
                let now = self.now;
                let Some(worker) = self.plant.workers.get_mut(&name) else { return };
                let Some(reply) = reply else { return worker.unanswered(sent, now) };
                let orders = (reply.status == 200).then(|| wire::read::<Orders>(&reply.body));
                let harbor = wire::read::<wire::workers::Redirect>(&reply.body).unwrap_or_default();
                match orders {
                    Some(Ok(orders)) => self.plant.answered(&name, &orders, watch, sent, now),
                    _ => {
                        let to = harbor.harbor.and_then(|h| h.strip_prefix('n')?.parse().ok());
                        worker.redirected(sent, to, now);
                    }
                }
            }
            Ev::Admin(n, id, ask) => {
                let life = self.lives[n];
                self.next_request += 1;
                let request = self.next_request;
                self.askers.insert((n, life, request), Asker::Admin(id));
                self.handle(n, life, Event::Admin(request, *ask));
            }
            Ev::User(job, what) => self.user(job, what),
            Ev::Look(job, n, what) => self.look(job, n, what),
            Ev::LookReply(job, what, sent, reply) => self.look_reply(job, what, sent, &reply),
            Ev::Odd => self.odd(),
            Ev::OddReply(what, reply) => self.odd_reply(&what, &reply),
            Ev::CancelNow(count, hang_ms) => self.cancel_some(count, hang_ms),
            Ev::UserReply(job, what, sent, reply) => self.user_reply(job, what, sent, reply),
        }
    }

    pub(super) fn worker_step(&mut self, name: &str) {
        let now = self.now;
        let paused = self.store_away();
        let ended = self.store.expire(now, paused);
        if ended || self.rng.random_bool(0.2) {
            self.wake_follows();
        }
        let hang = !self.calm() && self.weather.outages > 0 && self.rng.random_bool(0.0005);
        let taken = !self.calm() && self.weather.outages > 0 && self.rng.random_bool(0.002);
        let span = self.rng.random_range(2_000..15_000);
        let Some(worker) = self.plant.workers.get_mut(name).filter(|w| !w.gone) else { return };
        if hang {
            worker.hang_until = now + span;
        }
        // Spot machines are taken, mostly with a notice.
        if taken && worker.hardware.spot && worker.taken_at.is_none() {
            worker.taken_at = Some(now + if hang { 0 } else { span });
            worker.changed = true;
        }
        if let Some((node, report)) = self.plant.step(name, now) {
            let at = self.now + self.delay();
            self.copy_later(node, &report);
            self.keep_for_next(&report);
            if self.mute(name) {
                let none = Ev::Orders(name.to_string(), report.watch, now, None);
                self.at(now + 1, none);
            } else if !self.lost() {
                self.at(at, Ev::Report(node, Box::new(report), now));
            }
        }
        if !self.plant.workers[name].gone {
            self.at(now + STEP_MS, Ev::WorkerStep(name.to_string()));
        }
    }
}
