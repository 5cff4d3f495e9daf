//! The bytes of every stored record, message, file and JSON output, compared with the files under `fixtures/`. The files
//! were written before types, fields and variants were renamed, so that a rename that changes what is stored or sent fails
//! here.
//!
//! Each entry of a fixture file has three lines: its name, its value as JSON, and its bytes in hexadecimal. Every value is
//! also built in code, so that the tests check the meaning of each field as well as its name. If a fixture differs, the
//! current text is written to `CARGO_TARGET_TMPDIR` for comparison; tests never write the fixture itself.

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

/// Decodes bytes into the current type and encodes the value again.
pub type Reencode = Box<dyn Fn(&[u8]) -> Result<Vec<u8>, String>>;

/// One value: its name, its bytes as written by the current code, how they are read, and whether they are JSON.
pub struct Case {
    name: String,
    bytes: Vec<u8>,
    /// `None` if the program only writes the value.
    reencode: Option<Reencode>,
    is_json: bool,
}

impl Case {
    /// A MessagePack message.
    pub fn message<T: Serialize + DeserializeOwned + 'static>(name: &str, value: &T) -> Case {
        let reencode = |bytes: &[u8]| {
            let value: T = decode(bytes).map_err(|e| e.to_string())?;
            Ok(encode(&value))
        };
        Case {
            name: name.into(),
            bytes: encode(value),
            reencode: Some(Box::new(reencode)),
            is_json: false,
        }
    }

    /// A record of the state service: a JSON value within a MessagePack message, with its fields sorted by name.
    pub fn record<T: Serialize + DeserializeOwned + 'static>(name: &str, value: &T) -> Case {
        let reencode = |bytes: &[u8]| {
            let json: Value = decode(bytes).map_err(|e| e.to_string())?;
            let value: T = serde_json::from_value(json).map_err(|e| e.to_string())?;
            Ok(encode(&serde_json::to_value(&value).map_err(|e| e.to_string())?))
        };
        let bytes = encode(&serde_json::to_value(value).expect("the record has a JSON form"));
        Case { name: name.into(), bytes, reencode: Some(Box::new(reencode)), is_json: false }
    }

    /// A record with its format version.
    pub fn versioned<T: Versioned + 'static>(name: &str, value: &T) -> Case {
        let reencode = |bytes: &[u8]| {
            let json: Value = decode(bytes).map_err(|e| e.to_string())?;
            let value = T::from_record("fixture", &json).map_err(|e| e.to_string())?;
            Ok(encode(&value.to_record()))
        };
        let bytes = encode(&value.to_record());
        Case { name: name.into(), bytes, reencode: Some(Box::new(reencode)), is_json: false }
    }

    /// JSON that the program only writes.
    pub fn json<T: Serialize>(name: &str, value: &T) -> Case {
        let bytes = serde_json::to_vec(value).expect("the value has a JSON form");
        Case { name: name.into(), bytes, reencode: None, is_json: true }
    }

    /// JSON that the program writes and reads.
    pub fn json_round_trip<T: Serialize + DeserializeOwned + 'static>(
        name: &str,
        value: &T,
    ) -> Case {
        let reencode = |bytes: &[u8]| {
            let value: T = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
            serde_json::to_vec(&value).map_err(|e| e.to_string())
        };
        Case { reencode: Some(Box::new(reencode)), ..Case::json(name, value) }
    }

    /// MessagePack bytes that were written in another way, such as by a function of the program.
    pub fn bytes(name: &str, bytes: Vec<u8>) -> Case {
        Case { name: name.into(), bytes, reencode: None, is_json: false }
    }

    fn to_json_text(&self) -> String {
        let value: Value = match self.is_json {
            true => serde_json::from_slice(&self.bytes).expect("it is JSON"),
            false => decode(&self.bytes).expect("it is MessagePack"),
        };
        value.to_string()
    }

    /// The three lines of this value in a fixture file, and an empty line.
    fn fixture_entry(&self) -> String {
        format!("{}\n{}\n{}\n\n", self.name, self.to_json_text(), to_hex(&self.bytes))
    }
}

/// Encodes bytes in hexadecimal.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Decodes hexadecimal bytes.
pub fn from_hex(text: &str) -> Vec<u8> {
    let byte = |index: usize| u8::from_str_radix(&text[index..index + 2], 16).expect("hexadecimal");
    (0..text.len()).step_by(2).map(byte).collect()
}

/// Parses a fixture file. Returns the bytes of its entries by name.
pub fn parse_entries(text: &str) -> BTreeMap<String, Vec<u8>> {
    let entry = |block: &str| {
        let mut lines = block.lines();
        let name = lines.next().expect("a name").to_string();
        let _json = lines.next().expect("a JSON form");
        (name, from_hex(lines.next().expect("bytes")))
    };
    text.split("\n\n").filter(|block| !block.trim().is_empty()).map(entry).collect()
}

/// Asserts that all cases match a fixture file: the names, bytes and JSON forms are the same, and the current types decode
/// the recorded bytes and encode them to the same bytes.
pub fn assert_matches_fixture(file: &str, recorded: &str, cases: &[Case]) {
    let current: String = cases.iter().map(Case::fixture_entry).collect();
    let path = format!("{}/{file}", env!("CARGO_TARGET_TMPDIR"));
    let recorded_entries = parse_entries(recorded);
    let mut errors = Vec::new();
    for case in cases {
        match recorded_entries.get(&case.name) {
            None => errors.push(format!("{}: not in the fixture", case.name)),
            Some(bytes) if *bytes != case.bytes => errors.push(format!(
                "{}: written as other bytes than recorded, now {}",
                case.name,
                case.to_json_text()
            )),
            Some(bytes) => {
                let reencoded = case.reencode.as_ref().map(|reencode| reencode(bytes));
                if reencoded.as_ref().is_some_and(|r| r.as_ref() != Ok(bytes)) {
                    errors.push(format!(
                        "{}: recorded bytes do not round-trip: {reencoded:?}",
                        case.name
                    ));
                }
            }
        }
    }
    let names: Vec<&String> = cases.iter().map(|c| &c.name).collect();
    let missing = recorded_entries.keys().filter(|name| !names.contains(name));
    errors.extend(missing.map(|name| format!("{name}: no case for this entry of the fixture")));
    if current != recorded {
        std::fs::write(&path, &current).expect("the temporary folder is writable");
    }
    assert!(errors.is_empty(), "{file}, current text in {path}:\n{}", errors.join("\n"));
    assert_eq!(names.len(), recorded_entries.len(), "{file}: a name is used twice");
    assert_eq!(
        current, recorded,
        "{file}: names, JSON forms or order differ, current text in {path}"
    );
}

/// Asserts that a text is the same as a fixture file.
pub fn assert_same_text(file: &str, recorded: &str, current: &str) {
    let path = format!("{}/{file}", env!("CARGO_TARGET_TMPDIR"));
    if current != recorded {
        std::fs::write(&path, current).expect("the temporary folder is writable");
    }
    assert_eq!(current, recorded, "{file}: current text in {path}");
}
