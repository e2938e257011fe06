//! Another writer writes an entry under the id of a head that serves.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::common::{CONFIGURATION, call_until_the_end, open_head, wait};
use crate::node::{Node, Place};
use crate::runner::{Fleet, Record, Runner};
use crate::store::Store;

/// Number of entries of the other writer, and the time between them.
const STRAY_ENTRIES: u32 = 3;
const STRAY_INTERVAL: Duration = Duration::from_millis(4_700);

/// A service that no configuration names.
const OTHER_SERVICE: &str = "pool-before-the-move";

pub fn play(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let record = Record::create(&folder.join("record.txt"));
    let fleet = Fleet::new(record.clone(), Box::new(|_, _| None));
    let (store, address) = Store::start();
    store.put("keyed.op", "config", CONFIGURATION.as_bytes());
    // Groups have two members, so one runner stays free.
    for id in ["i-1", "i-2", "i-3"] {
        Runner::start(&fleet, &store, "pool", id);
    }
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
    thread::sleep(Duration::from_secs(3));
    for _ in 0..STRAY_ENTRIES {
        let head = open_head(&fleet).and_then(|id| fleet.get(&id));
        if has_trouble && let Some(head) = head {
            head.write_entry_of_another_writer(OTHER_SERVICE);
        }
        thread::sleep(STRAY_INTERVAL);
    }
    let violations = fleet.violations.lock().unwrap().clone();
    record.line(&format!("violations: {}", violations.len()));
    violations.iter().for_each(|violation| println!("{violation}"));
    Ok(violations.is_empty())
}
