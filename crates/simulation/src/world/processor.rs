//! What a node's work takes of its share of a core: events wait while it is busy, and the gate refuses
//! what it would at the entry of the program. The costs are the node's own counts; what an event leads
//! to is sent when its work begins, which is the one thing that real processes do not do.

use super::{Ev, World};
use std::collections::VecDeque;
use swiftsail_controller::node::{Action, Ask, Event, Node, Reply};
use swiftsail_overload_control::budget::Budget;
use swiftsail_overload_control::gate::{Gate, Urgency};

/// A node's processor.
#[derive(Debug, Default)]
pub(super) struct Processor {
    /// When what it does now is done.
    pub free_at: u64,
    waiting: VecDeque<(Event, usize)>,
    gate: Option<Gate>,
    /// It will be told when it is free.
    woken: bool,
}

/// A request from outside: its number, urgency, and about the length of its body.
fn asked(event: &Event) -> Option<(u64, Urgency, usize)> {
    Some(match event {
        Event::Report(id, report) => (*id, Urgency::Reports, 250 + 90 * report.shards.len()),
        Event::Batch(id, batch) => (*id, Urgency::Controllers, 400 * batch.reports.len()),
        Event::User(id, Ask::Submit(body)) => (*id, Urgency::Submit, body.len()),
        Event::User(id, Ask::Poll(_)) => (*id, Urgency::Poll, 0),
        Event::User(id, Ask::Press(_)) => (*id, Urgency::Withdraw, 0),
        Event::User(id, _) => (*id, Urgency::Withdraw, 0),
        _ => return None,
    })
}

impl World {
    /// An event comes to a node whose work takes time.
    pub(super) fn queue_up(&mut self, n: usize, life: u64, event: Event) {
        let Some(node) = &self.nodes[n] else { return };
        let level = node.level();
        let most = Budget::of(self.memory_mb, usize::MAX / 2).body_bytes;
        let processor = &mut self.processors[n];
        let gate = processor.gate.get_or_insert_with(|| Gate::new(most));
        let mut held = 0;
        if let Some((id, urgency, length)) = asked(&event) {
            match gate.enter(urgency, Some(length), level) {
                Some(bytes) => held = bytes,
                None => {
                    self.refused += 1;
                    let reply = Reply::later("this node has more to do than it can");
                    return self.act(n, life, Action::Reply(id, reply));
                }
            }
        }
        processor.waiting.push_back((event, held));
        if self.now >= processor.free_at {
            self.go_on(n, life);
        } else if !std::mem::replace(&mut processor.woken, true) {
            let at = processor.free_at;
            self.at(at, Ev::Free(n, life));
        }
    }

    /// A node takes the next event that waits.
    pub(super) fn go_on(&mut self, n: usize, life: u64) {
        if self.lives[n] != life {
            return;
        }
        let cost = |node: &Option<Node>| node.as_ref().map_or(0.0, Node::cost_us);
        let before = cost(&self.nodes[n]);
        let Some((event, held)) = self.processors[n].waiting.pop_front() else { return };
        self.work(n, life, event);
        let us = cost(&self.nodes[n]) - before;
        let now = self.now;
        let processor = &mut self.processors[n];
        if let Some(gate) = &mut processor.gate {
            gate.leave(held);
        }
        processor.free_at = now + (us / 1_000.0 / self.cores.unwrap_or(1.0)).ceil() as u64;
        processor.woken = !processor.waiting.is_empty();
        if processor.woken {
            let at = processor.free_at;
            self.at(at, Ev::Free(n, life));
        }
    }
}
