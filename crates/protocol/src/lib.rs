//! The exact messages of every interface. Words of the wire appear only in this package; the
//! rest of the service uses its own types.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cloud;
pub mod constants;
pub mod controllers;
pub mod state;
pub mod users;
pub mod workers;

use serde::{Serialize, de::DeserializeOwned};

/// Why a body was refused.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    /// The body is longer than the interface allows.
    #[error("the body has {0} bytes, more than the limit; send less")]
    TooLarge(usize),
    /// The body is not MessagePack of the expected form.
    #[error("the body cannot be read: {0}; send a MessagePack map as the protocol describes")]
    Malformed(String),
    /// A field is missing or impossible.
    #[error("field `{0}`: {1}")]
    InvalidField(&'static str, &'static str),
}

/// Reads a body.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, ProtocolError> {
    rmp_serde::from_slice(body).map_err(|e| ProtocolError::Malformed(e.to_string()))
}

/// Writes a body: maps keyed by text. Our own types always can be written, so a failure is an
/// empty body, which every reader refuses.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_default()
}
