//! Processor accounting: the load that the controller's work causes, and its load level.
//!
//! A controller may have only a small share of a core. If the platform measures the processor time of the process,
//! those measurements are used; otherwise the cost of each event is estimated by its kind. The results bound
//! scheduling cycles and the number of machines that the controllers can manage.

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

/// Estimated costs from the start of the process to the time `at`, us of a whole core.
#[derive(Debug, Clone, Copy)]
struct CostSnapshot {
    at: Time,
    events_us: f64,
    cycles_us: f64,
}

/// Processor time used by this controller.
#[derive(Debug)]
pub(super) struct CpuAccounting {
    /// Number of cores, usually a fraction of one, that the platform gives this controller.
    cores: f64,
    /// Smoothed load, as a fraction of `cores`.
    load: CpuLoad,
    /// Smoothed load without scheduling cycles, as a fraction of `cores`.
    baseline_load: CpuLoad,
    /// When the platform last measured the processor time of the process.
    measured_at: Time,
    /// Estimated cost of events so far, us of a whole core.
    events_us: f64,
    /// Estimated cost of scheduling cycles so far, us of a whole core.
    cycles_us: f64,
    /// Costs at the time of the last load sample.
    sampled: CostSnapshot,
}

impl CpuAccounting {
    /// Starts accounting at `now` for a controller with this number of cores.
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

    /// Smoothed load, as a fraction of the processor time available; `None` until it is known.
    pub fn load(&self) -> Option<f64> {
        self.load.share()
    }

    /// Smoothed load without scheduling cycles, as a fraction of the processor time available; `None` until it is
    /// known.
    pub fn baseline_load(&self) -> Option<f64> {
        self.baseline_load.share()
    }

    /// Estimated cost of all events and scheduling cycles so far, us of a whole core.
    pub fn total_us(&self) -> f64 {
        self.events_us + self.cycles_us
    }

    /// Processor time available within `over_ms`, us of a whole core.
    pub fn available_us(&self, over_ms: u64) -> f64 {
        over_ms as f64 * MS_PER_S * self.cores
    }

    /// Adds the estimated cost of a scheduling cycle, us of a whole core.
    pub fn charge_cycle(&mut self, cost_us: f64) {
        self.cycles_us += cost_us;
    }

    /// Adds the estimated cost of an event. `machines`: the number of machines that the leader manages.
    pub fn charge_event(&mut self, event: &Event, machines: usize) {
        self.events_us += event_cost_us(event, machines);
    }

    /// Records a measurement of the platform: the process used `used_us` within `over_ms`. A value far above the
    /// processor time available is ignored: some platforms return monotonic time for the process's CPU clock.
    fn on_measurement(&mut self, used_us: u64, over_ms: u64, now: Time) {
        if used_us as f64 <= self.available_us(over_ms) * MAX_PLAUSIBLE_CPU_FACTOR {
            self.measured_at = now;
            self.sample(used_us as f64, over_ms, now);
        }
    }

    /// Samples the load from estimated costs, if the platform has not measured it for a while. Called at every tick.
    fn sample_estimate(&mut self, now: Time) {
        let over_ms = now.saturating_sub(self.sampled.at);
        if over_ms >= DELAY_INTERVAL_MS && now >= self.measured_at + LOAD_SMOOTHING_MS as u64 {
            let events_us = self.events_us - self.sampled.events_us;
            let used_us = events_us + self.cycles_us - self.sampled.cycles_us;
            self.sample(used_us, over_ms, now);
        }
    }

    /// Records a load sample of `used_us` within `over_ms`. Scheduling cycles adapt to the processor time that is
    /// left, so the baseline excludes them.
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
            let entries = batch.reports.iter().map(|report| match report {
                ForwardedReport::Full { report, .. } => 1 + report.tasks.len(),
                ForwardedReport::Unchanged { .. } => 1,
            });
            let entries: usize = entries.sum();
            let reports_us = batch.reports.len() as f64 * FORWARDED_REPORT_COST_US
                + entries as f64 * TASK_STATUS_COST_US;
            CALL_COST_US
                + reports_us
                + batch.locally_answered.len() as f64 * UNCHANGED_MACHINE_COST_US
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
    /// Updates load and load level at a tick. The tick's delay shows how long work waits for the processor.
    pub(super) fn update_load_level(&mut self, now: Time) {
        let due_at = self.last_tick_at + TICK_INTERVAL_MS;
        self.cpu.sample_estimate(now);
        let is_first = std::mem::replace(&mut self.last_tick_at, now) == 0;
        if !is_first && self.load_level.record_delay(now.saturating_sub(due_at), now) {
            let level = self.load_level.level();
            tracing::info!(?level, load = ?self.cpu.load(), "load level changed");
        }
    }

    /// The current load level. Admission control sheds requests according to it.
    pub fn load_level(&self) -> LoadLevel {
        self.load_level.level()
    }

    /// Handles a measurement of the platform: the process used `used_us` (us of a whole core) within `over_ms`.
    pub(super) fn on_cpu_usage(&mut self, used_us: u64, over_ms: u64) {
        self.cpu.on_measurement(used_us, over_ms, self.now.monotonic);
    }

    /// Estimated processor time used since the process started, us of a whole core.
    pub fn cost_us(&self) -> f64 {
        self.cpu.total_us()
    }
}
