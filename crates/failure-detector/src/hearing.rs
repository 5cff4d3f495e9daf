//! Whether a machine hears: its reports arrive, but do the answers and commands reach it? A report alone is
//! life and not hearing. A machine that does not hear loses its lease again and again, and looks the best
//! place there is each time: empty, ready, its images held.

use crate::Time;
use crate::constants::*;

/// Where a machine's hearing stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Hearing {
    /// As far as anybody can tell.
    #[default]
    Hears,
    /// It did not do what it was told, or lost a lease that was answered: it is asked directly, and given
    /// nothing new.
    Doubted,
    /// What is said to it does not arrive.
    Deaf,
}

/// What tells of a machine's hearing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// A report shows what the answer to an earlier one has ordered.
    Heeded,
    /// A report shows nothing of what the answer to the one before has ordered.
    Unheeded,
    /// Its session ended although reports of the last lease were answered.
    Rose,
    /// Its session has lasted for longer than a lease, on answers alone.
    Lasted,
    /// It answered a question asked directly.
    Reached,
    /// A question asked directly found no connection, or no answer.
    Unreached,
}

/// What is remembered of a machine's hearing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ear {
    hearing: Hearing,
    since: Time,
    unheeded: u8,
    /// It lost another lease soon after it was believed to hear again: a question answered does not show
    /// that answers to reports arrive.
    stubborn: bool,
    /// Until when a lease lost counts as another.
    relapse_until: Time,
}

impl Ear {
    /// Where it stands.
    pub fn hearing(&self) -> Hearing {
        self.hearing
    }

    /// Since when.
    pub fn since(&self) -> Time {
        self.since
    }

    /// Whether it may be given work.
    pub fn hears(&self) -> bool {
        self.hearing == Hearing::Hears
    }

    /// The one function that changes what is held of a machine's hearing. True if it stands elsewhere now.
    pub fn advance(&mut self, sign: Sign, now: Time) -> bool {
        let count = match sign {
            Sign::Unheeded => self.unheeded.saturating_add(1),
            Sign::Heeded | Sign::Lasted => 0,
            _ => self.unheeded,
        };
        let to = match (self.hearing, sign) {
            // An order that was carried out, or a lease that lives, is proof whatever was held before.
            (_, Sign::Heeded | Sign::Lasted) => {
                self.stubborn = false;
                Hearing::Hears
            }
            (_, Sign::Rose) => {
                let again = now < self.relapse_until || self.hearing != Hearing::Hears;
                self.relapse_until = now + RELAPSE_MS;
                self.stubborn |= again;
                if again { Hearing::Deaf } else { Hearing::Doubted }
            }
            (Hearing::Hears, Sign::Unheeded) if count >= UNHEEDED_DOUBT => Hearing::Doubted,
            (Hearing::Doubted, Sign::Unheeded) if count >= UNHEEDED_DEAF => Hearing::Deaf,
            (Hearing::Doubted, Sign::Unreached) => Hearing::Deaf,
            (Hearing::Doubted | Hearing::Deaf, Sign::Reached) if !self.stubborn => Hearing::Hears,
            (held, _) => held,
        };
        let moved = to != self.hearing;
        self.unheeded = if moved && to == Hearing::Hears { 0 } else { count };
        if moved {
            (self.hearing, self.since) = (to, now);
        }
        moved
    }
}
