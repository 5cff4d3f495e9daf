//! Troubles of one direction or of another time: machines whose reports arrive and whose answers do not,
//! reports that come again much later, workers that begin anew.

use super::{Ev, World};
use rand::Rng;
use swiftsail_controller::node::Event;
use swiftsail_protocol::workers::Report;

/// Machines that do not hear for a time.
#[derive(Debug, Clone)]
pub struct Deafness {
    /// From the beginning, ms.
    pub from_ms: u64,
    /// For so long, ms.
    pub for_ms: u64,
    /// All of this zone ...
    pub zone: Option<String>,
    /// ... or these.
    pub names: Vec<String>,
    /// They hear every so many-th answer yet, and what is sent to them; 0: nothing.
    pub hears_each: u64,
}

impl World {
    /// Whether a machine does not hear what is said to it now: the answer to a report, or something else.
    pub(super) fn deaf(&mut self, name: &str, answer: bool) -> bool {
        let now = self.now - super::BEGIN;
        let Some(worker) = self.plant.workers.get(name) else { return false };
        let its = |d: &&Deafness| {
            (d.from_ms..d.from_ms + d.for_ms).contains(&now)
                && (d.zone.as_deref() == Some(&worker.hardware.zone)
                    || d.names.iter().any(|n| n == name))
        };
        let Some(each) = self.deafness.iter().find(its).map(|d| d.hears_each) else {
            return false;
        };
        if each == 0 || !answer {
            return each == 0;
        }
        let said = self.unheard.entry(name.to_string()).or_default();
        *said += 1;
        !said.is_multiple_of(each)
    }

    /// A report may come again, long after.
    pub(super) fn copy_later(&mut self, node: usize, report: &Report) {
        let Some((chance, most_ms)) = self.copies else { return };
        if self.calm() || !self.rng.random_bool(chance) {
            return;
        }
        let at = self.now + self.rng.random_range(1_000..most_ms);
        // It may come to any controller that its worker has tried since.
        let to = if self.rng.random_bool(0.7) { node } else { (node + 1) % super::NODES };
        self.at(at, Ev::Copy(to, Box::new(report.clone())));
    }

    /// A copy comes: whoever sent it waits for no answer.
    pub(super) fn copy_comes(&mut self, n: usize, report: Box<Report>) {
        if self.nodes[n].is_some() && !self.cut(n, |c| c.workers) {
            self.next_request += 1;
            let (id, life) = (self.next_request, self.lives[n]);
            self.copied += 1;
            self.handle(n, life, Event::Report(id, report));
        }
    }

    /// A machine's worker begins anew at a time, with numbers from the start.
    pub fn reboot(&mut self, at_ms: u64, name: &str) {
        self.at(super::BEGIN + at_ms, Ev::Reboot(name.to_string()));
    }

    /// Names of the machines that are up now.
    pub fn up(&self) -> Vec<String> {
        let up = self.plant.workers.iter().filter(|(_, w)| !w.gone && w.up_at <= self.now);
        up.map(|(name, _)| name.clone()).collect()
    }

    /// Jobs whose latest question was answered longer ago than that, though they are not over.
    pub fn unanswered(&self, for_ms: u64) -> Vec<&str> {
        let open = self.jobs.iter().filter(|j| j.accepted && !j.over());
        let open = open.filter(|j| self.now > j.answered_at + for_ms);
        open.map(|j| j.id.as_str()).collect()
    }

    /// Once all troubles are over, a job about which no question is answered for 75 s is forgotten, however
    /// others fare.
    pub(super) fn look_at_answers(&mut self, job: usize) {
        let Some(over) = self.troubles_over_ms else { return };
        let since = self.jobs[job].answered_at.max(super::BEGIN + over);
        let open = self.jobs[job].accepted && !self.jobs[job].over();
        if open && self.now > since + 75_000 {
            let what = format!("forgotten: {} has no answer for 75 s", self.jobs[job].id);
            if !self.broken.contains(&what) {
                self.broken.push(what);
            }
        }
    }
}
