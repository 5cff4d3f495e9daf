//! Job dependencies: what users may expect of jobs that wait for others.

use super::{START_MS, Simulation};
use std::collections::HashSet;
use swiftsail_protocol::controllers::Heartbeat;

impl Simulation {
    /// When a user was first told that a direct or indirect dependency of this job is cancelled.
    pub fn earliest_cancellation_told(&self, id: &str) -> Option<u64> {
        let mut pending = vec![id];
        let (mut seen, mut earliest) = (HashSet::new(), None);
        while let Some(id) = pending.pop() {
            let Some(job) = self.jobs.iter().find(|j| j.id == id) else { continue };
            for dependency in job.dependencies().filter(|a| seen.insert(*a)) {
                let job = self.jobs.iter().find(|j| j.id == dependency);
                let at = job.and_then(|j| j.cancellation_told_at);
                earliest = [earliest, at].into_iter().flatten().min();
                pending.push(dependency);
            }
        }
        earliest
    }

    /// Checks an answer about a job against the cancellations requested. A job may be reported as cancelled only if its
    /// cancellation or that of a dependency was requested, whether or not a user was told of that yet. It must not be
    /// reported as pending or running longer than `cancel_s` after a user was told that a dependency is cancelled.
    pub(super) fn check_reported_cancellation(&mut self, job: usize, status: &str) {
        let j = &self.jobs[job];
        let id = &j.id;
        let cancel_ms = (super::controller_settings(0).settings.workers.cancel_s * 1_000.0) as u64;
        let is_overdue = |at: u64| self.now > at + cancel_ms;
        let violation = match status {
            "pending" | "running"
                if self.earliest_cancellation_told(id).is_some_and(is_overdue) =>
            {
                format!("orphaned: {id} is called {status}")
            }
            "withdrawn"
                if j.cancel_at.is_none() && !self.is_dependency_cancellation_requested(id) =>
            {
                format!("went_back: {id} was not cancelled, nor anything before it")
            }
            _ => return,
        };
        self.violations.push(violation);
    }

    /// Whether the cancellation of a direct or indirect dependency of this job was ever requested.
    fn is_dependency_cancellation_requested(&self, id: &str) -> bool {
        let Some(job) = self.jobs.iter().find(|j| j.id == id) else { return false };
        job.dependencies().any(|dependency| {
            let job = self.jobs.iter().find(|j| j.id == dependency);
            job.is_some_and(|j| j.cancel_at.is_some())
                || self.is_dependency_cancellation_requested(dependency)
        })
    }

    /// A heartbeat as the version that this controller runs would write or read it.
    pub(super) fn heartbeat_as_version(
        &self,
        controller: usize,
        mut heartbeat: Heartbeat,
    ) -> Heartbeat {
        if self.now < START_MS + self.old_version_until_ms[controller] {
            heartbeat.format_version = 0;
        }
        heartbeat
    }

    /// Whether a direct dependency of a job belongs to a simulated user and is not accepted yet.
    pub(super) fn has_unaccepted_dependency(&self, job: usize) -> bool {
        let dependent = &self.jobs[job];
        let is_unaccepted = |dependency: &str| {
            self.jobs.iter().any(|j| j.id == dependency && j.id != dependent.id && !j.accepted)
        };
        dependent.dependencies().any(is_unaccepted)
    }

    /// Whether every task of every direct dependency of a job has completed.
    pub(super) fn are_dependencies_done(&self, id: &str) -> bool {
        let Some(job) = self.jobs.iter().find(|j| j.id == id) else { return true };
        job.dependencies().all(|dependency| {
            let job = self.jobs.iter().find(|j| j.id == dependency);
            job.is_some_and(|j| {
                (0..j.task_count())
                    .all(|t| self.cluster.finished_tasks.contains(&format!("{dependency}/{t}")))
            })
        })
    }
}
