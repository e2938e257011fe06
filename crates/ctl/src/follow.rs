//! Follows the progress of a confirmed plan and the changes of the status.

use std::time::Duration;

use balsam_wire::pb::operator::v1 as pb;
use snafu::ResultExt;
use tokio::time::sleep;

use crate::commands::write_stdout;
use crate::connect::Caller;
use crate::error::CallSnafu;
use crate::error::CtlError;
use crate::error::EndedSnafu;
use crate::error::FollowSnafu;
use crate::render;
use crate::table::ColourMode;
use crate::view;

/// How often the progress of a plan is polled, and the delay before a broken watch reconnects.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Waits until the last step of a plan is done; prints each step unless `is_quiet`.
pub async fn plan(caller: &Caller, plan: &str, is_quiet: bool) -> Result<(), CtlError> {
    let mut last_progress = None;
    loop {
        let status = read_status(caller).await.context(FollowSnafu { plan })?;
        let found = status.plans.iter().find(|found| found.plan == plan);
        let Some(found) = found else {
            return EndedSnafu { plan, phase: "no longer known" }.fail();
        };
        let progress = (found.steps_done, found.phase.clone());
        if last_progress.as_ref() != Some(&progress) && !is_quiet {
            let (steps, total) = (found.steps_done, found.steps_total);
            eprintln!("{plan}: {steps} of {total} steps done, {}", found.phase);
        }
        match found.phase.as_str() {
            "done" => return Ok(()),
            // "proposed": the answering node may not have folded the confirmation yet.
            "confirmed" | "proposed" => {}
            phase => return EndedSnafu { plan, phase }.fail(),
        }
        last_progress = Some(progress);
        sleep(POLL_INTERVAL).await;
    }
}

async fn read_status(caller: &Caller) -> Result<pb::StatusResponse, CtlError> {
    let call = async |mut client: crate::connect::Client| {
        client.status(caller.request(pb::StatusRequest {})).await
    };
    caller.read("status", call).await.map(|(_, status)| status)
}

/// Prints the status and then each change of it, until no node can be reached.
pub async fn watch(caller: &Caller, json: bool) -> Result<(), CtlError> {
    let mut previous: Option<String> = None;
    loop {
        let (peer, mut client) = caller.connect_stream("watch").await?;
        match client.watch(caller.request(pb::StatusRequest {})).await {
            Ok(stream) => {
                let mut stream = stream.into_inner();
                while let Ok(Some(status)) = stream.message().await {
                    print_change(&status, &mut previous, json)?;
                }
                eprintln!("watch at {peer}: the stream ended; connecting again");
            }
            Err(status) if status.code() == tonic::Code::Unauthenticated => {
                return CallSnafu { step: "watch", peer, status }.fail();
            }
            Err(status) => eprintln!("watch at {peer}: {}; connecting again", status.message()),
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn print_change(
    status: &pb::StatusResponse,
    previous: &mut Option<String>,
    json: bool,
) -> Result<(), CtlError> {
    if json {
        return write_stdout(&format!("{}\n", view::status(status)));
    }
    let text = match previous {
        None => render::status(ColourMode::detect(), status),
        Some(previous) => changed_lines(previous, &render::status(ColourMode(false), status)),
    };
    *previous = Some(render::status(ColourMode(false), status));
    write_stdout(&text)
}

/// Returns the removed and the added lines, except the first line and others that hold ages.
fn changed_lines(before: &str, after: &str) -> String {
    let normalize = |text: &str| -> Vec<String> {
        let lines = text.lines().skip(1).filter(|line| !line.contains(" ms"));
        lines.map(|line| line.split_whitespace().collect::<Vec<_>>().join(" ")).collect()
    };
    let (before, after) = (normalize(before), normalize(after));
    let removed = before.iter().filter(|line| !after.contains(line)).map(|l| format!("- {l}\n"));
    let added = after.iter().filter(|line| !before.contains(line)).map(|l| format!("+ {l}\n"));
    removed.chain(added).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a watch that prints the whole status again after each change.
    #[test]
    fn a_watch_shows_only_lines_that_changed() {
        let before = "node\n  a  serving\n  b  serving\n";
        let after = "node 2\n  a  serving\n  b  not serving\n";
        assert_eq!(changed_lines(before, after), "- b serving\n+ b not serving\n");
    }
}
