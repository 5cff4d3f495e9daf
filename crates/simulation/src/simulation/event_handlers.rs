//! Handles each event of the simulation's queue.

use super::{
    Requester, SimulatedCpu, Simulation, SimulationEvent, WORKER_STEP_MS, controller_settings,
};
use rand::Rng;
use std::sync::Arc;
use swiftsail_controller::cloud;
use swiftsail_controller::controller::{Controller, Event, Now};
use swiftsail_controller::settings::Settings;
use swiftsail_protocol as wire;
use swiftsail_protocol::workers::HeartbeatResponse;

impl Simulation {
    #[expect(clippy::too_many_lines, reason = "not split yet")]
    pub(super) fn handle_simulation_event(&mut self, ev: SimulationEvent) {
        match ev {
            SimulationEvent::Tick(n, incarnation) => {
                if self.is_paused(n) {
                    let until = self.paused[n].0;
                    return self.schedule(until, SimulationEvent::Tick(n, incarnation));
                }
                if self.incarnations[n] == incarnation && self.controllers[n].is_some() {
                    self.deliver_to_controller(n, incarnation, Event::Tick);
                    // The next tick is scheduled from when this one is processed, so a late timer stays late.
                    let free = self.processors[n].free_at;
                    self.schedule(free.max(self.now) + 100, SimulationEvent::Tick(n, incarnation));
                }
            }
            SimulationEvent::ProcessorFree(n, incarnation) => {
                self.process_next_event(n, incarnation)
            }
            SimulationEvent::PauseController(n, until) => {
                self.paused[n].0 = until;
                let incarnation = self.incarnations[n];
                self.schedule(until, SimulationEvent::ResumeController(n, incarnation));
            }
            SimulationEvent::ResumeController(n, incarnation) => {
                for event in std::mem::take(&mut self.paused[n].1) {
                    self.deliver_to_controller(n, incarnation, event);
                }
            }
            SimulationEvent::Restart(n) => {
                self.incarnations[n] += 1;
                let now = Now { monotonic: self.now, wall_clock: 1_700_000_000_000 + self.now };
                let mut settings = Settings::clone(&controller_settings(n));
                settings.settings.machine_limits.mem_mb = self.memory_mb;
                settings.settings.teams[0].cpus_max = self.team_red_limits[n];
                settings.settings.machine_limits.cores = self.cores_per_controller.unwrap_or(1.0);
                if let Some((rps, write_rps)) = self.announced_store_rates {
                    settings.settings.state.rps = rps;
                    settings.settings.state.write_rps = write_rps;
                }
                if let Some((value_kb, txn_ops)) = self.announced_store_sizes {
                    settings.settings.state.value_kb = value_kb;
                    settings.settings.state.txn_ops = txn_ops;
                }
                self.processors[n] = SimulatedCpu::default();
                let settings = Arc::new(settings);
                let controller = Controller::with_operator_settings(
                    settings,
                    &self.operator,
                    self.rng.random(),
                    now,
                );
                self.controllers[n] = Some(controller);
                self.schedule(self.now, SimulationEvent::Tick(n, self.incarnations[n]));
            }
            SimulationEvent::Crash(n) => {
                self.controllers[n] = None;
                self.incarnations[n] += 1;
                self.paused[n] = (0, Vec::new());
                let pause = self.rng.random_range(2_000..6_000);
                let at = self.now + self.restart_delay_ms.unwrap_or(pause);
                self.schedule(at, SimulationEvent::Restart(n));
            }
            SimulationEvent::DuplicateReport(n, report) => self.deliver_duplicate_report(n, report),
            SimulationEvent::RestartWorker(name) => self.cluster.restart_worker(&name, self.now),
            SimulationEvent::DeliverToController(n, incarnation, event) => {
                self.deliver_to_controller(n, incarnation, *event)
            }
            SimulationEvent::Heartbeat(from, incarnation, to, heartbeat) => {
                let is_abridged = heartbeat.is_abridged;
                let heartbeat = self.heartbeat_as_version(to, heartbeat);
                self.deliver_to_controller(to, self.incarnations[to], Event::Heartbeat(heartbeat));
                if self.is_paused(to) {
                    return;
                }
                if let Some(answer) =
                    self.controllers[to].as_mut().map(|n| n.build_heartbeat(is_abridged))
                {
                    self.record_heartbeat_response(to, &answer);
                    let answer =
                        self.heartbeat_as_version(from, self.heartbeat_as_version(to, answer));
                    let at = self.now + self.draw_message_delay();
                    self.schedule(
                        at,
                        SimulationEvent::DeliverToController(
                            from,
                            incarnation,
                            Box::new(Event::Heartbeat(answer)),
                        ),
                    );
                }
            }
            SimulationEvent::StoreCall(n, incarnation, id, call) => {
                self.handle_store_call(n, incarnation, id, call)
            }
            SimulationEvent::CloudCall(n, incarnation, call) => {
                if let Some((after, outcome)) = self.cloud_fault(&call) {
                    let event = Box::new(Event::CloudResponse(call, outcome));
                    return self.schedule(
                        self.now + after,
                        SimulationEvent::DeliverToController(n, incarnation, event),
                    );
                }
                let outcome = if self.is_message_lost() {
                    cloud::CloudOutcome::Failed
                } else {
                    let outcome = self.execute_cloud_call(&call);
                    if self.is_message_lost() { cloud::CloudOutcome::Failed } else { outcome }
                };
                let at = self.now + self.draw_message_delay();
                self.schedule(
                    at,
                    SimulationEvent::DeliverToController(
                        n,
                        incarnation,
                        Box::new(Event::CloudResponse(call, outcome)),
                    ),
                );
            }
            SimulationEvent::DirectCommands(n, incarnation, address, direct) => {
                self.check_commands_size(&address, &direct);
                let now = self.now;
                // A machine that hangs processes the commands when it resumes (protocol: messages may be delayed).
                let hang_until = self
                    .cluster
                    .workers
                    .get(&address)
                    .filter(|w| !w.is_terminated)
                    .map(|w| w.hang_until);
                if let Some(until) = hang_until.filter(|until| now < *until) {
                    self.count_fault("held by a hang");
                    return self.schedule(
                        until,
                        SimulationEvent::DirectCommands(n, incarnation, address, direct),
                    );
                }
                let Some((_, report)) = self.cluster.handle_direct_commands(&address, &direct, now)
                else {
                    return;
                };
                let at = self.now + self.draw_message_delay();
                if !self.is_message_lost() {
                    self.schedule(
                        at,
                        SimulationEvent::DeliverToController(
                            n,
                            incarnation,
                            Box::new(Event::CommandResponse(Box::new(report))),
                        ),
                    );
                }
            }
            SimulationEvent::WorkerStep(name) => self.step_worker(&name),
            SimulationEvent::ForwardReports(from, from_incarnation, from_id, to, report) => {
                self.next_request += 1;
                let (id, incarnation) = (self.next_request, self.incarnations[to]);
                self.requesters.insert(
                    (to, incarnation, id),
                    Requester::ForwardingController(from, from_incarnation, from_id),
                );
                if self.is_paused(to) {
                    let event = Box::new(Event::ForwardedAnswers(from_id, None));
                    self.schedule(
                        self.now + 2_500,
                        SimulationEvent::DeliverToController(from, from_incarnation, event),
                    );
                }
                self.deliver_to_controller(to, incarnation, Event::ForwardedReports(id, report));
            }
            SimulationEvent::StatusReport(n, report, sent) => {
                let incarnation = self.incarnations[n];
                if let Some(until) = self.partition_releases_at(n, |c| c.workers) {
                    let (name, session) = (report.machine.clone(), report.session);
                    self.schedule(until, SimulationEvent::DuplicateReport(n, report));
                    return self.schedule(
                        sent + 4_000,
                        SimulationEvent::ReportAnswered(name, session, sent, None),
                    );
                }
                let is_cut_off = self.is_partitioned(n, |c| c.workers)
                    || self.is_machine_partitioned(n, &report.machine);
                let is_lost = self.controllers[n].is_none() || is_cut_off;
                if is_lost || self.is_report_refused(&report) {
                    let (name, session) = (report.machine.clone(), report.session);
                    return self.schedule(
                        self.now + 1,
                        SimulationEvent::ReportAnswered(name, session, sent, None),
                    );
                }
                self.next_request += 1;
                let id = self.next_request;
                let requester = Requester::Worker(report.machine.clone(), report.session, sent);
                self.requesters.insert((n, incarnation, id), requester);
                if self.is_paused(n) {
                    let (name, session) = (report.machine.clone(), report.session);
                    self.schedule(
                        sent + 4_000,
                        SimulationEvent::ReportAnswered(name, session, sent, None),
                    );
                }
                self.deliver_to_controller(n, incarnation, Event::StatusReport(id, report));
            }
            SimulationEvent::ReportAnswered(name, session, sent, reply) => {
                let now = self.now;
                let Some(worker) = self.cluster.workers.get_mut(&name) else { return };
                let Some(reply) = reply else { return worker.handle_report_timeout(sent, now) };
                let response =
                    (reply.status == 200).then(|| wire::decode::<HeartbeatResponse>(&reply.body));
                let redirect =
                    wire::decode::<wire::workers::Redirect>(&reply.body).unwrap_or_default();
                match response {
                    Some(Ok(response)) => {
                        self.cluster.handle_heartbeat_response(&name, &response, session, sent, now)
                    }
                    _ => {
                        let to =
                            redirect.controller.and_then(|h| h.strip_prefix('n')?.parse().ok());
                        worker.handle_redirect(sent, to, now);
                    }
                }
            }
            SimulationEvent::AdminRequest(n, id, admin_request) => {
                let incarnation = self.incarnations[n];
                self.next_request += 1;
                let request = self.next_request;
                self.requesters.insert((n, incarnation, request), Requester::Operator(id));
                self.deliver_to_controller(
                    n,
                    incarnation,
                    Event::AdminRequest(request, *admin_request),
                );
            }
            SimulationEvent::UserRequest(job, kind) => self.send_user_request(job, kind),
            SimulationEvent::ProbeConsistency(job, n, kind) => {
                self.send_consistency_probe(job, n, kind)
            }
            SimulationEvent::ProbeReply(job, kind, sent, reply) => {
                self.check_probe_reply(job, kind, sent, &reply)
            }
            SimulationEvent::UnusualRequest => self.send_unusual_request(),
            SimulationEvent::UnusualReply(description, reply) => {
                self.check_unusual_reply(&description, &reply)
            }
            SimulationEvent::CancelRunningJobs(count, hang_ms) => {
                self.cancel_running_jobs(count, hang_ms)
            }
            SimulationEvent::UserReply(job, kind, sent, reply) => {
                self.handle_user_reply(job, kind, sent, reply)
            }
        }
    }

    pub(super) fn step_worker(&mut self, name: &str) {
        let now = self.now;
        let store_unavailable = self.is_store_unavailable();
        let any_expired = self.store.expire_leases(now, store_unavailable);
        if any_expired || self.rng.random_bool(0.2) {
            self.answer_watches();
        }
        let hangs = !self.are_random_faults_over()
            && self.fault_rates.outages_and_hangs > 0
            && self.rng.random_bool(0.0005);
        let reclaim = !self.are_random_faults_over()
            && self.fault_rates.outages_and_hangs > 0
            && self.rng.random_bool(0.002);
        let duration_ms = self.rng.random_range(2_000..15_000);
        let Some(worker) = self.cluster.workers.get_mut(name).filter(|w| !w.is_terminated) else {
            return;
        };
        if hangs {
            worker.hang_until = now + duration_ms;
        }
        // Spot machines are reclaimed, mostly with notice.
        if reclaim && worker.hardware.spot && worker.reclaim_at.is_none() {
            worker.reclaim_at = Some(now + if hangs { 0 } else { duration_ms });
            worker.changed = true;
        }
        if let Some((controller, report)) = self.cluster.step_machine(name, now) {
            let at = self.now + self.draw_message_delay();
            self.maybe_duplicate_report(controller, &report);
            self.maybe_keep_for_next_leader(&report);
            if self.is_outbound_unreachable(name) {
                let no_answer =
                    SimulationEvent::ReportAnswered(name.to_string(), report.session, now, None);
                self.schedule(now + 1, no_answer);
            } else if !self.is_message_lost() {
                self.schedule(at, SimulationEvent::StatusReport(controller, Box::new(report), now));
            }
        }
        if !self.cluster.workers[name].is_terminated {
            self.schedule(now + WORKER_STEP_MS, SimulationEvent::WorkerStep(name.to_string()));
        }
    }
}
