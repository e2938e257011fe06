//! Checks the callers' answers against the executions that the endpoints recorded.

use std::collections::BTreeMap;

use crate::calls::Call;
use crate::calls::RequestKind;

/// One execution at an endpoint.
#[derive(Debug, Clone)]
pub struct Run {
    pub label: String,
    /// The number of the caller's attempt that was executed.
    pub attempt: u32,
}

/// Why an endpoint must not get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    MemberMissing,
    Drained,
    Leaving,
}

/// The executions of an endpoint before and after a period in which it must not get new work.
#[derive(Debug, Clone)]
pub struct StopWindow {
    pub vm: String,
    pub reason: StopReason,
    pub before: usize,
    pub after: usize,
}

/// Everything that a test observed.
#[derive(Debug, Clone, Default)]
pub struct Observed {
    pub calls: Vec<Call>,
    pub runs: Vec<Run>,
    pub stop_windows: Vec<StopWindow>,
    /// Requests above the cold limit by VM.
    pub above_cold_limit: Vec<(String, u32)>,
}

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    RanTwice(String),
    FalseNotRun(String),
    Truncated(String),
    WrongAnswer(String),
    /// The caller got an answer although nothing ran.
    AnsweredWithoutRun(String),
    WorkAfterStop(StopReason, String),
    AboveColdLimit(String),
}

impl Violation {
    /// Returns the label of the request, if the violation concerns one.
    pub fn label(&self) -> Option<&str> {
        match self {
            Self::RanTwice(label)
            | Self::FalseNotRun(label)
            | Self::Truncated(label)
            | Self::WrongAnswer(label)
            | Self::AnsweredWithoutRun(label) => Some(label),
            Self::WorkAfterStop(..) | Self::AboveColdLimit(_) => None,
        }
    }
}

/// Returns every violation.
pub fn check(observed: &Observed) -> Vec<Violation> {
    let mut attempts_by_label: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
    for run in &observed.runs {
        attempts_by_label.entry(&run.label).or_default().push(run.attempt);
    }
    let mut found = Vec::new();
    for call in &observed.calls {
        let attempts =
            attempts_by_label.get(call.label.as_str()).map(Vec::as_slice).unwrap_or_default();
        if !call.kind.is_idempotent() && call.attempt == 1 && attempts.len() > 1 {
            found.push(Violation::RanTwice(call.label.clone()));
        }
        let has_run = attempts.iter().any(|attempt| *attempt <= call.attempt);
        if call.outcome().as_deref() == Some("not_run") && has_run {
            found.push(Violation::FalseNotRun(call.label.clone()));
        }
        if call.is_ok() {
            found.extend(check_answer(call));
            if attempts.is_empty() {
                found.push(Violation::AnsweredWithoutRun(call.label.clone()));
            }
        }
    }
    for window in observed.stop_windows.iter().filter(|window| window.after > window.before) {
        found.push(Violation::WorkAfterStop(window.reason, window.vm.clone()));
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
        RequestKind::Report { tokens } => check_stream(body, &label, tokens),
        RequestKind::Lookup | RequestKind::Keyed | RequestKind::Unkeyed => {
            let Ok(answer) = serde_json::from_str::<serde_json::Value>(body) else {
                return Some(Violation::Truncated(label));
            };
            let echo = answer["echo"].as_str().unwrap_or_default();
            (echo != call.sent_body()).then_some(Violation::WrongAnswer(label))
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
        return Some(Violation::WrongAnswer(label.to_owned()));
    }
    let expected_text: String = (1..=tokens).map(|id| format!("{label}-{id} ")).collect();
    (text != expected_text).then(|| Violation::Truncated(label.to_owned()))
}

mod tests {
    use super::*;
    use crate::calls::CallerResponse;

    fn call(kind: RequestKind, label: &str, status: u16, body: String) -> Call {
        let response = Ok(CallerResponse { status, retry_after: false, replayed: false, body });
        Call { kind, label: label.to_owned(), node: 0, attempt: 1, response, took_ms: 1 }
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

    fn run(label: &str) -> Run {
        Run { label: label.to_owned(), attempt: 1 }
    }

    const DONE: &str = "id: 9\ndata: [DONE]\n\n";

    /// Guards against a checker that reports violations where there are none.
    #[test]
    fn complete_answers_that_ran_once_pass_the_check() {
        let calls = vec![
            call(RequestKind::Keyed, "a", 200, answer("a")),
            call(RequestKind::Report { tokens: 8 }, "b", 200, stream("b", 1..=8, DONE)),
            call(RequestKind::Unkeyed, "c", 503, r#"{"outcome":"not_run"}"#.to_owned()),
        ];
        let window =
            StopWindow { vm: "v".into(), reason: StopReason::Drained, before: 3, after: 3 };
        let observed = Observed {
            calls,
            runs: vec![run("a"), run("b")],
            stop_windows: vec![window],
            above_cold_limit: vec![("v".into(), 0)],
        };
        assert_eq!(check(&observed), []);
    }

    /// Guards against a checker that misses invalid answers and wrong outcomes.
    #[test]
    fn every_kind_of_invalid_answer_is_reported() {
        let report = RequestKind::Report { tokens: 8 };
        let not_run = r#"{"outcome":"not_run"}"#.to_owned();
        let cases = [
            (RequestKind::Keyed, 200, answer("a"), 2, Violation::RanTwice("a".into())),
            (RequestKind::Unkeyed, 200, answer("a"), 2, Violation::RanTwice("a".into())),
            (RequestKind::Keyed, 503, not_run.clone(), 1, Violation::FalseNotRun("a".into())),
            (report, 503, not_run, 1, Violation::FalseNotRun("a".into())),
            (report, 200, stream("a", 1..=8, ""), 1, Violation::Truncated("a".into())),
            (report, 200, stream("a", 1..=7, DONE), 1, Violation::Truncated("a".into())),
            (
                RequestKind::Lookup,
                200,
                answer("a")[..9].to_owned(),
                1,
                Violation::Truncated("a".into()),
            ),
            (report, 200, stream("b", 1..=8, DONE), 1, Violation::WrongAnswer("a".into())),
            (RequestKind::Unkeyed, 200, answer("b"), 1, Violation::WrongAnswer("a".into())),
            (RequestKind::Keyed, 200, answer("a"), 0, Violation::AnsweredWithoutRun("a".into())),
        ];
        for (kind, status, body, run_count, expected) in cases {
            let observed = Observed {
                calls: vec![call(kind, "a", status, body)],
                runs: vec![run("a"); run_count],
                ..Observed::default()
            };
            assert_eq!(check(&observed), [expected]);
        }
    }

    /// Guards against a checker that misses work at stopped endpoints or above the cold limit.
    #[test]
    fn work_after_a_stop_and_above_the_cold_limit_is_reported() {
        for reason in [StopReason::MemberMissing, StopReason::Drained, StopReason::Leaving] {
            let stop_windows = vec![StopWindow { vm: "v".into(), reason, before: 3, after: 4 }];
            let observed = Observed { stop_windows, ..Observed::default() };
            assert_eq!(check(&observed), [Violation::WorkAfterStop(reason, "v".into())]);
        }
        let observed = Observed { above_cold_limit: vec![("v".into(), 1)], ..Observed::default() };
        assert_eq!(check(&observed), [Violation::AboveColdLimit("v: 1".into())]);
    }
}
