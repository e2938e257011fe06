//! Compares what callers saw with what the endpoints recorded.

use std::collections::BTreeMap;

use crate::calls::Call;
use crate::calls::Kind;

/// One execution at an endpoint.
#[derive(Debug, Clone)]
pub struct Ran {
    pub label: String,
    /// The caller's attempt that ran.
    pub attempt: u32,
}

/// Why an endpoint must not get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    MemberMissing,
    Drained,
    Leaving,
}

/// How many requests an endpoint ran by the start and by the end of a time without new work.
#[derive(Debug, Clone)]
pub struct Stopped {
    pub vm: String,
    pub stop: Stop,
    pub before: usize,
    pub after: usize,
}

/// Everything that was observed.
#[derive(Debug, Clone, Default)]
pub struct Observed {
    pub calls: Vec<Call>,
    pub ran: Vec<Ran>,
    pub stopped: Vec<Stopped>,
    /// Requests above the cold limit by VM.
    pub above_cold_limit: Vec<(String, u32)>,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    RanTwice(String),
    FalseNotRun(String),
    Truncated(String),
    OtherAnswer(String),
    /// The caller got an answer although nothing ran.
    NeverRan(String),
    WorkAfterStop(Stop, String),
    AboveColdLimit(String),
}

impl Violation {
    /// Returns the request that is concerned, if it is one.
    pub fn label(&self) -> Option<&str> {
        match self {
            Self::RanTwice(label)
            | Self::FalseNotRun(label)
            | Self::Truncated(label)
            | Self::OtherAnswer(label)
            | Self::NeverRan(label) => Some(label),
            Self::WorkAfterStop(..) | Self::AboveColdLimit(_) => None,
        }
    }
}

/// Returns every broken promise.
pub fn check(observed: &Observed) -> Vec<Violation> {
    let mut runs: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
    for ran in &observed.ran {
        runs.entry(&ran.label).or_default().push(ran.attempt);
    }
    let mut found = Vec::new();
    for call in &observed.calls {
        let attempts = runs.get(call.label.as_str()).map(Vec::as_slice).unwrap_or_default();
        if !call.kind.is_idempotent() && call.attempt == 1 && attempts.len() > 1 {
            found.push(Violation::RanTwice(call.label.clone()));
        }
        let ran_before = attempts.iter().any(|attempt| *attempt <= call.attempt);
        if call.outcome().as_deref() == Some("not_run") && ran_before {
            found.push(Violation::FalseNotRun(call.label.clone()));
        }
        if call.is_ok() {
            found.extend(check_answer(call));
            if attempts.is_empty() {
                found.push(Violation::NeverRan(call.label.clone()));
            }
        }
    }
    for stopped in observed.stopped.iter().filter(|stopped| stopped.after > stopped.before) {
        found.push(Violation::WorkAfterStop(stopped.stop, stopped.vm.clone()));
    }
    for (vm, count) in observed.above_cold_limit.iter().filter(|(_, count)| *count > 0) {
        found.push(Violation::AboveColdLimit(format!("{vm}: {count}")));
    }
    found
}

fn check_answer(call: &Call) -> Option<Violation> {
    let body = call.body();
    let label = call.label.clone();
    match call.kind {
        Kind::Report { tokens } => check_stream(body, &label, tokens),
        Kind::Lookup | Kind::Keyed | Kind::Unkeyed => {
            let Ok(answer) = serde_json::from_str::<serde_json::Value>(body) else {
                return Some(Violation::Truncated(label));
            };
            let echo = answer["echo"].as_str().unwrap_or_default();
            (echo != call.sent()).then_some(Violation::OtherAnswer(label))
        }
    }
}

fn check_stream(body: &str, label: &str, tokens: u64) -> Option<Violation> {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let mut data: Vec<&str> = data.collect();
    if data.pop() != Some("[DONE]") {
        return Some(Violation::Truncated(label.to_owned()));
    }
    let text: String = data
        .iter()
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
        .filter_map(|event| Some(event["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect();
    if text.split_whitespace().any(|token| !token.starts_with(&format!("{label}-"))) {
        return Some(Violation::OtherAnswer(label.to_owned()));
    }
    let whole: String = (1..=tokens).map(|id| format!("{label}-{id} ")).collect();
    (text != whole).then(|| Violation::Truncated(label.to_owned()))
}

mod tests {
    use super::*;
    use crate::calls::Seen;

    fn call(kind: Kind, label: &str, status: u16, body: String) -> Call {
        let seen = Ok(Seen { status, retry_after: false, replayed: false, body });
        Call { kind, label: label.to_owned(), node: 0, attempt: 1, seen, took_ms: 1 }
    }

    fn answer(label: &str) -> String {
        let echo = serde_json::json!({ "ring": label }).to_string();
        serde_json::json!({ "execution": 1, "echo": echo }).to_string()
    }

    fn stream(label: &str, ids: std::ops::RangeInclusive<u64>, end: &str) -> String {
        let event = |id| {
            let content = format!("{label}-{id} ");
            let data = serde_json::json!({"choices": [{"delta": {"content": content}}]});
            format!("id: {id}\ndata: {data}\n\n")
        };
        ids.map(event).collect::<String>() + end
    }

    fn ran(label: &str) -> Ran {
        Ran { label: label.to_owned(), attempt: 1 }
    }

    const DONE: &str = "id: 9\ndata: [DONE]\n\n";

    /// Guards against a checker that reports what is in order.
    #[test]
    fn whole_answers_that_ran_once_are_in_order() {
        let calls = vec![
            call(Kind::Keyed, "a", 200, answer("a")),
            call(Kind::Report { tokens: 8 }, "b", 200, stream("b", 1..=8, DONE)),
            call(Kind::Unkeyed, "c", 503, r#"{"outcome":"not_run"}"#.to_owned()),
        ];
        let stopped = Stopped { vm: "v".into(), stop: Stop::Drained, before: 3, after: 3 };
        let observed = Observed {
            calls,
            ran: vec![ran("a"), ran("b")],
            stopped: vec![stopped],
            above_cold_limit: vec![("v".into(), 0)],
        };
        assert_eq!(check(&observed), []);
    }

    /// Guards against a checker that cannot fail.
    #[test]
    fn every_kind_of_broken_answer_is_reported() {
        let report = Kind::Report { tokens: 8 };
        let not_run = r#"{"outcome":"not_run"}"#.to_owned();
        let cases = [
            (Kind::Keyed, 200, answer("a"), 2, Violation::RanTwice("a".into())),
            (Kind::Unkeyed, 200, answer("a"), 2, Violation::RanTwice("a".into())),
            (Kind::Keyed, 503, not_run.clone(), 1, Violation::FalseNotRun("a".into())),
            (report, 503, not_run, 1, Violation::FalseNotRun("a".into())),
            (report, 200, stream("a", 1..=8, ""), 1, Violation::Truncated("a".into())),
            (report, 200, stream("a", 1..=7, DONE), 1, Violation::Truncated("a".into())),
            (Kind::Lookup, 200, answer("a")[..9].to_owned(), 1, Violation::Truncated("a".into())),
            (report, 200, stream("b", 1..=8, DONE), 1, Violation::OtherAnswer("a".into())),
            (Kind::Unkeyed, 200, answer("b"), 1, Violation::OtherAnswer("a".into())),
            (Kind::Keyed, 200, answer("a"), 0, Violation::NeverRan("a".into())),
        ];
        for (kind, status, body, runs, expected) in cases {
            let observed = Observed {
                calls: vec![call(kind, "a", status, body)],
                ran: vec![ran("a"); runs],
                ..Observed::default()
            };
            assert_eq!(check(&observed), [expected]);
        }
    }

    /// Guards against a checker that overlooks work where none may go.
    #[test]
    fn work_after_a_stop_and_above_the_cold_limit_is_reported() {
        for stop in [Stop::MemberMissing, Stop::Drained, Stop::Leaving] {
            let stopped = vec![Stopped { vm: "v".into(), stop, before: 3, after: 4 }];
            let observed = Observed { stopped, ..Observed::default() };
            assert_eq!(check(&observed), [Violation::WorkAfterStop(stop, "v".into())]);
        }
        let observed = Observed { above_cold_limit: vec![("v".into(), 1)], ..Observed::default() };
        assert_eq!(check(&observed), [Violation::AboveColdLimit("v: 1".into())]);
    }
}
