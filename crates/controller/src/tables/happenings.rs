//! What has happened, for those who are told of it.

use crate::constants::HAPPENINGS_MOST;

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub struct Happening {
    /// `task`, `job`, `machine`, `term` or `rental`.
    pub kind: &'static str,
    /// What.
    pub what: String,
    /// Of which.
    pub of: String,
    /// More, if there is any.
    pub detail: Option<String>,
}

/// What has happened since it was last told. Empty, and free of cost, while nobody listens.
#[derive(Debug, Default)]
pub struct Happenings {
    listened: bool,
    held: Vec<Happening>,
}

impl Happenings {
    /// Notes something. Between two tellings only so much is held.
    pub fn note(
        &mut self,
        kind: &'static str,
        what: impl std::fmt::Display,
        of: impl std::fmt::Display,
        detail: Option<&str>,
    ) {
        if self.listened && self.held.len() < HAPPENINGS_MOST {
            let detail = detail.map(str::to_string);
            let (what, of) = (what.to_string(), of.to_string());
            self.held.push(Happening { kind, what, of, detail });
        }
    }

    /// What there is to tell; and whether anybody listens from now on.
    pub fn take(&mut self, listened: bool) -> Vec<Happening> {
        self.listened = listened;
        std::mem::take(&mut self.held)
    }
}
