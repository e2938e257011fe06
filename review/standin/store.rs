//! The platform's store: topics of records, and the newest record of each key (PROTOCOL.md).

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, answer, serve};

#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Vec<Vec<u8>>>>,
    changed: Condvar,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let address = store.listen();
        (store, address)
    }

    /// Serves the store at one more address.
    pub fn listen(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        serve(listener, || false, move |request, stream| store.handle(request, stream));
        address
    }

    /// Appends a record of a keyed topic; an empty value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.topics.lock().unwrap().entry(topic.to_owned()).or_default().push(record);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let topic = request.query("topic").unwrap_or_default();
        let number = |name: &str| request.query(name).and_then(|value| value.parse::<u64>().ok());
        match request.path() {
            "/log-append" => {
                let mut topics = self.topics.lock().unwrap();
                let records = topics.entry(topic).or_default();
                let end = records.len() as u64;
                if number("at").is_some_and(|at| at != end) {
                    let body = format!("{{\"end\":{end}}}");
                    return answer(stream, 412, JSON, body.as_bytes());
                }
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let body = format!("{{\"offset\":{end},\"end\":{}}}", records.len());
                drop(topics);
                self.changed.notify_all();
                answer(stream, 200, JSON, body.as_bytes())
            }
            "/log-read" => {
                let from = number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                let deadline = Instant::now() + wait;
                let mut topics = self.topics.lock().unwrap();
                loop {
                    let is_empty = topics.entry(topic.clone()).or_default().len() <= from;
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !is_empty || left.is_zero() {
                        break;
                    }
                    topics = self.changed.wait_timeout(topics, left).unwrap().0;
                }
                let records = &topics[&topic];
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.get(from..).unwrap_or_default() {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                drop(topics);
                answer(stream, 200, "", &body)
            }
            "/log-newest" => {
                let mut topics = self.topics.lock().unwrap();
                let records = topics.entry(topic).or_default();
                let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
                for (offset, record) in records.iter().enumerate() {
                    let (key, value) = record[1..].split_at(usize::from(record[0]));
                    let key = String::from_utf8_lossy(key).into_owned();
                    match value.is_empty() {
                        true => _ = newest.remove(&key),
                        false => _ = newest.insert(key, (offset, value)),
                    }
                }
                let items: Vec<String> = newest
                    .iter()
                    .map(|(key, (offset, value))| {
                        let value = base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let items = items.join(",");
                let end = records.len();
                let body = format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}");
                drop(topics);
                answer(stream, 200, JSON, body.as_bytes())
            }
            _ => answer(stream, 404, "", b""),
        }
    }
}

const JSON: &str = "content-type: application/json\r\n";

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(ALPHABET[(bits >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
