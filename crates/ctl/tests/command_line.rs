//! Runs the `balsamctl` binary against an estate in this process.

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

/// Number of routes that the stand-in estate starts with.
const ESTATE_ROUTES: usize = 3;

/// Long enough for a busy machine; no test asserts how long an operation takes.
const TIMEOUT: Duration = Duration::from_secs(40);

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

fn command(nodes: &[SocketAddr], token: &str, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_balsamctl"));
    command.args(arguments).env("BALSAMCTL_TOKEN", token).kill_on_drop(true);
    for node in nodes {
        command.args(["--node", &node.to_string()]);
    }
    command
}

async fn ctl(nodes: &[SocketAddr], arguments: &[&str]) -> Run {
    let output = command(nodes, OPERATOR_TOKEN, arguments).output().await.unwrap();
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
    estate.wait_serving(0, MODEL_POOL, 6, TIMEOUT).await.unwrap();
    let nodes = estate.nodes.iter().map(|node| node.node.addresses().operators).collect();
    (estate, nodes)
}

/// Makes a plan for an intent and returns the name of the plan.
async fn plan(nodes: &[SocketAddr], intent: &[&str]) -> String {
    let arguments = [&["plan"], intent, &["--reason", "test", "--json"]].concat();
    let run = ctl(nodes, &arguments).await.expect(0);
    run.json()["plan"].as_str().unwrap().to_owned()
}

async fn data_centre(nodes: &[SocketAddr], name: &str) -> Value {
    let status = ctl(nodes, &["status", "--json"]).await.expect(0).json();
    let lines = status["data_centres"].as_array().unwrap();
    lines.iter().find(|line| line["data_centre"] == name).unwrap().clone()
}

/// Polls the status until a data centre is as expected.
async fn wait_for(nodes: &[SocketAddr], name: &str, expected: impl Fn(&Value) -> bool) {
    let started = Instant::now();
    loop {
        let found = data_centre(nodes, name).await;
        if expected(&found) {
            return;
        }
        assert!(started.elapsed() < TIMEOUT, "{found}");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Asserts that the documentation for scripts lists every key.
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

/// Guards against read commands whose text or JSON lacks what operators and scripts rely on.
#[tokio::test(flavor = "multi_thread")]
async fn read_commands_show_the_estate_without_colour_in_pipes() {
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
    let serving_group = groups.iter().find(|group| group["state"] == "serving").unwrap();
    let (group, vm) =
        (serving_group["group"].as_str().unwrap(), serving_group["members"][0].as_str().unwrap());

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

/// Guards against wrong exit codes, which scripts depend on, and against a change that is sent
/// twice.
#[tokio::test(flavor = "multi_thread")]
async fn failures_have_documented_exit_codes_and_a_change_is_sent_once() {
    let (_estate, nodes) = estate().await;
    let unauthenticated = command(&nodes, "wrong-token", &["status"]).output().await.unwrap();
    assert_eq!(unauthenticated.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&unauthenticated.stderr).contains("operator token"));

    let token = file(&format!("{OPERATOR_TOKEN}\n"));
    let arguments = ["status", "--token-file", path(&token)];
    assert!(command(&nodes, "wrong-token", &arguments).output().await.unwrap().status.success());

    let closed_address = free_address().unwrap();
    let run = ctl(&[closed_address], &["status"]).await.expect(4);
    assert!(run.err.contains(&closed_address.to_string()), "{}", run.err);
    ctl(&[closed_address, nodes[0]], &["status"]).await.expect(0);
    let plan_name = plan(&[closed_address, nodes[0]], &["resize", MODEL_POOL, "5"]).await;

    let dropping_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dropping_address = dropping_listener.local_addr().unwrap();
    let _task = tokio::spawn(async move { while dropping_listener.accept().await.is_ok() {} });
    let arguments = ["abort", &plan_name, "--reason", "test"];
    let run = ctl(&[dropping_address, nodes[0]], &arguments).await.expect(3);
    assert!(run.err.contains("the outcome is unknown"), "{}", run.err);
    ctl(&[dropping_address, nodes[0]], &["status"]).await.expect(0);
    let history = ctl(&nodes, &["history"]).await.expect(0).out;
    assert!(!history.contains("abort"), "{history}");
    // The author and the reason have their own columns.
    assert_eq!(history.matches("by operator").count(), 0, "{history}");

    ctl(&nodes, &arguments).await.expect(0);
    let again = ctl(&nodes, &arguments).await.expect(1);
    assert!(again.err.contains("what to do"), "{}", again.err);
    let usage = ctl(&nodes, &["statsu"]).await.expect(2);
    assert!(usage.err.contains("did you mean \"status\""), "{}", usage.err);
    ctl(&nodes, &["status", "--token", "x"]).await.expect(2);
    assert!(ctl(&[], &["--help"]).await.expect(0).out.contains("Exit codes:"));
    assert!(ctl(&[], &["--version"]).await.expect(0).out.starts_with("balsamctl "));
}

/// Guards against refusals without a reason or a remedy.
#[tokio::test(flavor = "multi_thread")]
async fn refused_plans_and_conflicting_confirmations_state_their_reasons() {
    let (_estate, nodes) = estate().await;
    let run = ctl(&nodes, &["plan", "drain", "hu-east-x", "--reason", "test"]).await.expect(1);
    assert!(run.err.contains("did you mean hu-east-a"), "{}", run.err);
    let arguments = ["plan", "resize", MODEL_POOL, "0", "--reason", "test"];
    let run = ctl(&nodes, &arguments).await.expect(1);
    assert!(run.err.contains("no serving group left"), "{}", run.err);
    assert!(run.err.contains("what to do: "), "{}", run.err);
    let json = ctl(&nodes, &[&arguments[..], &["--json"]].concat()).await.expect(1).json();
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
    // A refused drain must not leave its stop notice in force.
    for node in &nodes {
        wait_for(&[*node], "hu-east-b", |line| line["drained"] == false).await;
    }
}

/// Guards against file errors without a location, and against plans that change the state before
/// they are confirmed.
#[tokio::test(flavor = "multi_thread")]
async fn files_are_checked_and_plans_run_only_when_confirmed() {
    let (_estate, nodes) = estate().await;
    let bad = file("route = \"orders\"\npath_prefix = \"orders\"\npool = \"ledger-app\"\n");
    let run = ctl(&nodes, &["plan", "put-route", path(&bad), "--reason", "test"]).await.expect(2);
    assert!(run.err.contains(&format!("{}:1: deadline_ms is missing", path(&bad))), "{}", run.err);

    let route = file(
        "route = \"orders\"\npath_prefix = \"/orders\"\npool = \"ledger-app\"\ndeadline_ms = 9000\n",
    );
    let arguments = ["plan", "put-route", path(&route), "--reason", "new firm's orders"];
    let text = ctl(&nodes, &arguments).await.expect(0).out;
    assert!(text.contains("SERVING GROUPS LEFT") && text.contains("put route orders"), "{text}");
    let status = ctl(&nodes, &["status", "--json"]).await.expect(0).json();
    assert_eq!(status["routes"].as_array().unwrap().len(), ESTATE_ROUTES);

    // The command that `plan` prints must confirm the plan.
    let line = text.lines().find(|line| line.trim().starts_with("balsamctl confirm")).unwrap();
    let arguments = line.trim().replace("\"new firm's orders\"", "orders");
    let arguments: Vec<&str> = arguments.split(' ').skip(1).collect();
    let run = ctl(&[], &arguments).await.expect(0);
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

/// Guards against `confirm --wait` ending before the plan is done.
#[tokio::test(flavor = "multi_thread")]
async fn confirm_with_wait_follows_a_drain_and_a_return_until_they_are_done() {
    let (_estate, nodes) = estate().await;
    for (intent, drained) in [("drain", true), ("return", false)] {
        let plan_name = plan(&nodes, &[intent, "hu-east-c"]).await;
        let run =
            ctl(&nodes, &["confirm", &plan_name, "--wait", "--reason", "test"]).await.expect(0);
        assert!(run.err.contains("2 of 2 steps done"), "{}", run.err);
        assert!(run.out.contains(&format!("{plan_name} is done")), "{}", run.out);
        assert_eq!(data_centre(&nodes, "hu-east-c").await["drained"], drained);
    }
}

/// Guards against a log outage that prevents a drain from taking effect, and against a drain that
/// is reported as confirmed although the log did not confirm it.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_takes_effect_during_a_log_outage_and_is_reported_as_unconfirmed() {
    let (mut estate, nodes) = estate().await;
    let drain = plan(&nodes, &["drain", "hu-east-b"]).await;
    let status = ctl(&nodes, &["status", "--json"]).await.expect(0).json();
    let groups = status["groups"].as_array().unwrap();
    let serving_group = groups.iter().find(|group| group["state"] == "serving").unwrap();
    let (group, vm) =
        (serving_group["group"].as_str().unwrap(), serving_group["members"][1].as_str().unwrap());
    estate.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    estate.kill_endpoint(&vm.try_into().unwrap());
    let run = ctl(&nodes, &["confirm", &drain, "--reason", "fire"]).await.expect(3);
    assert!(run.err.contains("new work is kept from hu-east-b"), "{}", run.err);
    for node in &nodes {
        let unconfirmed = |line: &Value| line["drain_unconfirmed"] == true;
        wait_for(&[*node], "hu-east-b", unconfirmed).await;
    }
    // Repair needs the log, so the group stays as it is.
    let explained = ctl(&nodes, &["explain", "group", group]).await.expect(0).out;
    assert!(
        explained.contains(&format!("it does not serve: member {vm} is missing")),
        "{explained}"
    );
    assert!(explained.contains("repair acts after"), "{explained}");
    let text = ctl(&nodes, &["status"]).await.expect(0).out;
    assert!(text.contains("NOT REACHABLE from this node"), "{text}");
    let arguments = ["plan", "resize", MODEL_POOL, "5", "--reason", "test"];
    let run = ctl(&nodes, &arguments).await.expect(3);
    assert!(run.err.contains("the log did not confirm the plan"), "{}", run.err);

    estate.platform.set_faults(PlatformFaults::default());
    let confirmed = |line: &Value| line["drained"] == true && line["drain_unconfirmed"] == false;
    wait_for(&nodes, "hu-east-b", confirmed).await;
}

/// Guards against a failed request that cannot be explained from the logs when no node answers.
#[tokio::test]
async fn a_request_is_explained_from_logs_alone() {
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
