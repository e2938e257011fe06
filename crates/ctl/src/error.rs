//! The errors of the command-line tool and their exit codes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;
use tonic::Status;

/// The command succeeded.
pub const EXIT_DONE: u8 = 0;
/// The command failed or was refused; it changed nothing.
pub const EXIT_FAILED: u8 = 1;
/// The arguments are wrong or a file is invalid.
pub const EXIT_USAGE: u8 = 2;
/// The change may have taken effect.
pub const EXIT_UNKNOWN: u8 = 3;
/// No entry node could be reached.
pub const EXIT_UNREACHABLE: u8 = 4;

/// The reason why a command did not succeed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// The arguments are wrong.
    #[snafu(display("{message}\n\nsee `balsamctl --help`"))]
    Usage {
        /// What is wrong and what was expected.
        message: String,
    },
    /// The logs do not mention the request.
    #[snafu(display("{message}"))]
    NotInLogs {
        /// Which request is missing.
        message: String,
    },
    /// A file could not be read.
    #[snafu(display("{}: cannot read the file: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file is invalid.
    #[snafu(display("{}:{line}: {message}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The line number, starting at 1.
        line: usize,
        /// The key, the value found and the value expected.
        message: String,
    },
    /// No node could be reached.
    #[snafu(display("{step}: no entry node can be reached:\n{}", failures.join("\n")))]
    Unreachable {
        /// The command.
        step: &'static str,
        /// Each node with the cause of its failure.
        failures: Vec<String>,
    },
    /// A node answered with an error and changed nothing.
    #[snafu(display("{step} at {peer}: {}", cause_of(status)))]
    Call {
        /// The command.
        step: &'static str,
        /// The node.
        peer: SocketAddr,
        /// The answer.
        status: Box<Status>,
    },
    /// A change may have taken effect.
    #[snafu(display(
        "{step} at {peer}: {}\nthe outcome is unknown: look at `balsamctl history` before you \
         repeat it",
        cause_of(status)
    ))]
    Unknown {
        /// The command.
        step: &'static str,
        /// The node.
        peer: SocketAddr,
        /// What went wrong.
        status: Box<Status>,
    },
    /// The node refused the change.
    #[snafu(display("{step} at {peer}: refused\n{}", lines.join("\n")))]
    Refused {
        /// The command.
        step: &'static str,
        /// The node.
        peer: SocketAddr,
        /// The reasons, each with its remedy.
        lines: Vec<String>,
    },
    /// The progress of a confirmed plan could not be followed to the end.
    #[snafu(display(
        "following {plan}: {source}\nthe plan is confirmed and continues: see `balsamctl status`"
    ))]
    Follow {
        /// The plan.
        plan: String,
        /// What went wrong.
        #[snafu(source(from(CtlError, Box::new)))]
        source: Box<CtlError>,
    },
    /// The plan ended without completing.
    #[snafu(display("{plan} did not complete: it is {phase}; see `balsamctl history`"))]
    Ended {
        /// The plan.
        plan: String,
        /// Its phase.
        phase: String,
    },
    /// The requested object does not exist.
    #[snafu(display("{message}"))]
    NotFound {
        /// What does not exist, with suggestions.
        message: String,
    },
    /// Starting the runtime or writing the output failed.
    #[snafu(display("{step}: {source}"))]
    Io {
        /// The step that failed.
        step: &'static str,
        /// The cause.
        source: io::Error,
    },
}

/// Returns the message of a status with all underlying causes.
pub fn cause_of(status: &Status) -> String {
    let mut text = status.message().to_owned();
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        let cause = error.to_string();
        if !text.contains(&cause) {
            text = format!("{text}: {cause}");
        }
        source = error.source();
    }
    text
}

impl CtlError {
    /// Returns the exit code that `--help` documents.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } | Self::Read { .. } | Self::File { .. } => EXIT_USAGE,
            Self::Unreachable { .. } => EXIT_UNREACHABLE,
            Self::Unknown { .. } | Self::Follow { .. } => EXIT_UNKNOWN,
            Self::Call { .. }
            | Self::Refused { .. }
            | Self::Ended { .. }
            | Self::NotFound { .. }
            | Self::NotInLogs { .. }
            | Self::Io { .. } => EXIT_FAILED,
        }
    }
}
