//! Values that name the version of their form.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Why a record could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordReadError {
    /// A later program wrote it.
    #[error(
        "record {key} has form {found}, this program reads up to {known}: it is left as it is; run the later \
         version everywhere"
    )]
    UnsupportedFormat {
        /// Its key.
        key: String,
        /// Its form.
        found: u32,
        /// The latest form that is known.
        known: u32,
    },
    /// It is half written, or something else.
    #[error(
        "record {key} cannot be read: {cause}; it is left as it is; remove the key to begin anew"
    )]
    Malformed {
        /// Its key.
        key: String,
        /// What the parser said.
        cause: String,
    },
}

/// A value with the version of its form.
pub trait Versioned: Serialize + DeserializeOwned {
    /// The form that this program writes, and the latest that it reads.
    const FORMAT_VERSION: u32;

    /// Reads a record.
    fn from_record(key: &str, value: &Value) -> Result<Self, RecordReadError> {
        #[derive(Deserialize)]
        struct Form {
            v: u32,
        }
        let broken = |e: serde_json::Error| RecordReadError::Malformed {
            key: key.into(),
            cause: e.to_string(),
        };
        let found = Form::deserialize(value).map_err(broken)?.v;
        if found > Self::FORMAT_VERSION {
            return Err(RecordReadError::UnsupportedFormat {
                key: key.into(),
                found,
                known: Self::FORMAT_VERSION,
            });
        }
        Self::deserialize(value).map_err(broken)
    }

    /// The record as it is written.
    fn to_record(&self) -> Value {
        let mut value = serde_json::to_value(self).unwrap_or_default();
        if let Some(map) = value.as_object_mut() {
            map.insert("v".into(), Self::FORMAT_VERSION.into());
        }
        value
    }
}
