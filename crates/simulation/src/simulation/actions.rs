//! Executes the actions of controllers: replies, messages and calls, subject to the current network faults.

use super::{CONTROLLER_COUNT, Requester, Simulation, SimulationEvent};
use swiftsail_controller::controller::{Action, Controller, Event, Reply};
use swiftsail_controller::job::keys;
use swiftsail_failure_detector::ProbeOutcome;
use swiftsail_protocol as wire;
use swiftsail_protocol::controllers::ForwardedAnswers;
use swiftsail_protocol::workers::{DirectCommands, HeartbeatResponse};

impl Simulation {
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub(super) fn execute_action(&mut self, n: usize, incarnation: u64, action: Action) {
        self.record(n, incarnation, &action);
        let at = self.now + self.draw_message_delay();
        match action {
            Action::Reply(id, reply) => match self.requesters.remove(&(n, incarnation, id)) {
                Some(Requester::Worker(name, session, sent)) => {
                    self.check_answer_token(n, &reply);
                    self.check_response_size(&name, &reply);
                    if self.is_inbound_unreachable(&name, true) {
                        let timeout_at = (sent + 4_000).max(at);
                        return self.schedule(
                            timeout_at,
                            SimulationEvent::ReportAnswered(name, session, sent, None),
                        );
                    }
                    let reply = (!self.is_message_lost()).then(|| Box::new(reply));
                    self.schedule(at, SimulationEvent::ReportAnswered(name, session, sent, reply));
                }
                Some(Requester::ForwardingController(to, to_incarnation, to_id)) => {
                    let body = (reply.status == 200).then_some(reply.body);
                    let answers =
                        body.and_then(|body| wire::decode::<ForwardedAnswers>(&body).ok());
                    let event = Box::new(Event::ForwardedAnswers(to_id, answers));
                    self.schedule(
                        at,
                        SimulationEvent::DeliverToController(to, to_incarnation, event),
                    );
                }
                Some(Requester::User(job, kind, sent, controller)) => {
                    self.count_unavailable_answer(n, kind, &reply);
                    if kind == 1 {
                        let (rejected, id, now) =
                            (&mut self.rejected_polls[controller], &self.jobs[job].id, self.now);
                        match reply.status {
                            503 => rejected.on_rejected(id, now),
                            _ => rejected.on_answered(id),
                        }
                    }
                    let reply = (!self.is_message_lost()).then_some(reply);
                    self.schedule(at, SimulationEvent::UserReply(job, kind, sent, reply));
                }
                Some(Requester::ConsistencyProbe(job, kind, sent)) if !self.is_message_lost() => {
                    self.count_unavailable_answer(n, kind, &reply);
                    self.schedule(at, SimulationEvent::ProbeReply(job, kind, sent, reply));
                }
                Some(Requester::UnusualRequest(description)) => {
                    self.schedule(at, SimulationEvent::UnusualReply(description, reply))
                }
                Some(Requester::Operator(id)) => {
                    self.admin_answers.insert(id, reply);
                }
                Some(Requester::ConsistencyProbe(..)) => {}
                None => {}
            },
            Action::CallStore(id, call) => {
                self.schedule(at, SimulationEvent::StoreCall(n, incarnation, id, call))
            }
            Action::CallCloud(call) => {
                self.schedule(at + 100, SimulationEvent::CloudCall(n, incarnation, Box::new(call)))
            }
            Action::SendCommands(address, direct) => {
                if let Some(until) = self.partition_releases_at(n, |c| c.workers) {
                    return self.schedule(
                        until,
                        SimulationEvent::DirectCommands(n, incarnation, address, Box::new(direct)),
                    );
                }
                let is_cut_off = self.is_partitioned(n, |c| c.workers)
                    || self.is_machine_partitioned(n, &address);
                if !self.is_message_lost()
                    && !is_cut_off
                    && !self.is_inbound_unreachable(&address, false)
                {
                    self.schedule(
                        at,
                        SimulationEvent::DirectCommands(n, incarnation, address, Box::new(direct)),
                    );
                }
            }
            Action::ProbeMachine(id, address) => {
                let is_hanging =
                    |w: &&crate::worker::FakeWorker| !w.is_terminated && w.hang_until > self.now;
                let hangs = self.cluster.workers.get(&*id).filter(is_hanging).is_some();
                let failure =
                    if hangs { ProbeOutcome::NoResponse } else { ProbeOutcome::NoConnection };
                let message = DirectCommands { fencing_token: 0, session: 0, commands: Vec::new() };
                let now = self.now;
                let is_cut_off = self.is_partitioned(n, |c| c.workers)
                    || self.is_machine_partitioned(n, &address);
                let report = if hangs
                    || self.is_message_lost()
                    || is_cut_off
                    || self.is_inbound_unreachable(&address, false)
                {
                    None
                } else {
                    self.cluster.handle_direct_commands(&address, &message, now)
                };
                let event = match report {
                    Some((_, report)) => (
                        at,
                        Event::ProbeFinished(id, ProbeOutcome::Answered, Some(Box::new(report))),
                    ),
                    None => (now + 1_200, Event::ProbeFinished(id, failure, None)),
                };
                self.schedule(
                    event.0,
                    SimulationEvent::DeliverToController(n, incarnation, Box::new(event.1)),
                );
            }
            Action::ForwardReports(id, leader, report) => {
                let other = leader.trim_start_matches('n').parse().unwrap_or(0);
                if self.is_message_lost() || self.are_controllers_partitioned(n, other) {
                    let event = Box::new(Event::ForwardedAnswers(id, None));
                    return self.schedule(
                        self.now + 2_500,
                        SimulationEvent::DeliverToController(n, incarnation, event),
                    );
                }
                self.schedule(
                    at,
                    SimulationEvent::ForwardReports(n, incarnation, id, other, report),
                );
            }
            Action::DeliverEvents(delivery) => {
                let delivered = !self.is_message_lost();
                if delivered {
                    self.delivered_events.push(delivery.clone());
                }
                let event = Box::new(Event::DeliveryEnded(delivery.plugin, delivered));
                self.schedule(at, SimulationEvent::DeliverToController(n, incarnation, event));
            }
            Action::SendHeartbeat(heartbeat) => {
                let heartbeat = self.heartbeat_as_version(n, heartbeat);
                for other in (0..CONTROLLER_COUNT).filter(|o| *o != n) {
                    if !self.is_message_lost() && !self.are_controllers_partitioned(n, other) {
                        self.schedule(
                            at,
                            SimulationEvent::Heartbeat(n, incarnation, other, heartbeat.clone()),
                        );
                    }
                }
            }
        }
    }

    /// Counts a leader's response to a status report whose fencing token is no longer that of the leader key.
    fn check_answer_token(&mut self, n: usize, reply: &Reply) {
        let response =
            wire::decode::<HeartbeatResponse>(&reply.body).ok().filter(|_| reply.status == 200);
        let current = self.store.get(keys::LEADER).map(|pair| pair.mod_revision);
        let is_leader = self.controllers[n].as_ref().is_some_and(Controller::is_leader);
        if is_leader && response.is_some_and(|r| current != Some(r.fencing_token)) {
            self.stale_answers += 1;
        }
    }
}
