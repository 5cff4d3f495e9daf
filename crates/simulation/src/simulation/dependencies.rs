//! Pipelines: what users expect of jobs that await others.

use super::{START_MS, Simulation};
use std::collections::HashSet;
use swiftsail_protocol::controllers::Heartbeat;

impl Simulation {
    /// When the user of a job before this one, directly or through others, was first told that it is cancelled.
    pub fn earliest_cancellation_told(&self, id: &str) -> Option<u64> {
        let mut next = vec![id];
        let (mut seen, mut told) = (HashSet::new(), None);
        while let Some(id) = next.pop() {
            let Some(job) = self.jobs.iter().find(|j| j.id == id) else { continue };
            for awaited in job.dependencies().filter(|a| seen.insert(*a)) {
                let before = self.jobs.iter().find(|j| j.id == awaited);
                let at = before.and_then(|j| j.cancellation_told_at);
                told = [told, at].into_iter().flatten().min();
                next.push(awaited);
            }
        }
        told
    }

    /// An answer about a job says that it is open, or that it is cancelled or called off: only a cancellation that was
    /// asked for, of it or of one before it, does that, whether or not its user was told by then.
    pub(super) fn check_reported_cancellation(&mut self, job: usize, status: &str) {
        let j = &self.jobs[job];
        let id = &j.id;
        let cancel_ms = (super::controller_settings(0).settings.workers.cancel_s * 1_000.0) as u64;
        let late = |at: u64| self.now > at + cancel_ms;
        let broken = match status {
            "pending" | "running" if self.earliest_cancellation_told(id).is_some_and(late) => {
                format!("orphaned: {id} is called {status}")
            }
            "withdrawn"
                if j.cancel_at.is_none() && !self.is_dependency_cancellation_requested(id) =>
            {
                format!("went_back: {id} was not cancelled, nor anything before it")
            }
            _ => return,
        };
        self.violations.push(broken);
    }

    /// Whether the cancellation of a job before this one was ever asked for.
    fn is_dependency_cancellation_requested(&self, id: &str) -> bool {
        let Some(job) = self.jobs.iter().find(|j| j.id == id) else { return false };
        job.dependencies().any(|awaited| {
            let before = self.jobs.iter().find(|j| j.id == awaited);
            before.is_some_and(|j| j.cancel_at.is_some())
                || self.is_dependency_cancellation_requested(awaited)
        })
    }

    /// A heartbeat as that controller's version writes or reads it.
    pub(super) fn heartbeat_as_version(&self, node: usize, mut beat: Heartbeat) -> Heartbeat {
        if self.now < START_MS + self.old_version_until_ms[node] {
            beat.format_version = 0;
        }
        beat
    }

    /// Whether one of the jobs that one awaits is somebody's and not accepted yet.
    pub(super) fn has_unaccepted_dependency(&self, job: usize) -> bool {
        let own = &self.jobs[job];
        let open = |awaited: &str| {
            self.jobs.iter().any(|j| j.id == awaited && j.id != own.id && !j.accepted)
        };
        own.dependencies().any(open)
    }

    /// Whether all jobs that one awaits are done, by their tasks.
    pub(super) fn are_dependencies_done(&self, id: &str) -> bool {
        let Some(job) = self.jobs.iter().find(|j| j.id == id) else { return true };
        job.dependencies().all(|awaited| {
            let before = self.jobs.iter().find(|j| j.id == awaited);
            before.is_some_and(|j| {
                (0..j.task_count())
                    .all(|t| self.cluster.finished_tasks.contains(&format!("{awaited}/{t}")))
            })
        })
    }
}
