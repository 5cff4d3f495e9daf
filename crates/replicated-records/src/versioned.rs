//! Reading and writing of record values that carry their format version, in the field `v`. A value of a later
//! version is an error, never a guess, so that an older program does not overwrite what it cannot read.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Why a record could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordReadError {
    /// A later program wrote it, in a format that this one does not know.
    #[error(
        "record {key} has form {found}, this program reads up to {known}: it is left as it is; run the later \
         version everywhere"
    )]
    UnsupportedFormat {
        /// Key of the record.
        key: String,
        /// Format version of the record.
        found: u32,
        /// Latest format version that this program reads.
        known: u32,
    },
    /// It does not have the fields of its format.
    #[error(
        "record {key} cannot be read: {cause}; it is left as it is; remove the key to begin anew"
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
    /// The format version that this program writes, and the latest that it reads.
    const FORMAT_VERSION: u32;

    /// Decodes the record under `key` (named in errors only). Fails on a later format version and on missing or
    /// ill-typed fields.
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
