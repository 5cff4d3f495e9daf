//! What happens, event by event.

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
            SimulationEvent::Tick(n, life) => {
                if self.is_paused(n) {
                    let until = self.paused[n].0;
                    return self.schedule(until, SimulationEvent::Tick(n, life));
                }
                if self.incarnations[n] == life && self.controllers[n].is_some() {
                    self.deliver_to_controller(n, life, Event::Tick);
                    // A timer that is late fires late again from then on.
                    let free = self.processors[n].free_at;
                    self.schedule(free.max(self.now) + 100, SimulationEvent::Tick(n, life));
                }
            }
            SimulationEvent::ProcessorFree(n, life) => self.process_next_event(n, life),
            SimulationEvent::PauseController(n, until) => {
                self.paused[n].0 = until;
                let life = self.incarnations[n];
                self.schedule(until, SimulationEvent::ResumeController(n, life));
            }
            SimulationEvent::ResumeController(n, life) => {
                for event in std::mem::take(&mut self.paused[n].1) {
                    self.deliver_to_controller(n, life, event);
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
                self.processors[n] = SimulatedCpu::default();
                let settings = Arc::new(settings);
                let node = Controller::with_operator_settings(
                    settings,
                    &self.operator,
                    self.rng.random(),
                    now,
                );
                self.controllers[n] = Some(node);
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
            SimulationEvent::DeliverToController(n, life, event) => {
                self.deliver_to_controller(n, life, *event)
            }
            SimulationEvent::Heartbeat(from, life, to, beat) => {
                let brief = beat.is_abridged;
                let beat = self.heartbeat_as_version(to, beat);
                self.deliver_to_controller(to, self.incarnations[to], Event::Heartbeat(beat));
                if self.is_paused(to) {
                    return;
                }
                if let Some(ours) = self.controllers[to].as_mut().map(|n| n.build_heartbeat(brief))
                {
                    self.record_beat_answer(to, &ours);
                    let ours = self.heartbeat_as_version(from, self.heartbeat_as_version(to, ours));
                    let at = self.now + self.draw_message_delay();
                    self.schedule(
                        at,
                        SimulationEvent::DeliverToController(
                            from,
                            life,
                            Box::new(Event::Heartbeat(ours)),
                        ),
                    );
                }
            }
            SimulationEvent::StoreCall(n, life, id, call) => {
                self.handle_store_call(n, life, id, call)
            }
            SimulationEvent::CloudCall(n, life, call) => {
                if let Some((after, outcome)) = self.cloud_fault(&call) {
                    let event = Box::new(Event::CloudResponse(call, outcome));
                    return self.schedule(
                        self.now + after,
                        SimulationEvent::DeliverToController(n, life, event),
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
                        life,
                        Box::new(Event::CloudResponse(call, outcome)),
                    ),
                );
            }
            SimulationEvent::DirectCommands(n, life, addr, direct) => {
                let now = self.now;
                // A machine that hangs takes it, and carries it out if it goes on (protocol: delayed messages).
                let hangs = self
                    .cluster
                    .workers
                    .get(&addr)
                    .filter(|w| !w.is_terminated)
                    .map(|w| w.hang_until);
                if let Some(until) = hangs.filter(|until| now < *until) {
                    self.count_fault("held by a hang");
                    return self
                        .schedule(until, SimulationEvent::DirectCommands(n, life, addr, direct));
                }
                let Some((_, report)) = self.cluster.handle_direct_commands(&addr, &direct, now)
                else {
                    return;
                };
                let at = self.now + self.draw_message_delay();
                if !self.is_message_lost() {
                    self.schedule(
                        at,
                        SimulationEvent::DeliverToController(
                            n,
                            life,
                            Box::new(Event::CommandResponse(Box::new(report))),
                        ),
                    );
                }
            }
            SimulationEvent::WorkerStep(name) => self.step_worker(&name),
            SimulationEvent::ForwardReports(from, from_life, from_id, to, report) => {
                self.next_request += 1;
                let (id, life) = (self.next_request, self.incarnations[to]);
                self.requesters.insert(
                    (to, life, id),
                    Requester::ForwardingController(from, from_life, from_id),
                );
                if self.is_paused(to) {
                    let event = Box::new(Event::ForwardedAnswers(from_id, None));
                    self.schedule(
                        self.now + 2_500,
                        SimulationEvent::DeliverToController(from, from_life, event),
                    );
                }
                self.deliver_to_controller(to, life, Event::ForwardedReports(id, report));
            }
            SimulationEvent::StatusReport(n, report, sent) => {
                let life = self.incarnations[n];
                if let Some(until) = self.partition_releases_at(n, |c| c.workers) {
                    let (name, watch) = (report.machine.clone(), report.session);
                    self.schedule(until, SimulationEvent::DuplicateReport(n, report));
                    return self.schedule(
                        sent + 4_000,
                        SimulationEvent::ReportAnswered(name, watch, sent, None),
                    );
                }
                let cut = self.is_partitioned(n, |c| c.workers)
                    || self.is_machine_partitioned(n, &report.machine);
                if self.controllers[n].is_none() || cut {
                    let (name, watch) = (report.machine.clone(), report.session);
                    return self.schedule(
                        self.now + 1,
                        SimulationEvent::ReportAnswered(name, watch, sent, None),
                    );
                }
                self.next_request += 1;
                let id = self.next_request;
                let asker = Requester::Worker(report.machine.clone(), report.session, sent);
                self.requesters.insert((n, life, id), asker);
                if self.is_paused(n) {
                    let (name, watch) = (report.machine.clone(), report.session);
                    self.schedule(
                        sent + 4_000,
                        SimulationEvent::ReportAnswered(name, watch, sent, None),
                    );
                }
                self.deliver_to_controller(n, life, Event::StatusReport(id, report));
            }
            SimulationEvent::ReportAnswered(name, watch, sent, reply) => {
                let now = self.now;
                let Some(worker) = self.cluster.workers.get_mut(&name) else { return };
                let Some(reply) = reply else { return worker.handle_report_timeout(sent, now) };
                let orders =
                    (reply.status == 200).then(|| wire::decode::<HeartbeatResponse>(&reply.body));
                let harbor =
                    wire::decode::<wire::workers::Redirect>(&reply.body).unwrap_or_default();
                match orders {
                    Some(Ok(orders)) => {
                        self.cluster.handle_heartbeat_response(&name, &orders, watch, sent, now)
                    }
                    _ => {
                        let to = harbor.controller.and_then(|h| h.strip_prefix('n')?.parse().ok());
                        worker.handle_redirect(sent, to, now);
                    }
                }
            }
            SimulationEvent::AdminRequest(n, id, ask) => {
                let life = self.incarnations[n];
                self.next_request += 1;
                let request = self.next_request;
                self.requesters.insert((n, life, request), Requester::Operator(id));
                self.deliver_to_controller(n, life, Event::AdminRequest(request, *ask));
            }
            SimulationEvent::UserRequest(job, what) => self.send_user_request(job, what),
            SimulationEvent::ProbeConsistency(job, n, what) => {
                self.send_consistency_probe(job, n, what)
            }
            SimulationEvent::ProbeReply(job, what, sent, reply) => {
                self.check_probe_reply(job, what, sent, &reply)
            }
            SimulationEvent::UnusualRequest => self.send_unusual_request(),
            SimulationEvent::UnusualReply(what, reply) => self.check_unusual_reply(&what, &reply),
            SimulationEvent::CancelRunningJobs(count, hang_ms) => {
                self.cancel_running_jobs(count, hang_ms)
            }
            SimulationEvent::UserReply(job, what, sent, reply) => {
                self.handle_user_reply(job, what, sent, reply)
            }
        }
    }

    pub(super) fn step_worker(&mut self, name: &str) {
        let now = self.now;
        let paused = self.is_store_unavailable();
        let ended = self.store.expire_leases(now, paused);
        if ended || self.rng.random_bool(0.2) {
            self.answer_watches();
        }
        let hang = !self.are_random_faults_over()
            && self.fault_rates.outages_and_hangs > 0
            && self.rng.random_bool(0.0005);
        let taken = !self.are_random_faults_over()
            && self.fault_rates.outages_and_hangs > 0
            && self.rng.random_bool(0.002);
        let span = self.rng.random_range(2_000..15_000);
        let Some(worker) = self.cluster.workers.get_mut(name).filter(|w| !w.is_terminated) else {
            return;
        };
        if hang {
            worker.hang_until = now + span;
        }
        // Spot machines are taken, mostly with a notice.
        if taken && worker.hardware.spot && worker.reclaim_at.is_none() {
            worker.reclaim_at = Some(now + if hang { 0 } else { span });
            worker.changed = true;
        }
        if let Some((node, report)) = self.cluster.step_machine(name, now) {
            let at = self.now + self.draw_message_delay();
            self.maybe_duplicate_report(node, &report);
            self.maybe_keep_for_next_leader(&report);
            if self.is_outbound_unreachable(name) {
                let none =
                    SimulationEvent::ReportAnswered(name.to_string(), report.session, now, None);
                self.schedule(now + 1, none);
            } else if !self.is_message_lost() {
                self.schedule(at, SimulationEvent::StatusReport(node, Box::new(report), now));
            }
        }
        if !self.cluster.workers[name].is_terminated {
            self.schedule(now + WORKER_STEP_MS, SimulationEvent::WorkerStep(name.to_string()));
        }
    }
}
