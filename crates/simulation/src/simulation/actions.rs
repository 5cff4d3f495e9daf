//! What controllers ask of the world outside.

use super::{CONTROLLER_COUNT, Requester, Simulation, SimulationEvent};
use swiftsail_controller::controller::{Action, Controller, Event, Reply};
use swiftsail_controller::job::keys;
use swiftsail_failure_detector::ProbeOutcome;
use swiftsail_protocol as wire;
use swiftsail_protocol::controllers::ForwardedAnswers;
use swiftsail_protocol::workers::{DirectCommands, HeartbeatResponse};

impl Simulation {
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub(super) fn execute_action(&mut self, n: usize, life: u64, action: Action) {
        self.record(n, life, &action);
        let at = self.now + self.draw_message_delay();
        match action {
            Action::Reply(id, reply) => match self.requesters.remove(&(n, life, id)) {
                Some(Requester::Worker(name, watch, sent)) => {
                    self.check_answer_token(n, &reply);
                    if self.is_inbound_unreachable(&name, true) {
                        let given_up = (sent + 4_000).max(at);
                        return self.schedule(
                            given_up,
                            SimulationEvent::ReportAnswered(name, watch, sent, None),
                        );
                    }
                    let reply = (!self.is_message_lost()).then(|| Box::new(reply));
                    self.schedule(at, SimulationEvent::ReportAnswered(name, watch, sent, reply));
                }
                Some(Requester::ForwardingController(to, to_life, to_id)) => {
                    let good = (reply.status == 200).then_some(reply.body);
                    let answers =
                        good.and_then(|body| wire::decode::<ForwardedAnswers>(&body).ok());
                    let event = Box::new(Event::ForwardedAnswers(to_id, answers));
                    self.schedule(at, SimulationEvent::DeliverToController(to, to_life, event));
                }
                Some(Requester::User(job, what, sent, node)) => {
                    self.count_unavailable_answer(n, what, &reply);
                    if what == 1 {
                        let (turned, id, now) =
                            (&mut self.rejected_polls[node], &self.jobs[job].id, self.now);
                        match reply.status {
                            503 => turned.on_rejected(id, now),
                            _ => turned.on_answered(id),
                        }
                    }
                    let reply = (!self.is_message_lost()).then_some(reply);
                    self.schedule(at, SimulationEvent::UserReply(job, what, sent, reply));
                }
                Some(Requester::ConsistencyProbe(job, what, sent)) if !self.is_message_lost() => {
                    self.count_unavailable_answer(n, what, &reply);
                    self.schedule(at, SimulationEvent::ProbeReply(job, what, sent, reply));
                }
                Some(Requester::UnusualRequest(what)) => {
                    self.schedule(at, SimulationEvent::UnusualReply(what, reply))
                }
                Some(Requester::Operator(id)) => {
                    self.admin_answers.insert(id, reply);
                }
                Some(Requester::ConsistencyProbe(..)) => {}
                None => {}
            },
            Action::CallStore(id, call) => {
                self.schedule(at, SimulationEvent::StoreCall(n, life, id, call))
            }
            Action::CallCloud(call) => {
                self.schedule(at + 100, SimulationEvent::CloudCall(n, life, Box::new(call)))
            }
            Action::SendCommands(addr, direct) => {
                if let Some(until) = self.partition_releases_at(n, |c| c.workers) {
                    return self.schedule(
                        until,
                        SimulationEvent::DirectCommands(n, life, addr, Box::new(direct)),
                    );
                }
                let cut =
                    self.is_partitioned(n, |c| c.workers) || self.is_machine_partitioned(n, &addr);
                if !self.is_message_lost() && !cut && !self.is_inbound_unreachable(&addr, false) {
                    self.schedule(
                        at,
                        SimulationEvent::DirectCommands(n, life, addr, Box::new(direct)),
                    );
                }
            }
            Action::ProbeMachine(id, addr) => {
                let hang =
                    |w: &&crate::worker::FakeWorker| !w.is_terminated && w.hang_until > self.now;
                let mute = self.cluster.workers.get(&*id).filter(hang).is_some();
                let probe =
                    if mute { ProbeOutcome::NoResponse } else { ProbeOutcome::NoConnection };
                let message = DirectCommands { fencing_token: 0, session: 0, commands: Vec::new() };
                let now = self.now;
                let cut =
                    self.is_partitioned(n, |c| c.workers) || self.is_machine_partitioned(n, &addr);
                let report = if mute
                    || self.is_message_lost()
                    || cut
                    || self.is_inbound_unreachable(&addr, false)
                {
                    None
                } else {
                    self.cluster.handle_direct_commands(&addr, &message, now)
                };
                let event = match report {
                    Some((_, report)) => (
                        at,
                        Event::ProbeFinished(id, ProbeOutcome::Answered, Some(Box::new(report))),
                    ),
                    None => (now + 1_200, Event::ProbeFinished(id, probe, None)),
                };
                self.schedule(
                    event.0,
                    SimulationEvent::DeliverToController(n, life, Box::new(event.1)),
                );
            }
            Action::ForwardReports(id, leader, report) => {
                let other = leader.trim_start_matches('n').parse().unwrap_or(0);
                if self.is_message_lost() || self.are_controllers_partitioned(n, other) {
                    let event = Box::new(Event::ForwardedAnswers(id, None));
                    return self.schedule(
                        self.now + 2_500,
                        SimulationEvent::DeliverToController(n, life, event),
                    );
                }
                self.schedule(at, SimulationEvent::ForwardReports(n, life, id, other, report));
            }
            Action::DeliverEvents(delivery) => {
                let taken = !self.is_message_lost();
                if taken {
                    self.delivered_events.push(delivery.clone());
                }
                let event = Box::new(Event::DeliveryEnded(delivery.plugin, taken));
                self.schedule(at, SimulationEvent::DeliverToController(n, life, event));
            }
            Action::SendHeartbeat(beat) => {
                let beat = self.heartbeat_as_version(n, beat);
                for other in (0..CONTROLLER_COUNT).filter(|o| *o != n) {
                    if !self.is_message_lost() && !self.are_controllers_partitioned(n, other) {
                        self.schedule(at, SimulationEvent::Heartbeat(n, life, other, beat.clone()));
                    }
                }
            }
        }
    }

    /// Counts answers to reports under a token that is no longer the leader's key.
    fn check_answer_token(&mut self, n: usize, reply: &Reply) {
        let orders =
            wire::decode::<HeartbeatResponse>(&reply.body).ok().filter(|_| reply.status == 200);
        let held = self.store.get(keys::LEADER).map(|pair| pair.mod_revision);
        let own = self.controllers[n].as_ref().is_some_and(Controller::is_leader);
        if own && orders.is_some_and(|o| held != Some(o.fencing_token)) {
            self.stale_answers += 1;
        }
    }
}
