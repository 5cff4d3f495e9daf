//! Processor accounting: what the controller's work costs, and what it does less of when it falls behind.
//!
//! A controller may have a small share of a core. Where the platform measures what the process uses, that counts; else
//! the cost of each event is estimated from measured costs by kind. The result bounds scheduling cycles and the number of
//! machines that the controllers can manage.

use super::{Controller, Event};
use crate::Time;
use crate::constants::{
    CALL_COST_US, FORWARDED_REPORT_COST_US, MAX_PLAUSIBLE_CPU_FACTOR, MS_PER_S, REPORT_COST_US,
    TASK_STATUS_COST_US, TICK_COST_US, TICK_INTERVAL_MS, TICK_MACHINE_COST_US,
    UNCHANGED_MACHINE_COST_US,
};
use crate::store::StoreOutcome;
use swiftsail_overload_control::constants::{DELAY_INTERVAL_MS, LOAD_SMOOTHING_MS};
use swiftsail_overload_control::fleet_limit::CpuLoad;
use swiftsail_overload_control::load_level::LoadLevel;
use swiftsail_protocol::controllers::ForwardedReport;

/// Costs of this process since it began, us of a whole core, at one time.
#[derive(Debug, Clone, Copy)]
struct CostSnapshot {
    at: Time,
    events_us: f64,
    cycles_us: f64,
}

/// Processor time used by this controller.
#[derive(Debug)]
pub(super) struct CpuAccounting {
    /// Share of a core that the platform gives.
    cores: f64,
    /// Smoothed load, as a part of that share.
    load: CpuLoad,
    /// The part of the load that machines cost, whatever is placed on them.
    baseline_load: CpuLoad,
    /// When the platform last measured what the process uses.
    measured_at: Time,
    /// Estimated cost of events so far, us of a whole core.
    events_us: f64,
    /// Estimated cost of scheduling cycles so far, us of a whole core.
    cycles_us: f64,
    /// The costs when the load was last sampled.
    sampled: CostSnapshot,
}

impl CpuAccounting {
    /// Nothing used yet, on this share of a core.
    pub fn new(cores: f64, now: Time) -> CpuAccounting {
        CpuAccounting {
            cores,
            load: CpuLoad::default(),
            baseline_load: CpuLoad::default(),
            measured_at: 0,
            events_us: 0.0,
            cycles_us: 0.0,
            sampled: CostSnapshot { at: now, events_us: 0.0, cycles_us: 0.0 },
        }
    }

    /// Load as a part of the platform's share; none: not known yet.
    pub fn load(&self) -> Option<f64> {
        self.load.share()
    }

    /// The part of the load that machines cost; none: not known yet.
    pub fn baseline_load(&self) -> Option<f64> {
        self.baseline_load.share()
    }

    /// Estimated cost so far, us of a whole core.
    pub fn total_us(&self) -> f64 {
        self.events_us + self.cycles_us
    }

    /// Processor time that the platform gives within this time, us of a whole core.
    pub fn available_us(&self, over_ms: u64) -> f64 {
        over_ms as f64 * MS_PER_S * self.cores
    }

    /// Charges a scheduling cycle, us of a whole core.
    pub fn charge_cycle(&mut self, cost_us: f64) {
        self.cycles_us += cost_us;
    }

    /// Charges an event by the measured cost of its kind. `machines`: how many the leader manages.
    pub fn charge_event(&mut self, event: &Event, machines: usize) {
        self.events_us += event_cost_us(event, machines);
    }

    /// The platform measured this much use within this time. More than the share allows is not processor time: some
    /// platforms answer that clock with the monotonic time.
    fn on_measurement(&mut self, used_us: u64, over_ms: u64, now: Time) {
        if used_us as f64 <= self.available_us(over_ms) * MAX_PLAUSIBLE_CPU_FACTOR {
            self.measured_at = now;
            self.sample(used_us as f64, over_ms, now);
        }
    }

    /// Where the platform does not measure, the load is sampled from estimated costs. Called with every tick.
    fn sample_estimate(&mut self, now: Time) {
        let over_ms = now.saturating_sub(self.sampled.at);
        if over_ms >= DELAY_INTERVAL_MS && now >= self.measured_at + LOAD_SMOOTHING_MS as u64 {
            let events_us = self.events_us - self.sampled.events_us;
            let used_us = events_us + self.cycles_us - self.sampled.cycles_us;
            self.sample(used_us, over_ms, now);
        }
    }

    /// Scheduling cycles make do with what is left, so they are not part of the baseline.
    fn sample(&mut self, used_us: f64, over_ms: u64, now: Time) {
        let cycles_us = self.cycles_us - self.sampled.cycles_us;
        self.sampled =
            CostSnapshot { at: now, events_us: self.events_us, cycles_us: self.cycles_us };
        let available_us = self.available_us(over_ms);
        self.load.record(used_us / available_us, over_ms as f64);
        self.baseline_load.record((used_us - cycles_us).max(0.0) / available_us, over_ms as f64);
    }
}

/// Estimated cost of handling an event, us of a whole core.
fn event_cost_us(event: &Event, machines: usize) -> f64 {
    match event {
        Event::Tick => TICK_COST_US + machines as f64 * TICK_MACHINE_COST_US,
        Event::StatusReport(_, report) | Event::CommandResponse(report) => {
            REPORT_COST_US + report.tasks.len() as f64 * TASK_STATUS_COST_US
        }
        Event::ForwardedReports(_, batch) => {
            let shards = batch.reports.iter().map(|p| match p {
                ForwardedReport::Full { report, .. } => 1 + report.tasks.len(),
                ForwardedReport::Unchanged { .. } => 1,
            });
            let shards: usize = shards.sum();
            let each = batch.reports.len() as f64 * FORWARDED_REPORT_COST_US
                + shards as f64 * TASK_STATUS_COST_US;
            CALL_COST_US + each + batch.locally_answered.len() as f64 * UNCHANGED_MACHINE_COST_US
        }
        Event::ForwardedAnswers(_, Some(answers)) => {
            CALL_COST_US + answers.commands.len() as f64 * TASK_STATUS_COST_US
        }
        Event::UserRequest(..) => REPORT_COST_US,
        Event::StoreResponse(_, StoreOutcome::Page(page)) => {
            CALL_COST_US + page.entries.len() as f64 * FORWARDED_REPORT_COST_US
        }
        _ => CALL_COST_US,
    }
}

impl Controller {
    /// Samples the load at a tick. How late the tick is shows how long work waits for the processor.
    pub(super) fn update_load_level(&mut self, now: Time) {
        let due = self.last_tick_at + TICK_INTERVAL_MS;
        self.cpu.sample_estimate(now);
        let is_first = std::mem::replace(&mut self.last_tick_at, now) == 0;
        if !is_first && self.load_level.record_delay(now.saturating_sub(due), now) {
            let level = self.load_level.level();
            tracing::info!(?level, load = ?self.cpu.load(), "load level changed");
        }
    }

    /// How far this controller is behind its work. Admission control sheds load by it.
    pub fn load_level(&self) -> LoadLevel {
        self.load_level.level()
    }

    /// The platform measured the processor time used: us of a whole core, within this time, ms.
    pub(super) fn on_cpu_usage(&mut self, used_us: u64, over_ms: u64) {
        self.cpu.on_measurement(used_us, over_ms, self.now.monotonic);
    }

    /// Estimated processor time used since the process began, us of a whole core.
    pub fn cost_us(&self) -> f64 {
        self.cpu.total_us()
    }
}
