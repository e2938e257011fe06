//! Another writer writes an entry with a field missing and a high sequence under the id of a runner,
//! which leaves some seconds later.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::common::{CONFIGURATION, wait};
use crate::http;
use crate::node::{Node, Place};
use crate::runner::{Fleet, Record, Runner};
use crate::store::Store;

/// How long a runner serves on after the store accepted its report that it drains: the time that the
/// platform grants, `drain_ms`, and "a little longer (at times many seconds)".
const SERVES_ON: Duration = Duration::from_millis(6_000);

/// Callers that place one order after the other.
const CALLERS: usize = 8;

/// The bound of the rule.
const DRAIN: Duration = Duration::from_millis(2_000);

pub fn play(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let record = Record::create(&folder.join("record.txt"));
    let fleet = Fleet::new(record.clone(), Box::new(|_, _| None));
    let (store, address) = Store::start();
    store.put("keyed.op", "config", CONFIGURATION.as_bytes());
    for id in ["l-1", "l-2"] {
        Runner::start(&fleet, &store, "ledger", id);
    }
    let place = Place::create();
    let nodes: Vec<Node> =
        (0..2).map(|number| place.start(number, 2, address)).collect::<Result<_, _>>()?;
    for node in &nodes {
        node.wait_until_ready()?;
    }
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    for number in 0..CALLERS {
        let node = &nodes[number % nodes.len()];
        let (front, record, lost) = (node.front(), record.clone(), lost.clone());
        thread::spawn(move || place_orders(front, number, &record, &lost));
    }
    let leaving = fleet.get("l-1").ok_or("no runner")?;
    wait("the runner runs a request", 10, || leaving.runs() > 0)?;
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        leaving.write_entry_without_version();
    }
    thread::sleep(Duration::from_secs(3));
    // Planned work: the runner is emptied and taken away.
    let draining = leaving.clone();
    let left = thread::spawn(move || draining.drain(SERVES_ON));
    thread::sleep(DRAIN);
    let before = leaving.runs();
    left.join().map_err(|_| "the runner did not leave")?;
    let late = leaving.runs() - before;
    thread::sleep(Duration::from_secs(2));
    record.line(&format!("requests that ran at l-1 later than drain_ms after it drained: {late}"));
    let lost = lost.lock().unwrap().clone();
    record.line(&format!("orders without success: {lost:?}"));
    println!("orders without success: {lost:?}");
    println!(
        "DRAIN: {late} requests ran at l-1 later than 2,000 ms after the store accepted `draining`"
    );
    Ok(late == 0)
}

/// Places orders, which may run once, with a pause between them that differs between callers.
fn place_orders(front: SocketAddr, number: usize, record: &Record, lost: &Mutex<Vec<String>>) {
    for count in 0.. {
        let id = format!("o{number}-{count}");
        let request = format!(
            "POST /write/x HTTP/1.1\r\nhost: club.example\r\nx-request-id: {id}\r\n\
             x-time-budget: 1500\r\nauthorization: Bearer secret\r\nconnection: close\r\n\
             content-length: 2\r\n\r\nhi"
        );
        record.line(&format!("caller sends {id} to a node"));
        let answer = http::call(front, &request, Duration::from_secs(3));
        let text = answer.map_or("no answer".to_owned(), |answer| answer.status.to_string());
        record.line(&format!("caller of {id} got {text}"));
        if text != "200" {
            lost.lock().unwrap().push(format!("{id}: {text}"));
        }
        thread::sleep(Duration::from_millis(60 + 17 * number as u64));
    }
}
