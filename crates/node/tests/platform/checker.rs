//! Checks what callers saw against the runs that the endpoints recorded.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use balsam_adapter_standin::endpoints::Endpoint;
use balsam_adapter_standin::processes;
use balsam_adapter_standin::requests::complete_stream;

use crate::bed::GRACE;
use crate::bed::Node;
use crate::bed::Stop;
use crate::bed::TestBed;
use crate::callers::Call;
use crate::callers::Outcome;

/// How long a node may leave a request unread before it closes the connection.
const UNREAD_LIMIT: Duration = Duration::from_millis(200);

/// How long after SIGTERM a request may be sent and still be cut at the end of the grace period.
const LATE_SEND_LIMIT: Duration = Duration::from_secs(3);

/// Statuses that state that the request has not run and will not.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A request at an endpoint.
#[derive(Debug, Clone)]
struct Run {
    endpoint: String,
    has_run: bool,
    finished: Option<Instant>,
}

fn runs(endpoints: &[&Endpoint]) -> HashMap<String, Vec<Run>> {
    let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
    for endpoint in endpoints {
        for request in &*endpoint.received.lock().unwrap() {
            let Some(id) = processes::request_id(&request.headers) else { continue };
            let finished = request.finished.get().copied();
            let run = Run { endpoint: endpoint.id.clone(), has_run: request.has_run, finished };
            runs.entry(id.to_owned()).or_default().push(run);
        }
    }
    runs
}

/// Returns a description of each violation.
pub fn violations(bed: &TestBed, calls: &[Call]) -> Vec<String> {
    let endpoints: Vec<&Endpoint> = bed.endpoints.iter().map(|found| &*found.endpoint).collect();
    let runs = runs(&endpoints);
    let mut violations = Vec::new();
    for call in calls {
        let runs = runs.get(&call.id).map_or(&[][..], Vec::as_slice);
        let node = &bed.nodes[call.node];
        let broken = [
            lost(call, node, runs).map(|detail| ("LOST", detail)),
            twice(call, runs).map(|detail| ("TWICE", detail)),
            refused(call, runs).map(|detail| ("REFUSED", detail)),
            mixed(call).map(|detail| ("ORDER/MIXED", detail)),
        ];
        for (rule, detail) in broken.into_iter().flatten() {
            violations.push(format!("{rule}: {detail}; {}", describe(call, node, runs)));
        }
    }
    violations.extend(bed.nodes.iter().flat_map(|node| exits(node)));
    violations
}

/// A request was read and passed on, and its connection closed without a whole answer; or it was
/// not passed on, and the connection closed late.
fn lost(call: &Call, node: &Node, runs: &[Run]) -> Option<String> {
    let lasted = call.ended - call.sent;
    let shown = match call.outcome {
        Outcome::Answered { .. } => return None,
        Outcome::GaveUp => return Some("no answer long after the deadline".to_owned()),
        Outcome::Cut { .. } => "the answer was cut",
        Outcome::Closed => "the connection closed without an answer",
    };
    if lasted >= Duration::from_millis(processes::TIME_BUDGET_MS) {
        return None;
    }
    if runs.is_empty() && lasted <= UNREAD_LIMIT {
        return None;
    }
    let at_work = |stop: &Stop| {
        let last_sixth = stop.at + GRACE * 5 / 6;
        call.ended >= last_sixth
            && call.sent <= stop.at + LATE_SEND_LIMIT
            && !runs.is_empty()
            && runs.iter().all(|run| run.finished.is_none_or(|finished| finished >= last_sixth))
    };
    let stop = stop_before(call, node);
    if stop.is_some_and(|stop| at_work(&stop)) {
        return None;
    }
    Some(shown.to_owned())
}

/// Returns the stop during which a request ended.
fn stop_before(call: &Call, node: &Node) -> Option<Stop> {
    let stops = node.stops.lock().unwrap();
    let found = stops.iter().rev().find(|stop| stop.at <= call.ended).copied();
    // A request that was sent later reached the next process.
    found.filter(|stop| stop.end.is_none_or(|(at, _)| call.sent <= at))
}

/// A non-idempotent request ran more than once.
fn twice(call: &Call, runs: &[Run]) -> Option<String> {
    let count = runs.iter().filter(|run| run.has_run).count();
    (count > 1 && !call.kind.may_repeat()).then(|| format!("it ran {count} times"))
}

/// A request was answered with a status that states that it has not run and never will.
fn refused(call: &Call, runs: &[Run]) -> Option<String> {
    match call.outcome {
        Outcome::Answered { status, .. } if NOT_RUN.contains(&status) => {
            runs.iter().any(|run| run.has_run).then(|| format!("answered {status} and ran"))
        }
        _ => None,
    }
}

/// An answer lacks an event, repeats one, belongs to another request or only looks complete.
fn mixed(call: &Call) -> Option<String> {
    match &call.outcome {
        Outcome::Answered { status: 200, id, body } => {
            let expected = if call.kind.is_stream() { complete_stream(0) } else { call.id.clone() };
            let is_own = id.as_deref() == Some(call.id.as_str()) && *body == expected;
            (!is_own).then(|| format!("the answer has the id {id:?} and the body {body:?}"))
        }
        Outcome::Cut { body } if call.kind.is_stream() => {
            let is_part = complete_stream(0).starts_with(body.as_str());
            (!is_part).then(|| format!("the part received is {body:?}"))
        }
        _ => None,
    }
}

/// A process did not end by itself within the grace period, or not with the exit code 0.
fn exits(node: &Node) -> Vec<String> {
    let stops = node.stops.lock().unwrap();
    let failed = stops.iter().filter_map(|stop| match stop.end {
        Some((_, status)) if status.success() => None,
        Some((at, status)) => {
            Some(format!("EXIT: {} ended with {status} after {:?}", node.name, at - stop.at))
        }
        None => Some(format!("EXIT: {} still runs after SIGTERM", node.name)),
    });
    failed.collect()
}

fn describe(call: &Call, node: &Node, runs: &[Run]) -> String {
    let stop = match stop_before(call, node) {
        Some(stop) => {
            let since = |at: Instant| {
                at.checked_duration_since(stop.at).map_or_else(
                    || format!("{} ms before", (stop.at - at).as_millis()),
                    |after| format!("{} ms after", after.as_millis()),
                )
            };
            format!("sent {} and ended {} SIGTERM", since(call.sent), since(call.ended))
        }
        None => "the node was not stopping".to_owned(),
    };
    let runs: Vec<String> = runs
        .iter()
        .map(|run| {
            let end = match run.finished {
                Some(at) if at <= call.ended => "finished before",
                Some(_) => "finished after",
                None => "unfinished",
            };
            format!("{} (has run: {}, {end})", run.endpoint, run.has_run)
        })
        .collect();
    let events = match &call.outcome {
        Outcome::Cut { body } | Outcome::Answered { body, .. } => body.matches("id: ").count(),
        _ => 0,
    };
    let connection = if call.is_kept { "kept" } else { "new" };
    format!(
        "request {} {:?} at {} on a {connection} connection, {} ms, {events} events; {stop}; runs: \
         {runs:?}",
        call.id,
        call.kind,
        node.name,
        (call.ended - call.sent).as_millis()
    )
}

/// Counts the requests by kind and outcome.
pub fn summary(calls: &[Call]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for call in calls {
        let outcome = match &call.outcome {
            Outcome::Answered { status, .. } => status.to_string(),
            Outcome::Cut { .. } => "cut".to_owned(),
            Outcome::Closed => "closed".to_owned(),
            Outcome::GaveUp => "gave up".to_owned(),
        };
        *counts.entry(format!("{:?} {outcome}", call.kind)).or_default() += 1;
    }
    counts
}
