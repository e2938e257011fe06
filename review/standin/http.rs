//! A small HTTP/1.1 server and JSON reader, with the standard library alone.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as received.
#[derive(Debug, Clone)]
pub struct Request {
    /// The path with the query.
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a field of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let value = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")))?;
        Some(percent_decoded(value))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let escaped = text.get(index + 1..index + 3);
        match (bytes[index], escaped.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut parts = line.split_whitespace().map(str::to_owned);
    let Some(target) = parts.nth(1) else { return Ok(None) };
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?.unwrap_or_default();
    Ok(Some(Request { target, headers, body }))
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a body with a length or in chunks; `None` if it has neither.
fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &BTreeMap<String, String>,
) -> io::Result<Option<Vec<u8>>> {
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(Some(body));
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let Some(length) = headers.get("content-length").and_then(|value| value.parse().ok()) else {
        return Ok(None);
    };
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(Some(body))
}

/// How often a listener checks for connections and for its end.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// Serves each connection of a listener in a thread; a handler returns whether it goes on. The listener
/// closes when `has_ended` says so.
pub fn serve<H, E>(listener: TcpListener, has_ended: E, handle: H)
where
    H: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
    E: Fn() -> bool + Send + 'static,
{
    let handle = Arc::new(handle);
    listener.set_nonblocking(true).unwrap();
    thread::spawn(move || {
        while !has_ended() {
            let Ok((mut stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = BufReader::new(copy);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !handle(&request, &mut stream) {
                        break;
                    }
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head =
        format!("HTTP/1.1 {status} Status\r\n{headers}content-length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).is_ok()
}

/// An answer as a caller received it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the body arrived up to its end.
    pub is_complete: bool,
}

/// Sends a request on a new connection; `None` if no head of an answer arrives.
pub fn call(address: SocketAddr, request: &str, limit: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader).ok()?;
    let body = read_body(&mut reader, &headers);
    let is_complete = body.is_ok();
    let body = body.ok().flatten().unwrap_or_default();
    Some(Answer { status, body, is_complete })
}

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let chars: Vec<char> = text.chars().collect();
        let mut position = 0;
        parse_value(&chars, &mut position)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Object(fields) => fields.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn texts(&self) -> Vec<String> {
        match self {
            Self::List(items) => items.iter().map(|item| item.text().to_owned()).collect(),
            _ => Vec::new(),
        }
    }
}

fn skip_spaces(chars: &[char], position: &mut usize) {
    while chars.get(*position).is_some_and(|c| c.is_whitespace()) {
        *position += 1;
    }
}

fn parse_value(chars: &[char], position: &mut usize) -> Option<Json> {
    skip_spaces(chars, position);
    match chars.get(*position)? {
        '{' => {
            let mut fields = BTreeMap::new();
            *position += 1;
            loop {
                skip_spaces(chars, position);
                match chars.get(*position)? {
                    '}' => break,
                    ',' => *position += 1,
                    _ => {
                        let name = parse_text(chars, position)?;
                        skip_spaces(chars, position);
                        *position += 1;
                        fields.insert(name, parse_value(chars, position)?);
                    }
                }
            }
            *position += 1;
            Some(Json::Object(fields))
        }
        '[' => {
            let mut items = Vec::new();
            *position += 1;
            loop {
                skip_spaces(chars, position);
                match chars.get(*position)? {
                    ']' => break,
                    ',' => *position += 1,
                    _ => items.push(parse_value(chars, position)?),
                }
            }
            *position += 1;
            Some(Json::List(items))
        }
        '"' => parse_text(chars, position).map(Json::Text),
        _ => {
            let start = *position;
            while chars.get(*position).is_some_and(|c| !",]} \r\n\t".contains(*c)) {
                *position += 1;
            }
            let word: String = chars[start..*position].iter().collect();
            Some(match word.as_str() {
                "null" => Json::Null,
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                number => Json::Number(number.parse().ok()?),
            })
        }
    }
}

/// Parses a text; only the escapes of quotes and backslashes are needed here.
fn parse_text(chars: &[char], position: &mut usize) -> Option<String> {
    let mut text = String::new();
    *position += 1;
    loop {
        match chars.get(*position)? {
            '"' => break,
            '\\' => {
                *position += 1;
                text.push(*chars.get(*position)?);
            }
            c => text.push(*c),
        }
        *position += 1;
    }
    *position += 1;
    Some(text)
}
