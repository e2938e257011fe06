//! Two orders that a head left unanswered are carried out after it has left its group.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::common::{CONFIGURATION, call_until_the_end, open_head, wait};
use crate::node::{Node, Place};
use crate::runner::{Fleet, Record, Runner};
use crate::store::Store;

/// An order may be carried out 2 to 12 s after it was sent.
const LATE_JOIN: Duration = Duration::from_millis(11_000);
const LATE_OPEN: Duration = Duration::from_millis(11_500);

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
    wait("the head has left its group", 10, || {
        fleet.get("i-1").is_some_and(|r| r.membership().is_none())
    })?;
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
        head.and_then(|head| head.membership())
            .is_some_and(|m| m.members.iter().any(|id| id == "i-3"))
            || !fleet.violations.lock().unwrap().is_empty()
    })?;
    thread::sleep(Duration::from_secs(2));
    let violations = fleet.violations.lock().unwrap().clone();
    record.line(&format!("violations: {}", violations.len()));
    violations.iter().for_each(|violation| println!("{violation}"));
    Ok(violations.is_empty())
}
