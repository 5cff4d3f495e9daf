//! A fake worker of one machine, as a state machine without I/O: reports, sessions, fencing tokens, leases, images and
//! tasks. Times are milliseconds of the caller's monotonic clock.

use crate::constants::{
    CONTROLLER_FAILOVER_DELAY_MS, MIN_REPORT_INTERVAL_MS, MS_PER_S, WORKER_ANSWER_TIMEOUT_MS,
};
use std::collections::VecDeque;
use swiftsail_controller::job::JobSpec;
use swiftsail_controller::settings::WorkerSettings;
use swiftsail_protocol::workers::{
    DirectCommands, ExitCause, HeartbeatResponse, StatusReport, TaskPhase, TaskStatus,
};

/// The phase of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ExecutionPhase {
    /// Waiting for its image.
    Fetching,
    /// Waiting for the other members of its gang, since this time.
    WaitingForGang(u64),
    /// Running.
    Running,
    /// Still running, but another member of its gang is lost: it exits at this time.
    GangMemberLost(u64),
    /// Told to stop: its own checkpoint is complete at this time.
    Saving(u64),
    /// Ended, with the cause, and whether its progress was saved.
    Exited(ExitCause, bool),
}

/// A task on a machine.
#[derive(Debug, Clone)]
pub struct WorkerTask {
    /// Name, as `JOB/NUMBER`.
    pub name: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Changed only by [`WorkerTask::advance_phase`].
    phase: ExecutionPhase,
    /// The specification of its job, or `None` if the job is unknown.
    pub spec: Option<std::sync::Arc<JobSpec>>,
    /// Progress, in ms of run time at nominal speed.
    pub progress: f64,
}

impl WorkerTask {
    /// The task's current phase.
    pub fn phase(&self) -> ExecutionPhase {
        self.phase
    }

    /// Changes the phase, unless the task has exited: exited is final. Returns whether the phase changed.
    pub fn advance_phase(&mut self, to: ExecutionPhase) -> bool {
        let changed = !matches!(self.phase, ExecutionPhase::Exited(..)) && self.phase != to;
        if changed {
            self.phase = to;
        }
        changed
    }

    /// Whether the task counts as being on its machine: from when it has its image until it exits (protocol).
    pub fn is_on_machine(&self) -> bool {
        !matches!(self.phase, ExecutionPhase::Fetching | ExecutionPhase::Exited(..))
    }

    /// Whether the task occupies resources: until it exits.
    pub fn occupies_resources(&self) -> bool {
        !matches!(self.phase, ExecutionPhase::Exited(..))
    }

    /// The id of the task's job.
    pub fn job(&self) -> &str {
        self.name.rsplit_once('/').map_or(&self.name, |(job, _)| job)
    }
}

/// The properties of a machine.
#[derive(Debug, Clone)]
pub struct MachineHardware {
    /// Name of its machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// CPUs, GPUs, memory in GB.
    pub resources: [f64; 3],
    /// Size of the image cache, GB.
    pub cache_gb: f64,
    /// Image fetch rate of all fetches together, GB/s.
    pub image_fetch_gb_per_s: f64,
    /// Speed of its tasks, as a multiple of the nominal speed.
    pub speed: f64,
}

/// The fake worker of one machine.
#[derive(Debug)]
pub struct FakeWorker {
    /// The machine's name.
    pub name: String,
    /// Address at which it receives direct commands.
    pub address: String,
    /// The machine's properties.
    pub hardware: MachineHardware,
    /// When the machine has booted.
    pub up_at: u64,
    /// Whether the machine was returned, reclaimed or has died.
    pub is_terminated: bool,
    /// Until then the machine hangs: it neither sends nor processes anything.
    pub hang_until: u64,
    /// Whether every task that it starts fails.
    pub is_faulty: bool,
    /// When the cloud reclaims this spot machine, if it has decided to.
    pub reclaim_at: Option<u64>,
    /// The tasks on it, exited ones included until they are forgotten.
    pub tasks: Vec<WorkerTask>,
    pub(crate) changed: bool,
    timing: WorkerSettings,
    session: u64,
    sequence: u64,
    fencing_token: u64,
    /// Index of the controller that it reports to.
    controller: usize,
    controller_count: usize,
    unanswered_report_at: Option<u64>,
    next_report_at: u64,
    last_report_at: u64,
    lease_renewed_at: u64,
    /// Cached images with their sizes in GB, most recently used last.
    cached_images: VecDeque<(String, f64)>,
    /// Images being fetched, with the GB still missing.
    image_fetches: Vec<(String, f64)>,
    /// Number of tasks killed so far because the worker's lease expired.
    pub tasks_killed: u64,
}

impl FakeWorker {
    /// A worker whose machine has booted at `up_at`.
    pub fn new(
        name: &str,
        hardware: MachineHardware,
        timing: WorkerSettings,
        controller_count: usize,
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
            controller_count: controller_count.max(1),
            unanswered_report_at: None,
            next_report_at: up_at,
            last_report_at: 0,
            lease_renewed_at: up_at,
            cached_images: VecDeque::new(),
            image_fetches: Vec::new(),
            tasks_killed: 0,
        }
    }

    /// Restarts the worker with no tasks; session and sequence numbers start again.
    pub fn restart(&mut self, now: u64) {
        let fresh = FakeWorker::new(
            &self.name,
            self.hardware.clone(),
            self.timing.clone(),
            self.controller_count,
            now,
        );
        let (address, tasks_killed) = (std::mem::take(&mut self.address), self.tasks_killed);
        *self = FakeWorker {
            address,
            tasks_killed,
            is_faulty: self.is_faulty,
            reclaim_at: self.reclaim_at,
            ..fresh
        };
    }

    /// Whether the machine is up and does not hang.
    pub fn is_responsive(&self, now: u64) -> bool {
        !self.is_terminated && now >= self.up_at && now >= self.hang_until
    }

    /// The current session number.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// Builds a status report and takes the next sequence number for it.
    pub fn build_report(&mut self, now: u64) -> StatusReport {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|t| {
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
            tasks: tasks.collect(),
        }
    }

    /// Returns the report that is due and the index of the controller to send it to, or `None` if none is due. An
    /// earlier report that has waited too long for its response counts as timed out first.
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
        // Reports are spread by a deterministic jitter of up to a quarter of the interval.
        let jitter = (self.sequence * 7 + self.name.len() as u64 * 13 + self.up_at) % 51;
        let period = self.timing.report_s * MS_PER_S * (0.75 + jitter as f64 / 100.0);
        self.next_report_at = now + period as u64;
        self.changed = false;
        Some((self.controller, self.build_report(now)))
    }

    /// The report sent at `sent` got no usable response: the worker turns to the next controller after
    /// [`CONTROLLER_FAILOVER_DELAY_MS`].
    pub fn handle_report_timeout(&mut self, sent: u64, now: u64) {
        if self.unanswered_report_at == Some(sent) {
            self.unanswered_report_at = None;
            self.controller = (self.controller + 1) % self.controller_count;
            self.next_report_at = now + CONTROLLER_FAILOVER_DELAY_MS;
            self.changed = false;
        }
    }

    /// A controller redirected the worker to another one. Without a different valid target this counts as a timeout.
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

    /// Processes the response to the report sent at `sent` in `session`. Returns whether its commands are to be executed.
    pub fn handle_heartbeat_response(
        &mut self,
        response: &HeartbeatResponse,
        session: u64,
        sent: u64,
        now: u64,
    ) -> bool {
        // A response to a report that has timed out, or that was sent in an earlier session, is ignored.
        if self.unanswered_report_at != Some(sent) || !self.is_responsive(now) {
            return false;
        }
        self.unanswered_report_at = None;
        if session != self.session || response.fencing_token < self.fencing_token {
            return false;
        }
        self.changed |= response.fencing_token > self.fencing_token;
        self.fencing_token = response.fencing_token;
        self.lease_renewed_at = sent;
        true
    }

    /// Returns whether direct commands are to be executed: their session is the current one and their fencing token is
    /// not stale. If so, the token becomes the worker's.
    pub fn accept_direct_commands(&mut self, direct: &DirectCommands) -> bool {
        let accepted = direct.fencing_token >= self.fencing_token && direct.session == self.session;
        if accepted {
            self.fencing_token = direct.fencing_token;
        }
        accepted
    }

    /// Ends the session if its lease has expired: all tasks are killed and dropped. Returns whether it ended.
    pub fn enforce_lease(&mut self, now: u64) -> bool {
        let expired = now > self.lease_renewed_at + (self.timing.lease_s * MS_PER_S) as u64;
        if expired {
            self.tasks_killed +=
                self.tasks.iter().filter(|t| t.occupies_resources()).count() as u64;
            self.tasks.clear();
            self.image_fetches.clear();
            self.session += 1;
            self.lease_renewed_at = now;
            self.unanswered_report_at = None;
            self.changed = true;
        }
        expired
    }

    /// Starts an attempt, unless the worker has it already in any phase. If it cannot start it exits at once, with the
    /// cause.
    pub fn start_task(&mut self, name: &str, attempt: u64, spec: Option<std::sync::Arc<JobSpec>>) {
        if self.tasks.iter().any(|t| t.name == name && t.attempt == attempt) {
            return;
        }
        self.changed = true;
        let mut available = self.hardware.resources;
        for task in self.tasks.iter().filter(|t| t.occupies_resources()) {
            let Some(spec) = &task.spec else { continue };
            let needed = [spec.cpus, spec.gpus, spec.memory_gb];
            available.iter_mut().zip(needed).for_each(|(left, needed)| *left -= needed);
        }
        let is_duplicate = self.tasks.iter().any(|t| t.name == name && t.occupies_resources());
        let fits = spec.as_ref().is_some_and(|s| {
            let needed = [s.cpus, s.gpus, s.memory_gb];
            available.iter().zip(needed).all(|(left, needed)| left + 1e-6 >= needed)
        });
        let phase = match &spec {
            None => ExecutionPhase::Exited(ExitCause::UnknownJob, false),
            Some(_) if is_duplicate => ExecutionPhase::Exited(ExitCause::ConflictingAttempt, false),
            Some(_) if !fits => ExecutionPhase::Exited(ExitCause::InsufficientResources, false),
            Some(_) => ExecutionPhase::Fetching,
        };
        self.tasks.push(WorkerTask { name: name.into(), attempt, phase, spec, progress: 0.0 });
    }

    /// Lets image fetches progress for `ms`, sharing the fetch rate equally. Returns whether any image is complete.
    pub fn advance_image_fetches(&mut self, ms: f64) -> bool {
        let wanted: Vec<(String, f64)> = self
            .tasks
            .iter()
            .filter(|t| t.phase == ExecutionPhase::Fetching)
            .filter_map(|t| t.spec.as_ref().map(|s| (s.image.clone(), s.image_gb)))
            .collect();
        // A fetch that no task waits for any more is cancelled.
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
        let (fetched, pending): (Vec<_>, Vec<_>) =
            self.image_fetches.drain(..).partition(|f| f.1 <= 0.0);
        self.image_fetches = pending;
        let completed_any = !fetched.is_empty();
        for (image, _) in fetched {
            self.touch_image(&image);
        }
        completed_any
    }

    /// Whether an image is in the cache.
    pub fn has_image(&self, image: &str) -> bool {
        self.cached_images.iter().any(|(cached, _)| cached == image)
    }

    /// Marks an image as used now, and evicts the least recently used images from a cache that is too full.
    pub fn touch_image(&mut self, image: &str) {
        let image_size =
            |t: &WorkerTask| t.spec.as_ref().filter(|s| s.image == image).map(|s| s.image_gb);
        let gb = self.tasks.iter().find_map(image_size).unwrap_or(0.0);
        self.cached_images.retain(|(cached, _)| cached != image);
        self.cached_images.push_back((image.into(), gb));
        while self.cached_images.iter().map(|c| c.1).sum::<f64>() > self.hardware.cache_gb
            && self.cached_images.len() > 1
        {
            self.cached_images.pop_front();
        }
    }

    /// The task with this name and attempt.
    pub fn task_mut(&mut self, name: &str, attempt: u64) -> Option<&mut WorkerTask> {
        self.tasks.iter_mut().find(|t| t.name == name && t.attempt == attempt)
    }

    /// Removes an exited attempt, which is then no longer reported.
    pub fn forget_task(&mut self, name: &str, attempt: u64) {
        let exited =
            |t: &WorkerTask| t.name == name && t.attempt == attempt && !t.occupies_resources();
        self.tasks.retain(|t| !exited(t));
    }
}
