//! MessagePack values and HTTP/1.1, with the standard library only.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Nil,
    Bool(bool),
    Int(u64),
    Neg(i64),
    Num(f64),
    Text(String),
    List(Vec<V>),
    Map(Vec<(String, V)>),
}

pub fn t(text: &str) -> V {
    V::Text(text.to_string())
}

pub fn map(fields: Vec<(&str, V)>) -> V {
    V::Map(fields.into_iter().map(|(k, v)| (k.to_string(), v)).collect())
}

impl V {
    pub fn get(&self, key: &str) -> Option<&V> {
        match self {
            V::Map(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v).filter(|v| **v != V::Nil),
            _ => None,
        }
    }
    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            V::Text(text) => Some(text),
            _ => None,
        }
    }
    pub fn int(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            V::Int(n) => Some(*n),
            V::Num(n) => Some(*n as u64),
            _ => None,
        }
    }
    pub fn num(&self, key: &str) -> Option<f64> {
        match self.get(key)? {
            V::Num(n) => Some(*n),
            V::Int(n) => Some(*n as f64),
            _ => None,
        }
    }
    pub fn flag(&self, key: &str) -> bool {
        self.get(key) == Some(&V::Bool(true))
    }
    pub fn list(&self, key: &str) -> &[V] {
        match self.get(key) {
            Some(V::List(items)) => items,
            _ => &[],
        }
    }

    pub fn json(&self) -> String {
        let mut out = String::new();
        self.write_json(&mut out);
        out
    }
    fn write_json(&self, out: &mut String) {
        match self {
            V::Nil => out.push_str("null"),
            V::Bool(b) => out.push_str(if *b { "true" } else { "false" }),
            V::Int(n) => out.push_str(&n.to_string()),
            V::Neg(n) => out.push_str(&n.to_string()),
            V::Num(n) => out.push_str(&format!("{n:?}")),
            V::Text(text) => {
                out.push('"');
                for c in text.chars() {
                    if c == '"' || c == '\\' {
                        out.push('\\');
                    }
                    out.push(c);
                }
                out.push('"');
            }
            V::List(items) => {
                out.push('[');
                for (i, item) in items.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    item.write_json(out);
                }
                out.push(']');
            }
            V::Map(fields) => {
                out.push('{');
                for (i, (key, value)) in fields.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    V::Text(key.clone()).write_json(out);
                    out.push(':');
                    value.write_json(out);
                }
                out.push('}');
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
            V::Nil => out.push(0xc0),
            V::Bool(b) => out.push(if *b { 0xc3 } else { 0xc2 }),
            V::Int(n) => match *n {
                0..=0x7f => out.push(*n as u8),
                0x80..=0xff => out.extend([0xcc, *n as u8]),
                0x100..=0xffff => {
                    out.push(0xcd);
                    out.extend((*n as u16).to_be_bytes());
                }
                0x1_0000..=0xffff_ffff => {
                    out.push(0xce);
                    out.extend((*n as u32).to_be_bytes());
                }
                _ => {
                    out.push(0xcf);
                    out.extend(n.to_be_bytes());
                }
            },
            V::Neg(n) => {
                out.push(0xd3);
                out.extend(n.to_be_bytes());
            }
            V::Num(n) => {
                out.push(0xcb);
                out.extend(n.to_be_bytes());
            }
            V::Text(text) => {
                match text.len() {
                    n @ 0..=31 => out.push(0xa0 | n as u8),
                    n @ 32..=255 => out.extend([0xd9, n as u8]),
                    n => {
                        out.push(0xda);
                        out.extend((n as u16).to_be_bytes());
                    }
                }
                out.extend(text.as_bytes());
            }
            V::List(items) => {
                match items.len() {
                    n @ 0..=15 => out.push(0x90 | n as u8),
                    n => {
                        out.push(0xdd);
                        out.extend((n as u32).to_be_bytes());
                    }
                }
                items.iter().for_each(|item| item.write(out));
            }
            V::Map(fields) => {
                match fields.len() {
                    n @ 0..=15 => out.push(0x80 | n as u8),
                    n => {
                        out.push(0xde);
                        out.extend((n as u16).to_be_bytes());
                    }
                }
                for (key, value) in fields {
                    V::Text(key.clone()).write(out);
                    value.write(out);
                }
            }
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<V> {
        let mut at = 0;
        read(bytes, &mut at)
    }
}

fn take<'a>(bytes: &'a [u8], at: &mut usize, n: usize) -> Option<&'a [u8]> {
    let part = bytes.get(*at..*at + n)?;
    *at += n;
    Some(part)
}

fn uint(bytes: &[u8], at: &mut usize, n: usize) -> Option<u64> {
    Some(take(bytes, at, n)?.iter().fold(0, |sum, b| sum << 8 | u64::from(*b)))
}

fn read(bytes: &[u8], at: &mut usize) -> Option<V> {
    let first = take(bytes, at, 1)?[0];
    let signed = |n: i64| if n < 0 { V::Neg(n) } else { V::Int(n as u64) };
    Some(match first {
        0..=0x7f => V::Int(u64::from(first)),
        0x80..=0x8f => read_map(bytes, at, u64::from(first & 15))?,
        0x90..=0x9f => read_list(bytes, at, u64::from(first & 15))?,
        0xa0..=0xbf => read_text(bytes, at, u64::from(first & 31))?,
        0xc0 => V::Nil,
        0xc2 => V::Bool(false),
        0xc3 => V::Bool(true),
        0xca => V::Num(f64::from(f32::from_bits(uint(bytes, at, 4)? as u32))),
        0xcb => V::Num(f64::from_bits(uint(bytes, at, 8)?)),
        0xcc => V::Int(uint(bytes, at, 1)?),
        0xcd => V::Int(uint(bytes, at, 2)?),
        0xce => V::Int(uint(bytes, at, 4)?),
        0xcf => V::Int(uint(bytes, at, 8)?),
        0xd0 => signed(i64::from(uint(bytes, at, 1)? as i8)),
        0xd1 => signed(i64::from(uint(bytes, at, 2)? as i16)),
        0xd2 => signed(i64::from(uint(bytes, at, 4)? as i32)),
        0xd3 => signed(uint(bytes, at, 8)? as i64),
        0xd9 => {
            let n = uint(bytes, at, 1)?;
            read_text(bytes, at, n)?
        }
        0xda => {
            let n = uint(bytes, at, 2)?;
            read_text(bytes, at, n)?
        }
        0xdb => {
            let n = uint(bytes, at, 4)?;
            read_text(bytes, at, n)?
        }
        0xdc => {
            let n = uint(bytes, at, 2)?;
            read_list(bytes, at, n)?
        }
        0xdd => {
            let n = uint(bytes, at, 4)?;
            read_list(bytes, at, n)?
        }
        0xde => {
            let n = uint(bytes, at, 2)?;
            read_map(bytes, at, n)?
        }
        0xdf => {
            let n = uint(bytes, at, 4)?;
            read_map(bytes, at, n)?
        }
        0xe0..=0xff => V::Neg(i64::from(first as i8)),
        _ => return None,
    })
}

fn read_text(bytes: &[u8], at: &mut usize, n: u64) -> Option<V> {
    String::from_utf8(take(bytes, at, n as usize)?.to_vec()).ok().map(V::Text)
}

fn read_list(bytes: &[u8], at: &mut usize, n: u64) -> Option<V> {
    (0..n).map(|_| read(bytes, at)).collect::<Option<_>>().map(V::List)
}

fn read_map(bytes: &[u8], at: &mut usize, n: u64) -> Option<V> {
    let mut fields = Vec::new();
    for _ in 0..n {
        let V::Text(key) = read(bytes, at)? else { return None };
        fields.push((key, read(bytes, at)?));
    }
    Some(V::Map(fields))
}

pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, key: &str) -> Option<&str> {
        self.query.iter().find(|(k, _)| k == key).map(|(_, v)| v.as_str())
    }
}

/// Reads a message: its first line, its headers in lower case, and its body.
fn read_message(stream: &mut TcpStream) -> io::Result<Option<(String, String, Vec<u8>)>> {
    let mut data = Vec::new();
    let mut chunk = [0; 16384];
    let head_end = loop {
        if let Some(end) = data.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(None);
        }
        data.extend(&chunk[..n]);
    };
    let head = String::from_utf8_lossy(&data[..head_end]).into_owned();
    let (first, headers) = head.split_once("\r\n").unwrap_or((&head, ""));
    let (first, headers) = (first.to_string(), headers.to_lowercase());
    let length = headers
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .and_then(|n| n.trim().parse::<usize>().ok())
        .unwrap_or(0);
    let mut body = data.split_off(head_end + 4);
    while body.len() < length {
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(None);
        }
        body.extend(&chunk[..n]);
    }
    body.truncate(length);
    Ok(Some((first, headers, body)))
}

/// Serves a listener, one thread a connection. The handler returns status and body; `None`: the connection is closed
/// without an answer.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Option<(u16, Vec<u8>)> + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            std::thread::spawn(move || {
                while let Ok(Some((first, headers, body))) = read_message(&mut stream) {
                    let mut words = first.split(' ');
                    let method = words.next().unwrap_or("").to_string();
                    let target = words.next().unwrap_or("");
                    let (path, query) = target.split_once('?').unwrap_or((target, ""));
                    let query = query
                        .split('&')
                        .filter_map(|pair| pair.split_once('='))
                        .map(|(k, v)| (k.to_string(), v.to_string()))
                        .collect();
                    let request = Request { method, path: path.to_string(), query, body };
                    let Some((status, body)) = handler(request) else { break };
                    let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n", body.len());
                    let sent = stream.write_all(&[head.as_bytes(), &body].concat());
                    if sent.is_err() || headers.contains("connection: close") {
                        break;
                    }
                }
            });
        }
    });
}

/// Sends a request on a connection of its own. `None`: no response within the time.
pub fn call(to: SocketAddr, method: &str, path: &str, body: Option<&V>, timeout: Duration) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let body = body.map(V::encode).unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\ncontent-type: application/msgpack\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    // A server may answer and close before it has read the whole body.
    let _ = stream.write_all(&[head.as_bytes(), &body].concat());
    let (first, _, body) = read_message(&mut stream).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}
