//! Two orders that a head left unanswered are carried out after it has left its group.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::node::{Node, Place};
use crate::runner::{Fleet, Record, Runner, State};
use crate::store::Store;

/// An order may be carried out 2 to 12 s after it was sent.
const LATE_JOIN: Duration = Duration::from_millis(11_000);
const LATE_OPEN: Duration = Duration::from_millis(11_500);

const CONFIGURATION: &str = r#"{"version":1,
"routes":[{"name":"model","hostname":"club.example","path_prefix":"/model/","kind":"streaming",
"timeout_ms":8000,"target_latency_ms":400,"gap_target_ms":300,"priority":1,"service":"pool",
"max_attempts":2,"public":false,"resumable":true,"sticky":true}],
"services":[{"name":"pool","health_path":"/health","max_connections":428,"cold_per_s":0,
"engine":{"slots":8,"stride":1,"step_ms":8.0,"per_seq_ms":0.1,"read_per_s":45900.0,"chunk":2048,
"loads_per_s":5.0,"form_ms":300.0,
"models":[{"name":"m","size":2,"share":1.0,"pace":1.0,"load_s":12.0,"warm_s":1.1}]}}],
"tenants":[{"name":"club","api_keys":["secret"]}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":5000,
"idle_timeout_ms":20000}}"#;

/// Waits until a condition holds.
fn wait(what: &str, limit_s: u64, condition: impl Fn() -> bool) -> Result<(), String> {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() >= Duration::from_secs(limit_s) {
            return Err(format!("not within {limit_s} s: {what}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Returns the id of the runner that is the open head of a group.
fn open_head(fleet: &Fleet) -> Option<String> {
    let runners = fleet.runners.lock().unwrap();
    let head = runners.values().find(|runner| {
        runner.membership().is_some_and(|m| m.rank == 0 && m.state == State::Open)
    });
    head.map(|runner| runner.id.clone())
}

pub fn play(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let record = Record::create(&folder.join("record.txt"));
    let unanswered: Mutex<Vec<(String, String)>> = Mutex::default();
    let delay = move |id: &str, operation: &str| {
        let late = match operation {
            "join" => LATE_JOIN,
            "open" => LATE_OPEN,
            _ => return None,
        };
        // The first join of the first runner, which becomes the head, and its first open order.
        let order = (id.to_owned(), operation.to_owned());
        let mut unanswered = unanswered.lock().unwrap();
        let is_first = id == "i-1" && !unanswered.contains(&order);
        unanswered.push(order);
        (has_trouble && is_first).then_some(late)
    };
    let fleet = Fleet::new(record.clone(), Box::new(delay));
    let (store, address) = Store::start();
    store.put("keyed.op", "config", CONFIGURATION.as_bytes());
    let mut runners: Vec<Arc<Runner>> =
        ["i-1", "i-2"].map(|id| Runner::start(&fleet, &store, "pool", id)).into();
    let place = Place::create();
    let nodes: Vec<Node> =
        (0..2).map(|number| place.start(number, 2, address)).collect::<Result<_, _>>()?;
    for node in &nodes {
        node.wait_until_ready()?;
    }
    wait("a group is open", 20, || open_head(&fleet).is_some())?;
    for (number, node) in nodes.iter().enumerate() {
        let (front, record) = (node.front(), record.clone());
        thread::spawn(move || call_until_the_end(front, number, &record));
    }
    // Planned work: the second runner is emptied and taken away.
    thread::sleep(Duration::from_secs(2));
    let leaving = runners.pop().ok_or("no runner")?;
    let left = thread::spawn(move || leaving.drain(Duration::from_millis(4_000)));
    wait("the head has left its group", 10, || fleet.get("i-1").is_some_and(|r| r.membership().is_none()))?;
    left.join().map_err(|_| "the runner did not leave")?;
    // Planned work: an empty runner is added, once the late orders were carried out.
    match has_trouble {
        true => wait("the late orders are carried out", 20, || open_head(&fleet).is_some())?,
        false => thread::sleep(Duration::from_secs(8)),
    }
    thread::sleep(Duration::from_millis(700));
    Runner::start(&fleet, &store, "pool", "i-3");
    wait("a group with the new runner is open", 20, || {
        let head = open_head(&fleet).and_then(|id| fleet.get(&id));
        head.and_then(|head| head.membership()).is_some_and(|m| m.members.iter().any(|id| id == "i-3"))
            || !fleet.violations.lock().unwrap().is_empty()
    })?;
    thread::sleep(Duration::from_secs(2));
    let violations = fleet.violations.lock().unwrap().clone();
    record.line(&format!("violations: {}", violations.len()));
    violations.iter().for_each(|violation| println!("{violation}"));
    Ok(violations.is_empty())
}

/// Sends a streaming request each 300 ms to a node.
fn call_until_the_end(front: std::net::SocketAddr, number: usize, record: &Record) {
    for count in 0.. {
        let id = format!("r{number}-{count}");
        let request = format!(
            "POST /model/x HTTP/1.1\r\nhost: club.example\r\nx-request-id: {id}\r\n\
             x-time-budget: 8000\r\nx-model-name: m\r\nx-token-count: 100,40\r\n\
             authorization: Bearer secret\r\nconnection: close\r\ncontent-length: 2\r\n\r\nhi"
        );
        record.line(&format!("caller sends {id} to node {number}"));
        let answer = http::call(front, &request, Duration::from_secs(9));
        let text = match answer {
            None => "no answer".to_owned(),
            Some(answer) => {
                format!("{}, {} bytes, whole: {}", answer.status, answer.body.len(), answer.is_complete)
            }
        };
        record.line(&format!("caller of {id} got {text}"));
        thread::sleep(Duration::from_millis(300));
    }
}
