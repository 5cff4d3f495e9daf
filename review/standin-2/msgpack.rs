//! MessagePack values: maps keyed by text, lists, text, numbers, booleans and null.

#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<Value>),
    Map(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, key: &str) -> &Value {
        if let Value::Map(fields) = self {
            if let Some((_, value)) = fields.iter().find(|(k, _)| k == key) {
                return value;
            }
        }
        &Value::Nil
    }

    pub fn text(&self) -> &str {
        if let Value::Text(text) = self {
            text
        } else {
            ""
        }
    }

    pub fn int(&self) -> u64 {
        match self {
            Value::Int(n) => *n as u64,
            Value::Float(n) => *n as u64,
            _ => 0,
        }
    }

    pub fn bool(&self) -> bool {
        matches!(self, Value::Bool(true))
    }

    pub fn is_nil(&self) -> bool {
        matches!(self, Value::Nil)
    }

    pub fn list(&self) -> &[Value] {
        if let Value::List(items) = self {
            items
        } else {
            &[]
        }
    }

    /// As JSON, for the record and for the size limits of the protocol.
    pub fn json(&self) -> String {
        match self {
            Value::Nil => "null".into(),
            Value::Bool(b) => b.to_string(),
            Value::Int(n) => n.to_string(),
            Value::Float(n) => format!("{n:?}"),
            Value::Text(text) => format!("{text:?}"),
            Value::List(items) => {
                format!("[{}]", items.iter().map(Value::json).collect::<Vec<_>>().join(","))
            }
            Value::Map(fields) => {
                let fields = fields.iter().map(|(k, v)| format!("{k:?}:{}", v.json()));
                format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
            }
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            Value::Nil => out.push(0xc0),
            Value::Bool(b) => out.push(if *b { 0xc3 } else { 0xc2 }),
            Value::Int(n) if *n >= 0 => {
                let n = *n as u64;
                match n {
                    0..=0x7f => out.push(n as u8),
                    0x80..=0xff => out.extend([0xcc, n as u8]),
                    0x100..=0xffff => {
                        out.push(0xcd);
                        out.extend((n as u16).to_be_bytes());
                    }
                    0x1_0000..=0xffff_ffff => {
                        out.push(0xce);
                        out.extend((n as u32).to_be_bytes());
                    }
                    _ => {
                        out.push(0xcf);
                        out.extend(n.to_be_bytes());
                    }
                }
            }
            Value::Int(n) => {
                out.push(0xd3);
                out.extend((*n as i64).to_be_bytes());
            }
            Value::Float(n) => {
                out.push(0xcb);
                out.extend(n.to_be_bytes());
            }
            Value::Text(text) => {
                head(out, text.len(), 0xa0, 31, [0xd9, 0xda, 0xdb]);
                out.extend(text.as_bytes());
            }
            Value::List(items) => {
                head(out, items.len(), 0x90, 15, [0, 0xdc, 0xdd]);
                items.iter().for_each(|item| item.write(out));
            }
            Value::Map(fields) => {
                head(out, fields.len(), 0x80, 15, [0, 0xde, 0xdf]);
                for (key, value) in fields {
                    Value::Text(key.clone()).write(out);
                    value.write(out);
                }
            }
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<Value> {
        let mut at = 0;
        read(bytes, &mut at, 0)
    }
}

fn head(out: &mut Vec<u8>, len: usize, fix: u8, fix_max: usize, tags: [u8; 3]) {
    if len <= fix_max {
        out.push(fix | len as u8);
    } else if len <= 0xff && tags[0] != 0 {
        out.extend([tags[0], len as u8]);
    } else if len <= 0xffff {
        out.push(tags[1]);
        out.extend((len as u16).to_be_bytes());
    } else {
        out.push(tags[2]);
        out.extend((len as u32).to_be_bytes());
    }
}

fn take<'a>(bytes: &'a [u8], at: &mut usize, len: usize) -> Option<&'a [u8]> {
    let part = bytes.get(*at..at.checked_add(len)?)?;
    *at += len;
    Some(part)
}

fn number(bytes: &[u8], at: &mut usize, len: usize) -> Option<u64> {
    Some(take(bytes, at, len)?.iter().fold(0, |n, b| n << 8 | u64::from(*b)))
}

fn read(bytes: &[u8], at: &mut usize, depth: usize) -> Option<Value> {
    if depth > 64 {
        return None;
    }
    let tag = take(bytes, at, 1)?[0];
    let text = |at: &mut usize, len: u64| {
        let part = take(bytes, at, len as usize)?;
        Some(Value::Text(String::from_utf8_lossy(part).into_owned()))
    };
    let list = |at: &mut usize, len: u64| {
        let mut items = Vec::new();
        for _ in 0..len {
            items.push(read(bytes, at, depth + 1)?);
        }
        Some(Value::List(items))
    };
    let map = |at: &mut usize, len: u64| {
        let mut fields = Vec::new();
        for _ in 0..len {
            let key = read(bytes, at, depth + 1)?;
            fields.push((key.text().to_string(), read(bytes, at, depth + 1)?));
        }
        Some(Value::Map(fields))
    };
    match tag {
        0x00..=0x7f => Some(Value::Int(i128::from(tag))),
        0x80..=0x8f => map(at, u64::from(tag & 0x0f)),
        0x90..=0x9f => list(at, u64::from(tag & 0x0f)),
        0xa0..=0xbf => text(at, u64::from(tag & 0x1f)),
        0xc0 => Some(Value::Nil),
        0xc2 => Some(Value::Bool(false)),
        0xc3 => Some(Value::Bool(true)),
        0xca => Some(Value::Float(f64::from(f32::from_bits(number(bytes, at, 4)? as u32)))),
        0xcb => Some(Value::Float(f64::from_bits(number(bytes, at, 8)?))),
        0xcc => Some(Value::Int(i128::from(number(bytes, at, 1)?))),
        0xcd => Some(Value::Int(i128::from(number(bytes, at, 2)?))),
        0xce => Some(Value::Int(i128::from(number(bytes, at, 4)?))),
        0xcf => Some(Value::Int(i128::from(number(bytes, at, 8)?))),
        0xd0 => Some(Value::Int(i128::from(number(bytes, at, 1)? as i8))),
        0xd1 => Some(Value::Int(i128::from(number(bytes, at, 2)? as i16))),
        0xd2 => Some(Value::Int(i128::from(number(bytes, at, 4)? as i32))),
        0xd3 => Some(Value::Int(i128::from(number(bytes, at, 8)? as i64))),
        0xd9 => number(bytes, at, 1).and_then(|len| text(at, len)),
        0xda => number(bytes, at, 2).and_then(|len| text(at, len)),
        0xdb => number(bytes, at, 4).and_then(|len| text(at, len)),
        0xdc => number(bytes, at, 2).and_then(|len| list(at, len)),
        0xdd => number(bytes, at, 4).and_then(|len| list(at, len)),
        0xde => number(bytes, at, 2).and_then(|len| map(at, len)),
        0xdf => number(bytes, at, 4).and_then(|len| map(at, len)),
        0xe0..=0xff => Some(Value::Int(i128::from(tag as i8))),
        _ => None,
    }
}

/// Shorthands to build values.
pub fn text(value: &str) -> Value {
    Value::Text(value.to_string())
}

pub fn int(value: u64) -> Value {
    Value::Int(i128::from(value))
}

pub fn map(fields: &[(&str, Value)]) -> Value {
    Value::Map(fields.iter().map(|(k, v)| (k.to_string(), v.clone())).collect())
}
