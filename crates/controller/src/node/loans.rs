//! Loans of accelerators: what the tables show of each, what follows, and their records.

use super::Node;
use crate::Time;
use crate::constants::EXPECT_MS;
use crate::job::{JobId, JobState, MachineId};
use crate::machine::Standing;
use crate::tables::Tables;
use serde_json::json;
use swiftsail_gpu_lending::{Lent, Loan, Seen, Todo};
use swiftsail_replicated_records::Versioned;

/// Prefix of loans' records among those of the order.
const PREFIX: &str = "loan/";

impl Tables {
    /// What the tables show of a loan.
    fn seen_of(&self, lender: &str, loan: &Loan, now: Time) -> Seen {
        let job = |id: &str| self.jobs.get(id).filter(|j| j.state() == JobState::Live);
        let on = |id: &str| {
            let held = self.jobs.get(id).into_iter().flat_map(|j| j.attempts.values());
            held.filter(|a| a.occupies()).any(|a| *a.machine == *loan.machine)
        };
        let machine = self.machines.get(loan.machine.as_str());
        // A new leader has heard no machine yet: that is no sign that this one is gone.
        let young = now < self.since + EXPECT_MS;
        let expected =
            machine.is_none_or(|m| matches!(m.standing(), Standing::Expected | Standing::Greeted));
        let ready = machine.is_some_and(|m| m.standing() == Standing::Ready && m.trusted());
        let (to, from) = (job(&loan.borrower), job(lender));
        Seen {
            lender_lives: from.is_some(),
            borrower_lives: to.is_some(),
            borrower_waits: to.is_some_and(|j| !j.waiting.is_empty()),
            machine_there: ready || young && expected,
            lender_there: on(lender),
            borrower_there: on(&loan.borrower),
            lender_waits: from.is_some_and(|j| !j.waiting.is_empty()),
        }
    }

    /// Lets every loan go on: who is to be stopped is, and room is kept for whose it is.
    pub fn step_loans(&mut self, now: Time, wall: u64) {
        let mut loans = std::mem::take(&mut self.loans);
        let todo = loans.step(wall, |lender, loan| self.seen_of(lender, loan, now));
        self.loans = loans;
        for it in todo {
            match it {
                Todo::Stop { lender, machine } => {
                    let Some(job) = self.jobs.get(lender.as_str()) else { continue };
                    let there =
                        |a: &&crate::job::Attempt| *a.machine == *machine && a.stop.is_none();
                    let task = job.attempts.iter().find(|(_, a)| there(a)).map(|(t, _)| *t);
                    if let Some(task) = task {
                        self.want_stop(&JobId::from(lender), task, now);
                    }
                }
                Todo::Keep { job, machine } => {
                    if let Some(job) = self.jobs.get_mut(job.as_str()) {
                        job.left.insert(MachineId::from(machine), now);
                    }
                }
            }
        }
    }

    /// Opens a loan for each gang among victims: those are stopped once that is written down. Gives back the others.
    pub fn lend(&mut self, by: &JobId, victims: Vec<(JobId, u32)>, wall: u64) -> Vec<(JobId, u32)> {
        let mut lenders: std::collections::BTreeMap<JobId, Vec<(String, f64)>> = Default::default();
        for (id, task) in &victims {
            let Some(job) = self.jobs.get(id).filter(|j| j.spec.kind == crate::job::Kind::Gang)
            else {
                continue;
            };
            if let Some(attempt) = job.attempts.get(task) {
                let machine = (attempt.machine.to_string(), job.spec.gpus);
                lenders.entry(id.clone()).or_default().push(machine);
            }
        }
        for (lender, machines) in &lenders {
            if self.loans.ask(lender, by, machines, wall) {
                let gpus: f64 = machines.iter().map(|m| m.1).sum();
                tracing::info!(job = %lender, to = %by, machines = machines.len(), gpus, "accelerators lent");
                self.happenings.note("job", "lends", lender, Some(by));
            }
        }
        victims.into_iter().filter(|(id, _)| !lenders.contains_key(id)).collect()
    }
}

impl Node {
    /// With every timer step of a leader: loans go on, and what has changed of them is written down.
    pub(super) fn tend_loans(&mut self) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        let durable = self.order.lends();
        for lender in leader.loans.asked() {
            let key = format!("{PREFIX}{lender}");
            let written =
                self.order.book.committed(&key).is_some() && self.order.book.settled(&key);
            if !durable || written {
                leader.loans.confirm(&lender, now.wall);
            }
        }
        leader.step_loans(now.steady, now.wall);
        let changed = leader.loans.take_changed();
        for (lender, lent) in changed.into_iter().filter(|_| durable) {
            let key = format!("{PREFIX}{lender}");
            match lent {
                Some(lent) => drop(self.order.book.put(&key, lent.record())),
                None => self.order.book.remove(&key),
            }
        }
    }

    /// A new leader finishes or undoes what its predecessor has begun.
    pub(super) fn restore_loans(&mut self) {
        let Some(leader) = self.leader.as_mut().filter(|_| self.order.lends()) else { return };
        for (key, value) in self.order.book.under(PREFIX) {
            match Lent::read(key, value) {
                Ok(lent) => leader.loans.restore(key.trim_start_matches(PREFIX), lent),
                Err(e) => tracing::error!(cause = %e, "a loan is not taken over"),
            }
        }
    }

    /// All loans, for operators; of one job if it is named.
    pub(super) fn show_loans(&self, of: Option<&str>) -> serde_json::Value {
        let now = self.now.wall;
        let all = self.leader.iter().flat_map(|l| l.loans.all());
        let its = all.filter(|(lender, l)| of.is_none_or(|id| *lender == id || l.borrower == id));
        let rows = its.map(|(lender, loan)| {
            json!({
                "lender": lender,
                "borrower": loan.borrower,
                "machine": loan.machine,
                "gpus": loan.gpus,
                "stage": format!("{:?}", loan.stage()).to_lowercase(),
                "for_s": now.saturating_sub(loan.since_wall) / 1_000,
            })
        });
        let rows: Vec<_> = rows.collect();
        let stops = of.and_then(|id| self.leader.as_ref()?.loans.of(id));
        json!({
            "durable": self.order.lends(),
            "loans": rows,
            "stopped_ms": stops.map(|l| l.stops.clone()).unwrap_or_default(),
        })
    }
}
