//! Attempts: an attempt is one execution of a task on one machine, from the commit of its binding until it is confirmed
//! gone. It belongs to its [`Job`](super::Job) and calls nothing; the reconciliation of worker reports advances it.

use super::{Binding, MachineId};
use crate::Time;
use crate::machine::MessageOrder;
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

/// A request to stop an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopRequest {
    /// When the stop was first requested.
    pub requested_at: Time,
    /// When the stop command was last sent directly to the worker; none: not yet.
    pub sent_at: Option<Time>,
}

impl StopRequest {
    /// A stop requested now, of which no command was sent yet.
    pub fn unsent(now: Time) -> StopRequest {
        StopRequest { requested_at: now, sent_at: None }
    }
}

/// One attempt of a task on a machine.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its number, never used twice for a task.
    pub number: u64,
    /// The machine that it is bound to.
    pub machine: MachineId,
    /// Session of the machine's worker when it was bound. In a later session it cannot be started.
    pub worker_session: u64,
    /// Changed only by [`Attempt::advance`].
    phase: AttemptPhase,
    /// A report has shown a phase after the image fetch.
    image_seen: bool,
    /// It was bound under an earlier leader: its start is never offered again.
    pub from_previous_term: bool,
    /// The report whose response last carried the start. None: no start is outstanding.
    pub offered_in: Option<MessageOrder>,
    /// A report has listed it.
    pub is_reported: bool,
    /// Its start must not be offered (again).
    pub start_withdrawn: bool,
    /// When it was bound, or first known to this leader.
    pub bound_at: Time,
    /// When a report first showed it running.
    pub running_since: Option<Time>,
    /// Set while it is to be stopped.
    pub stop_requested: Option<StopRequest>,
}

impl Attempt {
    /// A new attempt whose binding is yet to be committed.
    pub fn new(number: u64, machine: MachineId, worker_session: u64, now: Time) -> Attempt {
        Attempt {
            number,
            machine,
            worker_session,
            phase: AttemptPhase::Committing,
            image_seen: false,
            from_previous_term: false,
            offered_in: None,
            is_reported: false,
            start_withdrawn: false,
            bound_at: now,
            running_since: None,
            stop_requested: None,
        }
    }

    /// An attempt whose binding a new leader has read from the store.
    pub fn restored(binding: &Binding, now: Time) -> Attempt {
        Attempt {
            phase: AttemptPhase::Bound,
            from_previous_term: true,
            ..Attempt::new(binding.attempt, binding.machine.clone(), binding.worker_session, now)
        }
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
            self.running_since = Some(now);
        }
        self.phase = to;
        true
    }

    /// Whether its machine is assumed to have its image: a report showed a phase after the fetch, or an earlier leader
    /// bound it.
    pub fn had_image(&self) -> bool {
        self.image_seen || self.from_previous_term
    }

    /// Its binding as it is stored. `task` is the number of its task in the job.
    pub fn binding(&self, task: u32) -> Binding {
        Binding {
            task,
            attempt: self.number,
            machine: self.machine.clone(),
            worker_session: self.worker_session,
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
        !self.is_reported && !self.from_previous_term
    }
}
