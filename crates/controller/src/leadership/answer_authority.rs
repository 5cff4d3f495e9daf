//! The basis on which a leader may answer workers' reports. A leader may answer only while it is certain to know every
//! cancellation that has been confirmed to a user. When it no longer is, it stops answering and the workers' leases
//! expire. Pure state, without I/O.

use crate::Time;

/// The basis on which a leader answers workers' reports. Its `Debug` form is written to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AnswerAuthority {
    /// The leader has read all job changes from the state service recently enough.
    #[default]
    OwnReads,
    /// The leader's own read is too old, but enough controllers endorse that it knows every cancellation confirmed to
    /// a user.
    Endorsed,
    /// Neither holds: the leader answers no worker, and the workers' leases expire.
    Lost,
}

impl AnswerAuthority {
    /// Returns the authority of a leader at `now`. `read_at` is the start of its latest successful read of the jobs.
    /// It knows, by that read or by endorsements, all cancellations confirmed to users before `known_as_of`. Each of
    /// the two times is valid for `validity_ms`.
    pub fn of(
        read_at: Option<Time>,
        known_as_of: Option<Time>,
        validity_ms: u64,
        now: Time,
    ) -> AnswerAuthority {
        let is_valid = |since: Option<Time>| since.is_some_and(|since| now < since + validity_ms);
        if is_valid(read_at) {
            AnswerAuthority::OwnReads
        } else if is_valid(known_as_of) {
            AnswerAuthority::Endorsed
        } else {
            AnswerAuthority::Lost
        }
    }

    /// Sets the authority; every change goes through this function. Returns whether it has changed.
    pub fn advance(&mut self, to: AnswerAuthority) -> bool {
        std::mem::replace(self, to) != to
    }
}
