//! Jobs that await others, in the leader's tables. What becomes of them follows from what is committed of those before
//! them: a job whose record says done, or one that is cancelled, is so for good. So a binding needs no condition on what
//! its job awaits: it is planned only once all of that is known to be committed as done.

use super::Tables;
use crate::Time;
use crate::constants::*;
use crate::job::*;
use crate::machine::MachineType;
use swiftsail_pipelines::{Asked, Fate, Standing, backward};

impl Tables {
    /// A job is over, or cancelled for good: what follows for those that await it.
    pub fn after_end(&mut self, id: &JobId, fate: Fate, now: Time, wall: u64) {
        self.asked_after.remove(id);
        for (job, standing) in self.pipelines.ended(id, fate) {
            self.stand(&job, standing, now, wall);
        }
    }

    fn stand(&mut self, id: &JobId, standing: Standing, now: Time, wall: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        match standing {
            Standing::Waits => {}
            Standing::Ready(at_wall) => {
                job.make_eligible(at_wall, now, wall);
                self.stir = true;
            }
            // Nothing of it has ever had a place, so nothing has to be stopped: only its end is to be written.
            Standing::CalledOff => {
                if job.advance(JobState::Cancelling, now) {
                    tracing::info!(job = %id, "called off with a job that it awaits");
                    self.ended.insert(id.clone());
                }
            }
        }
    }

    /// A job that awaits others has become known, maybe after one of them was cancelled.
    pub(super) fn call_off_after(&mut self, id: &JobId, now: Time, wall: u64) {
        let gone = |a: &&JobId| self.jobs.get(*a).is_some_and(Job::cancelled);
        let off: Vec<JobId> = self.pipelines.open(id).filter(gone).cloned().collect();
        off.iter().for_each(|id| self.after_end(id, Fate::CalledOff, now, wall));
    }

    /// A new leader has read all jobs: what those that are over or cancelled leave to others. Whatever has begun had
    /// all that it awaits.
    pub(super) fn settle_pipelines(&mut self, now: Time, wall: u64) {
        if self.pipelines.is_empty() {
            return;
        }
        for job in self.jobs.values_mut().filter(|j| j.begun()) {
            job.advance(JobState::Live, now);
        }
        let over = self.over.iter().map(|(id, _, record)| (id.clone(), record.fate(wall)));
        let cancelled = self.jobs.iter().filter(|(_, j)| j.cancelled());
        let cancelled = cancelled.map(|(id, _)| (id.clone(), Fate::CalledOff));
        for (id, fate) in over.chain(cancelled).collect::<Vec<_>>() {
            self.after_end(&id, fate, now, wall);
        }
    }

    /// Jobs that others await and of which the tables know nothing: they are over, and how is to be read. Each is
    /// named once, until its end is told or [`Tables::ask_again`].
    pub fn strangers(&mut self) -> Vec<JobId> {
        let unknown = |id: &&JobId| !self.jobs.contains_key(*id) && !self.asked_after.contains(*id);
        let found: Vec<JobId> =
            self.pipelines.awaited().filter(unknown).take(STRANGERS_MOST).cloned().collect();
        self.asked_after.extend(found.iter().cloned());
        found
    }

    /// The reading of such a job has told nothing.
    pub fn ask_again(&mut self, id: &JobId) {
        self.asked_after.remove(id);
    }

    /// Works out, now and then, by when each job has to be done for those that await it, and how urgent it is.
    pub fn need_for_pipelines(&mut self, types: &[MachineType], now: Time) {
        if self.pipelines.is_empty() || now < self.needed_at + NEEDED_MS {
            return;
        }
        self.needed_at = now;
        let asked = |id: &JobId| {
            let job = self.jobs.get(id).filter(|j| !j.cancelled())?;
            // By its class: asked for by its own name, what the class teaches until it begins would come too late for it.
            let run = self.history.prior(&job.spec.class, job.spec.estimate_s);
            let fetches = types.iter().filter(|t| t.allows(&job.spec));
            let fetch_ms = fetches.map(|t| t.fetch_ms(&job.spec)).reduce(f64::min).unwrap_or(0.0);
            let takes = run.longest_of(job.spec.tasks).later(fetch_ms + HAND_OVER_MS);
            Some(Asked { due: job.own_due(), priority: job.own_priority, takes })
        };
        for (id, needed) in backward(&self.pipelines, now, asked) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.need(needed.due, needed.priority);
            }
        }
    }
}
