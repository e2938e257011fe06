//! Runs one command and prints its result.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

use balsam_types::record::PlanSpec;
use balsam_wire::pb::operator::v1 as pb;
use balsam_wire::record::plan_from_pb;
use serde_json::Value;
use snafu::ResultExt;

use crate::args::Command;
use crate::args::Options;
use crate::connect::Caller;
use crate::connect::Client;
use crate::error::CtlError;
use crate::error::EXIT_DONE;
use crate::error::EXIT_FAILED;
use crate::error::IoSnafu;
use crate::error::NotFoundSnafu;
use crate::error::RefusedSnafu;
use crate::error::UnknownSnafu;
use crate::follow;
use crate::render;
use crate::table::ColourMode;
use crate::view;

/// Runs the command and returns the exit code.
pub fn run(options: &Options) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime.context(IoSnafu { step: "starting the runtime" }) {
        Ok(runtime) => runtime,
        Err(error) => return report_error(&error),
    };
    match runtime.block_on(execute(options)) {
        Ok(code) => ExitCode::from(code),
        Err(error) => report_error(&error),
    }
}

/// Writes a text to standard output.
pub fn print(text: &str) -> ExitCode {
    match write_stdout(text) {
        Ok(()) => ExitCode::from(EXIT_DONE),
        Err(error) => report_error(&error),
    }
}

/// Writes an error to standard error and returns its exit code.
pub fn report_error(error: &CtlError) -> ExitCode {
    eprintln!("balsamctl: {error}");
    ExitCode::from(error.exit_code())
}

/// Writes to standard output and flushes it; a closed pipe is not an error.
pub fn write_stdout(text: &str) -> Result<(), CtlError> {
    let mut out = io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        result => result.context(IoSnafu { step: "writing the result" }),
    }
}

/// Prints the result as JSON with `--json`, else as text.
fn print_result(
    options: &Options,
    json: Value,
    text: impl FnOnce(ColourMode) -> String,
) -> Result<u8, CtlError> {
    let text = if options.json { format!("{json}\n") } else { text(ColourMode::detect()) };
    write_stdout(&text)?;
    Ok(EXIT_DONE)
}

/// Reports a refusal: as JSON on standard output with `--json`, else as an error.
fn report_refusal(
    options: &Options,
    step: &'static str,
    peer: SocketAddr,
    json: Value,
    lines: Vec<String>,
) -> Result<u8, CtlError> {
    if !options.json {
        return RefusedSnafu { step, peer, lines }.fail();
    }
    write_stdout(&format!("{json}\n"))?;
    Ok(EXIT_FAILED)
}

async fn execute(options: &Options) -> Result<u8, CtlError> {
    let caller = Caller { nodes: options.nodes.clone(), token: options.token.clone() };
    match &options.command {
        Command::Status => status(options, &caller).await,
        Command::Watch => follow::watch(&caller, options.json).await.map(|()| EXIT_DONE),
        Command::History(request) => history(options, &caller, request).await,
        Command::Explain(request) => explain(options, &caller, request).await,
        Command::Plan(request) => plan(options, &caller, request).await,
        Command::Confirm { request, wait } => confirm(options, &caller, request, *wait).await,
        Command::Abort(request) => abort(options, &caller, request).await,
    }
}

async fn status(options: &Options, caller: &Caller) -> Result<u8, CtlError> {
    let call = async |mut client: Client| client.status(caller.request(pb::StatusRequest {})).await;
    let (_, answer) = caller.read("status", call).await?;
    print_result(options, view::status(&answer), |colour| render::status(colour, &answer))
}

async fn history(
    options: &Options,
    caller: &Caller,
    request: &pb::HistoryRequest,
) -> Result<u8, CtlError> {
    let call = async |mut client: Client| client.history(caller.request(*request)).await;
    let (_, answer) = caller.read("history", call).await?;
    print_result(options, view::history(&answer.entries), |colour| {
        render::history(colour, &answer.entries)
    })
}

async fn explain(
    options: &Options,
    caller: &Caller,
    request: &pb::ExplainRequest,
) -> Result<u8, CtlError> {
    let call = async |mut client: Client| client.explain(caller.request(request.clone())).await;
    let (_, answer) = caller.read("explain", call).await?;
    if !answer.suggestions.is_empty() && !options.json {
        let names = answer.suggestions.join(" or ");
        let message = format!("{}; did you mean {names}?", answer.lines.join("; "));
        return NotFoundSnafu { message }.fail();
    }
    print_result(options, view::explained(&answer), |colour| render::explained(colour, &answer))
}

async fn plan(
    options: &Options,
    caller: &Caller,
    request: &pb::MakePlanRequest,
) -> Result<u8, CtlError> {
    let call = async |mut client: Client| client.make_plan(caller.request(request.clone())).await;
    let (peer, answer) = caller.change("plan", call).await?;
    let Some(raw) = answer.plan.clone() else {
        let lines = render::refusals(&answer);
        return report_refusal(options, "plan", peer, view::refused(&answer), lines);
    };
    let spec = plan_from_pb(raw).map_err(|error| CtlError::Unknown {
        step: "plan",
        peer,
        status: Box::new(tonic::Status::internal(error.to_string())),
    })?;
    let command = confirm_command(options, &spec, &request.reason);
    print_result(options, view::plan(&spec, &command), |colour| {
        render::plan(colour, &spec, &command)
    })
}

/// Returns the command that confirms a plan, with the options that this command was given.
fn confirm_command(options: &Options, spec: &PlanSpec, reason: &str) -> String {
    let mut args = vec!["balsamctl".to_owned(), "confirm".to_owned(), spec.plan.to_string()];
    if spec.steps.len() > 1 {
        args.push("--wait".to_owned());
    }
    args.extend(["--reason".to_owned(), reason.to_owned()]);
    for node in &options.nodes {
        args.extend(["--node".to_owned(), node.to_string()]);
    }
    if let Some(file) = &options.token_file {
        args.extend(["--token-file".to_owned(), file.display().to_string()]);
    }
    // Quoting fails only for a NUL byte, which no argument can contain.
    shlex::try_join(args.iter().map(String::as_str)).unwrap_or_else(|_| args.join(" "))
}

async fn confirm(
    options: &Options,
    caller: &Caller,
    request: &pb::ConfirmRequest,
    wait: bool,
) -> Result<u8, CtlError> {
    let call = async |mut client: Client| client.confirm(caller.request(request.clone())).await;
    let (peer, answer) = caller.change("confirm", call).await?;
    let json = view::confirmed(&request.plan, &answer);
    if !answer.refusal.is_empty() {
        let remedy = "what to do: look at `balsamctl history`, then make the plan again";
        let lines = vec![format!("  {}", answer.refusal), format!("    {remedy}")];
        return report_refusal(options, "confirm", peer, json, lines);
    }
    if answer.accepted_offset.is_none() {
        let status = tonic::Status::internal("the answer contains no accepted offset");
        return UnknownSnafu { step: "confirm", peer, status }.fail();
    }
    print_result(options, json, |colour| render::confirmed(colour, &request.plan, &answer))?;
    if wait {
        follow::plan(caller, &request.plan, options.json).await?;
        if !options.json {
            write_stdout(&format!("{} is done\n", request.plan))?;
        }
    }
    Ok(EXIT_DONE)
}

async fn abort(
    options: &Options,
    caller: &Caller,
    request: &pb::AbortRequest,
) -> Result<u8, CtlError> {
    let call = async |mut client: Client| client.abort(caller.request(request.clone())).await;
    let (peer, answer) = caller.change("abort", call).await?;
    let json = view::aborted(&request.plan, &answer.refusal);
    if !answer.refusal.is_empty() {
        let lines = vec![
            format!("  {}", answer.refusal),
            "    what to do: see `balsamctl status` for the plans that can be ended".to_owned(),
        ];
        return report_refusal(options, "abort", peer, json, lines);
    }
    print_result(options, json, |_| {
        format!("{} is aborted; steps already done stay\n", request.plan)
    })
}
