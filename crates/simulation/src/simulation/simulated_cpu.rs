//! Simulates a controller with a limited share of a core: events queue while it is busy, and the admission gate refuses
//! the requests that it refuses at the entry of a real process. The CPU time of an event is the controller's own
//! estimate. Unlike in a real process, the actions of an event are executed when its processing starts.

use super::{Simulation, SimulationEvent};
use std::collections::VecDeque;
use swiftsail_controller::controller::{Action, Controller, Event, Reply, UserRequest};
use swiftsail_overload_control::admission::{AdmissionGate, RequestPriority};
use swiftsail_overload_control::memory_budget::MemoryBudget;

/// The CPU of a controller.
#[derive(Debug, Default)]
pub(super) struct SimulatedCpu {
    /// When the event being processed is done.
    pub free_at: u64,
    /// Queued events, each with the body bytes that the gate has admitted for it.
    waiting: VecDeque<(Event, usize)>,
    body_gate: Option<AdmissionGate>,
    /// Whether a [`SimulationEvent::ProcessorFree`] is scheduled.
    is_wakeup_scheduled: bool,
}

/// The request number, priority and approximate body length in bytes of an event that is an external request.
fn request_properties(event: &Event) -> Option<(u64, RequestPriority, usize)> {
    Some(match event {
        Event::StatusReport(id, report) => {
            (*id, RequestPriority::Reports, 250 + 90 * report.tasks.len())
        }
        Event::ForwardedReports(id, batch) => {
            (*id, RequestPriority::Controllers, 400 * batch.reports.len())
        }
        Event::UserRequest(id, UserRequest::Submit(body)) => {
            (*id, RequestPriority::Submissions, body.len())
        }
        Event::UserRequest(id, UserRequest::Poll(_)) => (*id, RequestPriority::Polls, 0),
        Event::UserRequest(id, UserRequest::RetriedPoll(_)) => {
            (*id, RequestPriority::Cancellations, 0)
        }
        Event::UserRequest(id, _) => (*id, RequestPriority::Cancellations, 0),
        _ => return None,
    })
}

impl Simulation {
    /// Queues an event for a controller with a limited CPU, and processes it at once if the CPU is free. A request that
    /// the admission gate refuses is answered at once.
    pub(super) fn enqueue_event(&mut self, n: usize, incarnation: u64, event: Event) {
        let Some(controller) = &self.controllers[n] else { return };
        let load_level = controller.load_level();
        let max_body_bytes = MemoryBudget::divide(self.memory_mb, usize::MAX / 2).body_bytes;
        let cpu = &mut self.processors[n];
        let gate = cpu.body_gate.get_or_insert_with(|| AdmissionGate::new(max_body_bytes));
        let mut admitted_bytes = 0;
        if let Some((id, priority, length)) = request_properties(&event) {
            match gate.try_admit(priority, Some(length), load_level) {
                Some(bytes) => admitted_bytes = bytes,
                None => {
                    self.refused_requests += 1;
                    let reply = Reply::retry_later("this node has more to do than it can");
                    return self.execute_action(n, incarnation, Action::Reply(id, reply));
                }
            }
        }
        cpu.waiting.push_back((event, admitted_bytes));
        if self.now >= cpu.free_at {
            self.process_next_event(n, incarnation);
        } else if !std::mem::replace(&mut cpu.is_wakeup_scheduled, true) {
            let at = cpu.free_at;
            self.schedule(at, SimulationEvent::ProcessorFree(n, incarnation));
        }
    }

    /// Processes the next queued event of a controller, and schedules the end of its processing.
    pub(super) fn process_next_event(&mut self, n: usize, incarnation: u64) {
        if self.incarnations[n] != incarnation {
            return;
        }
        let cost =
            |controller: &Option<Controller>| controller.as_ref().map_or(0.0, Controller::cost_us);
        let before = cost(&self.controllers[n]);
        let Some((event, admitted_bytes)) = self.processors[n].waiting.pop_front() else { return };
        self.process_event(n, incarnation, event);
        let cpu_us = cost(&self.controllers[n]) - before;
        let now = self.now;
        let cpu = &mut self.processors[n];
        if let Some(gate) = &mut cpu.body_gate {
            gate.release(admitted_bytes);
        }
        cpu.free_at =
            now + (cpu_us / 1_000.0 / self.cores_per_controller.unwrap_or(1.0)).ceil() as u64;
        cpu.is_wakeup_scheduled = !cpu.waiting.is_empty();
        if cpu.is_wakeup_scheduled {
            let at = cpu.free_at;
            self.schedule(at, SimulationEvent::ProcessorFree(n, incarnation));
        }
    }
}
