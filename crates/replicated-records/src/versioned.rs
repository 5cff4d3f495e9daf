//! Reading and writing of record values that carry their format version, in the field `v`. Reading a value of a later
//! format version is an error, so that an older release does not overwrite what it cannot read.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Why a record could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordReadError {
    /// The record was written by a later release, in a format that this one does not support.
    #[error(
        "record {key} has format version {found}, but this release supports up to {known}; the record is left \
         unchanged: run the later release on all controllers"
    )]
    UnsupportedFormat {
        /// Key of the record.
        key: String,
        /// Format version of the record.
        found: u32,
        /// Latest format version that this release reads.
        known: u32,
    },
    /// The record does not have the fields of its format.
    #[error(
        "record {key} cannot be decoded: {cause}; the record is left unchanged: delete the key to reset it"
    )]
    Malformed {
        /// Key of the record.
        key: String,
        /// The parser's message.
        cause: String,
    },
}

/// A record value that carries its format version.
pub trait Versioned: Serialize + DeserializeOwned {
    /// The format version that this release writes, and the latest that it reads.
    const FORMAT_VERSION: u32;

    /// Decodes the record under `key`, which only serves error messages. Fails on a later format version and on missing
    /// or ill-typed fields.
    fn from_record(key: &str, value: &Value) -> Result<Self, RecordReadError> {
        #[derive(Deserialize)]
        struct VersionField {
            v: u32,
        }
        let malformed = |error: serde_json::Error| RecordReadError::Malformed {
            key: key.into(),
            cause: error.to_string(),
        };
        let found = VersionField::deserialize(value).map_err(malformed)?.v;
        if found > Self::FORMAT_VERSION {
            return Err(RecordReadError::UnsupportedFormat {
                key: key.into(),
                found,
                known: Self::FORMAT_VERSION,
            });
        }
        Self::deserialize(value).map_err(malformed)
    }

    /// Encodes the record, with its format version in `v`.
    fn to_record(&self) -> Value {
        let mut value = serde_json::to_value(self).unwrap_or_default();
        if let Some(fields) = value.as_object_mut() {
            fields.insert("v".into(), Self::FORMAT_VERSION.into());
        }
        value
    }
}
