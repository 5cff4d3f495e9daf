//! Jobs that await others, in the leader's tables. What becomes of them follows from what is committed of those before
//! them: a job whose record says done, or one that is cancelled, is so for good. So a binding needs no condition on what
//! its job awaits: it is planned only once all of that is known to be committed as done.

use super::ClusterState;
use crate::Time;
use crate::constants::{
    DEPENDENCY_DEADLINES_MS, HAND_OVER_MS, MS_PER_S, UNKNOWN_DEPENDENCIES_MAX,
    UNKNOWN_DEPENDENCY_RETRY_MS, UPCOMING_TASKS_MS,
};
use crate::job::{AttemptPhase, Job, JobId, JobState};
use crate::machine::MachineType;
use serde_json::{Value, json};
use swiftsail_dag::constants::DOWNSTREAM_PROBABILITY;
use swiftsail_dag::{DependencyState, JobOutcome, JobRequirements, effective_requirements};

impl ClusterState {
    /// A job is over, or cancelled for good: what follows for those that await it.
    pub fn on_dependency_finished(&mut self, id: &JobId, fate: JobOutcome, now: Time, wall: u64) {
        self.awaited_reads.remove(id);
        for (job, standing) in self.dependencies.on_job_ended(id, fate) {
            self.apply_dependency_state(&job, standing, now, wall);
        }
    }

    fn apply_dependency_state(
        &mut self,
        id: &JobId,
        standing: DependencyState,
        now: Time,
        wall: u64,
    ) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        match standing {
            DependencyState::Waiting => {}
            DependencyState::Ready(at_wall) => {
                job.make_eligible(at_wall, now, wall);
                self.needs_scheduling = true;
            }
            // Nothing of it has ever had a place, so nothing has to be stopped: only its end is to be written.
            DependencyState::CancelledByDependency => {
                if job.advance(JobState::Cancelling, now) {
                    tracing::info!(job = %id, "job cancelled by dependency");
                    self.maybe_finished.insert(id.clone());
                }
            }
        }
    }

    /// A job that awaits others has become known, maybe after one of them was cancelled.
    pub(super) fn cancel_dependents(&mut self, id: &JobId, now: Time, wall: u64) {
        let gone = |a: &&JobId| self.jobs.get(*a).is_some_and(Job::is_cancelled);
        let off: Vec<JobId> =
            self.dependencies.unfinished_dependencies(id).filter(gone).cloned().collect();
        off.iter().for_each(|id| self.on_dependency_finished(id, JobOutcome::Cancelled, now, wall));
    }

    /// A new leader has read all jobs: what those that are over or cancelled leave to others. Whatever has begun had
    /// all that it awaits.
    pub(super) fn settle_dependencies(&mut self, now: Time, wall: u64) {
        if self.dependencies.is_empty() {
            return;
        }
        for job in self.jobs.values_mut().filter(|j| j.has_begun()) {
            job.advance(JobState::Live, now);
        }
        let over =
            self.unarchived_jobs.iter().map(|(id, _, record)| (id.clone(), record.fate(wall)));
        let cancelled = self.jobs.iter().filter(|(_, j)| j.is_cancelled());
        let cancelled = cancelled.map(|(id, _)| (id.clone(), JobOutcome::Cancelled));
        for (id, fate) in over.chain(cancelled).collect::<Vec<_>>() {
            self.on_dependency_finished(&id, fate, now, wall);
        }
    }

    /// Jobs that others await and of which the tables know nothing: they are over, and how is to be read. Each is
    /// named once, until its end is told or [`Tables::ask_again`].
    pub fn unknown_dependencies(&mut self, now: Time) -> Vec<JobId> {
        let unknown = |id: &&JobId| {
            let asked = self.awaited_reads.get(*id).is_some_and(|until| now < *until);
            !asked && !self.jobs.contains_key(*id)
        };
        let found: Vec<JobId> = self
            .dependencies
            .unfinished_jobs_with_dependents()
            .filter(unknown)
            .take(UNKNOWN_DEPENDENCIES_MAX)
            .cloned()
            .collect();
        self.awaited_reads.extend(found.iter().map(|id| (id.clone(), Time::MAX)));
        found
    }

    /// The reading of such a job has told nothing: it is asked for again, but not at once.
    pub fn retry_unknown_dependencies(&mut self, id: &JobId, now: Time) {
        self.awaited_reads.insert(id.clone(), now + UNKNOWN_DEPENDENCY_RETRY_MS);
    }

    /// For operators: a job, and the jobs before and after it, through others too, that are not over. None: it is over,
    /// or nobody knows it.
    pub fn describe_dependencies(&self, id: &str, now: Time) -> Option<Value> {
        let first = self.jobs.get_key_value(id)?.0;
        let mut found = vec![first.clone()];
        for ahead in [true, false] {
            let mut next = vec![first.clone()];
            while let Some(id) = next.pop() {
                let more: Vec<&JobId> = match ahead {
                    true => self.dependencies.unfinished_dependencies(&id).collect(),
                    false => self.dependencies.waiting_dependents(&id).collect(),
                };
                for id in more {
                    if !found.contains(id) {
                        found.push(id.clone());
                        next.push(id.clone());
                    }
                }
            }
        }
        let row = |id: &JobId| {
            let job = self.jobs.get(id)?;
            let left_s = job.deadline.map(|due| (due as f64 - now as f64) / MS_PER_S);
            let awaits: Vec<&str> =
                self.dependencies.unfinished_dependencies(id).map(|a| &**a).collect();
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
        };
        Some(json!({ "jobs": found.iter().filter_map(row).collect::<Vec<_>>() }))
    }

    /// Jobs that are about to begin: all that they still await has a place, and ends soon as far as its run times tell.
    /// The most urgent come first.
    pub fn upcoming_tasks(&self, now: Time) -> Vec<&Job> {
        let ends_soon = |id: &JobId| {
            let left = self.jobs.get(id).and_then(|job| self.left_ms(job, now));
            left.is_some_and(|ms| ms <= UPCOMING_TASKS_MS)
        };
        let awaiting = self.jobs.values().filter(|j| j.state() == JobState::Awaiting);
        let mut found: Vec<&Job> = awaiting
            .filter(|j| self.dependencies.unfinished_dependencies(&j.id).all(ends_soon))
            .collect();
        found.sort_by(|a, b| (b.spec.priority, &a.id).cmp(&(a.spec.priority, &b.id)));
        found
    }

    /// How long a job's tasks go on, as likely as not, if all of them have a place, ms.
    fn left_ms(&self, job: &Job, now: Time) -> Option<f64> {
        if job.state() != JobState::Live || !job.waiting.is_empty() || !job.backing_off.is_empty() {
            return None;
        }
        let left = job.attempts.values().filter(|a| a.occupies_resources()).map(|a| {
            let kind = self.machines.get(&a.machine).map_or("", |m| m.machine_type.as_str());
            let run = self.run_time_history.run_time(&job.id, &job.spec, kind);
            match (a.phase(), a.running_since) {
                (AttemptPhase::Running, Some(at)) => run.remaining(now.saturating_sub(at) as f64),
                _ => crate::completion_time::Pmf::clone(&run),
            }
            .quantile(DOWNSTREAM_PROBABILITY)
        });
        left.reduce(f64::max).or(Some(0.0))
    }

    /// Works out, now and then, by when each job has to be done for those that await it, and how urgent it is.
    pub fn propagate_deadlines(&mut self, types: &[MachineType], now: Time) {
        if self.dependencies.is_empty()
            || now < self.dependency_deadlines_at + DEPENDENCY_DEADLINES_MS
        {
            return;
        }
        self.dependency_deadlines_at = now;
        let asked = |id: &JobId| {
            let job = self.jobs.get(id).filter(|j| !j.is_cancelled())?;
            // By its class: asked for by its own name, what the class teaches until it begins would come too late for it.
            let run = self.run_time_history.prior(&job.spec.class, job.spec.runtime_estimate_s);
            let fetches = types.iter().filter(|t| t.allows(&job.spec));
            let fetch_ms = fetches.map(|t| t.fetch_ms(&job.spec)).reduce(f64::min).unwrap_or(0.0);
            let takes = run.maximum_of(job.spec.tasks).shifted(fetch_ms + HAND_OVER_MS);
            Some(JobRequirements {
                deadline: job.own_deadline(),
                priority: job.own_priority,
                duration: takes,
            })
        };
        for (id, needed) in effective_requirements(&self.dependencies, now, asked) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.set_dependent_requirements(needed.effective_deadline, needed.priority);
            }
        }
    }
}
