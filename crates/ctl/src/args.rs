//! Parses and validates the command-line arguments.

use std::ffi::OsString;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;

use balsam_wire::pb::operator::v1 as pb;
use balsam_wire::pb::operator::v1::explain_request::Subject;
use balsam_wire::pb::operator::v1::intent::Intent;
use snafu::ResultExt;

use crate::error::CtlError;
use crate::error::ReadSnafu;
use crate::error::UsageSnafu;
use crate::help;
use crate::request_log;
use crate::spec;

/// Default for `--last`: the number of entries of the audit trail that are shown.
const HISTORY_ENTRIES: u32 = 20;

const TOKEN_ENV_VARIABLE: &str = "BALSAMCTL_TOKEN";

mod flags {
    use super::PathBuf;
    use super::SocketAddr;

    xflags::xflags! {
        /// Operates a balsamturn estate.
        cmd balsamctl {
            /// Operators' address of an entry node.
            repeated --node node: SocketAddr
            /// File with the operator token.
            optional --token-file token_file: PathBuf
            /// Why, for the audit trail.
            optional --reason reason: String
            /// JSON for scripts.
            optional --json
            /// Shows the state of the estate.
            cmd status {}
            /// Shows each change of the state.
            cmd watch {}
            /// Shows the audit trail.
            cmd history {
                /// The number of entries.
                optional --last last: u32
            }
            /// Explains one object.
            cmd explain {
                /// What kind of object.
                required kind: String
                /// Its name.
                required name: String
                /// A log of a node, for a request; standard input without one.
                repeated --log log: PathBuf
            }
            /// Carries out a plan.
            cmd confirm {
                /// The plan.
                required plan: String
                /// Follows the plan to its end.
                optional --wait
            }
            /// Ends a plan.
            cmd abort {
                /// The plan.
                required plan: String
            }
            /// Makes a plan.
            cmd plan {
                /// Accepts a pool without any serving group.
                optional --force
                /// The intent and its arguments.
                repeated words: String
            }
        }
    }
}

/// The result of parsing the arguments.
#[derive(Debug)]
pub enum Parsed {
    /// A text to print, without running a command.
    Text(String),
    /// A command to run.
    Run(Options),
}

/// The validated options of one command.
#[derive(Debug)]
pub struct Options {
    /// The command.
    pub command: Command,
    /// Entry nodes in the order in which they are tried, never empty.
    pub nodes: Vec<SocketAddr>,
    /// The operator's token, never empty.
    pub token: String,
    /// The file that the token was read from, to repeat it in suggested commands.
    pub token_file: Option<PathBuf>,
    /// Whether the output is JSON.
    pub json: bool,
}

/// A command with its arguments.
#[derive(Debug)]
pub enum Command {
    /// Shows the status.
    Status,
    /// Shows the status and its changes.
    Watch,
    /// Shows the audit trail.
    History(pb::HistoryRequest),
    /// Explains one object.
    Explain(pb::ExplainRequest),
    /// Makes a plan.
    Plan(Box<pb::MakePlanRequest>),
    /// Carries out a plan.
    Confirm {
        /// The plan and the reason.
        request: pb::ConfirmRequest,
        /// Whether to follow the plan to its end.
        wait: bool,
    },
    /// Ends a plan.
    Abort(pb::AbortRequest),
}

/// Parses and validates the arguments.
pub fn parse(arguments: Vec<OsString>) -> Result<Parsed, CtlError> {
    let args: Vec<&str> = arguments.iter().filter_map(|arg| arg.to_str()).collect();
    let positional = positional(&args);
    match args.as_slice() {
        [] => return Ok(Parsed::Text(help::HELP.to_owned())),
        _ if args.iter().any(|arg| matches!(*arg, "--help" | "-h")) => {
            return Ok(Parsed::Text(help::HELP.to_owned()));
        }
        ["help", ..] => return Ok(Parsed::Text(help::HELP.to_owned())),
        ["--version", ..] => {
            return Ok(Parsed::Text(format!("balsamctl {}\n", env!("CARGO_PKG_VERSION"))));
        }
        _ => {}
    }
    if args.iter().any(|arg| arg.split('=').next() == Some("--token")) {
        let message = "a token is never given on the command line, where other users can see it; \
                       use --token-file or BALSAMCTL_TOKEN";
        return UsageSnafu { message }.fail();
    }
    if let Some(message) = help::suggest_correction(&positional) {
        return UsageSnafu { message }.fail();
    }
    let raw = flags::Balsamctl::from_vec(arguments.clone())
        .map_err(|error| CtlError::Usage { message: error.to_string() })?;
    if let flags::BalsamctlCmd::Explain(explain) = &raw.subcommand
        && explain.kind == "request"
    {
        return explain_request(&explain.name, &explain.log).map(Parsed::Text);
    }
    check(raw).map(Parsed::Run)
}

/// Explains a request from log files alone, without an entry node or a token.
fn explain_request(id: &str, logs: &[PathBuf]) -> Result<String, CtlError> {
    let explained = match logs {
        [] => request_log::explain(id, std::io::stdin().lock()),
        logs => {
            let mut all: Box<dyn BufRead> = Box::new(std::io::empty());
            for path in logs {
                let file = fs::File::open(path).context(ReadSnafu { path })?;
                all = Box::new(all.chain(BufReader::new(file)));
            }
            request_log::explain(id, all)
        }
    };
    let message = format!("request {id:?} does not appear in the logs");
    explained.ok_or(CtlError::NotInLogs { message })
}

/// Returns the arguments that are neither options nor their values.
fn positional<'a>(args: &[&'a str]) -> Vec<&'a str> {
    let mut positionals = Vec::new();
    let mut rest = args.iter();
    while let Some(arg) = rest.next() {
        match *arg {
            "--node" | "--token-file" | "--reason" | "--last" | "--log" => _ = rest.next(),
            arg if arg.starts_with('-') => {}
            arg => positionals.push(arg),
        }
    }
    positionals
}

fn check(raw: flags::Balsamctl) -> Result<Options, CtlError> {
    let command = command(raw.subcommand, raw.reason)?;
    if raw.node.is_empty() {
        return UsageSnafu { message: "no entry node given: use --node IP:PORT" }.fail();
    }
    let token = token(raw.token_file.as_ref())?;
    Ok(Options { command, nodes: raw.node, token, token_file: raw.token_file, json: raw.json })
}

fn command(raw: flags::BalsamctlCmd, reason: Option<String>) -> Result<Command, CtlError> {
    Ok(match raw {
        flags::BalsamctlCmd::Status(_) => Command::Status,
        flags::BalsamctlCmd::Watch(_) => Command::Watch,
        flags::BalsamctlCmd::History(raw) => {
            let max_entries = raw.last.unwrap_or(HISTORY_ENTRIES);
            Command::History(pb::HistoryRequest { max_entries })
        }
        flags::BalsamctlCmd::Explain(raw) => {
            let subject = Some(subject(&raw.kind, raw.name)?);
            Command::Explain(pb::ExplainRequest { subject })
        }
        flags::BalsamctlCmd::Confirm(raw) => {
            let request = pb::ConfirmRequest { plan: raw.plan, reason: require_reason(reason)? };
            Command::Confirm { request, wait: raw.wait }
        }
        flags::BalsamctlCmd::Abort(raw) => {
            Command::Abort(pb::AbortRequest { plan: raw.plan, reason: require_reason(reason)? })
        }
        flags::BalsamctlCmd::Plan(raw) => {
            let intent = Some(pb::Intent { intent: Some(intent(&raw.words, raw.force)?) });
            let request = pb::MakePlanRequest { intent, reason: require_reason(reason)? };
            Command::Plan(Box::new(request))
        }
    })
}

/// Returns the reason; an empty one is rejected, because the audit trail records it.
fn require_reason(reason: Option<String>) -> Result<String, CtlError> {
    match reason {
        Some(reason) if !reason.trim().is_empty() => Ok(reason),
        _ => {
            UsageSnafu { message: "--reason TEXT is required: it goes into the audit trail" }.fail()
        }
    }
}

fn subject(kind: &str, name: String) -> Result<Subject, CtlError> {
    match kind {
        "group" => Ok(Subject::Group(name)),
        "vm" => Ok(Subject::Vm(name)),
        "request-key" if name.contains('/') => Ok(Subject::RequestKey(name)),
        "request-key" => {
            UsageSnafu { message: format!("{name:?}: expected ORGANISATION/KEY") }.fail()
        }
        // `help::suggest_correction` has already rejected other kinds with a suggestion.
        _ => {
            UsageSnafu { message: format!("{kind:?}: expected group, vm, request-key or request") }
                .fail()
        }
    }
}

fn intent(args: &[String], force: bool) -> Result<Intent, CtlError> {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let accepts_force = matches!(args.first(), Some(&"drain" | &"retire" | &"resize"));
    if force && !accepts_force {
        return UsageSnafu { message: "--force belongs to drain, retire and resize" }.fail();
    }
    Ok(match args.as_slice() {
        ["onboard", file] => Intent::OnboardOrganisation(spec::organisation(file.as_ref())?),
        ["offboard", name] => Intent::OffboardOrganisation((*name).to_owned()),
        ["put-pool", file] => Intent::PutPool(spec::pool(file.as_ref())?),
        ["put-route", file] => Intent::PutRoute(spec::route(file.as_ref())?),
        ["roll", pool, version] => Intent::RollVersion(pb::RollVersion {
            pool: (*pool).to_owned(),
            version: (*version).to_owned(),
        }),
        ["drain", name] => {
            Intent::DrainDataCentre(pb::DrainDataCentre { data_centre: (*name).to_owned(), force })
        }
        ["return", name] => Intent::ReturnDataCentre((*name).to_owned()),
        ["retire", group] => {
            Intent::RetireGroup(pb::RetireGroup { group: (*group).to_owned(), force })
        }
        ["resize", pool, groups] => Intent::ResizePool(pb::ResizePool {
            pool: (*pool).to_owned(),
            target_groups: parse_group_count(groups)?,
            force,
        }),
        ["move", route, pool] => Intent::MoveRoute(pb::MoveRoute {
            route: (*route).to_owned(),
            to_pool: (*pool).to_owned(),
        }),
        _ => return UsageSnafu { message: intent_usage(&args) }.fail(),
    })
}

fn parse_group_count(raw: &str) -> Result<u32, CtlError> {
    let message = format!("{raw:?}: expected a number of groups");
    raw.parse().map_err(|_| CtlError::Usage { message })
}

/// Returns an error message with the help line of the intent.
fn intent_usage(args: &[&str]) -> String {
    let Some(intent) = args.first() else {
        return "plan: expected an intent".to_owned();
    };
    let start = format!("  {intent} ");
    let line = help::HELP.lines().find(|line| line.starts_with(&start)).unwrap_or_default();
    format!("plan {intent}: wrong number of arguments, expected:\n{line}")
}

fn token(file: Option<&PathBuf>) -> Result<String, CtlError> {
    let raw = match file {
        Some(path) => fs::read_to_string(path).context(ReadSnafu { path })?,
        None => std::env::var(TOKEN_ENV_VARIABLE).unwrap_or_default(),
    };
    let token = raw.trim();
    if token.is_empty() || !token.chars().all(|c| c.is_ascii_graphic()) {
        let message = "no usable operator token: give --token-file FILE or set BALSAMCTL_TOKEN";
        return UsageSnafu { message }.fail();
    }
    Ok(token.to_owned())
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    /// Guards against an error that does not say which argument is wrong.
    #[rstest]
    #[case::no_reason("plan drain a --node 127.0.0.1:1", "--reason TEXT is required")]
    #[case::empty_reason("confirm p --reason= --node 127.0.0.1:1", "--reason")]
    #[case::token("status --token abc", "never given on the command line")]
    #[case::bad_node("status --node here", "--node")]
    #[case::force("plan return a --force --reason x", "--force belongs to")]
    #[case::arguments("plan roll p --reason x", "roll POOL VERSION")]
    #[case::groups("plan resize p many --reason x", "number of groups")]
    #[case::mistyped("--node 127.0.0.1:1 statsu", "did you mean")]
    fn an_error_names_the_wrong_argument(#[case] line: &str, #[case] expected: &str) {
        let error = parse(line.split(' ').map(OsString::from).collect()).unwrap_err();
        assert_eq!(error.exit_code(), crate::error::EXIT_USAGE);
        assert!(error.to_string().contains(expected), "{error}");
    }

    /// Guards against a `--force` that is dropped or set by mistake.
    #[rstest]
    #[case::force_after(&["drain", "a"], true)]
    #[case::without(&["drain", "a"], false)]
    fn force_reaches_the_intent(#[case] args: &[&str], #[case] force: bool) {
        let args: Vec<String> = args.iter().map(ToString::to_string).collect();
        let expected = pb::DrainDataCentre { data_centre: "a".to_owned(), force };
        assert_eq!(intent(&args, force).unwrap(), Intent::DrainDataCentre(expected));
    }
}
