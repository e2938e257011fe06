//! Case 10: a stream whose event ids rise by more than one.
//!
//! Plays the platform's store, two runners that form a group, and callers for one entry node, which is the
//! project's own process. With `TROUBLE=1` (the default), the id of each event is the number of tokens up to
//! its end, and an event holds five tokens.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// A join of the model that the runner served last.
const REJOIN: Duration = Duration::from_millis(200);
const WARM: Duration = Duration::from_millis(300);
const FORM: Duration = Duration::from_millis(100);
/// Pause between two events of an answer.
const EVENT_PAUSE: Duration = Duration::from_millis(20);
const EVENTS: u64 = 34;
const TOKENS_PER_EVENT: u64 = 5;
const REQUESTS: u32 = 12;
/// How long callers wait, and the timeout of the route.
const TIME_BUDGET: Duration = Duration::from_secs(8);

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"model","hostname":"club.example","path_prefix":"/model/","kind":"streaming","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"pool","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":300}],
"services":[{"name":"pool","health_path":"/health","max_connections":428,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":36.0,"engine":{"slots":17,"kv_capacity_tokens":1860000,"stride":5,"models":[{"name":"m","size":2,"share":1.0,"pace":1.0,"load_s":2.0,"warm_s":0.3}],"step_ms":7.8,"per_seq_ms":0.0947,"context_per_k":0.0096,"read_per_s":45900.0,"pairs_per_m":0.433,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":5.0,"loads_at_once":7,"usual":{"prompt":979,"answer":154},"keeps":1,"far_x":3.0,"form_ms":100.0}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"club","api_keys":["secret"],"priority":1}]}"#;

/// The log of what was sent, answered and run.
struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    fn add(&self, text: String) {
        let line = format!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        self.lines.lock().unwrap().push(line);
    }
}

// ---------------------------------------------------------------- HTTP

struct Request {
    path: String,
    id: String,
    last_event_id: u64,
    body: Vec<u8>,
}

fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Request> {
    let mut buffer = [0_u8; 8192];
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        let bytes = stream.read(&mut buffer).ok().filter(|bytes| *bytes > 0)?;
        rest.extend_from_slice(&buffer[..bytes]);
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).to_string();
    let length = head
        .lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.trim().parse::<usize>().ok())
        .unwrap_or(0);
    while rest.len() < head_end + length {
        let bytes = stream.read(&mut buffer).ok().filter(|bytes| *bytes > 0)?;
        rest.extend_from_slice(&buffer[..bytes]);
    }
    let body = rest[head_end..head_end + length].to_vec();
    rest.drain(..head_end + length);
    let path = head.split(' ').nth(1)?.to_owned();
    let field = |wanted: &str| {
        let mut fields = head.lines().filter_map(|line| line.split_once(':'));
        let field = fields.find(|(name, _)| name.eq_ignore_ascii_case(wanted));
        field.map_or_else(String::new, |(_, value)| value.trim().to_owned())
    };
    let id = field("x-request-id");
    let last_event_id = field("last-event-id").parse().unwrap_or(0);
    Some(Request { path, id, last_event_id, body })
}

fn answer(status: u16, kind: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Serves each connection on a thread; the parts of an answer are sent with pauses.
fn serve(
    listener: TcpListener,
    handler: impl Fn(Request) -> Option<Vec<Vec<u8>>> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut rest = Vec::new();
                while let Some(request) = read_request(&mut stream, &mut rest) {
                    let Some(parts) = handler(request) else { return };
                    for part in parts {
                        if stream.write_all(&part).is_err() {
                            return;
                        }
                        thread::sleep(EVENT_PAUSE);
                    }
                }
            });
        }
    });
}

// ---------------------------------------------------------------- the store

#[derive(Default)]
struct Store {
    topics: Mutex<HashMap<String, Vec<Vec<u8>>>>,
}

impl Store {
    fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let record = [&[key.len() as u8], key.as_bytes(), value].concat();
        self.topics.lock().unwrap().entry(topic.to_owned()).or_default().push(record);
    }

    fn handle(&self, request: Request) -> Option<Vec<u8>> {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let field = |name: &str| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
                .map(str::to_owned)
        };
        let topic = field("topic").unwrap_or_default();
        let number = |name: &str| field(name).and_then(|value| value.parse::<u64>().ok());
        thread::sleep(Duration::from_millis(1));
        Some(match path {
            "/log-append" => {
                let mut topics = self.topics.lock().unwrap();
                let records = topics.entry(topic).or_default();
                if number("at").is_some_and(|at| at != records.len() as u64) {
                    let body = format!("{{\"end\":{}}}", records.len());
                    return Some(answer(412, "application/json", body.as_bytes()));
                }
                let offset = records.len();
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let body = format!("{{\"offset\":{offset},\"end\":{}}}", records.len());
                answer(200, "application/json", body.as_bytes())
            }
            "/log-read" => {
                let from = number("from").unwrap_or(0) as usize;
                let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                loop {
                    {
                        let mut topics = self.topics.lock().unwrap();
                        let records = topics.entry(topic.clone()).or_default();
                        if records.len() > from || Instant::now() >= until {
                            let mut body = (records.len() as u64).to_be_bytes().to_vec();
                            body.extend_from_slice(&0_u64.to_be_bytes());
                            for record in records.iter().skip(from) {
                                body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                                body.extend_from_slice(record);
                            }
                            return Some(answer(200, "application/octet-stream", &body));
                        }
                    }
                    thread::sleep(Duration::from_millis(5));
                }
            }
            "/log-newest" => {
                let mut topics = self.topics.lock().unwrap();
                let records = topics.entry(topic).or_default();
                let mut newest = BTreeMap::new();
                for (offset, record) in records.iter().enumerate() {
                    let (key, value) = record[1..].split_at(usize::from(record[0]));
                    let key = String::from_utf8_lossy(key).to_string();
                    match value.is_empty() {
                        true => _ = newest.remove(&key),
                        false => _ = newest.insert(key, (value.to_vec(), offset)),
                    }
                }
                let items: Vec<String> = newest
                    .iter()
                    .map(|(key, (value, offset))| {
                        format!(
                            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            base64(value)
                        )
                    })
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"has_more\":false,\"end\":{}}}",
                    items.join(","),
                    records.len()
                );
                answer(200, "application/json", body.as_bytes())
            }
            _ => answer(404, "application/json", b"{}"),
        })
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(LETTERS[(word >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// ---------------------------------------------------------------- the runners

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum State {
    Joining,
    Ready,
    Open,
}

#[derive(Clone)]
struct Group {
    name: String,
    epoch: u64,
    members: Vec<String>,
    state: State,
    /// Distinguishes memberships, so that a timer of an earlier one has no effect.
    number: u64,
}

#[derive(Default)]
struct Inner {
    group: Option<Group>,
    highest_epoch: u64,
    has_served: bool,
    is_draining: bool,
    is_gone: bool,
    sequence: u64,
    number: u64,
    orders: u32,
}

#[derive(Clone, Debug)]
struct Order {
    operation: String,
    group: String,
    epoch: u64,
    members: Vec<String>,
}

struct Runner {
    id: &'static str,
    zone: &'static str,
    address: SocketAddr,
    inner: Mutex<Inner>,
}

struct World {
    store: Store,
    runners: Vec<Runner>,
    record: Record,
    /// By how much the ids of events rise.
    id_step: u64,
}

fn text_field(json: &str, name: &str) -> String {
    let start = json.split_once(&format!("\"{name}\":\"")).map_or("", |(_, rest)| rest);
    start.split('"').next().unwrap_or("").to_owned()
}

fn parse_order(body: &[u8]) -> Order {
    let json = String::from_utf8_lossy(body).to_string();
    let epoch = json.split_once("\"epoch\":").map_or("", |(_, rest)| rest);
    let epoch: String = epoch.chars().take_while(char::is_ascii_digit).collect();
    let members = json.split_once("\"members\":[").map_or("", |(_, rest)| rest);
    let members = members.split(']').next().unwrap_or("");
    let members =
        members.split(',').map(|m| m.trim_matches('"').to_owned()).filter(|m| !m.is_empty());
    Order {
        operation: text_field(&json, "operation"),
        group: text_field(&json, "group"),
        epoch: epoch.parse().unwrap_or(0),
        members: members.collect(),
    }
}

impl World {
    fn runner(&self, id: &str) -> &Runner {
        self.runners.iter().find(|runner| runner.id == id).unwrap()
    }

    fn write_entry(&self, runner: &Runner) {
        let mut inner = runner.inner.lock().unwrap();
        if inner.is_gone {
            return;
        }
        inner.sequence += 1;
        let group = inner.group.as_ref().map_or("null".to_owned(), |group| {
            let rank = group.members.iter().position(|m| m == runner.id).unwrap_or(0);
            let state = format!("{:?}", group.state).to_lowercase();
            format!(
                "{{\"name\":\"{}\",\"epoch\":{},\"rank\":{rank},\"state\":\"{state}\"}}",
                group.name, group.epoch
            )
        });
        let state = if inner.is_draining { "draining" } else { "ready" };
        let entry = format!(
            "{{\"service\":\"pool\",\"address\":\"{1}\",\"zone\":\"{0}\",\"version\":\"v1\",\"slots\":17,\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[],\
             \"domain\":\"{0}0\",\"staged\":[\"m\"],\"group\":{group},\"sequence\":{2},\"born\":1764000000000}}",
            runner.zone, runner.address, inner.sequence
        );
        drop(inner);
        self.store.put("keyed.servers", runner.id, entry.as_bytes());
    }

    fn state_text(&self, id: &str) -> String {
        let inner = self.runner(id).inner.lock().unwrap();
        inner.group.as_ref().map_or("no group".to_owned(), |g| format!("{} {:?}", g.name, g.state))
    }

    /// Carries out an order; returns the status of its answer.
    fn carry_out(self: &Arc<Self>, id: &'static str, order: &Order) -> u16 {
        let status = match order.operation.as_str() {
            "join" => self.join(id, order),
            "open" => self.open(id, order),
            // No request is under way, so a head that closes is ready at once.
            "close" => self.change(id, order, |group| match group.state {
                State::Open => {
                    group.state = State::Ready;
                    202
                }
                State::Ready => 200,
                State::Joining => 409,
            }),
            "leave" => {
                let runner = self.runner(id);
                let mut inner = runner.inner.lock().unwrap();
                let is_member = inner
                    .group
                    .as_ref()
                    .is_some_and(|g| g.name == order.group && g.epoch == order.epoch);
                if is_member {
                    inner.group = None;
                }
                if is_member { 202 } else { 409 }
            }
            "stage" => 200,
            _ => 400,
        };
        self.write_entry(self.runner(id));
        status
    }

    fn change(&self, id: &str, order: &Order, change: impl FnOnce(&mut Group) -> u16) -> u16 {
        let mut inner = self.runner(id).inner.lock().unwrap();
        match inner.group.as_mut().filter(|g| g.name == order.group && g.epoch == order.epoch) {
            Some(group) => change(group),
            None => 409,
        }
    }

    fn join(self: &Arc<Self>, id: &'static str, order: &Order) -> u16 {
        let (number, delay) = {
            let mut inner = self.runner(id).inner.lock().unwrap();
            if order.epoch < inner.highest_epoch {
                return 412;
            }
            if let Some(group) = &inner.group
                && group.name == order.group
                && group.epoch == order.epoch
            {
                return if group.members == order.members { 200 } else { 412 };
            }
            inner.highest_epoch = order.epoch;
            inner.number += 1;
            let number = inner.number;
            inner.group = Some(Group {
                name: order.group.clone(),
                epoch: order.epoch,
                members: order.members.clone(),
                state: State::Joining,
                number,
            });
            let delay = if inner.has_served { REJOIN } else { WARM };
            inner.has_served = true;
            (number, delay)
        };
        let world = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            world.advance(id, number, State::Joining, State::Ready);
        });
        202
    }

    fn open(self: &Arc<Self>, id: &'static str, order: &Order) -> u16 {
        let number = {
            let inner = self.runner(id).inner.lock().unwrap();
            let group =
                inner.group.as_ref().filter(|g| g.name == order.group && g.epoch == order.epoch);
            match group {
                Some(group) if group.state == State::Open => return 200,
                Some(group) if group.state == State::Ready && group.members[0] == id => {
                    group.number
                }
                _ => return 409,
            }
        };
        let world = self.clone();
        thread::spawn(move || {
            thread::sleep(FORM);
            world.advance(id, number, State::Ready, State::Open);
        });
        202
    }

    fn advance(&self, id: &str, number: u64, from: State, to: State) {
        {
            let mut inner = self.runner(id).inner.lock().unwrap();
            match inner.group.as_mut().filter(|g| g.number == number && g.state == from) {
                Some(group) => group.state = to,
                None => return,
            }
        }
        self.record.add(format!("{id} is now {}", self.state_text(id)));
        self.write_entry(self.runner(id));
    }

    /// Handles an order; returns the status of its answer.
    fn order(self: &Arc<Self>, id: &'static str, order: Order) -> u16 {
        self.runner(id).inner.lock().unwrap().orders += 1;
        let status = self.carry_out(id, &order);
        self.record.add(format!(
            "{id} answers {status} to {} {}; {}",
            order.operation,
            order.group,
            self.state_text(id)
        ));
        status
    }

    /// Runs a request at the head of an open group; the last event is the 34th.
    fn run(&self, id: &'static str, request: &Request) -> Vec<Vec<u8>> {
        let is_open = self.state_text(id).ends_with("Open");
        if !is_open {
            return vec![answer(421, "text/plain", b"")];
        }
        let after = request.last_event_id / self.id_step;
        self.record.add(format!("{id} runs {} after event {}", request.id, request.last_event_id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {}\r\n\
             X-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            request.id
        );
        let mut parts = vec![head.into_bytes()];
        for number in after + 1..=EVENTS {
            let event = format!("id: {}\ndata: piece {number}\n\n", number * self.id_step);
            parts.push(format!("{:x}\r\n{event}\r\n", event.len()).into_bytes());
        }
        parts.push(b"0\r\n\r\n".to_vec());
        parts
    }
}

// ---------------------------------------------------------------- the entry nodes

struct Node {
    name: &'static str,
    child: Child,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a port that is free at all these addresses.
fn free_port(ips: [&str; 1]) -> u16 {
    for _ in 0..100 {
        let Ok(listener) = TcpListener::bind((ips[0], 0)) else { continue };
        let Ok(address) = listener.local_addr() else { continue };
        drop(listener);
        let port = address.port();
        let is_free =
            |ip| TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok();
        if ips.into_iter().all(is_free) {
            return port;
        }
    }
    fail("no port is free")
}

/// The ports of all nodes: for callers, for the readiness check and for other nodes.
#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    peers: u16,
}

fn start_node(
    name: &'static str,
    zone: &str,
    ip: &str,
    (seeds, ports): (&str, Ports),
    store: SocketAddr,
    folder: &PathBuf,
) -> Result<Node, String> {
    let Ports { front, ready, peers } = ports;
    let settings = format!(
        "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"front\"\nip = \"{ip}\"\n\
         zone = \"{zone}\"\nregion = \"r\"\nport_range = [{peers},{peers}]\nseeds = [{seeds}]\n\
         bootstrap = true\nheartbeat_ms = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\",\"platform\",\"gangs\"]\n\
         [zones]\na = \"r\"\nb = \"r\"\n[listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
         [limits]\nmemory_mb = 260\nmax_fds = 1000\n[bounds]\ndrain_ms = 2000\ngrace_s = 8\n\
         config_apply_ms = 2000\nevacuate_ms = 5000\nstable_window_ms = 3000\nstall_ms = 5000\n\
         [platform]\naddress = \"{store}\"\nform = \"log\"\n"
    );
    let path = folder.join(format!("{name}.toml"));
    fs::write(&path, settings).unwrap();
    let log = fs::File::create(folder.join(format!("{name}.log"))).unwrap();
    let child = Command::new("target/release/balsamturn")
        .arg("platform")
        .env("BALSAMTURN_NODE_FILE", &path)
        .stdout(log.try_clone().unwrap())
        .stderr(Stdio::from(log))
        .spawn()
        .map_err(|error| format!("the program did not start: {error}"))?;
    Ok(Node { name, child })
}

fn fail(text: &str) -> ! {
    eprintln!("could not run: {text}");
    std::process::exit(2)
}

fn wait_for(limit: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if is_done() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Sends a request; returns the number of events, whether the answer is whole and whether it is a refusal.
fn call(stream: &mut TcpStream, id: &str) -> std::io::Result<(usize, bool, bool)> {
    let request = format!(
        "POST /model/run HTTP/1.1\r\nHost: club.example\r\nX-Request-Id: {id}\r\nX-Time-Budget: 8000\r\n\
         X-Model-Name: m\r\nX-Token-Count: 100,170\r\nX-Prompt-Prefix: 5c1e07a2:40,{id}:60\r\n\
         Authorization: Bearer secret\r\nContent-Length: 5\r\n\r\nentry"
    );
    stream.write_all(request.as_bytes())?;
    stream.set_read_timeout(Some(Duration::from_secs(9)))?;
    let mut bytes = Vec::new();
    let mut buffer = [0_u8; 4096];
    let is_whole = loop {
        if bytes.ends_with(b"\r\n0\r\n\r\n") {
            break true;
        }
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => break false,
        }
    };
    let text = String::from_utf8_lossy(&bytes).to_string();
    let events = text.matches("data: piece").count();
    let is_answer = text.starts_with("HTTP/1.1 200") || text.is_empty();
    Ok((events, is_whole && is_answer && events as u64 == EVENTS, !is_answer))
}

/// How the answer to one request ended.
struct Outcome {
    /// Whether it began with 200 and ended before its last event.
    is_cut: bool,
    ended: Instant,
    took: Duration,
}

/// Returns how many answers were cut after SIGTERM and before the deadline, as the rule counts them, and
/// how many in all.
fn play(world: &Arc<World>, store: SocketAddr, folder: &PathBuf) -> Result<(usize, usize), String> {
    let ip = "127.86.10.1";
    let free = || free_port([ip]);
    let ports = Ports { front: free(), ready: free(), peers: free() };
    let seeds = format!("\"{ip}:{}\"", ports.peers);
    let node = start_node("front-a-1", "a", ip, (&seeds, ports), store, folder)?;
    let open_groups =
        || world.runners.iter().filter(|r| world.state_text(r.id).ends_with("Open")).count();
    if !wait_for(Duration::from_secs(8), || open_groups() == 2) {
        return Err("the runners did not open two groups".to_owned());
    }
    thread::sleep(Duration::from_millis(1_500));
    let callers: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let world = world.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(u64::from(number) * 150));
                let mut stream = TcpStream::connect((ip, ports.front)).ok()?;
                let id = format!("a{number:03}");
                let sent = Instant::now();
                let (events, is_whole, is_refused) = call(&mut stream, &id).ok()?;
                world.record.add(format!("{id}: {events} events, whole: {is_whole}"));
                let is_cut = !is_whole && !is_refused;
                Some(Outcome { is_cut, ended: Instant::now(), took: sent.elapsed() })
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(900));
    let stopped = Instant::now();
    world.record.add(format!("planned: SIGTERM to {}", node.name));
    let _ = Command::new("kill").args(["-TERM", &node.child.id().to_string()]).status();
    let outcomes: Option<Vec<Outcome>> =
        callers.into_iter().map(|caller| caller.join().ok().flatten()).collect();
    let outcomes = outcomes.ok_or("a caller could not connect or send")?;
    let cut = outcomes.iter().filter(|outcome| outcome.is_cut);
    let counted = |outcome: &&Outcome| outcome.ended > stopped && outcome.took < TIME_BUDGET;
    Ok((cut.clone().filter(counted).count(), cut.count()))
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| fail("the path of the record is missing"));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("review-10-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let listen =
        || TcpListener::bind("127.86.10.9:0").unwrap_or_else(|error| fail(&error.to_string()));
    let store_listener = listen();
    let store = store_listener.local_addr().unwrap();
    let listeners: Vec<(&'static str, TcpListener)> =
        ["r1", "r2", "r3", "r4"].map(|id| (id, listen())).into();
    let runners = listeners.iter().map(|(id, listener)| Runner {
        id,
        zone: "a",
        address: listener.local_addr().unwrap(),
        inner: Mutex::default(),
    });
    let world = Arc::new(World {
        store: Store::default(),
        runners: runners.collect(),
        record: Record { start: Instant::now(), lines: Mutex::default() },
        id_step: if has_trouble { TOKENS_PER_EVENT } else { 1 },
    });
    world.store.put("keyed.op", "config", CONFIG.as_bytes());
    let serving = world.clone();
    serve(store_listener, move |request| serving.store.handle(request).map(|bytes| vec![bytes]));
    for (id, listener) in listeners {
        let serving = world.clone();
        serve(listener, move |request| {
            match request.path.as_str() {
            "/order" => {
                let status = serving.order(id, parse_order(&request.body));
                Some(vec![answer(status, "application/json", b"{}")])
            }
            "/report" => Some(vec![answer(200, "application/json", b"{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":1,\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":1860000,\"handles\":0}")]),
            _ => Some(serving.run(id, &request)),
        }
        });
        let beating = world.clone();
        thread::spawn(move || {
            loop {
                beating.write_entry(beating.runner(id));
                thread::sleep(HEARTBEAT);
            }
        });
    }

    let result = play(&world, store, &folder);
    let code = match result {
        Ok((0, _)) => 0,
        Ok(_) => 1,
        Err(_) => 2,
    };
    world.record.add(format!(
        "answers cut after SIGTERM and in all: {result:?} of {REQUESTS}, exit {code}"
    ));
    let lines = world.record.lines.lock().unwrap().join("\n") + "\n";
    let _ = fs::write(path, lines);
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&folder);
    } else {
        println!("{}", folder.display());
    }
    std::process::exit(code)
}
