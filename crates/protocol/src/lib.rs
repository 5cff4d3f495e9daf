//! The messages of every interface, exactly as they travel, and the checks on what users submit.
//!
//! This is the only place that knows the protocol's own words (`helm`, `berth`, `hulls`): they stand in serde
//! attributes, and each doc comment names the wire word of its field. Everywhere else the code uses the terms of
//! `docs/glossary.md`. Nothing here keeps state or does I/O.
//!
//! - [`users`]: jobs, their status, errors; [`submission`] reads and writes what users submit
//! - [`workers`]: reports (heartbeats) and commands
//! - [`controllers`]: heartbeats and forwarded reports between controllers
//! - [`cloud`]: machine types, rental, return and the machine list
//! - [`state`]: keys, transactions, leases and watches of the state service

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cloud;
pub mod constants;
pub mod controllers;
pub mod state;
pub mod submission;
pub mod users;
pub mod workers;

use serde::{Serialize, de::DeserializeOwned};

/// Why a request body was refused. The text is for the user who sent it: cause and remedy.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    /// The body has that many bytes, more than the interface allows.
    #[error("the body has {0} bytes, more than the limit; send less")]
    TooLarge(usize),
    /// The body is not MessagePack of the expected form.
    #[error("the body cannot be read: {0}; send a MessagePack map as the protocol describes")]
    Malformed(String),
    /// A field (by its wire name) is missing or has a value that it cannot have; what is wrong with it.
    #[error("field `{0}`: {1}")]
    InvalidField(&'static str, &'static str),
}

/// Reads a MessagePack body. Unknown fields are ignored.
///
/// # Errors
/// [`ProtocolError::Malformed`] if it has not the form of `T`.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, ProtocolError> {
    rmp_serde::from_slice(body).map_err(|e| ProtocolError::Malformed(e.to_string()))
}

/// Writes a MessagePack body: structs as maps keyed by field name. The types of this package can always be written;
/// should one fail nevertheless the body is empty, which every reader refuses.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_default()
}
