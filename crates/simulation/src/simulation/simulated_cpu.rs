//! What a node's work takes of its share of a core: events wait while it is busy, and the gate refuses
//! what it would at the entry of the program. The costs are the node's own counts; what an event leads
//! to is sent when its work begins, which is the one thing that real processes do not do.

use super::{Simulation, SimulationEvent};
use std::collections::VecDeque;
use swiftsail_controller::controller::{Action, Controller, Event, Reply, UserRequest};
use swiftsail_overload_control::admission::{AdmissionGate, RequestPriority};
use swiftsail_overload_control::memory_budget::MemoryBudget;

/// A node's processor.
#[derive(Debug, Default)]
pub(super) struct SimulatedCpu {
    /// When what it does now is done.
    pub free_at: u64,
    waiting: VecDeque<(Event, usize)>,
    body_gate: Option<AdmissionGate>,
    /// It will be told when it is free.
    is_wakeup_scheduled: bool,
}

/// A request from outside: its number, urgency, and about the length of its body.
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
    /// An event comes to a node whose work takes time.
    pub(super) fn enqueue_event(&mut self, n: usize, life: u64, event: Event) {
        let Some(node) = &self.controllers[n] else { return };
        let level = node.load_level();
        let most = MemoryBudget::divide(self.memory_mb, usize::MAX / 2).body_bytes;
        let processor = &mut self.processors[n];
        let gate = processor.body_gate.get_or_insert_with(|| AdmissionGate::new(most));
        let mut held = 0;
        if let Some((id, urgency, length)) = request_properties(&event) {
            match gate.try_admit(urgency, Some(length), level) {
                Some(bytes) => held = bytes,
                None => {
                    self.refused_requests += 1;
                    let reply = Reply::retry_later("this node has more to do than it can");
                    return self.execute_action(n, life, Action::Reply(id, reply));
                }
            }
        }
        processor.waiting.push_back((event, held));
        if self.now >= processor.free_at {
            self.process_next_event(n, life);
        } else if !std::mem::replace(&mut processor.is_wakeup_scheduled, true) {
            let at = processor.free_at;
            self.schedule(at, SimulationEvent::ProcessorFree(n, life));
        }
    }

    /// A node takes the next event that waits.
    pub(super) fn process_next_event(&mut self, n: usize, life: u64) {
        if self.incarnations[n] != life {
            return;
        }
        let cost = |node: &Option<Controller>| node.as_ref().map_or(0.0, Controller::cost_us);
        let before = cost(&self.controllers[n]);
        let Some((event, held)) = self.processors[n].waiting.pop_front() else { return };
        self.process_event(n, life, event);
        let us = cost(&self.controllers[n]) - before;
        let now = self.now;
        let processor = &mut self.processors[n];
        if let Some(gate) = &mut processor.body_gate {
            gate.release(held);
        }
        processor.free_at =
            now + (us / 1_000.0 / self.cores_per_controller.unwrap_or(1.0)).ceil() as u64;
        processor.is_wakeup_scheduled = !processor.waiting.is_empty();
        if processor.is_wakeup_scheduled {
            let at = processor.free_at;
            self.schedule(at, SimulationEvent::ProcessorFree(n, life));
        }
    }
}
