//! Jobs that await others, in the leader's tables. What becomes of them follows from what is committed of those before
//! them: a job whose record says done, or one that is cancelled, is so for good. So a binding needs no condition on what
//! its job awaits: it is planned only once all of that is known to be committed as done.

use super::Tables;
use crate::Time;
use crate::constants::*;
use crate::job::*;
use crate::machine::MachineType;
use serde_json::{Value, json};
use swiftsail_dag::constants::REST_CHANCE;
use swiftsail_dag::{Asked, Fate, Standing, backward};

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
    pub fn strangers(&mut self, now: Time) -> Vec<JobId> {
        let unknown = |id: &&JobId| {
            let asked = self.asked_after.get(*id).is_some_and(|until| now < *until);
            !asked && !self.jobs.contains_key(*id)
        };
        let found: Vec<JobId> =
            self.pipelines.awaited().filter(unknown).take(STRANGERS_MOST).cloned().collect();
        self.asked_after.extend(found.iter().map(|id| (id.clone(), Time::MAX)));
        found
    }

    /// The reading of such a job has told nothing: it is asked for again, but not at once.
    pub fn ask_again(&mut self, id: &JobId, now: Time) {
        self.asked_after.insert(id.clone(), now + STRANGER_AGAIN_MS);
    }

    /// For operators: a job, and the jobs before and after it, through others too, that are not over. None: it is over,
    /// or nobody knows it.
    pub fn show_pipeline(&self, id: &str, now: Time) -> Option<Value> {
        let first = self.jobs.get_key_value(id)?.0;
        let mut found = vec![first.clone()];
        for ahead in [true, false] {
            let mut next = vec![first.clone()];
            while let Some(id) = next.pop() {
                let more: Vec<&JobId> = match ahead {
                    true => self.pipelines.open(&id).collect(),
                    false => self.pipelines.after(&id).collect(),
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
            let left_s = job.due.map(|due| (due as f64 - now as f64) / MS_PER_S);
            let awaits: Vec<&str> = self.pipelines.open(id).map(|a| &**a).collect();
            let waits_for = match job.state() {
                JobState::Awaiting => "the jobs that it awaits",
                JobState::Cancelling => "its end to be written: it is cancelled or called off",
                _ if !job.waiting.is_empty() => "places for its tasks",
                _ if !job.held.is_empty() => "a pause after a failure",
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
    pub fn coming(&self, now: Time) -> Vec<&Job> {
        let ends_soon = |id: &JobId| {
            let left = self.jobs.get(id).and_then(|job| self.left_ms(job, now));
            left.is_some_and(|ms| ms <= COMING_MS)
        };
        let awaiting = self.jobs.values().filter(|j| j.state() == JobState::Awaiting);
        let mut found: Vec<&Job> =
            awaiting.filter(|j| self.pipelines.open(&j.id).all(ends_soon)).collect();
        found.sort_by(|a, b| (b.spec.priority, &a.id).cmp(&(a.spec.priority, &b.id)));
        found
    }

    /// How long a job's tasks go on, as likely as not, if all of them have a place, ms.
    fn left_ms(&self, job: &Job, now: Time) -> Option<f64> {
        if job.state() != JobState::Live || !job.waiting.is_empty() || !job.held.is_empty() {
            return None;
        }
        let left = job.attempts.values().filter(|a| a.occupies()).map(|a| {
            let kind = self.machines.get(&a.machine).map_or("", |m| m.kind.as_str());
            let run = self.history.run_time(&job.id, &job.spec, kind);
            match (a.stage(), a.ran_at) {
                (Stage::Running, Some(at)) => run.remaining(now.saturating_sub(at) as f64),
                _ => crate::chance::Pmf::clone(&run),
            }
            .within(REST_CHANCE)
        });
        left.reduce(f64::max).or(Some(0.0))
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
