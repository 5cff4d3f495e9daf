//! What controllers ask of the world outside.

use super::{Asker, Ev, NODES, World};
use swiftsail_controller::job::keys;
use swiftsail_controller::node::{Action, Event, Node, Reply};
use swiftsail_failure_detector::Probe;
use swiftsail_protocol as wire;
use swiftsail_protocol::controllers::Answers;
use swiftsail_protocol::workers::{Direct, Orders};

impl World {
    pub(super) fn act(&mut self, n: usize, life: u64, action: Action) {
        self.record(n, life, &action);
        let at = self.now + self.delay();
        match action {
            Action::Reply(id, reply) => match self.askers.remove(&(n, life, id)) {
                Some(Asker::Worker(name, watch, sent)) => {
                    self.look_at_token(n, &reply);
                    if self.deaf(&name, true) {
                        let given_up = (sent + 4_000).max(at);
                        return self.at(given_up, Ev::Orders(name, watch, sent, None));
                    }
                    let reply = (!self.lost()).then(|| Box::new(reply));
                    self.at(at, Ev::Orders(name, watch, sent, reply));
                }
                Some(Asker::Relay(to, to_life, to_id)) => {
                    let good = (reply.status == 200).then_some(reply.body);
                    let answers = good.and_then(|body| wire::read::<Answers>(&body).ok());
                    let event = Box::new(Event::Relayed(to_id, answers));
                    self.at(at, Ev::ToNode(to, to_life, event));
                }
                Some(Asker::User(job, what, sent, node)) => {
                    self.note_put_off(n, what, &reply);
                    if what == 1 {
                        let (turned, id, now) =
                            (&mut self.turned[node], &self.jobs[job].id, self.now);
                        match reply.status {
                            503 => turned.away(id, now),
                            _ => turned.answered(id),
                        }
                    }
                    let reply = (!self.lost()).then_some(reply);
                    self.at(at, Ev::UserReply(job, what, sent, reply));
                }
                Some(Asker::Look(job, what, sent)) if !self.lost() => {
                    self.note_put_off(n, what, &reply);
                    self.at(at, Ev::LookReply(job, what, sent, reply));
                }
                Some(Asker::Odd(what)) => self.at(at, Ev::OddReply(what, reply)),
                Some(Asker::Admin(id)) => {
                    self.answers.insert(id, reply);
                }
                Some(Asker::Look(..)) => {}
                None => {}
            },
            Action::Store(id, call) => self.at(at, Ev::StoreCall(n, life, id, call)),
            Action::Cloud(call) => self.at(at + 100, Ev::CloudCall(n, life, Box::new(call))),
            Action::Direct(addr, direct) => {
                if let Some(until) = self.held_until(n, |c| c.workers) {
                    return self.at(until, Ev::Direct(n, life, addr, Box::new(direct)));
                }
                let cut = self.cut(n, |c| c.workers) || self.zone_cut(n, &addr);
                if !self.lost() && !cut && !self.deaf(&addr, false) {
                    self.at(at, Ev::Direct(n, life, addr, Box::new(direct)));
                }
            }
            Action::Probe(id, addr) => {
                let hang = |w: &&crate::worker::Worker| !w.gone && w.hang_until > self.now;
                let mute = self.plant.workers.get(&*id).filter(hang).is_some();
                let probe = if mute { Probe::Mute } else { Probe::Silent };
                let message = Direct { helm: 0, watch: 0, orders: Vec::new() };
                let now = self.now;
                let cut = self.cut(n, |c| c.workers) || self.zone_cut(n, &addr);
                let report = if mute || self.lost() || cut || self.deaf(&addr, false) {
                    None
                } else {
                    self.plant.direct(&addr, &message, now)
                };
                let event = match report {
                    Some((_, report)) => {
                        (at, Event::Probed(id, Probe::Answered, Some(Box::new(report))))
                    }
                    None => (now + 1_200, Event::Probed(id, probe, None)),
                };
                self.at(event.0, Ev::ToNode(n, life, Box::new(event.1)));
            }
            Action::Relay(id, leader, report) => {
                let other = leader.trim_start_matches('n').parse().unwrap_or(0);
                if self.lost() || self.apart(n, other) {
                    let event = Box::new(Event::Relayed(id, None));
                    return self.at(self.now + 2_500, Ev::ToNode(n, life, event));
                }
                self.at(at, Ev::Relay(n, life, id, other, report));
            }
            Action::Deliver(delivery) => {
                let taken = !self.lost();
                if taken {
                    self.delivered.push(delivery.clone());
                }
                let event = Box::new(Event::Delivered(delivery.plugin, taken));
                self.at(at, Ev::ToNode(n, life, event));
            }
            Action::Beat(beat) => {
                let beat = self.as_of(n, beat);
                for other in (0..NODES).filter(|o| *o != n) {
                    if !self.lost() && !self.apart(n, other) {
                        self.at(at, Ev::Beat(n, life, other, beat.clone()));
                    }
                }
            }
        }
    }

    /// Counts answers to reports under a token that is no longer the leader's key.
    fn look_at_token(&mut self, n: usize, reply: &Reply) {
        let orders = wire::read::<Orders>(&reply.body).ok().filter(|_| reply.status == 200);
        let held = self.store.get(keys::LEADER).map(|pair| pair.stamp);
        let own = self.nodes[n].as_ref().is_some_and(Node::leads);
        if own && orders.is_some_and(|o| held != Some(o.helm)) {
            self.stale_answers += 1;
        }
    }
}
