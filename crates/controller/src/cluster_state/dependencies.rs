//! Dependencies between jobs known to the leader. Their outcome follows from committed records only: a job that is
//! committed as done or cancelled stays so. A binding therefore needs no precondition on the jobs that its job depends
//! on: it is planned only once all of them are known to be committed as done.

use super::ClusterState;
use crate::Time;
use crate::completion_time::Pmf;
use crate::constants::{
    DEPENDENCY_DEADLINE_INTERVAL_MS, DEPENDENT_START_DELAY_MS, MAX_UNKNOWN_DEPENDENCY_READS,
    MS_PER_S, UNKNOWN_DEPENDENCY_RETRY_MS, UPCOMING_TASKS_HORIZON_MS,
};
use crate::job::{AttemptPhase, Job, JobId, JobState};
use crate::machine::MachineType;
use serde_json::{Value, json};
use swiftsail_dag::constants::DOWNSTREAM_PROBABILITY;
use swiftsail_dag::{DependencyState, JobOutcome, JobRequirements, effective_requirements};

/// Direction in which to follow dependencies from a job.
#[derive(Debug, Clone, Copy)]
enum Direction {
    /// To the jobs that it depends on.
    Dependencies,
    /// To the jobs that depend on it.
    Dependents,
}

impl ClusterState {
    /// Applies the outcome of a finished or cancelled job to the jobs that depend on it. `now` is the monotonic time
    /// and `wall` the wall clock, both in ms.
    pub fn on_dependency_finished(
        &mut self,
        id: &JobId,
        outcome: JobOutcome,
        now: Time,
        wall: u64,
    ) {
        self.dependency_reads.remove(id);
        for (dependent, state) in self.dependencies.on_job_ended(id, outcome) {
            self.apply_dependency_state(&dependent, state, now, wall);
        }
    }

    fn apply_dependency_state(&mut self, id: &JobId, state: DependencyState, now: Time, wall: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        match state {
            DependencyState::Waiting => {}
            DependencyState::Ready(finished_wall) => {
                job.make_eligible(finished_wall, now, wall);
                self.needs_scheduling = true;
            }
            // None of its tasks was ever bound, so nothing has to be stopped: only its final record is to be written.
            DependencyState::CancelledByDependency => {
                if job.advance(JobState::Cancelling, now) {
                    tracing::info!(job = %id, "job cancelled by dependency");
                    self.maybe_finished.insert(id.clone());
                }
            }
        }
    }

    /// Cancels the dependents of the cancelled jobs that a job depends on, and thus the job itself. Called when the job
    /// has become known, which may be after the cancellations.
    pub(super) fn cancel_dependents(&mut self, id: &JobId, now: Time, wall: u64) {
        let is_cancelled =
            |dependency: &&JobId| self.jobs.get(*dependency).is_some_and(Job::is_cancelled);
        let cancelled: Vec<JobId> =
            self.dependencies.unfinished_dependencies(id).filter(is_cancelled).cloned().collect();
        for dependency in &cancelled {
            self.on_dependency_finished(dependency, JobOutcome::Cancelled, now, wall);
        }
    }

    /// Applies the outcomes of finished and cancelled jobs to their dependents, once a new leader has read all jobs. A
    /// job that has begun had all its dependencies done.
    pub(super) fn settle_dependencies(&mut self, now: Time, wall: u64) {
        if self.dependencies.is_empty() {
            return;
        }
        for job in self.jobs.values_mut().filter(|job| job.has_begun()) {
            job.advance(JobState::Live, now);
        }
        let ended = self.unarchived_jobs.iter();
        let ended = ended.map(|(id, _, record)| (id.clone(), record.outcome(wall)));
        let cancelled = self.jobs.iter().filter(|(_, job)| job.is_cancelled());
        let cancelled = cancelled.map(|(id, _)| (id.clone(), JobOutcome::Cancelled));
        for (id, outcome) in ended.chain(cancelled).collect::<Vec<_>>() {
            self.on_dependency_finished(&id, outcome, now, wall);
        }
    }

    /// Jobs that others depend on and that are not among the unfinished ones: they have finished, and their final
    /// records must be read. Each is returned once, and again only after [`ClusterState::retry_unknown_dependencies`].
    pub fn unknown_dependencies(&mut self, now: Time) -> Vec<JobId> {
        let must_be_read = |id: &&JobId| {
            let is_being_read = self.dependency_reads.get(*id).is_some_and(|until| now < *until);
            !is_being_read && !self.jobs.contains_key(*id)
        };
        let unknown: Vec<JobId> = self
            .dependencies
            .unfinished_jobs_with_dependents()
            .filter(must_be_read)
            .take(MAX_UNKNOWN_DEPENDENCY_READS)
            .cloned()
            .collect();
        self.dependency_reads.extend(unknown.iter().map(|id| (id.clone(), Time::MAX)));
        unknown
    }

    /// Reading a job's final record failed: it is to be read again after [`UNKNOWN_DEPENDENCY_RETRY_MS`].
    pub fn retry_unknown_dependencies(&mut self, id: &JobId, now: Time) {
        self.dependency_reads.insert(id.clone(), now + UNKNOWN_DEPENDENCY_RETRY_MS);
    }

    /// Description for operators of a job and the unfinished jobs that it depends on or that depend on it, directly or
    /// transitively. None: no unfinished job of that id is known.
    pub fn describe_dependencies(&self, id: &str, now: Time) -> Option<Value> {
        let (first, _) = self.jobs.get_key_value(id)?;
        let mut found = vec![first.clone()];
        for direction in [Direction::Dependencies, Direction::Dependents] {
            let mut unvisited = vec![first.clone()];
            while let Some(id) = unvisited.pop() {
                for neighbour in self.neighbours(&id, direction) {
                    if !found.contains(neighbour) {
                        found.push(neighbour.clone());
                        unvisited.push(neighbour.clone());
                    }
                }
            }
        }
        let rows = found.iter().filter_map(|id| self.describe_job(id, now));
        Some(json!({ "jobs": rows.collect::<Vec<_>>() }))
    }

    fn neighbours(&self, id: &JobId, direction: Direction) -> Vec<&JobId> {
        match direction {
            Direction::Dependencies => self.dependencies.unfinished_dependencies(id).collect(),
            Direction::Dependents => self.dependencies.waiting_dependents(id).collect(),
        }
    }

    fn describe_job(&self, id: &JobId, now: Time) -> Option<Value> {
        let job = self.jobs.get(id)?;
        let left_s = job.deadline.map(|due| (due as f64 - now as f64) / MS_PER_S);
        let awaits: Vec<&str> =
            self.dependencies.unfinished_dependencies(id).map(|dependency| &**dependency).collect();
        let waits_for = match job.state() {
            JobState::Awaiting => "the jobs that it awaits",
            JobState::Cancelling => "its end to be written: it is cancelled or called off",
            _ if !job.waiting.is_empty() => "places for its tasks",
            _ if !job.backing_off.is_empty() => "a pause after a failure",
            _ => "its tasks to end",
        };
        Some(json!({
            "job": id.as_ref(),
            "class": job.spec.class,
            "state": format!("{:?}", job.state()).to_lowercase(),
            "priority": job.spec.priority,
            "tasks": job.spec.tasks,
            "done": job.done.len(),
            "left_s": left_s.map(f64::round),
            "awaits": awaits,
            "waits_for": waits_for,
        }))
    }

    /// Jobs whose tasks will be waiting soon: all their unfinished dependencies are placed and will probably end within
    /// [`UPCOMING_TASKS_HORIZON_MS`]. Those of the highest priority come first.
    pub fn upcoming_tasks(&self, now: Time) -> Vec<&Job> {
        let ends_soon = |id: &JobId| {
            let remaining_ms = self.jobs.get(id).and_then(|job| self.remaining_ms(job, now));
            remaining_ms.is_some_and(|ms| ms <= UPCOMING_TASKS_HORIZON_MS)
        };
        let awaiting = self.jobs.values().filter(|job| job.state() == JobState::Awaiting);
        let mut upcoming: Vec<&Job> = awaiting
            .filter(|job| self.dependencies.unfinished_dependencies(&job.id).all(ends_soon))
            .collect();
        upcoming.sort_by(|a, b| (b.spec.priority, &a.id).cmp(&(a.spec.priority, &b.id)));
        upcoming
    }

    /// Time until all attempts of a job have ended with probability [`DOWNSTREAM_PROBABILITY`], ms. None while any of
    /// its tasks waits.
    fn remaining_ms(&self, job: &Job, now: Time) -> Option<f64> {
        if job.state() != JobState::Live || !job.waiting.is_empty() || !job.backing_off.is_empty() {
            return None;
        }
        let occupying = job.attempts.values().filter(|attempt| attempt.occupies_resources());
        let remaining = occupying.map(|attempt| {
            let machine = self.machines.get(attempt.machine());
            let machine_type = machine.map_or("", |machine| machine.machine_type.as_str());
            let run_time = self.run_time_history.run_time(&job.id, &job.spec, machine_type);
            match (attempt.phase(), attempt.running_since()) {
                (AttemptPhase::Running, Some(since)) => {
                    run_time.remaining(now.saturating_sub(since) as f64)
                }
                _ => Pmf::clone(&run_time),
            }
            .quantile(DOWNSTREAM_PROBABILITY)
        });
        remaining.reduce(f64::max).or(Some(0.0))
    }

    /// Computes, every [`DEPENDENCY_DEADLINE_INTERVAL_MS`], the deadline and the priority that each job needs because
    /// of the jobs that depend on it.
    pub fn propagate_deadlines(&mut self, types: &[MachineType], now: Time) {
        if self.dependencies.is_empty()
            || now < self.dependency_deadlines_at + DEPENDENCY_DEADLINE_INTERVAL_MS
        {
            return;
        }
        self.dependency_deadlines_at = now;
        let requirements_of = |id: &JobId| {
            let job = self.jobs.get(id).filter(|job| !job.is_cancelled())?;
            // By class, not by job: an estimate cached for the job now would lack what is observed of its class before
            // the job begins.
            let run_time =
                self.run_time_history.prior(&job.spec.class, job.spec.runtime_estimate_s);
            let allowed = types.iter().filter(|machine_type| machine_type.allows(&job.spec));
            let fetch_times = allowed.map(|machine_type| machine_type.fetch_ms(&job.spec));
            let fetch_ms = fetch_times.reduce(f64::min).unwrap_or(0.0);
            Some(JobRequirements {
                deadline: job.own_deadline(),
                priority: job.own_priority,
                duration: run_time
                    .maximum_of(job.spec.tasks)
                    .shifted(fetch_ms + DEPENDENT_START_DELAY_MS),
            })
        };
        let requirements = effective_requirements(&self.dependencies, now, requirements_of);
        for (id, required) in requirements {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.set_dependent_requirements(required.effective_deadline, required.priority);
            }
        }
    }
}
