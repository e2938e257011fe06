//! What the scenarios share: the configuration, callers and waiting.

use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::runner::{Fleet, Record, State};

pub const CONFIGURATION: &str = r#"{"version":1,
"routes":[{"name":"model","hostname":"club.example","path_prefix":"/model/","kind":"streaming",
"timeout_ms":8000,"target_latency_ms":400,"gap_target_ms":300,"priority":1,"service":"pool",
"max_attempts":2,"public":false,"resumable":true,"sticky":true},
{"name":"write","hostname":"club.example","path_prefix":"/write/","kind":"unsafe","timeout_ms":1500,
"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":1,"public":false}],
"services":[{"name":"pool","health_path":"/health","max_connections":428,"cold_per_s":0,
"engine":{"slots":8,"stride":1,"step_ms":8.0,"per_seq_ms":0.1,"read_per_s":45900.0,"chunk":2048,
"loads_per_s":5.0,"form_ms":300.0,
"models":[{"name":"m","size":2,"share":1.0,"pace":1.0,"load_s":12.0,"warm_s":1.1}]}},
{"name":"ledger","health_path":"/health","max_connections":96,"cold_per_s":0}],
"tenants":[{"name":"club","api_keys":["secret"]}],
"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":5000,
"idle_timeout_ms":20000}}"#;

/// Waits until a condition holds.
pub fn wait(what: &str, limit_s: u64, condition: impl Fn() -> bool) -> Result<(), String> {
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
pub fn open_head(fleet: &Fleet) -> Option<String> {
    let runners = fleet.runners.lock().unwrap();
    let head = runners
        .values()
        .find(|runner| runner.membership().is_some_and(|m| m.rank == 0 && m.state == State::Open));
    head.map(|runner| runner.id.clone())
}

/// Sends a streaming request each 300 ms to a node.
pub fn call_until_the_end(front: std::net::SocketAddr, number: usize, record: &Record) {
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
                format!(
                    "{}, {} bytes, whole: {}",
                    answer.status,
                    answer.body.len(),
                    answer.is_complete
                )
            }
        };
        record.line(&format!("caller of {id} got {text}"));
        thread::sleep(Duration::from_millis(300));
    }
}
