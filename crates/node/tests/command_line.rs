//! Tests of the binary `balsamturn`: settings files, exit codes and start failures.

use std::io::Write;
use std::net::TcpListener;
use std::process::Command;
use std::process::Output;

use rstest::rstest;
use tempfile::NamedTempFile;

const SETTINGS: &str = r#"[node]
vm = "entry-1"
region = "hu-east"
data_centre = "hu-east-a"
callers_address = "127.0.0.1:0"
peers_address = "127.0.0.1:0"
operators_address = "127.0.0.1:0"
metrics_address = "127.0.0.1:0"

[platform]
log_address = "127.0.0.1:1"
vm_list_address = "127.0.0.1:1"

[groups]
probe_interval_ms = 500
"#;

fn balsamturn(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_balsamturn")).args(arguments).output().unwrap()
}

fn run_with_settings(command: &str, source: &str) -> (Output, String) {
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(source.as_bytes()).unwrap();
    let path = file.path().to_str().unwrap().to_owned();
    (balsamturn(&[command, "--settings", &path]), path)
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

#[test]
fn a_valid_settings_file_passes_the_check() {
    let (output, _) = run_with_settings("check", SETTINGS);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    assert_eq!(text(&output.stdout), "the settings are valid\n");
}

/// Guards against an entry node that starts with partly invalid settings, and against messages that
/// do not say where in the file the error is.
#[rstest]
#[case::unknown_key(
    "probe_interval_ms",
    "probe_intervall_ms",
    15,
    "probe_intervall_ms",
    "expected"
)]
#[case::out_of_range("= 500", "= 5", 15, "groups.probe_interval_ms", "expected 50 to 10000")]
#[case::wrong_type("= 500", "= \"often\"", 15, "", "expected")]
#[case::bad_address("\"127.0.0.1:1\"\nvm", "\"here\"\nvm", 11, "platform.log_address", "expected")]
#[case::bad_name("\"entry-1\"", "\"entry 1\"", 2, "node.vm", "expected")]
#[case::missing("region = \"hu-east\"\n", "", 1, "region", "missing")]
#[case::syntax("[groups]", "[groups", 14, "", "expected")]
fn an_invalid_settings_file_is_rejected_with_line_key_and_expected_value(
    #[case] from: &str,
    #[case] to: &str,
    #[case] line: usize,
    #[case] key: &str,
    #[case] expected: &str,
) {
    assert!(SETTINGS.contains(from));
    for command in ["check", "run"] {
        let (output, path) = run_with_settings(command, &SETTINGS.replace(from, to));
        let message = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{message}");
        assert!(message.contains(&format!("{path}:{line}: ")), "{message}");
        assert!(message.contains(key) && message.contains(expected), "{message}");
    }
}

#[test]
fn an_unreadable_settings_file_is_named_in_the_error() {
    let output = balsamturn(&["check", "--settings", "/nowhere/balsam.toml"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("/nowhere/balsam.toml"));
}

#[test]
fn help_and_version_go_to_standard_output() {
    let help = balsamturn(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    for part in ["check --settings FILE", "Exit codes:", "docs/settings.md"] {
        assert!(text(&help.stdout).contains(part), "{part}");
    }
    let version = balsamturn(&["--version"]);
    assert_eq!(version.status.code(), Some(0));
    let expected = format!("balsamturn {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(text(&version.stdout), expected);
}

#[rstest]
#[case::nothing(&[])]
#[case::unknown_command(&["start"])]
#[case::no_settings(&["run"])]
fn invalid_arguments_exit_with_code_2_and_print_the_help(#[case] arguments: &[&str]) {
    let output = balsamturn(arguments);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("Usage:"));
}

/// Guards against a node that starts although one of its ports is in use.
#[test]
fn a_port_in_use_fails_the_start_and_is_named_in_the_error() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let from = "operators_address = \"127.0.0.1:0\"";
    let to = format!("operators_address = \"{address}\"");
    let (output, _) = run_with_settings("run", &SETTINGS.replace(from, &to));
    assert_eq!(output.status.code(), Some(1), "{}", text(&output.stderr));
    assert!(text(&output.stderr).contains(&address), "{}", text(&output.stderr));
}
