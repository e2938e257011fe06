//! A version of the configuration adds a tenant whose name has a space, and takes a key away.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::common::wait;
use crate::http;
use crate::node::{Node, Place};
use crate::runner::{Fleet, Record, Runner};
use crate::store::Store;

/// The bound of the rule, from the store's answer to the operator.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// For how long requests are sent after the bound.
const OBSERVED: Duration = Duration::from_secs(10);

const OLD_KEY: &str = "n2ctnfzs989anu6wsjnb";
const NEW_KEY: &str = "k7w2pmq0d83hx5rtv1ae";

/// Returns a version of the configuration with these tenants.
fn configuration(version: u64, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"write","hostname":"club.example","path_prefix":"/write/",
"kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"ledger",
"max_attempts":1,"public":false}}],
"services":[{{"name":"ledger","health_path":"/health","max_connections":96,"cold_per_s":0}}],
"tenants":[{tenants}],"limits":{{"max_header_bytes":16384,"max_body_bytes":100000,
"header_timeout_ms":5000,"idle_timeout_ms":20000}}}}"#
    )
}

pub fn play(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let record = Record::create(&folder.join("record.txt"));
    let fleet = Fleet::new(record.clone(), Box::new(|_, _| None));
    let (store, address) = Store::start();
    let first = format!(r#"{{"name":"hule930","api_keys":["{OLD_KEY}","m1"]}}"#);
    store.put("keyed.op", "config", configuration(100, &first).as_bytes());
    for id in ["l-1", "l-2"] {
        Runner::start(&fleet, &store, "ledger", id);
    }
    let place = Place::create();
    let nodes: Vec<Node> =
        (0..2).map(|number| place.start(number, 2, address)).collect::<Result<_, _>>()?;
    for node in &nodes {
        node.wait_until_ready()?;
    }
    for node in &nodes {
        wait("the old key is accepted", 10, || order(node.front(), OLD_KEY, &record) == 200)?;
    }
    // Planned work: the next version takes a key away and adds a tenant.
    let name = if has_trouble { "FC Augsburg" } else { "fc-augsburg" };
    let second = format!(
        r#"{{"name":"hule930","api_keys":["m1"]}},{{"name":"{name}","api_keys":["{NEW_KEY}"]}}"#
    );
    store.put("keyed.op", "config", configuration(107, &second).as_bytes());
    let acked = Instant::now();
    record.line(&format!("the store has accepted version 107 with a tenant named {name:?}"));
    thread::sleep(CONFIG_APPLY);
    let (mut run_with_dropped_key, mut refused_with_new_key) = (0, 0);
    while acked.elapsed() < CONFIG_APPLY + OBSERVED {
        for node in &nodes {
            run_with_dropped_key += u32::from(order(node.front(), OLD_KEY, &record) == 200);
            refused_with_new_key += u32::from(order(node.front(), NEW_KEY, &record) == 401);
        }
        thread::sleep(Duration::from_millis(200));
    }
    let text = format!(
        "CONFIG: later than 2,000 ms after the ack of version 107, {run_with_dropped_key} orders ran with a \
         dropped key, and {refused_with_new_key} were refused with 401 though their key is there"
    );
    record.line(&text);
    println!("{text}");
    Ok(run_with_dropped_key + refused_with_new_key == 0)
}

/// Places an order, which may run once; returns the status of the answer, or zero.
fn order(front: SocketAddr, key: &str, record: &Record) -> u16 {
    let id = format!("o-{}", record.elapsed().as_micros());
    let request = format!(
        "POST /write/x HTTP/1.1\r\nhost: club.example\r\nx-request-id: {id}\r\nx-time-budget: 1500\r\n\
         authorization: Bearer {key}\r\nconnection: close\r\ncontent-length: 2\r\n\r\nhi"
    );
    record.line(&format!("caller sends {id} with key {key} to {front}"));
    let status = http::call(front, &request, Duration::from_secs(3)).map_or(0, |a| a.status);
    record.line(&format!("caller of {id} got {status}"));
    status
}
