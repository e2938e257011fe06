//! Stand-ins of the platform for the scripts of the review, and the scripts' scenarios.
//!
//! `standin SCENARIO FOLDER` starts entry nodes with the command of the deploy file, plays the
//! scenario, writes `FOLDER/record.txt` and exits with 1 if the rule was broken, 0 if it held and 2 if
//! the scenario could not run. `TROUBLE=0` leaves the disruption out.

mod common;
mod http;
mod late_orders;
mod node;
mod runner;
mod store;
mod stray_entry;
mod stray_sequence;
mod tenant_name;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let scenario = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match scenario.as_str() {
        "late-orders" => late_orders::play(&folder, has_trouble),
        "stray-entry" => stray_entry::play(&folder, has_trouble),
        "stray-sequence" => stray_sequence::play(&folder, has_trouble),
        "tenant-name" => tenant_name::play(&folder, has_trouble),
        _ => Err(format!("unknown scenario {scenario:?}")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
