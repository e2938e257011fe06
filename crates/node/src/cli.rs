//! The command line of `balsamturn`.

use std::path::PathBuf;
use std::process::ExitCode;

use balsam_node::Node;
use balsam_node::logging::logger;
use balsam_settings::Settings;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The exit code for wrong arguments or settings.
const EXIT_USAGE: u8 = 2;

/// The exit code of a shutdown that cut requests.
const EXIT_REQUESTS_CUT: u8 = 3;

const HELP: &str = "\
balsamturn: entry node of a serving system for models that span several VMs

Usage:
  balsamturn run --settings FILE      start the entry node
  balsamturn check --settings FILE    check a settings file and exit
  balsamturn platform                 start the entry node on the operators' platform, with the
                                      settings file that the platform names
  balsamturn platform --check         check that settings file and exit
  balsamturn --version                print the version
  balsamturn --help                   print this text

SIGTERM or SIGINT ends the node: it fails readiness, lets open requests end and exits. A second
signal, or the limit shutdown.limit_s, ends it at once.

Exit codes:
  0  ended without cutting a request; for `check`, the settings are valid
  1  the node could not start or run
  2  wrong arguments or settings; the reason is on stderr with file, line and key
  3  the shutdown cut requests; their number is in the log

Every settings key is described in docs/settings.md.
";

xflags::xflags! {
    /// Entry node of a serving system for models that span several VMs.
    cmd balsamturn {
        /// Prints the version.
        optional --version
        /// Starts the entry node.
        cmd run {
            /// The settings file.
            required --settings settings: PathBuf
        }
        /// Checks a settings file and exits.
        cmd check {
            /// The settings file.
            required --settings settings: PathBuf
        }
        /// Starts the entry node on the operators' platform.
        cmd platform {
            /// Checks the settings file and exits.
            optional --check
        }
    }
}

/// Runs the command line and returns the exit code.
pub(crate) fn run() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    let first = arguments.first().and_then(|argument| argument.to_str());
    match first {
        Some("--version") => return print(&format!("balsamturn {}\n", env!("CARGO_PKG_VERSION"))),
        Some("--help" | "-h" | "help") => return print(HELP),
        _ => {}
    }
    match Balsamturn::from_vec(arguments) {
        Ok(Balsamturn { subcommand: BalsamturnCmd::Run(run), .. }) => start(run.settings),
        Ok(Balsamturn { subcommand: BalsamturnCmd::Check(check), .. }) => {
            match Settings::load(&check.settings) {
                Ok(_) => print("the settings are valid\n"),
                Err(error) => fail(&error.to_string(), EXIT_USAGE),
            }
        }
        Ok(Balsamturn { subcommand: BalsamturnCmd::Platform(platform), .. }) => {
            match platform.check {
                true => match balsam_adapter::check() {
                    Ok(_) => print("the settings are valid\n"),
                    Err(error) => fail(&error.to_string(), EXIT_USAGE),
                },
                false => balsam_adapter::run(),
            }
        }
        Err(error) => fail(&format!("{error}\n\n{HELP}"), EXIT_USAGE),
    }
}

fn print(text: &str) -> ExitCode {
    use std::io::Write;
    match std::io::stdout().write_all(text.as_bytes()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

fn fail(message: &str, code: u8) -> ExitCode {
    eprintln!("balsamturn: {message}");
    ExitCode::from(code)
}

fn start(path: PathBuf) -> ExitCode {
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error.to_string(), EXIT_USAGE),
    };
    let log = logger(settings.log, settings.node.vm.as_str());
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&format!("starting the runtime: {error}"), 1),
    };
    runtime.block_on(serve(&settings, log))
}

async fn serve(settings: &Settings, log: Logger) -> ExitCode {
    let signals = signal(SignalKind::terminate()).and_then(|terminate| {
        let interrupt = signal(SignalKind::interrupt())?;
        Ok((terminate, interrupt))
    });
    let (mut terminate, mut interrupt) = match signals {
        Ok(signals) => signals,
        Err(error) => return fail(&format!("installing signal handlers: {error}"), 1),
    };
    let mut node = match Node::start(settings, log.clone()).await {
        Ok(node) => node,
        Err(error) => {
            error!(log, "start failed"; "error" => %error);
            return fail(&error.to_string(), 1);
        }
    };
    tokio::select! {
        () = wait_for_signal(&mut terminate, &mut interrupt) => info!(log, "signal received"),
        () = node.task_ended() => {
            // Without one of its tasks, the node would violate its guarantees unnoticed.
            error!(log, "a task of the node has ended; exiting so that the process is replaced");
            return ExitCode::FAILURE;
        }
    }
    let count_open = node.open_counter();
    tokio::select! {
        cut = node.shutdown() => match cut {
            0 => ExitCode::SUCCESS,
            _ => ExitCode::from(EXIT_REQUESTS_CUT),
        },
        () = wait_for_signal(&mut terminate, &mut interrupt) => {
            let cut = count_open();
            warn!(log, "second signal received; exiting immediately"; "cut_requests" => cut);
            ExitCode::from(if cut == 0 { 0 } else { EXIT_REQUESTS_CUT })
        }
    }
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
