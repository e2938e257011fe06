//! Explains the outcome of a request from the nodes' logs alone. See `docs/OPERATIONS.md`.

use std::fmt::Write;
use std::io::BufRead;

use chrono::DateTime;
use serde_json::Map;
use serde_json::Value;

/// Kinds of log lines that may explain the outcome of a request at the same node.
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

/// Kinds of log lines at any node that may explain a lack of capacity.
const FLEET_KINDS: [&str; 4] = ["use", "leading", "group_dissolving", "group_serves"];

/// Related lines are shown from this long before the first line of the request until this long
/// after the last one.
const CONTEXT_MS: i64 = 2_000;

/// Fields that are not appended to a line as `name=value`.
const OMITTED_FIELDS: [&str; 6] = ["ts", "node", "kind", "msg", "level", "dropped_lines"];

/// One log line.
struct Line {
    at_ms: i64,
    node: String,
    kind: String,
    fields: Map<String, Value>,
}

/// Returns the log lines about a request and those that may explain it, or `None` if the request
/// does not appear in the logs.
pub fn explain(id: &str, logs: impl BufRead) -> Option<String> {
    // Lines that are not a node's JSON, such as other output in a container's log, are skipped.
    let lines: Vec<Line> = logs.lines().map_while(Result::ok).filter_map(|l| parse(&l)).collect();
    let is_of_request =
        |line: &Line| line.fields.get("request").and_then(Value::as_str) == Some(id);
    let request_lines: Vec<&Line> = lines.iter().filter(|line| is_of_request(line)).collect();
    let first_ms = request_lines.iter().map(|line| line.at_ms).min()? - CONTEXT_MS;
    let last_ms = request_lines.iter().map(|line| line.at_ms).max()? + CONTEXT_MS;
    let nodes: Vec<&str> = request_lines.iter().map(|line| line.node.as_str()).collect();
    let is_relevant = |line: &&Line| {
        let is_near = (first_ms..=last_ms).contains(&line.at_ms);
        let is_same_node = nodes.contains(&line.node.as_str());
        let kind = line.kind.as_str();
        is_near && (FLEET_KINDS.contains(&kind) || (is_same_node && NODE_KINDS.contains(&kind)))
    };
    let mut shown: Vec<&Line> =
        lines.iter().filter(|l| is_of_request(l) || is_relevant(l)).collect();
    shown.sort_by_key(|line| line.at_ms);
    let mut text = String::new();
    for line in shown {
        let marker = if is_of_request(line) { '>' } else { ' ' };
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{marker} {}", format_line(line, last_ms - CONTEXT_MS));
    }
    Some(text)
}

fn parse(text: &str) -> Option<Line> {
    let fields: Map<String, Value> = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let field = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
    let at_ms = DateTime::parse_from_rfc3339(&field("ts")?).ok()?.timestamp_millis();
    Some(Line { at_ms, node: field("node")?, kind: field("kind")?, fields })
}

/// Formats a line with its time relative to the last line of the request.
fn format_line(line: &Line, end_ms: i64) -> String {
    let mut text = format!("{:>7} ms  {}  {}", line.at_ms - end_ms, line.node, line.kind);
    for (name, value) in &line.fields {
        if !OMITTED_FIELDS.contains(&name.as_str()) {
            let _ = match value {
                Value::String(value) => write!(text, "  {name}={value}"),
                value => write!(text, "  {name}={value}"),
            };
        }
    }
    text
}
