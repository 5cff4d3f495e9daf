//! What this node's work costs it, and what it does less of when it falls behind.

use super::{Event, Node};
use crate::Time;
use crate::constants::*;
use crate::machine::Standing;
use crate::settings::Settings;
use crate::steering::Bounds;
use crate::store::Outcome;
use crate::tables::{Tables, Wish};
use swiftsail_overload_control::budget::Budget;
use swiftsail_overload_control::constants::{INTERVAL_MS, LOAD_MOST, LOAD_SMOOTH_MS};
use swiftsail_overload_control::headroom::{Bound, machines_most};
use swiftsail_overload_control::pressure::Level;
use swiftsail_protocol::controllers::Passed;

impl Node {
    /// A timer step has come: how late tells how long work waits for the processor.
    pub(super) fn feel(&mut self, now: Time) {
        let due = self.ticked_at + TICK_MS;
        self.count_load(now);
        let first = std::mem::replace(&mut self.ticked_at, now) == 0;
        if !first && self.pressure.sample(now.saturating_sub(due), now) {
            let level = self.pressure.level();
            tracing::info!(?level, load = ?self.load.share(), "pressure");
        }
    }

    /// How pressed this node is: the front sheds by it.
    pub fn level(&self) -> Level {
        self.pressure.level()
    }

    /// The process has used so much of a core. What is more than its share can hold is not the
    /// processor's time: some platforms answer that clock with the steady time.
    pub(super) fn on_spent(&mut self, us: u64, over_ms: u64) {
        if us as f64 <= self.share_us(over_ms) * SHARE_BELIEVED {
            self.measured_at = self.now.steady;
            self.note_load(us as f64, over_ms);
        }
    }

    fn note_load(&mut self, us: f64, over_ms: u64) {
        let passes = self.pass_us - self.counted.2;
        self.counted = (self.now.steady, self.cost_us, self.pass_us);
        let whole = self.share_us(over_ms);
        self.load.note(us / whole, over_ms as f64);
        // Placement makes do with what is left: it says nothing about how many machines can be led.
        self.upkeep.note((us - passes).max(0.0) / whole, over_ms as f64);
    }

    /// Processor time that the platform gives in so much time, us.
    fn share_us(&self, over_ms: u64) -> f64 {
        over_ms as f64 * MS_PER_S * self.settings.settings.machine_limits.cores
    }

    /// Counts what an event costs, by what was measured for its kind, us of a whole core.
    pub(super) fn count_cost(&mut self, event: &Event) {
        let machines = self.leader.as_ref().map_or(0, |l| l.machines.len());
        self.cost_us += match event {
            Event::Tick => TICK_US + machines as f64 * TICK_MACHINE_US,
            Event::Report(_, report) | Event::Answer(report) => {
                REPORT_US + report.shards.len() as f64 * SHARD_US
            }
            Event::Batch(_, batch) => {
                let shards = batch.reports.iter().map(|p| match p {
                    Passed::Whole { report, .. } => 1 + report.shards.len(),
                    Passed::Same { .. } => 1,
                });
                let shards: usize = shards.sum();
                let each = batch.reports.len() as f64 * PASSED_US + shards as f64 * SHARD_US;
                CALL_US + each + batch.well.len() as f64 * WELL_US
            }
            Event::Relayed(_, Some(answers)) => CALL_US + answers.orders.len() as f64 * SHARD_US,
            Event::User(..) => REPORT_US,
            Event::Store(_, Outcome::Page(page)) => CALL_US + page.pairs.len() as f64 * PASSED_US,
            _ => CALL_US,
        };
    }

    /// What this node's work has cost since it began, by count, us of a whole core.
    pub fn cost_us(&self) -> f64 {
        self.cost_us + self.pass_us
    }

    /// With every timer step: where the platform does not tell what the process uses, it is counted.
    fn count_load(&mut self, now: Time) {
        let over_ms = now.saturating_sub(self.counted.0);
        if over_ms >= INTERVAL_MS && now >= self.measured_at + LOAD_SMOOTH_MS as u64 {
            let us = self.cost_us - self.counted.1 + self.pass_us - self.counted.2;
            self.note_load(us, over_ms);
        }
    }

    /// Bounds of the next pass.
    pub(super) fn bounds(&self) -> Bounds {
        let machines = self.leader.as_ref().map_or(0, |l| l.machines.len());
        let waits = |l: &Tables| l.jobs.values().filter(|j| j.queued()).count();
        let open = self.leader.as_ref().map_or(0, waits).max(1);
        // Each job that waits looks at every place, twice if it does not pass. Hundreds of jobs of one task
        // at thousands of lines took longer than the grant lasts.
        let looks = (self.share_us(LOOKS_MS as u64) / (2.0 * LOOK_US)) as usize;
        let lines = (looks / open).saturating_sub(machines).max(LINES_LEAST);
        let lines = self.pressure.shrunk(LINES_MOST).min(lines);
        let places = (machines + lines).max(1);
        let by_memory = self.budget.pass_bytes / (places * PLACE_BYTES);
        let jobs = self.pressure.shrunk(PASS_JOBS).min(by_memory).min(looks / places);
        Bounds {
            binds: self.pressure.shrunk(PASS_BINDS),
            joins: self.pressure.shrunk(PASS_JOINS),
            jobs: jobs.max(PASS_JOBS_LEAST),
            lines,
            scarce: self.machines_left() < RENT_MOST as usize,
        }
    }

    /// Machines that these controllers can hear and lead, and what bounds them.
    pub(super) fn machines_most(&self) -> (usize, Bound) {
        let machines = self.leader.as_ref().map_or(0, |l| l.machines.len());
        let heard = |at: Time| self.now.steady.saturating_sub(at) <= BEAT_FRESH_MS;
        let peers = self.peers.values().filter(|p| heard(p.voucher.heard));
        let loads: Vec<f64> = peers.filter_map(|p| p.upkeep).chain(self.upkeep.share()).collect();
        let Settings { settings, .. } = &*self.settings;
        let each_us = REPORT_US / settings.workers.report_s;
        let whole_us = self.share_us(1_000) * LOAD_MOST * self.settings.controllers() as f64;
        let guess = (whole_us / each_us) as usize;
        let Budget { connections, machines: tables, .. } = self.budget;
        machines_most(machines, &loads, guess, self.settings.controllers(), connections, tables)
    }

    /// Machines that may still be rented.
    fn machines_left(&self) -> usize {
        let Some(leader) = &self.leader else { return 0 };
        let gone = leader.machines.values().filter(|m| m.standing() == Standing::Returning).count();
        let asked: usize = leader.rentals.asked().map(|(wish, _)| wish.number as usize).sum();
        let there = (leader.machines.len() - gone) + asked;
        self.machines_most().0.saturating_sub(there)
    }

    /// Whether there are more machines than can be led: idle ones then go at once.
    pub(super) fn crowded(&self) -> bool {
        self.leader.as_ref().is_some_and(|l| l.machines.len() > self.machines_most().0)
    }

    /// Leaves out wishes beyond what these controllers can lead, the least wanted last.
    pub(super) fn keep_to_headroom(&mut self, wishes: &mut Vec<Wish>) {
        let wanted: usize = wishes.iter().map(|w| w.number as usize).sum();
        let mut left = self.machines_left();
        if wanted <= left {
            return;
        }
        let (most, bound) = self.machines_most();
        let now = self.now.steady;
        if now >= self.bound_told_at + STATUS_MS {
            self.bound_told_at = now;
            tracing::warn!(
                wanted,
                left,
                most,
                ?bound,
                "no more machines are rented than these controllers can lead"
            );
        }
        for wish in wishes.iter_mut() {
            wish.number = wish.number.min(left as u32);
            left -= wish.number as usize;
        }
        wishes.retain(|w| w.number > 0);
    }
}
