//! Attempts: an attempt is one execution of a task on one machine, from the commit of its binding until it is confirmed
//! gone. It belongs to its [`Job`](super::Job) and calls nothing; the reconciliation of worker reports advances it.

use super::{Binding, MachineId};
use crate::Time;
use crate::machine::MessageOrder;
use nonmax::NonMaxU64;
use std::sync::Arc;
use swiftsail_protocol::workers::ExitCause;

/// Phase of an attempt, in the order in which they usually follow each other. Any may be skipped, since a report shows
/// only the phase of its moment; [`AttemptPhase::Exited`] is final.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Its binding is being committed; no start was offered.
    Committing,
    /// Its binding is committed; its start may be offered in responses to heartbeats.
    Bound,
    /// On the machine, fetching its image.
    Fetching,
    /// On the machine, waiting for the other tasks of its gang.
    WaitingForGang,
    /// Executing.
    Running,
    /// Saving a checkpoint after a stop command.
    Saving,
    /// Ended; kept until the consequence is committed.
    Exited(ExitCause),
}

/// Properties shared by the attempts that were bound to a machine at the same moment.
#[derive(Debug, PartialEq, Eq)]
struct AttemptOrigin {
    machine: MachineId,
    worker_session: u64,
    bound_at: Time,
    from_previous_term: bool,
}

/// One attempt of a task on a machine. A leader may hold 100,000 of them, so it is kept small, and what several attempts have
/// in common is shared.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its number, never used twice for a task.
    pub number: u64,
    origin: Arc<AttemptOrigin>,
    /// Changed only by [`Attempt::advance`].
    phase: AttemptPhase,
    /// A report has shown a phase after the image fetch.
    image_seen: bool,
    /// A report has listed it.
    pub is_reported: bool,
    /// Its start must not be offered (again).
    pub start_withdrawn: bool,
    /// Whether it is to be stopped.
    pub stop_requested: bool,
    /// When the stop command was last sent directly to the worker; none: not yet.
    stop_sent_at: Option<NonMaxU64>,
    /// When a report first showed it running.
    running_since: Option<NonMaxU64>,
    /// Sequence number of the report whose response last carried the start. None: no start is outstanding.
    offered_in: Option<NonMaxU64>,
}

impl Attempt {
    /// A new attempt whose binding is yet to be committed.
    pub fn new(number: u64, machine: MachineId, worker_session: u64, now: Time) -> Attempt {
        let origin =
            AttemptOrigin { machine, worker_session, bound_at: now, from_previous_term: false };
        Attempt::from_origin(number, origin, AttemptPhase::Committing)
    }

    fn from_origin(number: u64, origin: AttemptOrigin, phase: AttemptPhase) -> Attempt {
        Attempt {
            number,
            origin: Arc::new(origin),
            phase,
            image_seen: false,
            offered_in: None,
            is_reported: false,
            start_withdrawn: false,
            running_since: None,
            stop_requested: false,
            stop_sent_at: None,
        }
    }

    /// Uses the other attempt's origin, and frees its own, if both are equal.
    pub fn share_origin(&mut self, other: &Attempt) {
        if self.origin == other.origin {
            self.origin = other.origin.clone();
        }
    }

    /// The machine that it is bound to.
    pub fn machine(&self) -> &MachineId {
        &self.origin.machine
    }

    /// Session of the machine's worker when it was bound. In a later session it cannot be started.
    pub fn worker_session(&self) -> u64 {
        self.origin.worker_session
    }

    /// When it was bound, or first known to this leader.
    pub fn bound_at(&self) -> Time {
        self.origin.bound_at
    }

    /// Whether it was bound under an earlier leader: its start is never offered again.
    pub fn is_from_previous_term(&self) -> bool {
        self.origin.from_previous_term
    }

    /// An attempt whose binding a new leader has read from the store.
    pub fn restored(binding: &Binding, now: Time) -> Attempt {
        let origin = AttemptOrigin {
            machine: binding.machine.clone(),
            worker_session: binding.worker_session,
            bound_at: now,
            from_previous_term: true,
        };
        Attempt::from_origin(binding.attempt, origin, AttemptPhase::Bound)
    }

    /// Its current phase.
    pub fn phase(&self) -> AttemptPhase {
        self.phase
    }

    /// The only function that changes the phase. Returns whether it changed. An exited attempt stays exited, whatever a
    /// late report shows.
    pub fn advance(&mut self, to: AttemptPhase, now: Time) -> bool {
        if matches!(self.phase, AttemptPhase::Exited(_)) || self.phase == to {
            return false;
        }
        self.image_seen |= matches!(to, AttemptPhase::WaitingForGang | AttemptPhase::Running);
        if to == AttemptPhase::Running && self.running_since.is_none() {
            self.running_since = NonMaxU64::new(now);
        }
        self.phase = to;
        true
    }

    /// When a report first showed it running.
    pub fn running_since(&self) -> Option<Time> {
        self.running_since.map(|at| at.get())
    }

    /// The report whose response last carried the start. None: no start is outstanding. A start is offered only in the
    /// session in which the attempt was bound.
    pub fn offered_in(&self) -> Option<MessageOrder> {
        let sequence = self.offered_in?.get();
        Some(MessageOrder { session: self.worker_session(), sequence })
    }

    /// Records that the response to the report with this sequence number carries the start.
    pub fn offer_start(&mut self, sequence: u64) {
        self.offered_in = NonMaxU64::new(sequence);
    }

    /// Records that the worker has provably not executed the start that it was last sent.
    pub fn retract_offer(&mut self) {
        self.offered_in = None;
    }

    /// When the stop command was last sent directly to the worker; none: not yet.
    pub fn stop_sent_at(&self) -> Option<Time> {
        self.stop_sent_at.map(|at| at.get())
    }

    /// Records that a stop command is sent directly to the worker now.
    pub fn on_stop_sent(&mut self, now: Time) {
        self.stop_requested = true;
        self.stop_sent_at = NonMaxU64::new(now);
    }

    /// Whether its machine is assumed to have its image: a report showed a phase after the fetch, or an earlier leader
    /// bound it.
    pub fn had_image(&self) -> bool {
        self.image_seen || self.is_from_previous_term()
    }

    /// Its binding as it is stored. `task` is the number of its task in the job.
    pub fn binding(&self, task: u32) -> Binding {
        Binding {
            task,
            attempt: self.number,
            machine: self.machine().clone(),
            worker_session: self.worker_session(),
        }
    }

    /// Whether it counts against its machine's resources and its team's quota: it does until it is known to have
    /// exited.
    pub fn occupies_resources(&self) -> bool {
        !matches!(self.phase, AttemptPhase::Exited(_))
    }

    /// Whether it has ended with success.
    pub fn is_completed(&self) -> bool {
        self.phase == AttemptPhase::Exited(ExitCause::Completed)
    }

    /// Whether this leader bound it and no report has listed it: its worker may never have received the start.
    pub fn may_be_unstarted(&self) -> bool {
        !self.is_reported && !self.is_from_previous_term()
    }
}
