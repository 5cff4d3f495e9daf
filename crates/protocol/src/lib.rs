//! The wire format of all interfaces, and the validation of submissions.
//!
//! Only this crate contains the field names of the wire format (such as `helm`, `berth`, `hulls`). They appear in serde
//! attributes, and each doc comment states the wire name of its field if it differs. The rest of the code uses the terms
//! of `docs/glossary.md`. Nothing here keeps state or does I/O.
//!
//! - [`users`]: jobs, their status, and errors; [`submission`] reads and writes submissions
//! - [`workers`]: status reports (heartbeats) and commands
//! - [`controllers`]: heartbeats and forwarded reports between controllers
//! - [`cloud`]: machine types, renting and releasing machines, and the machine list
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

/// Why a request body was rejected. The text is sent to the user and states the cause and the remedy.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    /// The body is larger than [`MAX_BODY_BYTES`](constants::MAX_BODY_BYTES); its size in bytes.
    #[error("the body has {0} bytes, more than the limit; send less")]
    TooLarge(usize),
    /// The body is not valid MessagePack of the expected form; the details.
    #[error("the body cannot be read: {0}; send a MessagePack map as the protocol describes")]
    Malformed(String),
    /// A field is missing or has an invalid value; its wire name and what is wrong with it.
    #[error("field `{0}`: {1}")]
    InvalidField(&'static str, &'static str),
}

/// Decodes a MessagePack body. Unknown fields are ignored.
///
/// # Errors
/// [`ProtocolError::Malformed`] if the body cannot be decoded as `T`.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, ProtocolError> {
    rmp_serde::from_slice(body).map_err(|e| ProtocolError::Malformed(e.to_string()))
}

/// Encodes a MessagePack body, with structs as maps keyed by field name. Encoding the types of this crate does not fail.
/// If it did, the body would be empty, which every reader rejects.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_default()
}
