//! What a report changes, and what its worker is told: proofs that a task is gone, exits, commands.

use super::{ClusterState, parse_task_name};
use crate::Time;
use crate::constants::{STOP_AGAIN_MS, STOP_GRACE_EXTRA_S, SUSPECT_JOBS, SUSPECT_NEW_JOBS};
use crate::job::{
    Attempt, AttemptPhase, Binding, FailureAttribution, GangState, Job, JobId, JobKind, MachineId,
    StopRequest,
};
use crate::machine::{AttemptId, Machine, MachineState, MachineType, MessageOrder, Resources};
use std::collections::{BTreeMap, HashMap};
use swiftsail_failure_detector::{InboundReachability, ProbeOutcome, ReachabilityEvidence};
use swiftsail_protocol::workers::{
    Command, CommandKind, DirectCommands, ExitCause, HeartbeatResponse, StatusReport, TaskPhase,
    TaskStatus,
};

/// Where a report came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportSource {
    /// A report proper: its response may carry starts, and it proves what it lacks.
    StatusReport,
    /// The answer to a direct command.
    CommandResponse,
}

fn task_name(job: &JobId, task: u32) -> String {
    format!("{job}/{task}")
}

fn attempt_phase(shard: &TaskStatus) -> AttemptPhase {
    match shard.phase {
        TaskPhase::Fetching => AttemptPhase::Fetching,
        TaskPhase::WaitingForGang => AttemptPhase::WaitingForGang,
        TaskPhase::Running | TaskPhase::Unknown => AttemptPhase::Running,
        TaskPhase::Saving => AttemptPhase::Saving,
        TaskPhase::Exited => AttemptPhase::Exited(shard.exit_cause.unwrap_or(ExitCause::Other)),
    }
}

impl ClusterState {
    // ---- reports -------------------------------------------------------------------------------

    /// Takes a worker's message and says what it is to do. Older messages change nothing, and no copy of a
    /// report, however late, is taken for life: who shows this term's token has been answered in it, and
    /// who answers a question of this controller's lives; anything else may have been sent at any time.
    pub fn on_status_report(
        &mut self,
        report: &StatusReport,
        source: ReportSource,
        now: Time,
        types: &[MachineType],
    ) -> HeartbeatResponse {
        let id = MachineId::from(report.machine.as_str());
        let mut orders = HeartbeatResponse { fencing_token: self.token, commands: Vec::new() };
        let acknowledged = report.fencing_token == self.token;
        if !self.machines.contains_key(&id) {
            // A cut may hold a report back until its machine is long returned, and gone. Whoever lives shows
            // this term's token next time: the answer takes it there.
            if self.provisioning.was_returned(&id)
                || !acknowledged && source == ReportSource::StatusReport
            {
                return orders;
            }
            tracing::debug!(machine = %id, "unknown machine reported");
        }
        let machine =
            self.machines.entry(id.clone()).or_insert_with(|| Machine::new(id.clone(), now));
        let at = MessageOrder::of(report);
        // A token once shown is shown ever after: a higher number under a lower one is of an earlier life of its
        // worker, on its way since then.
        if at <= machine.last_message || report.fencing_token < machine.highest_token {
            return orders;
        }
        machine.highest_token = report.fencing_token;
        let first = machine.last_heard_at.is_none();
        if source == ReportSource::StatusReport && acknowledged {
            let sign = machine.on_answered_report(report.session, self.lease_ms, now);
            self.on_reachability_evidence(&id, sign.filter(|_| self.lease_ms > 0.0), now);
        }
        let Some(machine) = self.machines.get_mut(&id) else { return orders };
        machine.last_message = at;
        if acknowledged || source == ReportSource::CommandResponse {
            machine.last_heard_at = Some(now);
        }
        if acknowledged && source == ReportSource::StatusReport {
            machine.last_report_at = Some(now);
        }
        machine.register(report, now);
        if source == ReportSource::StatusReport {
            machine.last_report = at;
        }
        if acknowledged {
            if matches!(machine.state(), MachineState::Expected | MachineState::Registering) {
                machine.advance(MachineState::Ready);
                machine.idle_since = now;
                self.needs_scheduling = true;
                self.events.note("machine", "ready", &id, Some(&report.machine_type));
                tracing::debug!(machine = %id, kind = %report.machine_type, zone = %report.zone, "machine ready");
            }
        } else if machine.state() == MachineState::Expected {
            machine.advance(MachineState::Registering);
        }
        if first && machine.last_heard_at.is_some() {
            tracing::debug!(machine = %id, "machine up");
        }
        let mut listed: HashMap<AttemptId, &TaskStatus> = HashMap::new();
        for shard in &report.tasks {
            if let Some((job, task)) = parse_task_name(&shard.task) {
                listed.insert(AttemptId { job, task, attempt: shard.attempt }, shard);
            }
        }
        self.reconcile(&id, report, source, &listed, now, types);
        self.track_orphaned_tasks(&id, report, &listed, now);
        self.add_commands(&id, report, source, &listed, &mut orders.commands);
        orders
    }

    /// A sign of a machine's hearing. What it was told and does not show is told no more once that is in
    /// doubt: the next report proves that it was not taken, and the task moves.
    pub fn on_reachability_evidence(
        &mut self,
        id: &MachineId,
        sign: Option<ReachabilityEvidence>,
        now: Time,
    ) {
        let (Some(sign), Some(machine)) = (sign, self.machines.get_mut(id)) else { return };
        if !machine.inbound.apply_evidence(sign, now) {
            return;
        }
        let hearing = machine.inbound.reachability();
        tracing::debug!(machine = %id, ?hearing, ?sign, "inbound reachability changed");
        self.needs_scheduling = true;
        match hearing {
            InboundReachability::Reachable => return,
            InboundReachability::Suspected => {}
            InboundReachability::Unreachable => {
                tracing::info!(machine = %id, ?sign, "machine unreachable inbound");
                self.events.note("machine", "deaf", id, None);
            }
        }
        for ((job, task), launch) in &machine.tasks {
            let attempt = self.jobs.get_mut(job).and_then(|j| j.attempts.get_mut(task));
            if let Some(a) =
                attempt.filter(|a| a.number == *launch && !a.is_reported && !a.from_previous_term)
            {
                a.start_withdrawn = true;
            }
        }
        self.run_queues.remove_machine(id);
    }

    /// The reports of a machine have ceased, though it answers, or come again. What was bound there and never offered
    /// would wait for them: nothing of it is left anywhere.
    pub fn on_reports_missing_changed(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else { return };
        tracing::info!(machine = %id, mute = machine.reports_missing(), "arrival of a machine's status reports changed");
        self.needs_scheduling = true;
        if !machine.reports_missing() {
            return;
        }
        self.events.note("machine", "mute", id, None);
        let mut unstarted = Vec::new();
        for ((job, task), launch) in &machine.tasks {
            let attempt = self.jobs.get_mut(job).and_then(|j| j.attempts.get_mut(task));
            let Some(a) =
                attempt.filter(|a| a.number == *launch && !a.is_reported && !a.from_previous_term)
            else {
                continue;
            };
            a.start_withdrawn = true;
            if a.phase() == AttemptPhase::Bound && a.offered_in.is_none() {
                unstarted.push((job.clone(), *task));
            }
        }
        for (job, task) in unstarted {
            self.release(&job, task, now);
            self.stop_gang_after_loss(&job);
        }
        self.run_queues.remove_machine(id);
    }

    /// A machine was asked directly. Its answer is newer than any number: if it counts from the start again,
    /// its worker has begun anew, and all that it does not show is gone.
    pub fn on_probed(
        &mut self,
        id: &MachineId,
        probe: ProbeOutcome,
        report: Option<&StatusReport>,
        now: Time,
    ) {
        if let Some(members) = &mut self.failure_detector {
            members.on_probe_outcome(id, probe);
        }
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.open_probes = machine.open_probes.saturating_sub(1);
        let asked = match machine.open_probes {
            0 => machine.probe_baseline.take(),
            _ => machine.probe_baseline,
        };
        if let Some(report) = report
            && asked.is_some_and(|before| MessageOrder::of(report) <= before)
        {
            tracing::warn!(machine = %id, watch = report.session, "worker restarted");
            machine.on_worker_restart(now);
            self.release_unreported_tasks(id, report, now);
        }
        let sign = match probe {
            ProbeOutcome::Answered => ReachabilityEvidence::ProbeAnswered,
            _ => ReachabilityEvidence::ProbeFailed,
        };
        self.on_reachability_evidence(id, Some(sign), now);
    }

    /// A worker that has begun anew holds what it shows and nothing else. A binding on its way to the store
    /// goes when a report lacks it, as ever.
    fn release_unreported_tasks(&mut self, id: &MachineId, report: &StatusReport, now: Time) {
        let shown: Vec<(JobId, u32)> =
            report.tasks.iter().filter_map(|s| parse_task_name(&s.task)).collect();
        let Some(machine) = self.machines.get(id) else { return };
        let bound: Vec<(JobId, u32)> =
            machine.tasks.keys().filter(|k| !shown.contains(k)).cloned().collect();
        for (job, task) in bound {
            let attempt = self.jobs.get_mut(&job).and_then(|j| j.attempts.get_mut(&task));
            let Some(attempt) = attempt.filter(|a| a.occupies_resources()) else { continue };
            attempt.start_withdrawn = true;
            if attempt.phase() != AttemptPhase::Committing {
                self.release(&job, task, now);
                self.stop_gang_after_loss(&job);
            }
        }
    }

    /// The machine of a report that has just been taken as news, and as life.
    pub fn machine_if_just_heard(
        &mut self,
        report: &StatusReport,
        now: Time,
    ) -> Option<&mut Machine> {
        let machine = self.machines.get_mut(report.machine.as_str())?;
        let at = MessageOrder::of(report);
        (machine.last_message == at && machine.last_heard_at == Some(now)).then_some(machine)
    }

    /// Takes a report that shows the same as the machine's last whole one. False: it must come whole,
    /// since something is bound, stopped, exited or stray there, or this leader does not know what the
    /// last one showed. Otherwise it says no more than that all goes on, and nothing is ordered.
    pub fn on_unchanged_report(
        &mut self,
        id: &str,
        at: MessageOrder,
        shown: u64,
        now: Time,
    ) -> bool {
        let same = self.machines.get(id).is_some_and(|m| {
            m.report_digest == Some(shown)
                && m.last_message.session == at.session
                && self.has_no_commands(m)
        });
        let Some(machine) = self.machines.get_mut(id) else { return false };
        // An older one changes nothing, as ever.
        if same && at > machine.last_message {
            let sign = machine.on_answered_report(at.session, self.lease_ms, now);
            machine.last_message = at;
            machine.last_report = at;
            (machine.last_heard_at, machine.last_report_at) = (Some(now), Some(now));
            let id = machine.id.clone();
            self.on_reachability_evidence(&id, sign.filter(|_| self.lease_ms > 0.0), now);
        }
        same
    }

    /// Whether a machine has acknowledged this term and there is nothing to say to it, until something
    /// is bound, stopped or ends there.
    pub fn is_settled(&self, id: &str, now: Time) -> bool {
        self.machines
            .get(id)
            .is_some_and(|m| m.last_heard_at == Some(now) && self.has_no_commands(m))
    }

    fn has_no_commands(&self, machine: &Machine) -> bool {
        let quiet = |((job, task), launch): (&(JobId, u32), &u64)| {
            let attempt = self.jobs.get(job).and_then(|j| j.attempts.get(task));
            attempt.is_some_and(|a| {
                a.number == *launch
                    && a.is_reported
                    && a.stop_requested.is_none()
                    && a.occupies_resources()
                    && !a.start_withdrawn
            })
        };
        machine.state() == MachineState::Ready
            && machine.orphaned_tasks.is_empty()
            && machine.reclaimed_at.is_none()
            && machine.tasks.iter().all(quiet)
    }

    /// Compares what a machine holds with the attempts bound to it.
    fn reconcile(
        &mut self,
        id: &MachineId,
        report: &StatusReport,
        source: ReportSource,
        listed: &HashMap<AttemptId, &TaskStatus>,
        now: Time,
        types: &[MachineType],
    ) {
        let Some(machine) = self.machines.get(id) else { return };
        let bound: Vec<((JobId, u32), u64)> =
            machine.tasks.iter().map(|(k, v)| (k.clone(), *v)).collect();
        let at = MessageOrder::of(report);
        let (mut heeded, mut unheeded) = (false, false);
        for ((job_id, task), launch) in bound {
            let shown = listed.get(&AttemptId { job: job_id.clone(), task, attempt: launch });
            let Some(job) = self.jobs.get_mut(&job_id) else { continue };
            let Some(attempt) = job.attempts.get_mut(&task).filter(|a| a.number == launch) else {
                continue;
            };
            if let Some(shard) = shown {
                // Its start came with an answer, and was carried out.
                heeded |= !attempt.is_reported && attempt.offered_in.is_some();
                attempt.is_reported = true;
                let stage = attempt_phase(shard);
                let image = (job.spec.image.clone(), job.spec.image_gb);
                if attempt.advance(stage, now) {
                    if matches!(stage, AttemptPhase::Exited(_))
                        && let Some(m) = self.machines.get_mut(id)
                    {
                        m.invalidate_free_resources();
                    }
                    if stage == AttemptPhase::Running {
                        let name = task_name(&job_id, task);
                        self.events.note("task", "runs", name, Some(id));
                        let waited_ms = now.saturating_sub(job.eligible_at);
                        let bound_ms = now.saturating_sub(attempt.bound_at);
                        tracing::debug!(job = %job_id, task, machine = %id, class = %job.spec.class, waited_ms, bound_ms, "task started");
                    }
                    if matches!(stage, AttemptPhase::Running | AttemptPhase::WaitingForGang)
                        && let Some(m) = self.machines.get_mut(id)
                    {
                        let cache = types
                            .iter()
                            .find(|t| t.name == m.machine_type)
                            .map_or(0.0, |t| t.cache_gb);
                        m.images.note_use(&image.0, image.1, cache);
                    }
                    if let AttemptPhase::Exited(cause) = stage {
                        self.on_exit(&job_id, task, cause, now);
                    }
                }
                continue;
            }
            if matches!(attempt.phase(), AttemptPhase::Exited(_)) {
                continue;
            }
            // Proof that it is gone, and nothing else, lets the task move.
            let committed = attempt.phase() != AttemptPhase::Committing;
            let gone = if report.session > attempt.worker_session {
                committed
            } else if attempt.is_reported {
                true
            } else if attempt.from_previous_term {
                report.fencing_token == self.token
            } else if let Some(offered) = attempt.offered_in {
                // The response that carried the start may still be on its way when a direct
                // command is answered: only a later report shows that it was not taken.
                let untaken = source == ReportSource::StatusReport && at > offered;
                unheeded |= untaken && report.session == offered.session;
                if untaken && !attempt.start_withdrawn {
                    attempt.offered_in = None;
                }
                untaken && attempt.start_withdrawn
            } else {
                attempt.start_withdrawn && committed
            };
            if gone {
                self.events.note("task", "gone", task_name(&job_id, task), Some(id));
                tracing::debug!(job = %job_id, task, launch, machine = %id, "attempt confirmed gone");
                self.release(&job_id, task, now);
                self.stop_gang_after_loss(&job_id);
            }
        }
        let sign = if heeded {
            Some(ReachabilityEvidence::OrderFollowed)
        } else {
            unheeded.then_some(ReachabilityEvidence::OrderIgnored)
        };
        self.on_reachability_evidence(id, sign, now);
    }

    /// What a machine shows that no table knows: an exit is forgotten, a task of a job that still
    /// wants it is taken over, anything else is stopped and counted until it is gone.
    fn track_orphaned_tasks(
        &mut self,
        id: &MachineId,
        report: &StatusReport,
        listed: &HashMap<AttemptId, &TaskStatus>,
        now: Time,
    ) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        if !machine.orphaned_tasks.is_empty() {
            machine.orphaned_tasks.retain(|key, _| listed.contains_key(key));
            machine.invalidate_free_resources();
        }
        for (AttemptId { job: job_id, task, attempt: launch }, shard) in listed {
            let key = (job_id.clone(), *task);
            if machine.tasks.get(&key) == Some(launch) || shard.phase == TaskPhase::Exited {
                machine.orphaned_tasks.remove(&AttemptId {
                    job: job_id.clone(),
                    task: *task,
                    attempt: *launch,
                });
                continue;
            }
            let job = self.jobs.get_mut(job_id);
            let room = job.as_ref().map(|j| Resources::for_task(&j.spec));
            if let Some(job) = job
                && (job.waiting.remove(task) || job.backing_off.remove(task).is_some())
            {
                tracing::warn!(job = %job_id, task, launch, machine = %id, "adopted task without a binding record");
                let bound = Binding {
                    task: *task,
                    attempt: *launch,
                    machine: id.clone(),
                    worker_session: report.session,
                };
                let mut attempt = Attempt::restored(&bound, now);
                attempt.is_reported = true;
                attempt.start_withdrawn = true;
                attempt.advance(attempt_phase(shard), now);
                job.attempts.insert(*task, attempt);
                job.mark_chunk_dirty(*task, now);
                machine.add_task(job_id, *task, *launch);
                continue;
            }
            machine
                .orphaned_tasks
                .insert(AttemptId { job: job_id.clone(), task: *task, attempt: *launch }, room);
            machine.invalidate_free_resources();
        }
    }

    /// The commands of a response: stops, then reaps, then starts.
    fn add_commands(
        &mut self,
        id: &MachineId,
        report: &StatusReport,
        source: ReportSource,
        listed: &HashMap<AttemptId, &TaskStatus>,
        out: &mut Vec<Command>,
    ) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        for AttemptId { job, task, attempt: launch } in machine.orphaned_tasks.keys() {
            out.push(command(CommandKind::Stop, job, *task, *launch, Some(0.0)));
        }
        for (AttemptId { job, task, attempt: launch }, shard) in listed {
            let known = machine.tasks.get(&(job.clone(), *task)) == Some(launch);
            if shard.phase == TaskPhase::Exited && !known {
                out.push(command(CommandKind::Forget, job, *task, *launch, None));
            }
        }
        // What was told straight to the worker may have been lost: a cut can lie between.
        for ((job_id, task), launch) in &machine.tasks {
            let Some(job) = self.jobs.get(job_id) else { continue };
            let Some(a) = job.attempts.get(task).filter(|a| a.number == *launch) else { continue };
            // What saves goes on, unless nobody wants what would be saved.
            let saving = a.phase() == AttemptPhase::Saving && !job.is_cancelled();
            if a.stop_requested.is_some() && a.occupies_resources() && !saving {
                out.push(command(CommandKind::Stop, job_id, *task, *launch, Some(ease_of(job))));
            }
        }
        let ready = machine.state() == MachineState::Ready && report.fencing_token == self.token;
        if source != ReportSource::StatusReport || !ready {
            return;
        }
        for ((job_id, task), launch) in &machine.tasks {
            let Some(job) = self.jobs.get_mut(job_id) else { continue };
            if job.is_cancelled() || job.gang_state() != GangState::Whole || !describe_full(job) {
                continue;
            }
            let Some(attempt) = job.attempts.get_mut(task).filter(|a| a.number == *launch) else {
                continue;
            };
            // A start found in the store under an older term is not offered again: its launch
            // may have been taken and forgotten. The next report proves it gone.
            if attempt.phase() == AttemptPhase::Bound
                && !attempt.start_withdrawn
                && !attempt.is_reported
                && !attempt.from_previous_term
                && attempt.worker_session == report.session
            {
                attempt.offered_in = Some(MessageOrder::of(report));
                out.push(command(CommandKind::Start, job_id, *task, *launch, None));
            }
        }
    }

    /// A task has failed by itself: its job or its machine is to blame.
    fn attribute_failure(&mut self, id: &JobId, machine_id: &MachineId, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !job.is_job_at_fault() {
            job.note_bad_machine(machine_id);
        }
        if job.failed(now) {
            // No healthy machine is shunned for it, and it shuns none.
            let blamed = std::mem::take(&mut job.bad_machines);
            tracing::warn!(job = %id, machines = blamed.len(), "job fails on every machine, limiting retries");
            self.events.note("job", "mistaken", id, None);
            self.run_queues.remove_job(id);
            for name in &blamed {
                let Some(machine) = self.machines.get_mut(name) else { continue };
                machine.failed_jobs.remove(id);
                machine.is_suspect &= machine.failed_jobs.len() >= SUSPECT_JOBS;
            }
            return;
        }
        if job.is_job_at_fault() {
            return;
        }
        let Some(machine) = self.machines.get_mut(machine_id) else { return };
        machine.failed_jobs.insert(id.clone());
        let proven = |id: &JobId| {
            self.jobs.get(id).is_some_and(|j| j.failure_attribution() == FailureAttribution::Proven)
        };
        let enough = match machine.failed_jobs.iter().any(proven) {
            true => SUSPECT_JOBS,
            false => SUSPECT_NEW_JOBS,
        };
        if machine.failed_jobs.len() >= enough && !machine.is_suspect {
            machine.is_suspect = true;
            self.events.note("machine", "suspected", machine_id, None);
            tracing::warn!(machine = %machine_id, "machine cordoned: tasks of several jobs failed on it");
        }
    }

    /// An attempt has exited.
    fn on_exit(&mut self, id: &JobId, task: u32, cause: ExitCause, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(attempt) = job.attempts.get(&task) else { return };
        let machine_id = attempt.machine.clone();
        // Of an attempt that an earlier leader started only the later part was seen: its run time is
        // not known, and a guess from it would make every such job look short.
        let seen_whole = !attempt.from_previous_term;
        let ran = attempt.running_since.filter(|_| seen_whole).map(|at| now.saturating_sub(at));
        self.needs_scheduling = true;
        let what = cause.event_name();
        self.events.note("task", what, task_name(id, task), Some(&machine_id));
        if cause == ExitCause::Completed {
            job.mark_chunk_dirty(task, now);
            job.succeeded();
            if let Some(machine) = self.machines.get_mut(&machine_id) {
                machine.failed_jobs.clear();
                if let Some(ran) = ran {
                    self.run_time_history.record_finish(id, &job.spec, &machine.machine_type, ran);
                }
            }
            self.maybe_finished.insert(id.clone());
            return;
        }
        tracing::debug!(job = %id, task, machine = %machine_id, ?cause, "task exited");
        let failed = matches!(
            cause,
            ExitCause::Failed
                | ExitCause::UnknownJob
                | ExitCause::Other
                | ExitCause::InsufficientResources
                | ExitCause::ConflictingAttempt
        );
        if matches!(cause, ExitCause::Failed | ExitCause::Other) {
            self.attribute_failure(id, &machine_id, now);
        }
        self.release(id, task, now);
        if failed && let Some(job) = self.jobs.get_mut(id) {
            job.back_off(task, now);
        }
        // A gang whose machines differ in what they have fetched would else end `alone`, be stopped
        // and start over for ever: the stop gives up the fetch that it waits for.
        let waits = |j: &Job| cause == ExitCause::GangIncomplete && j.is_fetching();
        match self.jobs.get_mut(id).filter(|j| j.spec.kind == JobKind::Gang && waits(j)) {
            Some(job) => drop(job.set_gang_state(GangState::Fetching)),
            None => self.stop_gang_after_loss(id),
        }
    }

    // ---- commands ------------------------------------------------------------------------------

    /// Stops what must stop: the commands to send straight to workers, with their addresses. Called
    /// with every timer step.
    pub fn stop_commands(&mut self, now: Time) -> Vec<(String, DirectCommands)> {
        let mut orders: BTreeMap<MachineId, Vec<Command>> = BTreeMap::new();
        let mut unstarted = Vec::new();
        for (id, job) in &mut self.jobs {
            // The last of a gang may also leave by being done, which releases nothing.
            if job.gang_state() != GangState::Whole && job.set_gang_state(GangState::Whole) {
                self.needs_scheduling = true;
            }
            if job.gang_state() == GangState::Fetching && !job.is_fetching() {
                job.set_gang_state(GangState::Stopping);
            }
            let leaves = job.gang_state() == GangState::Stopping;
            if !job.is_cancelled() && !leaves {
                let draining = job.attempts.values().any(|a| a.stop_requested.is_some());
                if !draining {
                    continue;
                }
            }
            let whole = job.is_cancelled() || leaves;
            let ease = ease_of(job);
            for (task, attempt) in &mut job.attempts {
                if !attempt.occupies_resources() || !(whole || attempt.stop_requested.is_some()) {
                    continue;
                }
                attempt.start_withdrawn = true;
                match attempt.phase() {
                    AttemptPhase::Committing => continue,
                    AttemptPhase::Bound
                        if !attempt.from_previous_term && attempt.offered_in.is_none() =>
                    {
                        unstarted.push((id.clone(), *task));
                        continue;
                    }
                    _ => {}
                }
                let mut stop = attempt.stop_requested.unwrap_or(StopRequest::unsent(now));
                // A second stop without grace would end a task that saves.
                let saving = attempt.phase() == AttemptPhase::Saving && job.cancelled_at.is_none();
                if now < stop.sent_at.unwrap_or(0) + STOP_AGAIN_MS
                    || (saving && stop.sent_at.is_some())
                {
                    continue;
                }
                stop.sent_at = Some(now);
                attempt.stop_requested = Some(stop);
                let order = command(CommandKind::Stop, id, *task, attempt.number, Some(ease));
                orders.entry(attempt.machine.clone()).or_default().push(order);
            }
        }
        for (job, task) in unstarted {
            self.release(&job, task, now);
            self.stop_gang_after_loss(&job);
        }
        let mut direct = Vec::new();
        for (id, orders) in orders {
            let Some(machine) = self.machines.get(&id) else { continue };
            if machine.address.is_empty() || machine.last_message.session == 0 {
                continue;
            }
            let message = DirectCommands {
                fencing_token: self.token,
                session: machine.last_message.session,
                commands: orders,
            };
            direct.push((machine.address.clone(), message));
        }
        direct
    }
}

fn command(verb: CommandKind, job: &JobId, task: u32, launch: u64, ease_s: Option<f64>) -> Command {
    Command { kind: verb, task: task_name(job, task), attempt: launch, grace_s: ease_s }
}

/// Whether a job's starts may be offered: of a gang, once all of it is bound. A gang larger than
/// one transaction is committed in parts, and a part alone would only wait in vain.
fn describe_full(job: &Job) -> bool {
    job.spec.kind != JobKind::Gang
        || job.attempts.len() + job.done.len() == job.spec.tasks as usize
            && job.attempts.values().all(|a| a.phase() != AttemptPhase::Committing)
}

/// Grace of a stop: time to save, unless nobody wants what would be saved.
fn ease_of(job: &Job) -> f64 {
    if job.is_cancelled() || job.spec.checkpoint_interval_s <= 0.0 {
        0.0
    } else {
        job.spec.checkpoint_duration_s + STOP_GRACE_EXTRA_S
    }
}
