//! The protocol's largest size of a message between workers and controllers, which is measured as JSON.

use super::Simulation;
use serde::Serialize;
use swiftsail_controller::controller::Reply;
use swiftsail_protocol as wire;
use swiftsail_protocol::constants::MAX_BODY_BYTES;
use swiftsail_protocol::workers::{DirectCommands, HeartbeatResponse, StatusReport};

/// Tasks or commands up to which a message is not measured, since it cannot be too large.
const UNMEASURED_ENTRIES: usize = 200;

/// The size of a message as JSON, bytes.
fn json_bytes<T: Serialize>(message: &T) -> usize {
    serde_json::to_vec(message).map_or(usize::MAX, |json| json.len())
}

impl Simulation {
    /// Whether a controller refuses a report because of its size. That is a violation: the lease of the machine would end
    /// with all that runs on it.
    pub(super) fn is_report_refused(&mut self, report: &StatusReport) -> bool {
        report.tasks.len() > UNMEASURED_ENTRIES
            && self.is_too_large("report", &report.machine, json_bytes(report))
    }

    /// Checks the size of a response to a report of a machine.
    pub(super) fn check_response_size(&mut self, machine: &str, reply: &Reply) {
        let response = wire::decode::<HeartbeatResponse>(&reply.body).ok();
        let is_measured =
            |response: &HeartbeatResponse| response.commands.len() > UNMEASURED_ENTRIES;
        if let Some(response) = response.filter(is_measured) {
            self.is_too_large("response", machine, json_bytes(&response));
        }
    }

    /// Checks the size of commands sent directly to the worker at an address.
    pub(super) fn check_commands_size(&mut self, address: &str, direct: &DirectCommands) {
        if direct.commands.len() > UNMEASURED_ENTRIES {
            self.is_too_large("commands", address, json_bytes(direct));
        }
    }

    /// Whether a message is too large. Records it as a violation.
    fn is_too_large(&mut self, kind: &str, worker: &str, bytes: usize) -> bool {
        let is_too_large = bytes > MAX_BODY_BYTES;
        if is_too_large {
            self.violations.push(format!("too_large: {kind} of {bytes} bytes, {worker}"));
        }
        is_too_large
    }
}
