//! The binary `balsamctl` against an estate in this process.

use std::io::Write;
use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;

use balsam_standin::address::free_address;
use balsam_standin::estate::Estate;
use balsam_standin::estate::EstateOptions;
use balsam_standin::estate::MODEL_POOL;
use balsam_standin::estate::OPERATOR_TOKEN;
use balsam_standin::platform::PlatformFaults;
use serde_json::Value;
use tempfile::NamedTempFile;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::process::Command;
use tokio::time::Instant;
use tokio::time::sleep;

/// Long enough for a busy machine; no test asserts how long anything takes.
/// Routes that the estate of the stand-ins starts with.
const ESTATE_ROUTES: usize = 3;

const LIMIT: Duration = Duration::from_secs(40);

struct Run {
    code: i32,
    out: String,
    err: String,
}

impl Run {
    #[track_caller]
    fn expect(self, code: i32) -> Self {
        assert_eq!(self.code, code, "stdout: {}\nstderr: {}", self.out, self.err);
        self
    }

    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {}", self.out))
    }
}

fn command(nodes: &[SocketAddr], token: &str, words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_balsamctl"));
    command.args(words).env("BALSAMCTL_TOKEN", token).kill_on_drop(true);
    for node in nodes {
        command.args(["--node", &node.to_string()]);
    }
    command
}

async fn ctl(nodes: &[SocketAddr], words: &[&str]) -> Run {
    let output = command(nodes, OPERATOR_TOKEN, words).output().await.unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

async fn estate() -> (Estate, Vec<SocketAddr>) {
    let options = EstateOptions { nodes_per_data_centre: 1, ..EstateOptions::default() };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let estate = Estate::start(options, log).await.unwrap();
    estate.wait_serving(0, MODEL_POOL, 6, LIMIT).await.unwrap();
    let nodes = estate.nodes.iter().map(|node| node.node.addresses().operators).collect();
    (estate, nodes)
}

/// Plans an intent and returns the plan's name.
async fn plan(nodes: &[SocketAddr], intent: &[&str]) -> String {
    let words = [&["plan"], intent, &["--reason", "test", "--json"]].concat();
    let run = ctl(nodes, &words).await.expect(0);
    run.json()["plan"].as_str().unwrap().to_owned()
}

async fn data_centre(nodes: &[SocketAddr], name: &str) -> Value {
    let status = ctl(nodes, &["status", "--json"]).await.expect(0).json();
    let lines = status["data_centres"].as_array().unwrap();
    lines.iter().find(|line| line["data_centre"] == name).unwrap().clone()
}

/// Looks until a data centre is as expected.
async fn wait_for(nodes: &[SocketAddr], name: &str, expected: impl Fn(&Value) -> bool) {
    let started = Instant::now();
    loop {
        let found = data_centre(nodes, name).await;
        if expected(&found) {
            return;
        }
        assert!(started.elapsed() < LIMIT, "{found}");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Asserts that the page for scripts lists every key.
fn assert_documented(value: &Value) {
    let page = include_str!("../../../docs/OPERATIONS.md");
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                assert!(page.contains(&format!("`{key}`")), "{key} is not in docs/OPERATIONS.md");
                assert_documented(value);
            }
        }
        Value::Array(values) => values.iter().for_each(assert_documented),
        _ => {}
    }
}

fn file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    file
}

fn path(file: &NamedTempFile) -> &str {
    file.path().to_str().unwrap()
}

/// Guards against commands that show nothing or not what scripts rely on.
#[tokio::test(flavor = "multi_thread")]
async fn looking_shows_the_estate_and_never_colours_a_pipe() {
    let (_estate, nodes) = estate().await;
    let text = ctl(&nodes, &["status"]).await.expect(0).out;
    for part in ["hu-east-b", "hu-east-c-entry-1", "balsam-pool", "registrations", "debrecen-club"]
    {
        assert!(text.contains(part), "{part} is not in\n{text}");
    }
    assert!(!text.contains('\u{1b}'), "{text}");

    let status = ctl(&nodes, &["--json", "status"]).await.expect(0).json();
    assert_documented(&status);
    assert_eq!(status["platform_reachable"], true);
    assert_eq!(status["entry_nodes"].as_array().unwrap().len(), 3);
    assert_eq!(status["pools"][0]["serving_groups"], 6);
    let groups = status["groups"].as_array().unwrap();
    let local = groups.iter().find(|group| group["state"] == "serving").unwrap();
    let (group, vm) = (local["group"].as_str().unwrap(), local["members"][0].as_str().unwrap());

    let history = ctl(&nodes, &["history", "--last", "3", "--json"]).await.expect(0).json();
    let entries = history["entries"].as_array().unwrap();
    assert_documented(&history);
    assert_eq!(entries.len(), 3);
    assert!(entries.iter().all(|entry| entry["result"] == "accepted"), "{history}");

    let explained = ctl(&nodes, &["explain", "group", group]).await.expect(0).out;
    assert!(explained.contains("it serves"), "{explained}");
    assert!(explained.contains("last repair at"), "{explained}");
    let explained = ctl(&nodes, &["explain", "vm", vm]).await.expect(0).out;
    assert!(explained.contains(group), "{explained}");
    let key = ctl(&nodes, &["explain", "request-key", "debrecen-club/k-1"]).await.expect(0);
    assert!(key.out.contains("no request with this key is known"), "{}", key.out);
    let mistyped = ctl(&nodes, &["explain", "vm", "hu-east-a-runer-1"]).await.expect(1);
    assert!(mistyped.err.contains("did you mean hu-east-a-runner-1"), "{}", mistyped.err);

    let mut watch = command(&nodes, OPERATOR_TOKEN, &["watch", "--json"]);
    let mut watch = watch.stdout(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(watch.stdout.take().unwrap()).lines();
    let first: Value = serde_json::from_str(&lines.next_line().await.unwrap().unwrap()).unwrap();
    assert_eq!(first["routes"].as_array().unwrap().len(), ESTATE_ROUTES);
}

/// Guards against a wrong exit code where scripts decide by it, and against a second send.
#[tokio::test(flavor = "multi_thread")]
async fn failures_have_their_exit_codes_and_a_change_is_sent_once() {
    let (_estate, nodes) = estate().await;
    let wrong = command(&nodes, "wrong-token", &["status"]).output().await.unwrap();
    assert_eq!(wrong.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&wrong.stderr).contains("operator token"));

    let token = file(&format!("{OPERATOR_TOKEN}\n"));
    let words = ["status", "--token-file", path(&token)];
    assert!(command(&nodes, "wrong-token", &words).output().await.unwrap().status.success());

    let closed = free_address().unwrap();
    let run = ctl(&[closed], &["status"]).await.expect(4);
    assert!(run.err.contains(&closed.to_string()), "{}", run.err);
    ctl(&[closed, nodes[0]], &["status"]).await.expect(0);
    let made = plan(&[closed, nodes[0]], &["resize", MODEL_POOL, "5"]).await;

    let breaking = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let breaking_address = breaking.local_addr().unwrap();
    let _task = tokio::spawn(async move { while breaking.accept().await.is_ok() {} });
    let words = ["abort", &made, "--reason", "test"];
    let run = ctl(&[breaking_address, nodes[0]], &words).await.expect(3);
    assert!(run.err.contains("the outcome is unknown"), "{}", run.err);
    ctl(&[breaking_address, nodes[0]], &["status"]).await.expect(0);
    let history = ctl(&nodes, &["history"]).await.expect(0).out;
    assert!(!history.contains("abort"), "{history}");
    // Who and why have columns of their own.
    assert_eq!(history.matches("by operator").count(), 0, "{history}");

    ctl(&nodes, &words).await.expect(0);
    let again = ctl(&nodes, &words).await.expect(1);
    assert!(again.err.contains("what to do"), "{}", again.err);
    let usage = ctl(&nodes, &["statsu"]).await.expect(2);
    assert!(usage.err.contains("did you mean \"status\""), "{}", usage.err);
    ctl(&nodes, &["status", "--token", "x"]).await.expect(2);
    assert!(ctl(&[], &["--help"]).await.expect(0).out.contains("Exit codes:"));
    assert!(ctl(&[], &["--version"]).await.expect(0).out.starts_with("balsamctl "));
}

/// Guards against refusals that leave the operator without a reason or a way on.
#[tokio::test(flavor = "multi_thread")]
async fn refused_plans_and_conflicting_confirms_name_their_reasons() {
    let (_estate, nodes) = estate().await;
    let run = ctl(&nodes, &["plan", "drain", "hu-east-x", "--reason", "test"]).await.expect(1);
    assert!(run.err.contains("did you mean hu-east-a"), "{}", run.err);
    let words = ["plan", "resize", MODEL_POOL, "0", "--reason", "test"];
    let run = ctl(&nodes, &words).await.expect(1);
    assert!(run.err.contains("no serving group left"), "{}", run.err);
    assert!(run.err.contains("what to do: "), "{}", run.err);
    let json = ctl(&nodes, &[&words[..], &["--json"]].concat()).await.expect(1).json();
    assert_documented(&json);
    assert_eq!(json["plan"], Value::Null);
    assert!(json["refusals"][0]["remedy"].as_str().unwrap().contains("--force"), "{json}");

    let drain = plan(&nodes, &["drain", "hu-east-b"]).await;
    let resize = plan(&nodes, &["resize", MODEL_POOL, "5"]).await;
    ctl(&nodes, &["confirm", &resize, "--reason", "fewer groups"]).await.expect(0);
    let run = ctl(&nodes, &["confirm", &drain, "--reason", "test"]).await.expect(1);
    for part in [&*drain, "drain hu-east-b", &*resize, "local-operator", "what to do"] {
        assert!(run.err.contains(part), "{part} is not in\n{}", run.err);
    }
    // A refused drain must not leave its stop notice behind.
    for node in &nodes {
        wait_for(&[*node], "hu-east-b", |line| line["drained"] == false).await;
    }
}

/// Guards against files whose errors have to be searched, and against plans that change something.
#[tokio::test(flavor = "multi_thread")]
async fn files_are_checked_and_plans_run_only_when_confirmed() {
    let (_estate, nodes) = estate().await;
    let bad = file("route = \"orders\"\npath_prefix = \"orders\"\npool = \"ledger-app\"\n");
    let run = ctl(&nodes, &["plan", "put-route", path(&bad), "--reason", "test"]).await.expect(2);
    assert!(run.err.contains(&format!("{}:1: deadline_ms is missing", path(&bad))), "{}", run.err);

    let route = file(
        "route = \"orders\"\npath_prefix = \"/orders\"\npool = \"ledger-app\"\ndeadline_ms = 9000\n",
    );
    let words = ["plan", "put-route", path(&route), "--reason", "new firm's orders"];
    let text = ctl(&nodes, &words).await.expect(0).out;
    assert!(text.contains("SERVING GROUPS LEFT") && text.contains("put route orders"), "{text}");
    let status = ctl(&nodes, &["status", "--json"]).await.expect(0).json();
    assert_eq!(status["routes"].as_array().unwrap().len(), ESTATE_ROUTES);

    // The command that the plan names is the one that confirms it.
    let line = text.lines().find(|line| line.trim().starts_with("balsamctl confirm")).unwrap();
    let words = line.trim().replace("\"new firm's orders\"", "orders");
    let words: Vec<&str> = words.split(' ').skip(1).collect();
    let run = ctl(&[], &words).await.expect(0);
    let states = run.out.lines().filter(|line| line.trim().starts_with("hu-east-"));
    assert_eq!(states.count(), 3, "{}", run.out);
    assert!(run.out.contains("hu-east-a    in force after"), "{}", run.out);
    let status = ctl(&nodes, &["status", "--json"]).await.expect(0).json();
    assert_eq!(status["routes"].as_array().unwrap().len(), ESTATE_ROUTES + 1);

    let pool = file("pool = \"old-ledger\"\nkind = \"plain\"\ntarget_groups = 0\nlimit = 4\n");
    plan(&nodes, &["put-pool", path(&pool)]).await;
    let firm = file(&format!("organisation = \"new-firm\"\ntoken_sha256 = \"{:064}\"\n", 1));
    plan(&nodes, &["onboard", path(&firm)]).await;
    plan(&nodes, &["offboard", "debrecen-club"]).await;
    plan(&nodes, &["roll", MODEL_POOL, "v2"]).await;
    let status = ctl(&nodes, &["status", "--json"]).await.expect(0).json();
    let group = status["groups"][0]["group"].as_str().unwrap().to_owned();
    plan(&nodes, &["retire", &group]).await;
    let run = ctl(&nodes, &["plan", "move", "orders", "no-pool", "--reason", "test"]).await;
    assert!(run.expect(1).err.contains("does not exist"));
}

/// Guards against a confirmation that ends before the plan does.
#[tokio::test(flavor = "multi_thread")]
async fn confirm_follows_a_drain_and_a_return_to_their_end() {
    let (_estate, nodes) = estate().await;
    for (intent, drained) in [("drain", true), ("return", false)] {
        let made = plan(&nodes, &[intent, "hu-east-c"]).await;
        let run = ctl(&nodes, &["confirm", &made, "--wait", "--reason", "test"]).await.expect(0);
        assert!(run.err.contains("2 of 2 steps done"), "{}", run.err);
        assert!(run.out.contains(&format!("{made} is done")), "{}", run.out);
        assert_eq!(data_centre(&nodes, "hu-east-c").await["drained"], drained);
    }
}

/// Guards against an outage of the log that keeps a data centre in service, and against a claim
/// that a change is in force which nobody can know.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_takes_effect_during_a_log_outage_and_is_reported_as_unconfirmed() {
    let (mut estate, nodes) = estate().await;
    let drain = plan(&nodes, &["drain", "hu-east-b"]).await;
    let status = ctl(&nodes, &["status", "--json"]).await.expect(0).json();
    let groups = status["groups"].as_array().unwrap();
    let local = groups.iter().find(|group| group["state"] == "serving").unwrap();
    let (group, vm) = (local["group"].as_str().unwrap(), local["members"][1].as_str().unwrap());
    estate.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    estate.kill_endpoint(&vm.try_into().unwrap());
    let run = ctl(&nodes, &["confirm", &drain, "--reason", "fire"]).await.expect(3);
    assert!(run.err.contains("new work is kept from hu-east-b"), "{}", run.err);
    for node in &nodes {
        let unconfirmed = |line: &Value| line["drain_unconfirmed"] == true;
        wait_for(&[*node], "hu-east-b", unconfirmed).await;
    }
    // Without the log there is no repair, so the group stays as it is.
    let explained = ctl(&nodes, &["explain", "group", group]).await.expect(0).out;
    assert!(
        explained.contains(&format!("it does not serve: member {vm} is missing")),
        "{explained}"
    );
    assert!(explained.contains("repair acts after"), "{explained}");
    let text = ctl(&nodes, &["status"]).await.expect(0).out;
    assert!(text.contains("NOT REACHABLE from this node"), "{text}");
    let words = ["plan", "resize", MODEL_POOL, "5", "--reason", "test"];
    let run = ctl(&nodes, &words).await.expect(3);
    assert!(run.err.contains("the log did not confirm the plan"), "{}", run.err);

    estate.platform.set_faults(PlatformFaults::default());
    let confirmed = |line: &Value| line["drained"] == true && line["drain_unconfirmed"] == false;
    wait_for(&nodes, "hu-east-b", confirmed).await;
}

/// The cause of a failed request must follow from logs alone, when no node answers any more.
#[tokio::test]
async fn a_request_is_explained_from_logs() {
    let line = |second: u32, node: &str, rest: &str| {
        format!("{{\"ts\":\"2026-01-03T20:46:{second:02}.5Z\",\"node\":\"{node}\",{rest}}}\n")
    };
    let log = [
        line(30, "n1", "\"kind\":\"group_lost\",\"group\":\"early.1\""),
        line(35, "n2", "\"kind\":\"group_lost\",\"group\":\"elsewhere.1\""),
        line(35, "n1", "\"kind\":\"group_lost\",\"group\":\"m.7\",\"member\":\"i-9\""),
        "text of another program\n".to_owned(),
        line(36, "n1", "\"kind\":\"stream_cut\",\"request\":\"r-1\",\"outcome\":\"may_have_run\""),
        line(36, "n1", "\"kind\":\"stream_cut\",\"request\":\"r-2\",\"outcome\":\"timed_out\""),
    ];
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(log.concat().as_bytes()).unwrap();
    let path = file.path().to_str().unwrap();
    let found = ctl(&[], &["explain", "request", "r-1", "--log", path]).await.expect(0);
    let lines: Vec<&str> = found.out.lines().collect();
    assert_eq!(lines.len(), 2, "{}", found.out);
    assert!(lines[0].contains("-1000 ms") && lines[0].contains("member=i-9"), "{}", found.out);
    assert!(lines[1].starts_with('>') && lines[1].contains("outcome=may_have_run"));
    let missing = ctl(&[], &["explain", "request", "r-3", "--log", path]).await.expect(1);
    assert!(missing.err.contains("r-3"), "{}", missing.err);
}
