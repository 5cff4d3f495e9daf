//! Values that name the version of their form.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Why a record could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Unread {
    /// A later program wrote it.
    #[error(
        "record {key} has form {found}, this program reads up to {known}: it is left as it is; run the later \
         version everywhere"
    )]
    Newer {
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
    Broken {
        /// Its key.
        key: String,
        /// What the parser said.
        cause: String,
    },
}

/// A value with the version of its form.
pub trait Versioned: Serialize + DeserializeOwned {
    /// The form that this program writes, and the latest that it reads.
    const FORM: u32;

    /// Reads a record.
    fn read(key: &str, value: &Value) -> Result<Self, Unread> {
        #[derive(Deserialize)]
        struct Form {
            v: u32,
        }
        let broken =
            |e: serde_json::Error| Unread::Broken { key: key.into(), cause: e.to_string() };
        let found = Form::deserialize(value).map_err(broken)?.v;
        if found > Self::FORM {
            return Err(Unread::Newer { key: key.into(), found, known: Self::FORM });
        }
        Self::deserialize(value).map_err(broken)
    }

    /// The record as it is written.
    fn record(&self) -> Value {
        let mut value = serde_json::to_value(self).unwrap_or_default();
        if let Some(map) = value.as_object_mut() {
            map.insert("v".into(), Self::FORM.into());
        }
        value
    }
}
