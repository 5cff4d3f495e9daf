//! What a round knows of the market for machines.

use std::collections::HashMap;

/// Which types, zones and kinds may be asked for now.
#[derive(Debug, Default)]
pub(super) struct Open {
    pub known: HashMap<(usize, usize, bool), bool>,
    pub zones: Option<Zones>,
}

/// Where machines are, up or asked for.
#[derive(Debug, Default)]
pub(super) struct Zones {
    /// By type and zone.
    pub machines: HashMap<(usize, usize), u32>,
    /// Zones most of whose machines are silent.
    pub silent: Vec<usize>,
}
