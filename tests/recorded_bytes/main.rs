//! The bytes of every stored record, message, file and JSON output. The files under `fixtures/` were written before
//! types, fields and variants were renamed: a renaming that changes what is stored or sent fails here.
//!
//! Each entry of such a file has three lines: its name, its value as JSON, its bytes in hexadecimal. Every value is built
//! in code too, so that the meaning of each field is pinned beside its name. A difference is written to
//! `CARGO_TARGET_TMPDIR`, to be compared with the file; the file itself is never written by a test.

#[path = "../common/mod.rs"]
mod common;
mod files;
mod keys;
mod messages;
mod operators;
mod published;
mod records;
mod shown;
mod store;

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use std::collections::BTreeMap;
use swiftsail_protocol::{decode, encode};
use swiftsail_replicated_records::Versioned;

/// Reads bytes into today's type and writes them again.
pub type Again = Box<dyn Fn(&[u8]) -> Result<Vec<u8>, String>>;

/// One value: its name, its bytes as today's code writes them, how they are read, and whether they are JSON.
pub struct Case {
    name: String,
    bytes: Vec<u8>,
    again: Option<Again>,
    json: bool,
}

impl Case {
    /// A message of MessagePack.
    pub fn message<T: Serialize + DeserializeOwned + 'static>(name: &str, value: &T) -> Case {
        let again = |bytes: &[u8]| {
            let found: T = decode(bytes).map_err(|e| e.to_string())?;
            Ok(encode(&found))
        };
        Case { name: name.into(), bytes: encode(value), again: Some(Box::new(again)), json: false }
    }

    /// A record of the state service: a value within a message, with its fields in the order of their names.
    pub fn record<T: Serialize + DeserializeOwned + 'static>(name: &str, value: &T) -> Case {
        let again = |bytes: &[u8]| {
            let held: Value = decode(bytes).map_err(|e| e.to_string())?;
            let found: T = serde_json::from_value(held).map_err(|e| e.to_string())?;
            Ok(encode(&serde_json::to_value(&found).map_err(|e| e.to_string())?))
        };
        let bytes = encode(&serde_json::to_value(value).expect("our own records have a JSON form"));
        Case { name: name.into(), bytes, again: Some(Box::new(again)), json: false }
    }

    /// A record with the version of its form.
    pub fn versioned<T: Versioned + 'static>(name: &str, value: &T) -> Case {
        let again = |bytes: &[u8]| {
            let held: Value = decode(bytes).map_err(|e| e.to_string())?;
            let found = T::from_record("fixture", &held).map_err(|e| e.to_string())?;
            Ok(encode(&found.to_record()))
        };
        let bytes = encode(&value.to_record());
        Case { name: name.into(), bytes, again: Some(Box::new(again)), json: false }
    }

    /// JSON that this program only writes.
    pub fn json<T: Serialize>(name: &str, value: &T) -> Case {
        let bytes = serde_json::to_vec(value).expect("our own outputs have a JSON form");
        Case { name: name.into(), bytes, again: None, json: true }
    }

    /// JSON that this program writes and reads.
    pub fn json_both<T: Serialize + DeserializeOwned + 'static>(name: &str, value: &T) -> Case {
        let again = |bytes: &[u8]| {
            let found: T = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
            serde_json::to_vec(&found).map_err(|e| e.to_string())
        };
        Case { again: Some(Box::new(again)), ..Case::json(name, value) }
    }

    /// Bytes written elsewhere, such as by a function of the program.
    pub fn bytes(name: &str, bytes: Vec<u8>) -> Case {
        Case { name: name.into(), bytes, again: None, json: false }
    }

    fn decoded(&self) -> String {
        let value: Value = match self.json {
            true => serde_json::from_slice(&self.bytes).expect("it is JSON"),
            false => decode(&self.bytes).expect("it is MessagePack"),
        };
        value.to_string()
    }

    fn entry(&self) -> String {
        format!("{}\n{}\n{}\n\n", self.name, self.decoded(), to_hex(&self.bytes))
    }
}

/// Bytes in hexadecimal.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Bytes from hexadecimal.
pub fn from_hex(text: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal");
    (0..text.len()).step_by(2).map(digit).collect()
}

/// The entries of a fixture file: the bytes by name.
pub fn entries(text: &str) -> BTreeMap<String, Vec<u8>> {
    let entry = |part: &str| {
        let mut lines = part.lines();
        let name = lines.next().expect("a name").to_string();
        let _json = lines.next().expect("a JSON form");
        (name, from_hex(lines.next().expect("bytes")))
    };
    text.split("\n\n").filter(|p| !p.trim().is_empty()).map(entry).collect()
}

/// Compares all cases with a fixture file: the same names, the same bytes and JSON forms, and today's types read the
/// recorded bytes and write the same ones again.
pub fn compare(file: &str, recorded: &str, cases: &[Case]) {
    let now: String = cases.iter().map(Case::entry).collect();
    let path = format!("{}/{file}", env!("CARGO_TARGET_TMPDIR"));
    let held = entries(recorded);
    let mut wrong = Vec::new();
    for case in cases {
        match held.get(&case.name) {
            None => wrong.push(format!("{}: is not recorded", case.name)),
            Some(bytes) if *bytes != case.bytes => wrong.push(format!(
                "{}: is written as other bytes, now {}",
                case.name,
                case.decoded()
            )),
            Some(bytes) => {
                let read = case.again.as_ref().map(|again| again(bytes));
                if read.as_ref().is_some_and(|r| r.as_ref() != Ok(bytes)) {
                    wrong.push(format!("{}: is not read as it was written: {read:?}", case.name));
                }
            }
        }
    }
    let names: Vec<&String> = cases.iter().map(|c| &c.name).collect();
    wrong.extend(held.keys().filter(|n| !names.contains(n)).map(|n| format!("{n}: is not built")));
    if now != recorded {
        std::fs::write(&path, &now).expect("the folder for trials can be written");
    }
    assert!(wrong.is_empty(), "{file}, today's in {path}:\n{}", wrong.join("\n"));
    assert_eq!(names.len(), held.len(), "{file}: a name is used twice");
    assert_eq!(now, recorded, "{file}: names, JSON forms or order differ, today's in {path}");
}

/// Compares a whole text with a fixture file.
pub fn same(file: &str, recorded: &str, now: &str) {
    let path = format!("{}/{file}", env!("CARGO_TARGET_TMPDIR"));
    if now != recorded {
        std::fs::write(&path, now).expect("the folder for trials can be written");
    }
    assert_eq!(now, recorded, "{file}: today's in {path}");
}
