//! On what grounds a leader answers its workers. A leader may answer only while it knows every cancellation that
//! users were told of; when that ends, it stops, and
//! their leases run out. Pure; it calls nobody.

use crate::Time;

/// On what grounds a leader answers its workers. Its `Debug` form is written to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AnswerAuthority {
    /// It has itself read all changes of jobs from the state service recently enough.
    #[default]
    OwnReads,
    /// It has not, but enough controllers endorse that it knows every cancellation that users were told of.
    Endorsed,
    /// On none: it answers no worker, and their leases end.
    Lost,
}

impl AnswerAuthority {
    /// The authority of a leader whose latest successful read of the jobs began at `read_at`, and which knows all
    /// cancellations that users were told of before `known_as_of`, by that read or by endorsements. Either counts
    /// for `validity_ms`.
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

    /// The one function that changes it. True if it has changed.
    pub fn advance(&mut self, to: AnswerAuthority) -> bool {
        std::mem::replace(self, to) != to
    }
}
