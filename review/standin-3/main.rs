//! Stand-ins of the platform's store, of model runners and of requesters, which start the node
//! processes of a small installation and check the rules TWO, DRAIN, CONFIG and ROUTE.
//!
//! Standard library only: `review/build-3.sh` compiles this file with `rustc`.
//!
//! Usage: `standin-3 CASE PROGRAM RECORD`, with `TROUBLE=0` in the environment for a run without the
//! disruption. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The zones, each with its number of nodes.
const ZONES: [(&str, usize); 3] = [("muenchen", 3), ("augsburg", 2), ("ingolstadt", 1)];
/// Runners per zone; they are one domain.
const RUNNERS_PER_ZONE: usize = 8;
/// Runners per zone in the case of late orders, so that a domain has three groups of two.
const RUNNERS_PER_ZONE_LATE: usize = 10;
/// The models: name, members, seconds of a load, seconds from the host.
const MODELS: [(&str, usize, f64, f64); 2] = [("m-a", 4, 16.0, 1.6), ("m-b", 2, 12.0, 1.1)];
const SERVICE: &str = "assistant";
/// A plain service with one runner per zone.
const PLAIN_SERVICE: &str = "orderdesk";
const PLAIN_SLOTS: usize = 6;
/// Time that a plain request takes.
const PLAIN_WORK: Duration = Duration::from_millis(60);
/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// `config_apply_ms` of the settings.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Plain requests that requesters send in a second.
const PLAIN_PER_S: u64 = 20;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time from an order to open until the head serves.
const FORM: Duration = Duration::from_millis(300);
const SLOTS: usize = 17;
/// Events of an answer and the time between them.
const EVENTS: u64 = 30;
const EVENT_GAP: Duration = Duration::from_millis(40);
/// Traffic begins this long after the nodes.
const LEAD: Duration = Duration::from_secs(10);
/// The disruption begins this long after the traffic.
const TROUBLE_AT: Duration = Duration::from_secs(12);
/// The traffic lasts this long.
const TRAFFIC: Duration = Duration::from_secs(36);
/// Streams that requesters send in a second.
const STREAMS_PER_S: u64 = 50;

const CALLERS_PORT: u16 = 8_227;
const READY_PORT: u16 = 8_220;
const CONTROL_PORT: u16 = 8_229;
const PEER_PORT: u16 = 7_340;
/// The node program serves its metrics at this port.
const METRICS_PORT: u16 = 9_464;

// ---------------------------------------------------------------------------------------------
// Record

struct Log {
    begun: Instant,
    file: Mutex<File>,
}

impl Log {
    fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP

struct Message {
    first_line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method, path and query of a request.
    fn target(&self) -> (String, String, HashMap<String, String>) {
        let mut words = self.first_line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
        (method, path.to_owned(), query)
    }
}

fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.trim().to_owned(), value.trim().to_owned()));
    }
    let mut message =
        Message { first_line: first_line.trim_end().to_owned(), headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|length| length.parse().ok());
    if let Some(length) = length {
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body).ok()?;
    } else if message.header("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    Some(message)
}

fn answer(stream: &mut TcpStream, status: u16, extra: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{extra}\r\n", body.len());
    let bytes = [head.as_bytes(), body].concat();
    stream.write_all(&bytes).is_ok()
}

/// Serves requests. While `is_down`, connections are refused.
fn serve(
    address: SocketAddr,
    is_down: Arc<AtomicBool>,
    handle: impl Fn(Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("a listener of a stand-in");
    let address = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        let mut listener = Some(listener);
        loop {
            if is_down.load(Ordering::Relaxed) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let accepted = listener.as_ref().map(|listener| {
                let _ = listener.set_nonblocking(true);
                listener.accept()
            });
            let Some(Ok((stream, _))) = accepted else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(message) = read_message(&mut reader) {
                    if !handle(message, &mut writer) {
                        let _ = writer.shutdown(std::net::Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
    address
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Default)]
struct Store {
    topics: Mutex<HashMap<String, Vec<Vec<u8>>>>,
    changed: Condvar,
}

fn keyed(key: &str, value: &[u8]) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    record
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..part.len()].copy_from_slice(part);
        let word = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for index in 0..4 {
            match index <= part.len() {
                true => text.push(LETTERS[(word >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

impl Store {
    fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(keyed(key, value.as_bytes()));
        self.changed.notify_all();
    }

    fn handle(&self, message: &Message, stream: &mut TcpStream) -> bool {
        let (_, path, query) = message.target();
        let topic = query.get("topic").cloned().unwrap_or_default();
        match path.as_str() {
            "/log-append" if topic == "keyed.op" || topic == "keyed.servers" => {
                answer(stream, 403, "", b"")
            }
            "/log-append" => {
                let mut topics = self.topics.lock().unwrap();
                let records = topics.entry(topic).or_default();
                let offset = records.len();
                let at = query.get("at").and_then(|at| at.parse::<usize>().ok());
                if at.is_some_and(|at| at != offset) {
                    let body = format!("{{\"end\":{offset}}}");
                    drop(topics);
                    return answer(stream, 412, "", body.as_bytes());
                }
                let mut rest = &message.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let body = format!("{{\"offset\":{offset},\"end\":{}}}", records.len());
                drop(topics);
                self.changed.notify_all();
                answer(stream, 200, "", body.as_bytes())
            }
            "/log-read" => {
                let from = query.get("from").and_then(|from| from.parse().ok()).unwrap_or(0);
                let wait_ms = query.get("wait_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(wait_ms);
                let mut topics = self.topics.lock().unwrap();
                loop {
                    let length = topics.get(&topic).map_or(0, Vec::len);
                    let left = deadline.saturating_duration_since(Instant::now());
                    if length > from || left.is_zero() {
                        break;
                    }
                    topics = self.changed.wait_timeout(topics, left).unwrap().0;
                }
                let records = topics.get(&topic).map_or(&[][..], Vec::as_slice);
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                drop(topics);
                answer(stream, 200, "", &body)
            }
            "/log-newest" => {
                let topics = self.topics.lock().unwrap();
                let records = topics.get(&topic).map_or(&[][..], Vec::as_slice);
                let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
                for (offset, record) in records.iter().enumerate() {
                    let (key, value) = record[1..].split_at(usize::from(record[0]));
                    match value.is_empty() {
                        true => _ = newest.remove(key),
                        false => _ = newest.insert(key, (offset, value)),
                    }
                }
                let items = newest.iter().map(|(key, (offset, value))| {
                    let key = String::from_utf8_lossy(key);
                    format!(
                        "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                        base64(value)
                    )
                });
                let items = items.collect::<Vec<_>>().join(",");
                let body =
                    format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{}}}", records.len());
                drop(topics);
                answer(stream, 200, "", body.as_bytes())
            }
            _ => answer(stream, 404, "", b""),
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Runners

#[derive(Clone, PartialEq)]
struct Membership {
    group: String,
    epoch: u64,
    rank: usize,
    state: &'static str,
    members: Vec<String>,
}

#[derive(Default)]
struct RunnerState {
    membership: Option<Membership>,
    /// Counts changes of the membership, so that a delayed step of an earlier one has no effect.
    step: u64,
    last_model: Option<String>,
    staged: Option<String>,
    highest_epoch: u64,
    beats: u64,
    orders: u64,
    running: usize,
    is_draining: bool,
    /// When the store accepted the entry that says so.
    drained: Option<Instant>,
}

struct Runner {
    id: String,
    service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    born: AtomicU64,
    is_down: Arc<AtomicBool>,
    state: Mutex<RunnerState>,
}

/// Orders of one runner to join that stay unanswered until the case carries them out.
#[derive(Default)]
struct Late {
    /// The runners of which one may be chosen.
    candidates: Mutex<Vec<String>>,
    /// The runner, the group and the order, with the time of its arrival.
    kept: Mutex<Vec<(String, String, String, Instant)>>,
}

struct Platform {
    store: Arc<Store>,
    log: Arc<Log>,
    runners: Mutex<Vec<Arc<Runner>>>,
    has_traffic: AtomicBool,
    violations: AtomicU64,
    joins: AtomicU64,
    /// The runners that began to run each request.
    runs: Mutex<HashMap<String, Vec<String>>>,
    /// Orders that stay unanswered and are carried out late.
    late: Late,
    /// When the store accepted a version that takes `key-1` away and adds `key-2`.
    key_changed: Mutex<Option<Instant>>,
    /// Whether half of the requests have `key-2`, which no version ever holds.
    has_unknown_keys: bool,
}

/// Returns the value of a string field of a flat JSON object.
fn text_field(json: &str, name: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{name}\":\""))?.1;
    Some(rest.split_once('"')?.0.to_owned())
}

fn number_field(json: &str, name: &str) -> Option<u64> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn list_field(json: &str, name: &str) -> Option<Vec<String>> {
    let rest = json.split_once(&format!("\"{name}\":["))?.1.split_once(']')?.0;
    Some(rest.split(',').map(|item| item.trim_matches('"').to_owned()).collect())
}

impl Runner {
    fn group_json(state: &RunnerState) -> String {
        match &state.membership {
            None => "null".to_owned(),
            Some(Membership { group, epoch, rank, state, .. }) => format!(
                "{{\"name\":\"{group}\",\"epoch\":{epoch},\"rank\":{rank},\"state\":\"{state}\"}}"
            ),
        }
    }

    fn entry(&self, state: &RunnerState) -> String {
        let staged = state.staged.iter().map(|model| format!("\"{model}\"")).collect::<String>();
        let models = state.membership.iter().filter_map(|_| state.last_model.as_ref());
        let models =
            models.map(|model| format!("{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}"));
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{}\",\"cold_remaining_ms\":0,\"stage\":\"both\",\
             \"models\":[{}],\"domain\":\"{}-0\",\"staged\":[{staged}],\"born\":{},\"sequence\":{},\
             \"group\":{}}}",
            self.service,
            self.address,
            self.zone,
            if self.service == PLAIN_SERVICE { PLAIN_SLOTS } else { SLOTS },
            if state.is_draining { "draining" } else { "ready" },
            models.collect::<String>(),
            self.zone,
            self.born.load(Ordering::Relaxed),
            state.beats,
            Self::group_json(state),
        )
    }

    fn beat(&self, platform: &Platform, state: &mut RunnerState) {
        if self.is_down.load(Ordering::Relaxed) {
            return;
        }
        state.beats += 1;
        platform.store.put("keyed.servers", &self.id, &self.entry(state));
    }

    fn set(&self, platform: &Platform, state: &mut RunnerState, membership: Option<Membership>) {
        state.membership = membership;
        state.step += 1;
        self.beat(platform, state);
    }

    /// Moves a membership on after a time, unless it has changed meanwhile.
    fn set_later(
        self: &Arc<Self>,
        platform: &Arc<Platform>,
        step: u64,
        after: Duration,
        to: &'static str,
    ) {
        let (runner, platform) = (self.clone(), platform.clone());
        thread::spawn(move || {
            thread::sleep(after);
            let mut state = runner.state.lock().unwrap();
            if state.step == step
                && let Some(mut membership) = state.membership.clone()
            {
                membership.state = to;
                platform.log.line(&format!("runner {} is {to} in {}", runner.id, membership.group));
                runner.set(&platform, &mut state, Some(membership));
            }
        });
    }

    fn order(self: &Arc<Self>, platform: &Arc<Platform>, json: &str) -> u16 {
        let operation = text_field(json, "operation").unwrap_or_default();
        let group = text_field(json, "group").unwrap_or_default();
        let epoch = number_field(json, "epoch").unwrap_or(0);
        if operation == "join" {
            let members = list_field(json, "members").unwrap_or_default();
            let model = text_field(json, "model").unwrap_or_default();
            return self.join(platform, group, epoch, members, model);
        }
        let mut state = self.state.lock().unwrap();
        let is_own = |m: &Membership| m.group == group && m.epoch == epoch;
        let own = state.membership.clone().filter(is_own);
        let status = match (operation.as_str(), own) {
            ("stage", _) => {
                let model = text_field(json, "model").unwrap_or_default();
                let known = MODELS.iter().find(|(name, ..)| *name == model);
                let Some((name, _, load_s, _)) = known else { return 409 };
                let factor = if platform.has_traffic.load(Ordering::Relaxed) { 1.0 } else { 0.1 };
                let (runner, platform) = (self.clone(), platform.clone());
                let load = Duration::from_secs_f64(load_s * factor);
                thread::spawn(move || {
                    thread::sleep(load);
                    let mut state = runner.state.lock().unwrap();
                    state.staged = Some((*name).to_owned());
                    runner.beat(&platform, &mut state);
                });
                202
            }
            ("open", Some(membership)) if membership.rank == 0 => match membership.state {
                "open" => 200,
                "ready" => {
                    let step = state.step;
                    self.set_later(platform, step, FORM, "open");
                    202
                }
                _ => 409,
            },
            ("close", Some(membership)) if membership.rank == 0 && membership.state == "open" => {
                self.set(platform, &mut state, Some(Membership { state: "closing", ..membership }));
                let (runner, platform, step) = (self.clone(), platform.clone(), state.step);
                thread::spawn(move || {
                    loop {
                        thread::sleep(Duration::from_millis(20));
                        let state = runner.state.lock().unwrap();
                        if state.step != step {
                            return;
                        }
                        if state.running == 0 {
                            break;
                        }
                    }
                    runner.set_later(&platform, step, Duration::ZERO, "ready");
                });
                202
            }
            ("close", Some(_)) => 200,
            ("leave", Some(_)) => {
                self.set(platform, &mut state, None);
                202
            }
            ("leave", None) => 200,
            ("open" | "close", _) => 409,
            _ => 400,
        };
        if status == 202 {
            state.orders += 1;
        }
        drop(state);
        platform.log.line(&format!("order {operation} {group} at {}: {status}", self.id));
        status
    }

    fn join(
        self: &Arc<Self>,
        platform: &Arc<Platform>,
        group: String,
        epoch: u64,
        members: Vec<String>,
        model: String,
    ) -> u16 {
        let known = MODELS.iter().find(|(name, ..)| *name == model);
        let Some((_, _, load_s, warm_s)) = known else { return 409 };
        let Some(rank) = members.iter().position(|member| *member == self.id) else { return 409 };
        platform.joins.fetch_add(1, Ordering::Relaxed);
        let before = self.state.lock().unwrap().membership.clone();
        // Read before this runner's own state is locked: runners never lock each other.
        let head_state = before.as_ref().and_then(|before| platform.head_state(before));
        let mut state = self.state.lock().unwrap();
        if epoch < state.highest_epoch {
            platform.log.line(&format!("order join {group} at {}: 412", self.id));
            return 412;
        }
        if let Some(own) =
            state.membership.as_ref().filter(|m| m.group == group && m.epoch == epoch)
        {
            return if own.members == members { 200 } else { 412 };
        }
        if let (Some(before), Some(head_state)) = (&before, head_state)
            && matches!(head_state, "open" | "closing")
        {
            platform.violations.fetch_add(1, Ordering::Relaxed);
            platform.log.line(&format!(
                "BROKEN TWO: runner {} (rank {} of {}, epoch {}, whose head {} is {head_state}) takes a \
                 join of {group}, epoch {epoch}, members {members:?}",
                self.id, before.rank, before.group, before.epoch, before.members[0],
            ));
        }
        state.highest_epoch = epoch;
        state.orders += 1;
        let is_warm = state.last_model.as_deref() == Some(model.as_str());
        let is_staged = state.staged.as_deref() == Some(model.as_str());
        let factor = if platform.has_traffic.load(Ordering::Relaxed) { 1.0 } else { 0.1 };
        let after_s = if is_warm {
            0.2
        } else if is_staged {
            *warm_s
        } else {
            load_s * factor
        };
        if !is_warm && !is_staged {
            state.staged = Some(model.clone());
        }
        state.last_model = Some(model);
        platform.log.line(&format!("order join {group} at {}: 202", self.id));
        let membership = Membership { group, epoch, rank, state: "joining", members };
        self.set(platform, &mut state, Some(membership));
        let step = state.step;
        drop(state);
        self.set_later(platform, step, Duration::from_secs_f64(after_s), "ready");
        202
    }

    /// Runs a plain request, and checks that the runner may get one.
    fn run_plain(&self, platform: &Platform, message: &Message, stream: &mut TcpStream) -> bool {
        let id = message.header("x-request-id").unwrap_or_default().to_owned();
        let own = format!("X-Request-Id: {id}\r\n");
        let expected = message.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return answer(stream, 421, &format!("{own}X-Instance-Id: {}\r\n", self.id), b"");
        }
        let drained = self.state.lock().unwrap().drained;
        if let Some(late) = drained.and_then(|at| at.elapsed().checked_sub(DRAIN)) {
            platform.violations.fetch_add(1, Ordering::Relaxed);
            platform.log.line(&format!(
                "BROKEN DRAIN: request {id} reaches {} {} ms after drain_ms",
                self.id,
                late.as_millis()
            ));
        }
        platform.note_run(&id, &self.id);
        thread::sleep(PLAIN_WORK);
        if self.is_down.load(Ordering::Relaxed) {
            return false;
        }
        answer(stream, 200, &format!("{own}X-Response-Seal: seal-{}\r\n", self.id), b"done")
    }

    /// Runs a stream as long as the runner is the head of an open group.
    fn run(&self, platform: &Platform, message: &Message, stream: &mut TcpStream) -> bool {
        let id = message.header("x-request-id").unwrap_or_default().to_owned();
        let own = format!("X-Request-Id: {id}\r\n");
        let expected = message.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return answer(stream, 421, &format!("{own}X-Instance-Id: {}\r\n", self.id), b"");
        }
        let membership = {
            let mut state = self.state.lock().unwrap();
            let membership = state.membership.clone();
            let is_head = membership.as_ref().is_some_and(|m| m.rank == 0);
            let serves = membership.as_ref().is_some_and(|m| m.rank == 0 && m.state == "open");
            if !serves || state.running >= 2 * SLOTS {
                drop(state);
                let status = if is_head || membership.is_none() { 503 } else { 421 };
                return answer(stream, status, &format!("{own}X-Not-Executed: 1\r\n"), b"");
            }
            state.running += 1;
            membership
        };
        platform.note_run(&id, &self.id);
        let group = membership.map(|m| m.group).unwrap_or_default();
        let is_complete = self.send_events(message, stream, &group, &own);
        self.state.lock().unwrap().running -= 1;
        if !is_complete {
            platform.log.line(&format!("stream {id} at {} of {group} ends early", self.id));
        }
        is_complete
    }

    fn send_events(
        &self,
        message: &Message,
        stream: &mut TcpStream,
        group: &str,
        own: &str,
    ) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{own}X-Response-Seal: seal-{}\r\nX-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let after = message.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for id in after + 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            let is_member = {
                let state = self.state.lock().unwrap();
                state.membership.as_ref().is_some_and(|m| m.group == group)
            };
            if !is_member {
                return false;
            }
            let event = format!("id: {id}\ndata: piece {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

impl Platform {
    /// Keeps an order to join back: the first one to a candidate that heads a new group, then the first that
    /// orders the same runner into another group.
    fn keeps_back(&self, runner: &str, order: &str) -> bool {
        let is_join = text_field(order, "operation").as_deref() == Some("join");
        if !is_join || !self.late.candidates.lock().unwrap().iter().any(|id| id == runner) {
            return false;
        }
        let group = text_field(order, "group").unwrap_or_default();
        let members = list_field(order, "members").unwrap_or_default();
        let mut kept = self.late.kept.lock().unwrap();
        let is_next = match kept.first() {
            None => members.first().is_some_and(|head| head == runner),
            Some((first, known, ..)) => kept.len() < 2 && first == runner && *known != group,
        };
        if is_next {
            self.log.line(&format!("DISRUPTION: the join of {group} at {runner} stays unanswered"));
            kept.push((runner.to_owned(), group, order.to_owned(), Instant::now()));
        }
        is_next
    }

    /// Carries out an order that was kept back.
    fn carry_out(self: &Arc<Self>, index: usize) -> Result<(), String> {
        let (id, group, order, at) = self.late.kept.lock().unwrap()[index].clone();
        let after = at.elapsed();
        if !(2.0..=12.0).contains(&after.as_secs_f64()) {
            return Err(format!("an order would be carried out after {after:?}"));
        }
        self.log.line(&format!("the join of {group} at {id} is carried out {after:?} late"));
        let runner = self.runner(&id).ok_or("the runner is gone")?;
        runner.order(self, &order);
        Ok(())
    }

    /// The name of the node that wrote the last record of the planner's topic.
    fn planner(&self) -> Option<String> {
        let topics = self.store.topics.lock().unwrap();
        let record = String::from_utf8_lossy(topics.get("keyed.planner")?.last()?).into_owned();
        let holder = text_field(&record, "holder")?;
        Some(holder.rsplit_once('-')?.0.to_owned())
    }

    fn note_run(&self, request: &str, runner: &str) {
        self.runs.lock().unwrap().entry(request.to_owned()).or_default().push(runner.to_owned());
    }

    /// The key of a request: after the change, the old one for even numbers and the new one for odd ones.
    /// A key that no version holds is used from the beginning.
    fn key(&self, number: u64) -> &'static str {
        let is_used = self.has_unknown_keys || self.key_changed.lock().unwrap().is_some();
        if is_used && number % 2 == 1 { "key-2" } else { "key-1" }
    }

    /// Records a request that has ended, and checks the rules CONFIG and ROUTE.
    fn note_answer(&self, request: &str, sent: Instant, ip: Ipv4Addr, key: &str, result: &str) {
        let runs = self.runs.lock().unwrap().get(request).cloned().unwrap_or_default();
        let changed = *self.key_changed.lock().unwrap();
        let is_bound = changed.is_some_and(|changed| sent >= changed + CONFIG_APPLY);
        if self.has_unknown_keys && key == "key-2" && !runs.is_empty() {
            self.violations.fetch_add(1, Ordering::Relaxed);
            self.log.line(&format!("BROKEN ROUTE: {request} with {key}"));
        }
        let is_refused = !self.has_unknown_keys && key == "key-2" && result.ends_with("401");
        let is_old = key == "key-1" && !runs.is_empty() || is_refused;
        if is_bound && is_old {
            self.violations.fetch_add(1, Ordering::Relaxed);
            self.log.line(&format!("BROKEN CONFIG: {request} with {key}"));
        }
        let sent = sent.duration_since(self.log.begun).as_secs_f64();
        let runs = runs.join(",");
        self.log
            .line(&format!("{request} sent {sent:.3} to {ip} with {key}: {result}; run by {runs}"));
    }

    fn runner(&self, id: &str) -> Option<Arc<Runner>> {
        self.runners.lock().unwrap().iter().find(|runner| runner.id == id).cloned()
    }

    /// The state of the head of a group, if it is still in that group.
    fn head_state(&self, membership: &Membership) -> Option<&'static str> {
        let head = self.runner(&membership.members[0])?;
        let state = head.state.lock().unwrap();
        let own = state.membership.as_ref()?;
        (own.group == membership.group && own.epoch == membership.epoch).then_some(own.state)
    }

    fn add_runner(
        self: &Arc<Self>,
        id: String,
        service: &'static str,
        zone: &'static str,
        membership: Option<Membership>,
    ) -> Arc<Runner> {
        let platform = self.clone();
        let slot: Arc<Mutex<Option<Arc<Runner>>>> = Arc::default();
        let handler_slot = slot.clone();
        let is_down: Arc<AtomicBool> = Arc::default();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let address = serve(any, is_down.clone(), move |message, stream| {
            let runner = loop {
                if let Some(runner) = handler_slot.lock().unwrap().clone() {
                    break runner;
                }
                thread::sleep(Duration::from_millis(1));
            };
            let (_, path, _) = message.target();
            if runner.is_down.load(Ordering::Relaxed) {
                return false;
            }
            match path.as_str() {
                _ if path.starts_with("/desk/") => runner.run_plain(&platform, &message, stream),
                "/order" => {
                    let body = String::from_utf8_lossy(&message.body).into_owned();
                    if platform.keeps_back(&runner.id, &body) {
                        thread::sleep(Duration::from_secs(2));
                        return false;
                    }
                    let status = runner.order(&platform, &body);
                    answer(stream, status, "", b"")
                }
                "/report" => {
                    let state = runner.state.lock().unwrap();
                    let body = format!(
                        "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":{},\
                         \"queued\":0,\"running\":{},\"kv_used\":0,\"kv_total\":1860000,\
                         \"handles\":0,\"born\":{},\"group\":{}}}",
                        state.orders,
                        state.running,
                        runner.born.load(Ordering::Relaxed),
                        Runner::group_json(&state)
                    );
                    drop(state);
                    answer(stream, 200, "Content-Type: application/json\r\n", body.as_bytes())
                }
                "/health" => answer(stream, 200, &format!("X-Instance-Id: {}\r\n", runner.id), b""),
                _ => runner.run(&platform, &message, stream),
            }
        });
        let state = RunnerState { membership, ..RunnerState::default() };
        let (born, state) = (AtomicU64::new(unix_ms()), Mutex::new(state));
        let runner = Arc::new(Runner { id, service, zone, address, born, is_down, state });
        *slot.lock().unwrap() = Some(runner.clone());
        self.runners.lock().unwrap().push(runner.clone());
        let (platform, beating) = (self.clone(), runner.clone());
        thread::spawn(move || {
            loop {
                beating.beat(&platform, &mut beating.state.lock().unwrap());
                thread::sleep(HEARTBEAT);
            }
        });
        runner
    }

    /// Returns a head of an open group of the first model, with the runner that wrote last.
    fn open_head(&self) -> Option<Arc<Runner>> {
        let runners = self.runners.lock().unwrap().clone();
        runners.into_iter().find(|runner| {
            let state = runner.state.lock().unwrap();
            let membership = state.membership.as_ref();
            membership.is_some_and(|m| {
                m.rank == 0 && m.state == "open" && m.group.starts_with(MODELS[0].0)
            })
        })
    }

    fn open_groups(&self) -> usize {
        let runners = self.runners.lock().unwrap().clone();
        let is_open = |runner: &Arc<Runner>| {
            let state = runner.state.lock().unwrap();
            state.membership.as_ref().is_some_and(|m| m.rank == 0 && m.state == "open")
        };
        runners.iter().filter(|runner| is_open(runner)).count()
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---------------------------------------------------------------------------------------------
// The installation

const FIRST_TENANTS: &str = "{\"name\":\"club\",\"api_keys\":[\"key-1\"],\"priority\":1}";

fn configuration(version: u64, tenants: &str) -> String {
    let models = MODELS.iter().map(|(name, size, load_s, warm_s)| {
        format!(
            "{{\"name\":\"{name}\",\"size\":{size},\"share\":0.5,\"pace\":1.0,\"load_s\":{load_s:.1},\
             \"warm_s\":{warm_s:.1}}}"
        )
    });
    let models = models.collect::<Vec<_>>().join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"crew.example\",\
         \"path_prefix\":\"/plan/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\
         \"target_latency_ms\":400,\"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2,\
         \"public\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":300}},\
         {{\"name\":\"r-2\",\"hostname\":\"crew.example\",\"path_prefix\":\"/desk/read/\",\
         \"kind\":\"safe\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\
         \"service\":\"{PLAIN_SERVICE}\",\"max_attempts\":2,\"public\":false}},\
         {{\"name\":\"r-3\",\"hostname\":\"crew.example\",\"path_prefix\":\"/desk/book/\",\
         \"kind\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\
         \"service\":\"{PLAIN_SERVICE}\",\"max_attempts\":1,\"public\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_connections\":428,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\
         \"engine\":{{\"slots\":{SLOTS},\"kv_capacity_tokens\":1860000,\"kv_token_bytes\":96256,\
         \"link_mbps\":400000.0,\"stride\":5,\"models\":[{models}],\"step_ms\":7.8,\
         \"per_seq_ms\":0.0947,\"context_per_k\":0.0096,\"read_per_s\":45900.0,\
         \"pairs_per_m\":0.433,\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_per_s\":5.0,\
         \"loads_at_once\":7,\"delays\":[],\"usual\":{{\"prompt\":979,\"answer\":154}},\"keeps\":1,\
         \"far_x\":3.0,\"form_ms\":300.0}}}},\
         {{\"name\":\"{PLAIN_SERVICE}\",\"health_path\":\"/health\",\"max_connections\":96,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{tenants}]}}"
    )
}

fn settings(name: &str, ip: Ipv4Addr, zone: &str, seeds: &[Ipv4Addr], store: SocketAddr) -> String {
    let seeds: Vec<String> =
        seeds.iter().map(|seed| format!("\"{seed}:{CONTROL_PORT}\"")).collect();
    let zones: String = ZONES.iter().map(|(zone, _)| format!("{zone} = \"bayern\"\n")).collect();
    format!(
        "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\"]\n\
         ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"bayern\"\nport_range = [{PEER_PORT},{}]\n\
         seeds = [{}]\nbootstrap = true\nloss_counts = false\ndiscovery = \"platform\"\n\
         entry = \"vip\"\nheartbeat_ms = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
         \"stream\",\"tenants\",\"places\",\"platform\",\"gangs\"]\n[zones]\n{zones}[listen]\n\
         front = \"{ip}:{CALLERS_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
         control = \"{ip}:{CONTROL_PORT}\"\n[limits]\ncpu_share = 0.25\ncores = 1\n\
         memory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\n\
         machines = 1\nzones = 1\nregions = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\n\
         stable_window_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\n\
         loss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nmax_skew_ms = 5000\n\
         strict_revoke = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n\
         budget_slack = 103\ncold_overage = 1.5\ncold_slack = 5\nevacuate_ms = 5000\n\
         recovery_s = 12\npass_ms = 120\nretry_after_s = 0\nstall_ms = 5000\nrequire_fence = false\n\
         ceiling_window_s = 5\nceiling_overage = 1.1\n[platform]\naddress = \"{store}\"\n\
         form = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\nparts = 12\nkeep_s = 300\n\
         part_mb = 200\nttl_min_ms = 1000\n",
        PEER_PORT + 15,
        seeds.join(","),
    )
}

/// The node processes and their folder, which end with the case.
struct Nodes {
    names: Vec<String>,
    children: Vec<Child>,
    program: String,
    folder: PathBuf,
    ips: Vec<Ipv4Addr>,
}

impl Nodes {
    fn spawn(&self, name: &str) -> std::io::Result<Child> {
        let path = self.folder.join(format!("{name}.toml"));
        let log = self.folder.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(log)?;
        Command::new(&self.program)
            .arg("platform")
            .env("BALSAMTURN_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
    }

    /// Kills a node, which starts again after half a second.
    fn kill(&mut self, name: &str) -> Result<(), String> {
        let index = self.names.iter().position(|known| known == name);
        let index = index.ok_or(format!("there is no node {name}"))?;
        let _ = self.children[index].kill();
        let _ = self.children[index].wait();
        thread::sleep(Duration::from_millis(500));
        self.children[index] = self.spawn(name).map_err(|error| error.to_string())?;
        Ok(())
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn is_free(ip: Ipv4Addr) -> bool {
    let ports = [CALLERS_PORT, READY_PORT, METRICS_PORT, PEER_PORT];
    ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
}

fn start_nodes(program: &str, store: SocketAddr) -> std::io::Result<Nodes> {
    let folder = std::env::temp_dir().join(format!("standin-3-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let mut nodes = Nodes {
        names: Vec::new(),
        children: Vec::new(),
        program: program.to_owned(),
        folder,
        ips: Vec::new(),
    };
    let first = std::process::id() % 200 + 20;
    let candidates = (0..u32::from(u8::MAX) * 250).map(|number| {
        let (third, fourth) = (first + number / 250, number % 250 + 1);
        Ipv4Addr::new(127, 3, third as u8, fourth as u8)
    });
    let count: usize = ZONES.iter().map(|(_, nodes)| nodes).sum();
    nodes.ips = candidates.filter(|ip| is_free(*ip)).take(count).collect();
    let seeds: Vec<Ipv4Addr> = vec![nodes.ips[0], nodes.ips[3], nodes.ips[5]];
    let mut ips = nodes.ips.clone().into_iter();
    for (zone, count) in ZONES {
        for number in 1..=count {
            let (name, ip) = (format!("front-{zone}-{number}"), ips.next().unwrap());
            let path = nodes.folder.join(format!("{name}.toml"));
            std::fs::write(&path, settings(&name, ip, zone, &seeds, store))?;
            let child = nodes.spawn(&name)?;
            nodes.names.push(name);
            nodes.children.push(child);
        }
    }
    Ok(nodes)
}

fn is_ready(ip: Ipv4Addr) -> bool {
    let Ok(mut stream) = TcpStream::connect((ip, READY_PORT)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let request = "GET /readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).is_ok() && line.contains(" 200")
}

/// What became of a plain request.
fn send_plain(ip: Ipv4Addr, number: u64, key: &str) -> &'static str {
    let Ok(mut stream) = TcpStream::connect((ip, CALLERS_PORT)) else { return "no channel" };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let (method, path) = if number % 2 == 0 { ("GET", "read") } else { ("POST", "book") };
    let request = format!(
        "{method} /desk/{path}/x HTTP/1.1\r\nHost: crew.example\r\nX-Request-Id: p{number:012x}\r\n\
         X-Time-Budget: 1500\r\nAuthorization: Bearer {key}\r\nContent-Length: 0\r\n\
         Connection: close\r\n\r\n"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return "plain: no answer";
    }
    match read_message(&mut BufReader::new(stream)) {
        None => "plain: no whole answer",
        Some(message) if message.first_line.contains(" 200") => "plain: whole",
        Some(message) if message.first_line.contains(" 503") => "plain: 503",
        Some(message) if message.first_line.contains(" 401") => "plain: 401",
        Some(_) => "plain: other status",
    }
}

/// What became of a stream.
fn send_stream(ip: Ipv4Addr, number: u64, key: &str) -> &'static str {
    let Ok(mut stream) = TcpStream::connect((ip, CALLERS_PORT)) else { return "no channel" };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(9)));
    let model = MODELS[number as usize % 2].0;
    let request = format!(
        "POST /plan/x HTTP/1.1\r\nHost: crew.example\r\nX-Request-Id: q{number:012x}\r\n\
         X-Model-Name: {model}\r\nX-Token-Count: 900,150\r\nX-Prompt-Prefix: 5c1e07a2:40,{:x}:860\r\n\
         X-Time-Budget: 8000\r\nAuthorization: Bearer {key}\r\nContent-Length: 5\r\n\
         Connection: close\r\n\r\nentry",
        number + 0x1000_0000
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return "no answer";
    }
    let mut reader = BufReader::new(stream);
    match read_message(&mut reader) {
        None => "no whole answer",
        Some(message) if !message.first_line.contains(" 200") => match &message.first_line {
            line if line.contains(" 503") => "503",
            line if line.contains(" 401") => "401",
            _ => "other status",
        },
        Some(message) => {
            let complete: String =
                (1..=EVENTS).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
            if message.body == complete.as_bytes() { "whole" } else { "wrong body" }
        }
    }
}

fn send_traffic(
    platform: &Arc<Platform>,
    ips: &[Ipv4Addr],
) -> Arc<Mutex<BTreeMap<&'static str, u64>>> {
    let results: Arc<Mutex<BTreeMap<&'static str, u64>>> = Arc::default();
    let (plain_platform, stream_platform) = (platform.clone(), platform.clone());
    let (plain_ips, plain_counts) = (ips.to_vec(), results.clone());
    thread::spawn(move || {
        let begun = Instant::now();
        for number in 0..PLAIN_PER_S * TRAFFIC.as_secs() {
            let due = Duration::from_millis(number * 1_000 / PLAIN_PER_S);
            thread::sleep(due.saturating_sub(begun.elapsed()));
            let ip = plain_ips[(number / 2) as usize % plain_ips.len()];
            let counts = plain_counts.clone();
            let platform = plain_platform.clone();
            thread::spawn(move || {
                let sent = Instant::now();
                // Both keys are used by either kind of request.
                let key = platform.key(number / 2);
                let result = send_plain(ip, number, key);
                platform.note_answer(&format!("p{number:012x}"), sent, ip, key, result);
                *counts.lock().unwrap().entry(result).or_default() += 1;
            });
        }
    });
    let (ips, counts) = (ips.to_vec(), results.clone());
    let nodes = ips.len() as u64;
    platform.has_traffic.store(true, Ordering::Relaxed);
    thread::spawn(move || {
        let begun = Instant::now();
        for number in 0..STREAMS_PER_S * TRAFFIC.as_secs() {
            let due = Duration::from_millis(number * 1_000 / STREAMS_PER_S);
            thread::sleep(due.saturating_sub(begun.elapsed()));
            let (ip, counts) = (ips[number as usize % ips.len()], counts.clone());
            let platform = stream_platform.clone();
            thread::spawn(move || {
                let sent = Instant::now();
                // All streams have the new key, or each node gets half of them with the unknown one.
                let key = platform.key(if platform.has_unknown_keys { number / nodes } else { 1 });
                let result = send_stream(ip, number, key);
                platform.note_answer(&format!("q{number:012x}"), sent, ip, key, result);
                *counts.lock().unwrap().entry(result).or_default() += 1;
            });
        }
    });
    results
}

// ---------------------------------------------------------------------------------------------
// The disruptions

/// Runners of a service that the configuration does not name register. They are members of a group of
/// another installation, which has the name and the epoch of one of this installation, as both
/// count from the same number. A few seconds later its head drains.
fn start_other_service(platform: &Arc<Platform>) -> bool {
    let Some(head) = platform.open_head() else { return false };
    let own = head.state.lock().unwrap().membership.clone().unwrap();
    let ids = ["i-z0000000", "i-00000001", "i-00000002", "i-00000003"].map(str::to_owned).to_vec();
    let mut others = Vec::new();
    for (rank, id) in ids.iter().enumerate() {
        let state = if rank == 0 { "open" } else { "ready" };
        let (group, epoch) = (own.group.clone(), own.epoch);
        let membership = Membership { group, epoch, rank, state, members: ids.clone() };
        platform.log.line(&format!(
            "DISRUPTION: runner {id} of the service another registers, rank {rank} of {}, epoch {epoch}",
            own.group
        ));
        others.push(platform.add_runner(id.clone(), "another", head.zone, Some(membership)));
    }
    let platform = platform.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(3));
        let mut state = others[0].state.lock().unwrap();
        state.is_draining = true;
        platform.log.line(&format!("runner {} of the service another is draining", others[0].id));
        others[0].beat(&platform, &mut state);
    });
    true
}

/// A plain runner starts, crashes a second later, starts again under its id, and leaves after a while
/// as planned. With the disruption, the time of day of its host is ahead at its first start and has
/// jumped back before the second one.
fn start_again(platform: &Arc<Platform>, ahead_ms: u64) {
    let id = "i-k0000000".to_owned();
    let runner = platform.add_runner(id, PLAIN_SERVICE, ZONES[0].0, None);
    {
        let mut state = runner.state.lock().unwrap();
        runner.born.store(unix_ms() + ahead_ms, Ordering::Relaxed);
        runner.beat(platform, &mut state);
        let born = runner.born.load(Ordering::Relaxed);
        platform
            .log
            .line(&format!("runner {} starts, born {born}, {ahead_ms} ms ahead", runner.id));
    }
    let platform = platform.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(1_000));
        runner.is_down.store(true, Ordering::Relaxed);
        platform.log.line(&format!("runner {} crashes", runner.id));
        thread::sleep(Duration::from_millis(500));
        {
            let mut state = runner.state.lock().unwrap();
            *state = RunnerState::default();
            runner.is_down.store(false, Ordering::Relaxed);
            runner.born.store(unix_ms(), Ordering::Relaxed);
            runner.beat(&platform, &mut state);
            let born = runner.born.load(Ordering::Relaxed);
            platform.log.line(&format!("runner {} starts again, born {born}", runner.id));
        }
        thread::sleep(Duration::from_secs(5));
        {
            let mut state = runner.state.lock().unwrap();
            state.is_draining = true;
            runner.beat(&platform, &mut state);
            state.drained = Some(Instant::now());
            platform.log.line(&format!("runner {} is draining", runner.id));
        }
        thread::sleep(4 * DRAIN);
        runner.is_down.store(true, Ordering::Relaxed);
        platform.store.put("keyed.servers", &runner.id, "");
        platform.log.line(&format!("runner {} has left", runner.id));
    });
}

/// Three heads of groups of two drain, as planned. With the disruption, an order to join that the other
/// members are to form a group with stays unanswered, the planning node is killed, and the same again
/// with its successor; both orders are carried out late, the older one first.
fn drain_heads(
    platform: &Arc<Platform>,
    nodes: &mut Nodes,
    has_trouble: bool,
) -> Result<(), String> {
    let runners = platform.runners.lock().unwrap().clone();
    let is_head = |runner: &&Arc<Runner>| {
        let state = runner.state.lock().unwrap();
        let membership = state.membership.as_ref();
        runner.zone == ZONES[0].0
            && membership.is_some_and(|m| m.rank == 0 && m.state == "open" && m.members.len() == 2)
    };
    let heads: Vec<Arc<Runner>> = runners.iter().filter(is_head).cloned().collect();
    if heads.len() < 3 {
        return Err(format!("{} groups of two are open", heads.len()));
    }
    if has_trouble {
        let member = |head: &Arc<Runner>| {
            head.state.lock().unwrap().membership.as_ref().map(|m| m.members[1].clone())
        };
        *platform.late.candidates.lock().unwrap() = heads[..2].iter().filter_map(member).collect();
    }
    drain(platform, &heads[0]);
    drain(platform, &heads[1]);
    if !has_trouble {
        thread::sleep(Duration::from_secs(2));
        drain(platform, &heads[2]);
        return Ok(());
    }
    wait_until("a join is unanswered", || platform.late.kept.lock().unwrap().len() == 1)?;
    thread::sleep(Duration::from_millis(50));
    let planner = platform.planner().ok_or("no node plans")?;
    platform.log.line(&format!("DISRUPTION: {planner} is killed"));
    nodes.kill(&planner)?;
    drain(platform, &heads[2]);
    wait_until("another join is unanswered", || platform.late.kept.lock().unwrap().len() == 2)?;
    thread::sleep(Duration::from_millis(50));
    let planner = platform.planner().ok_or("no node plans")?;
    platform.log.line(&format!("DISRUPTION: {planner} is killed"));
    nodes.kill(&planner)?;
    platform.carry_out(0)?;
    let (id, group, ..) = platform.late.kept.lock().unwrap()[0].clone();
    let runner = platform.runner(&id).ok_or("the runner is gone")?;
    let opened = wait_until("the older group is open", || {
        let state = runner.state.lock().unwrap();
        state.membership.as_ref().is_some_and(|m| m.group == group && m.state == "open")
    });
    if let Err(error) = opened {
        platform.log.line(&error);
    }
    thread::sleep(Duration::from_millis(500));
    platform.carry_out(1)
}

/// A runner leaves as planned: it reports that it drains, and its entry is removed later.
fn drain(platform: &Arc<Platform>, runner: &Arc<Runner>) {
    let mut state = runner.state.lock().unwrap();
    state.is_draining = true;
    runner.beat(platform, &mut state);
    platform.log.line(&format!("runner {} is draining", runner.id));
    let (platform, runner) = (platform.clone(), runner.clone());
    thread::spawn(move || {
        thread::sleep(4 * DRAIN);
        runner.is_down.store(true, Ordering::Relaxed);
        platform.store.put("keyed.servers", &runner.id, "");
        platform.log.line(&format!("runner {} has left", runner.id));
    });
}

fn wait_until(what: &str, is_met: impl Fn() -> bool) -> Result<(), String> {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(9) {
        if is_met() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(5));
    }
    Err(format!("not within 9 s: {what}"))
}

/// The operator changes the configuration: `key-1` is taken away, `key-2` is added, and there is another
/// tenant, which has this priority.
fn change_keys(platform: &Platform, priority: u64) {
    let tenants = format!(
        "{{\"name\":\"club\",\"api_keys\":[\"key-2\"],\"priority\":1}},\
         {{\"name\":\"crews\",\"api_keys\":[\"key-3\"],\"priority\":{priority}}}"
    );
    platform.store.put("keyed.op", "config", &configuration(9, &tenants));
    *platform.key_changed.lock().unwrap() = Some(Instant::now());
    platform.log.line(&format!("the operator writes version 9 with the tenants {tenants}"));
}

/// The operator takes all keys away: with the disruption by a version whose list of tenants is empty,
/// and without it by one that has another tenant in place of the first.
fn remove_keys(platform: &Platform, has_trouble: bool) {
    let tenants = match has_trouble {
        true => "",
        false => "{\"name\":\"crews\",\"api_keys\":[\"key-3\"],\"priority\":1}",
    };
    platform.store.put("keyed.op", "config", &configuration(9, tenants));
    *platform.key_changed.lock().unwrap() = Some(Instant::now());
    platform.log.line(&format!("the operator writes version 9 with the tenants [{tenants}]"));
}

fn run(case: &str, program: &str, log: Arc<Log>) -> Result<bool, String> {
    let store = Arc::new(Store::default());
    let handler = store.clone();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let address =
        serve(any, Arc::default(), move |message, stream| handler.handle(&message, stream));
    let platform = Arc::new(Platform {
        store: store.clone(),
        log: log.clone(),
        runners: Mutex::default(),
        has_traffic: AtomicBool::new(false),
        violations: AtomicU64::new(0),
        joins: AtomicU64::new(0),
        runs: Mutex::default(),
        late: Late::default(),
        key_changed: Mutex::default(),
        has_unknown_keys: case == "no-tenants",
    });
    store.put("keyed.op", "config", &configuration(7, FIRST_TENANTS));
    let runners = if case == "late-joins" { RUNNERS_PER_ZONE_LATE } else { RUNNERS_PER_ZONE };
    for (zone, _) in ZONES {
        for number in 0..runners {
            let id = format!("i-{}{number:07x}", &zone[..1]);
            platform.add_runner(id, SERVICE, zone, None);
        }
    }
    for (zone, _) in ZONES {
        platform.add_runner(format!("i-p{}000000", &zone[..1]), PLAIN_SERVICE, zone, None);
    }
    let begun = Instant::now();
    let mut nodes = start_nodes(program, address).map_err(|error| format!("nodes: {error}"))?;
    thread::sleep(LEAD.saturating_sub(begun.elapsed()));
    let ready = nodes.ips.iter().filter(|ip| is_ready(**ip)).count();
    log.line(&format!(
        "{ready} of {} nodes are ready, {} groups are open",
        nodes.ips.len(),
        platform.open_groups()
    ));
    if ready < nodes.ips.len() || platform.open_groups() == 0 {
        return Err("the nodes were not ready or formed no group".to_owned());
    }
    let results = send_traffic(&platform, &nodes.ips);
    thread::sleep(TROUBLE_AT);
    log.line(&format!("answers so far: {:?}", results.lock().unwrap()));
    let before = platform.violations.load(Ordering::Relaxed);
    if before > 0 {
        log.line("the rule was broken before the disruption");
    }
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    if case == "late-joins" {
        drain_heads(&platform, &mut nodes, has_trouble)?;
    } else if case == "clock-of-a-runner" {
        start_again(&platform, if has_trouble { 2_000 } else { 0 });
    } else if case == "priority" {
        change_keys(&platform, if has_trouble { 1_000 } else { 9 });
    } else if case == "no-tenants" {
        remove_keys(&platform, has_trouble);
    } else if has_trouble {
        let is_done = match case {
            "other-service" => start_other_service(&platform),
            _ => return Err(format!("there is no case {case}")),
        };
        if !is_done {
            return Err("no group was open".to_owned());
        }
    }
    thread::sleep(TRAFFIC - TROUBLE_AT + Duration::from_secs(3));
    log.line(&format!("answers: {:?}", results.lock().unwrap()));
    let violations = platform.violations.load(Ordering::Relaxed);
    log.line(&format!(
        "the rule was broken {violations} times; there were {} joins",
        platform.joins.load(Ordering::Relaxed)
    ));
    if let Ok(folder) = std::env::var("KEEP_LOGS") {
        for entry in std::fs::read_dir(&nodes.folder).into_iter().flatten().flatten() {
            let _ = std::fs::copy(entry.path(), PathBuf::from(&folder).join(entry.file_name()));
        }
    }
    drop(nodes);
    Ok(violations == 0)
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, record] = &arguments[..] else {
        eprintln!("usage: standin-3 CASE PROGRAM RECORD");
        std::process::exit(2);
    };
    let file = match File::create(record) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("{record}: {error}");
            std::process::exit(2);
        }
    };
    let log = Arc::new(Log { begun: Instant::now(), file: Mutex::new(file) });
    let code = match run(case, program, log.clone()) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            log.line(&format!("the case could not run: {error}"));
            2
        }
    };
    log.line(&format!("exit {code}"));
    std::process::exit(code);
}
