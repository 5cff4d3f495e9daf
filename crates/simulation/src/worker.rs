//! One machine's worker as a pure machine: reports, sessions, tokens, leases, images, tasks.

use crate::constants::{
    CONTROLLER_FAILOVER_DELAY_MS, MIN_REPORT_INTERVAL_MS, MS_PER_S, WORKER_ANSWER_TIMEOUT_MS,
};
use std::collections::VecDeque;
use swiftsail_controller::job::JobSpec;
use swiftsail_controller::settings::WorkerSettings;
use swiftsail_protocol::workers::{
    DirectCommands, ExitCause, HeartbeatResponse, StatusReport, TaskPhase, TaskStatus,
};

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ExecutionPhase {
    /// Waits for its image.
    Fetching,
    /// Gang: waits for the others, since then.
    WaitingForGang(u64),
    /// Runs.
    Running,
    /// Gang: runs, but another is gone: exits by then.
    GangMemberLost(u64),
    /// Was told to stop: has saved by then.
    Saving(u64),
    /// Ended, and whether its progress was saved.
    Exited(ExitCause, bool),
}

/// A task on a machine.
#[derive(Debug, Clone)]
pub struct WorkerTask {
    /// Its name.
    pub name: String,
    /// Its attempt.
    pub attempt: u64,
    /// Where it stands. Changed by [`Task::advance`] alone.
    phase: ExecutionPhase,
    /// What it asks for; none if its job is not known.
    pub spec: Option<std::sync::Arc<JobSpec>>,
    /// Progress, ms of run time.
    pub progress: f64,
}

impl WorkerTask {
    /// Where it stands.
    pub fn phase(&self) -> ExecutionPhase {
        self.phase
    }

    /// The one function that changes where a task stands: what has exited stays so.
    pub fn advance_phase(&mut self, to: ExecutionPhase) -> bool {
        let moved = !matches!(self.phase, ExecutionPhase::Exited(..)) && self.phase != to;
        if moved {
            self.phase = to;
        }
        moved
    }

    /// On its machine, from the moment it has its image until it exits (protocol).
    pub fn is_on_machine(&self) -> bool {
        !matches!(self.phase, ExecutionPhase::Fetching | ExecutionPhase::Exited(..))
    }

    /// Takes resources.
    pub fn occupies_resources(&self) -> bool {
        !matches!(self.phase, ExecutionPhase::Exited(..))
    }

    /// Its job's id.
    pub fn job(&self) -> &str {
        self.name.rsplit_once('/').map_or(&self.name, |(job, _)| job)
    }
}

/// What a machine is.
#[derive(Debug, Clone)]
pub struct MachineHardware {
    /// Name of its type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// CPUs, accelerators, memory in GB.
    pub resources: [f64; 3],
    /// Image cache, GB.
    pub cache_gb: f64,
    /// Rate of fetches, GB a second.
    pub image_fetch_gb_per_s: f64,
    /// How many times as fast as usual its tasks run.
    pub speed: f64,
}

/// A machine's worker.
#[derive(Debug)]
pub struct FakeWorker {
    /// The machine's name.
    pub name: String,
    /// Where it takes commands.
    pub address: String,
    /// What the machine is.
    pub hardware: MachineHardware,
    /// When it is up.
    pub up_at: u64,
    /// Gone for good.
    pub is_terminated: bool,
    /// Does nothing until then.
    pub hang_until: u64,
    /// Every task that it starts fails.
    pub is_faulty: bool,
    /// When the cloud takes it.
    pub reclaim_at: Option<u64>,
    /// Its tasks.
    pub tasks: Vec<WorkerTask>,
    pub(crate) changed: bool,
    timing: WorkerSettings,
    session: u64,
    sequence: u64,
    fencing_token: u64,
    /// Node that it reports to, among so many.
    controller: usize,
    controller_count: usize,
    unanswered_report_at: Option<u64>,
    next_report_at: u64,
    last_report_at: u64,
    lease_renewed_at: u64,
    /// Images held, the latest last, with sizes; and those being fetched, with what is missing.
    cached_images: VecDeque<(String, f64)>,
    image_fetches: Vec<(String, f64)>,
    /// Tasks killed by the end of a lease.
    pub tasks_killed: u64,
}

impl FakeWorker {
    /// A worker that comes up at a time.
    pub fn new(
        name: &str,
        hardware: MachineHardware,
        timing: WorkerSettings,
        nodes: usize,
        up_at: u64,
    ) -> FakeWorker {
        FakeWorker {
            name: name.into(),
            address: name.into(),
            hardware,
            up_at,
            is_terminated: false,
            hang_until: 0,
            is_faulty: false,
            reclaim_at: None,
            tasks: Vec::new(),
            changed: true,
            timing,
            session: 1,
            sequence: 0,
            fencing_token: 0,
            controller: 0,
            controller_count: nodes.max(1),
            unanswered_report_at: None,
            next_report_at: up_at,
            last_report_at: 0,
            lease_renewed_at: up_at,
            cached_images: VecDeque::new(),
            image_fetches: Vec::new(),
            tasks_killed: 0,
        }
    }

    /// It begins anew, with nothing on it.
    pub fn restart(&mut self, now: u64) {
        let fresh = FakeWorker::new(
            &self.name,
            self.hardware.clone(),
            self.timing.clone(),
            self.controller_count,
            now,
        );
        let (addr, killed) = (std::mem::take(&mut self.address), self.tasks_killed);
        *self = FakeWorker {
            address: addr,
            tasks_killed: killed,
            is_faulty: self.is_faulty,
            reclaim_at: self.reclaim_at,
            ..fresh
        };
    }

    /// Whether it does anything now.
    pub fn is_responsive(&self, now: u64) -> bool {
        !self.is_terminated && now >= self.up_at && now >= self.hang_until
    }

    /// Its session.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// Its report now.
    pub fn build_report(&mut self, now: u64) -> StatusReport {
        self.sequence += 1;
        let shards = self.tasks.iter().map(|t| {
            let (status, exit) = match t.phase {
                ExecutionPhase::Fetching => (TaskPhase::Fetching, None),
                ExecutionPhase::WaitingForGang(_) => (TaskPhase::WaitingForGang, None),
                ExecutionPhase::Running | ExecutionPhase::GangMemberLost(_) => {
                    (TaskPhase::Running, None)
                }
                ExecutionPhase::Saving(_) => (TaskPhase::Saving, None),
                ExecutionPhase::Exited(cause, saved) => (TaskPhase::Exited, Some((cause, saved))),
            };
            TaskStatus {
                task: t.name.clone(),
                attempt: t.attempt,
                phase: status,
                exit_cause: exit.map(|e| e.0),
                progress_saved: exit.filter(|e| e.1).map(|e| e.1),
            }
        });
        StatusReport {
            machine: self.name.clone(),
            address: self.address.clone(),
            machine_type: self.hardware.machine_type.clone(),
            zone: self.hardware.zone.clone(),
            spot: self.hardware.spot,
            session: self.session,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            reclaim_in_s: self.reclaim_at.map(|at| at.saturating_sub(now) as f64 / MS_PER_S),
            tasks: shards.collect(),
        }
    }

    /// The report that is due, and to which node.
    pub fn take_due_report(&mut self, now: u64) -> Option<(usize, StatusReport)> {
        if let Some(sent) = self.unanswered_report_at {
            if now < sent + WORKER_ANSWER_TIMEOUT_MS {
                return None;
            }
            self.handle_report_timeout(sent, now);
        }
        let due = now >= self.next_report_at
            || self.changed && now >= self.last_report_at + MIN_REPORT_INTERVAL_MS;
        if !due {
            return None;
        }
        self.unanswered_report_at = Some(now);
        self.last_report_at = now;
        // A quarter more or less, by the machine and the report, so that reports spread.
        let shift = (self.sequence * 7 + self.name.len() as u64 * 13 + self.up_at) % 51;
        let period = self.timing.report_s * MS_PER_S * (0.75 + shift as f64 / 100.0);
        self.next_report_at = now + period as u64;
        self.changed = false;
        Some((self.controller, self.build_report(now)))
    }

    /// The report sent then had no answer that counts: the next node, a second later.
    pub fn handle_report_timeout(&mut self, sent: u64, now: u64) {
        if self.unanswered_report_at == Some(sent) {
            self.unanswered_report_at = None;
            self.controller = (self.controller + 1) % self.controller_count;
            self.next_report_at = now + CONTROLLER_FAILOVER_DELAY_MS;
            self.changed = false;
        }
    }

    /// The node sent it to another.
    pub fn handle_redirect(&mut self, sent: u64, to: Option<usize>, now: u64) {
        match to.filter(|n| *n != self.controller && *n < self.controller_count) {
            Some(n) if self.unanswered_report_at == Some(sent) => {
                self.unanswered_report_at = None;
                self.controller = n;
                self.next_report_at = now;
            }
            _ => self.handle_report_timeout(sent, now),
        }
    }

    /// The answer to the report sent then, in that session. Returns what must be executed.
    pub fn handle_heartbeat_response(
        &mut self,
        orders: &HeartbeatResponse,
        session: u64,
        sent: u64,
        now: u64,
    ) -> bool {
        // An answer to a report given up, or of an earlier session, is dropped.
        if self.unanswered_report_at != Some(sent) || !self.is_responsive(now) {
            return false;
        }
        self.unanswered_report_at = None;
        if session != self.session || orders.fencing_token < self.fencing_token {
            return false;
        }
        self.changed |= orders.fencing_token > self.fencing_token;
        self.fencing_token = orders.fencing_token;
        self.lease_renewed_at = sent;
        true
    }

    /// Whether commands sent straight to it may be executed.
    pub fn accept_direct_commands(&mut self, direct: &DirectCommands) -> bool {
        let good = direct.fencing_token >= self.fencing_token && direct.session == self.session;
        if good {
            self.fencing_token = direct.fencing_token;
        }
        good
    }

    /// Ends the session if its lease has run out: all tasks are killed and forgotten.
    pub fn enforce_lease(&mut self, now: u64) -> bool {
        let over = now > self.lease_renewed_at + (self.timing.lease_s * MS_PER_S) as u64;
        if over {
            self.tasks_killed +=
                self.tasks.iter().filter(|t| t.occupies_resources()).count() as u64;
            self.tasks.clear();
            self.image_fetches.clear();
            self.session += 1;
            self.lease_renewed_at = now;
            self.unanswered_report_at = None;
            self.changed = true;
        }
        over
    }

    /// Starts an attempt, unless it is there in any state.
    pub fn start_task(&mut self, name: &str, launch: u64, spec: Option<std::sync::Arc<JobSpec>>) {
        if self.tasks.iter().any(|t| t.name == name && t.attempt == launch) {
            return;
        }
        self.changed = true;
        let mut room = self.hardware.resources;
        for task in self.tasks.iter().filter(|t| t.occupies_resources()) {
            let Some(spec) = &task.spec else { continue };
            let takes = [spec.cpus, spec.gpus, spec.memory_gb];
            room.iter_mut().zip(takes).for_each(|(left, takes)| *left -= takes);
        }
        let twice = self.tasks.iter().any(|t| t.name == name && t.occupies_resources());
        let fits = spec.as_ref().is_some_and(|s| {
            let takes = [s.cpus, s.gpus, s.memory_gb];
            room.iter().zip(takes).all(|(left, takes)| left + 1e-6 >= takes)
        });
        let stage = match &spec {
            None => ExecutionPhase::Exited(ExitCause::UnknownJob, false),
            Some(_) if twice => ExecutionPhase::Exited(ExitCause::ConflictingAttempt, false),
            Some(_) if !fits => ExecutionPhase::Exited(ExitCause::InsufficientResources, false),
            Some(_) => ExecutionPhase::Fetching,
        };
        self.tasks.push(WorkerTask {
            name: name.into(),
            attempt: launch,
            phase: stage,
            spec,
            progress: 0.0,
        });
    }

    /// Fetches images for a while; returns whether any has come.
    pub fn advance_image_fetches(&mut self, ms: f64) -> bool {
        let wanted: Vec<(String, f64)> = self
            .tasks
            .iter()
            .filter(|t| t.phase == ExecutionPhase::Fetching)
            .filter_map(|t| t.spec.as_ref().map(|s| (s.image.clone(), s.image_gb)))
            .collect();
        // A fetch for which no task waits any more is given up.
        self.image_fetches.retain(|(image, _)| wanted.iter().any(|w| w.0 == *image));
        for (image, gb) in wanted {
            if !self.has_image(&image) && !self.image_fetches.iter().any(|f| f.0 == image) {
                self.image_fetches.push((image, gb));
            }
        }
        let share = self.hardware.image_fetch_gb_per_s * ms
            / MS_PER_S
            / self.image_fetches.len().max(1) as f64;
        self.image_fetches.iter_mut().for_each(|f| f.1 -= share);
        let (here, still): (Vec<_>, Vec<_>) =
            self.image_fetches.drain(..).partition(|f| f.1 <= 0.0);
        self.image_fetches = still;
        let came = !here.is_empty();
        for (image, _) in here {
            self.touch_image(&image);
        }
        came
    }

    /// Whether an image is here.
    pub fn has_image(&self, image: &str) -> bool {
        self.cached_images.iter().any(|(held, _)| held == image)
    }

    /// Notes the use of an image; those used longest ago leave a full cache.
    pub fn touch_image(&mut self, image: &str) {
        let of = |t: &WorkerTask| t.spec.as_ref().filter(|s| s.image == image).map(|s| s.image_gb);
        let gb = self.tasks.iter().find_map(of).unwrap_or(0.0);
        self.cached_images.retain(|(held, _)| held != image);
        self.cached_images.push_back((image.into(), gb));
        while self.cached_images.iter().map(|c| c.1).sum::<f64>() > self.hardware.cache_gb
            && self.cached_images.len() > 1
        {
            self.cached_images.pop_front();
        }
    }

    /// The task and attempt of a command.
    pub fn task_mut(&mut self, name: &str, launch: u64) -> Option<&mut WorkerTask> {
        self.tasks.iter_mut().find(|t| t.name == name && t.attempt == launch)
    }

    /// Drops an exited attempt from the reports.
    pub fn forget_task(&mut self, name: &str, launch: u64) {
        let over =
            |t: &WorkerTask| t.name == name && t.attempt == launch && !t.occupies_resources();
        self.tasks.retain(|t| !over(t));
    }
}
