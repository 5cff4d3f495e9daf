//! HTTP/1.1 server and client on loopback: one thread for each connection.

use crate::msgpack::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Value,
}

impl Request {
    pub fn query(&self, key: &str) -> &str {
        self.query.iter().find(|(k, _)| k == key).map_or("", |(_, v)| v.as_str())
    }
}

/// What a stand-in answers. `NoAnswer`: the connection is closed without a response.
pub enum Answer {
    Status(u16, Value),
    NoAnswer,
}

struct Head {
    first: String,
    length: usize,
    chunked: bool,
    close: bool,
}

fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut head =
        Head { first: first.trim_end().to_string(), length: 0, chunked: false, close: false };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            return Some(head);
        }
        let (name, value) = line.split_once(':')?;
        match (name.trim(), value.trim()) {
            ("content-length", value) => head.length = value.parse().ok()?,
            ("transfer-encoding", "chunked") => head.chunked = true,
            ("connection", "close") => head.close = true,
            _ => {}
        }
    }
}

fn read_body(reader: &mut impl BufRead, head: &Head) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if !head.chunked {
        body.resize(head.length, 0);
        reader.read_exact(&mut body).ok()?;
        return Some(body);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let len = usize::from_str_radix(line.trim(), 16).ok()?;
        let start = body.len();
        body.resize(start + len, 0);
        reader.read_exact(&mut body[start..]).ok()?;
        line.clear();
        reader.read_line(&mut line).ok()?;
        if len == 0 {
            return Some(body);
        }
    }
}

/// Serves requests until the process ends. Returns the address.
pub fn serve(handler: Arc<dyn Fn(Request) -> Answer + Send + Sync>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &(dyn Fn(Request) -> Answer + Send + Sync)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader) {
        let Some(body_bytes) = read_body(&mut reader, &head) else { return };
        let mut parts = head.first.split(' ');
        let method = parts.next().unwrap_or("").to_string();
        let target = parts.next().unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            method,
            path: path.to_string(),
            query: query.map(|(k, v)| (k.to_string(), v.to_string())).collect(),
            body: Value::decode(&body_bytes).unwrap_or(Value::Nil),
        };
        let Answer::Status(status, value) = handler(request) else { return };
        let body = value.encode();
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut message = text.into_bytes();
        message.extend(body);
        if writer.write_all(&message).is_err() || head.close {
            return;
        }
    }
}

/// Sends one request on a connection of its own. None: no answer within `timeout`.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
    timeout: Duration,
) -> Option<(u16, Value)> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let body = body.map(Value::encode).unwrap_or_default();
    let mut message = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    message.extend(body);
    stream.write_all(&message).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let status = head.first.split(' ').nth(1)?.parse().ok()?;
    let mut bytes = Vec::new();
    if head.chunked || head.length > 0 {
        bytes = read_body(&mut reader, &head)?;
    } else if head.close {
        let _ = reader.read_to_end(&mut bytes);
    }
    Some((status, Value::decode(&bytes).unwrap_or(Value::Nil)))
}
