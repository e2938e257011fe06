//! Explains the end of a request from the nodes' logs alone. See `docs/OPERATIONS.md`.

use std::fmt::Write;
use std::io::BufRead;

use chrono::DateTime;
use serde_json::Map;
use serde_json::Value;

/// Lines of this kind at the same node explain what happened to its requests.
const NODE_KINDS: [&str; 9] = [
    "group_suspected",
    "group_lost",
    "probe",
    "store",
    "configuration",
    "evacuation",
    "endpoint_gone",
    "ready",
    "stop",
];

/// Lines of this kind at any node explain why places were short.
const FLEET_KINDS: [&str; 4] = ["use", "leading", "group_dissolving", "group_serves"];

/// Lines this long before the first and after the last one of the request are shown.
const AROUND_MS: i64 = 2_000;

/// Fields that stand in front of each line and are not repeated.
const SHOWN_FIRST: [&str; 6] = ["ts", "node", "kind", "msg", "level", "dropped_lines"];

/// One line of a log.
struct Line {
    at_ms: i64,
    node: String,
    kind: String,
    fields: Map<String, Value>,
}

/// Reads logs and returns what they say of a request; `None` if they do not name it.
pub fn explain(id: &str, logs: impl BufRead) -> Option<String> {
    // Text that is no line of a node, as between the lines of a container's log, says nothing here.
    let lines: Vec<Line> = logs.lines().map_while(Result::ok).filter_map(|l| parse(&l)).collect();
    let is_own = |line: &Line| line.fields.get("request").and_then(Value::as_str) == Some(id);
    let own: Vec<&Line> = lines.iter().filter(|line| is_own(line)).collect();
    let first_ms = own.iter().map(|line| line.at_ms).min()? - AROUND_MS;
    let last_ms = own.iter().map(|line| line.at_ms).max()? + AROUND_MS;
    let nodes: Vec<&str> = own.iter().map(|line| line.node.as_str()).collect();
    let explains = |line: &&Line| {
        let is_near = (first_ms..=last_ms).contains(&line.at_ms);
        let of_node = nodes.contains(&line.node.as_str());
        let kind = line.kind.as_str();
        is_near && (FLEET_KINDS.contains(&kind) || (of_node && NODE_KINDS.contains(&kind)))
    };
    let mut shown: Vec<&Line> = lines.iter().filter(|l| is_own(l) || explains(l)).collect();
    shown.sort_by_key(|line| line.at_ms);
    let mut text = String::new();
    for line in shown {
        let mark = if is_own(line) { '>' } else { ' ' };
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{mark} {}", show(line, last_ms - AROUND_MS));
    }
    Some(text)
}

fn parse(text: &str) -> Option<Line> {
    let fields: Map<String, Value> = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let field = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
    let at_ms = DateTime::parse_from_rfc3339(&field("ts")?).ok()?.timestamp_millis();
    Some(Line { at_ms, node: field("node")?, kind: field("kind")?, fields })
}

/// Shows a line with its time before the end of the request.
fn show(line: &Line, end_ms: i64) -> String {
    let mut text = format!("{:>7} ms  {}  {}", line.at_ms - end_ms, line.node, line.kind);
    for (name, value) in &line.fields {
        if !SHOWN_FIRST.contains(&name.as_str()) {
            let _ = match value {
                Value::String(value) => write!(text, "  {name}={value}"),
                value => write!(text, "  {name}={value}"),
            };
        }
    }
    text
}
