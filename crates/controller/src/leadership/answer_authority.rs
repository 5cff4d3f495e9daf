//! By what a leader answers its workers, for those on call: told when it changes.

use crate::Time;

/// By what a leader answers its workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AnswerAuthority {
    /// By what it has read of the state service itself.
    #[default]
    OwnReads,
    /// It has not read for too long; enough other controllers vouch that it knows what users were told.
    Endorsed,
    /// By nothing: it answers no worker, and leases end.
    Lost,
}

impl AnswerAuthority {
    /// What a leader has that read then, and knows what users were told as of then, if for so long at most it may
    /// go on.
    pub fn of(
        read: Option<Time>,
        known: Option<Time>,
        limit_ms: u64,
        now: Time,
    ) -> AnswerAuthority {
        let counts = |at: Option<Time>| at.is_some_and(|at| now < at + limit_ms);
        match (counts(read), counts(known)) {
            (true, _) => AnswerAuthority::OwnReads,
            (false, true) => AnswerAuthority::Endorsed,
            (false, false) => AnswerAuthority::Lost,
        }
    }

    /// The one function that changes it. True if it has changed.
    pub fn advance(&mut self, to: AnswerAuthority) -> bool {
        std::mem::replace(self, to) != to
    }
}
