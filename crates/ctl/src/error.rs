//! Every error of the command line, with its exit code.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;
use tonic::Status;

/// Done as asked.
pub const EXIT_DONE: u8 = 0;
/// Failed or refused; nothing was changed by this command.
pub const EXIT_FAILED: u8 = 1;
/// Wrong arguments or an invalid file.
pub const EXIT_USAGE: u8 = 2;
/// The change may have taken effect.
pub const EXIT_UNKNOWN: u8 = 3;
/// No entry node could be reached.
pub const EXIT_UNREACHABLE: u8 = 4;

/// Why a command did not end as asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// The arguments are wrong.
    #[snafu(display("{message}\n\nsee `balsamctl --help`"))]
    Usage {
        /// What is wrong and what was expected.
        message: String,
    },
    /// The logs do not name what was asked for.
    #[snafu(display("{message}"))]
    NotNamed {
        /// What was asked for.
        message: String,
    },
    /// A file could not be read.
    #[snafu(display("{}: reading the file: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file is not as it should be.
    #[snafu(display("{}:{line}: {message}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The key, what was found and what was expected.
        message: String,
    },
    /// No node took the connection.
    #[snafu(display("{step}: no entry node can be reached:\n{}", tried.join("\n")))]
    Unreachable {
        /// The command.
        step: &'static str,
        /// Each node with the cause.
        tried: Vec<String>,
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
    /// The estate refused the change.
    #[snafu(display("{step} at {peer}: refused\n{}", lines.join("\n")))]
    Refused {
        /// The command.
        step: &'static str,
        /// The node.
        peer: SocketAddr,
        /// The reasons with what to do.
        lines: Vec<String>,
    },
    /// A confirmed plan could not be followed to its end.
    #[snafu(display(
        "following {plan}: {source}\nthe plan is confirmed and goes on: see `balsamctl status`"
    ))]
    Follow {
        /// The plan.
        plan: String,
        /// What went wrong.
        #[snafu(source(from(CtlError, Box::new)))]
        source: Box<CtlError>,
    },
    /// The plan ended in another way than done.
    #[snafu(display("{plan} did not run to its end: it is {phase}; see `balsamctl history`"))]
    Ended {
        /// The plan.
        plan: String,
        /// Its phase.
        phase: String,
    },
    /// The object asked about does not exist.
    #[snafu(display("{message}"))]
    NotFound {
        /// What does not exist, with suggestions.
        message: String,
    },
    /// The runtime or the output failed.
    #[snafu(display("{step}: {source}"))]
    Io {
        /// What was done.
        step: &'static str,
        /// The cause.
        source: io::Error,
    },
}

/// Returns what a node said, or each cause of a failed connection.
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
    /// Returns the exit code, as `--help` documents it.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } | Self::Read { .. } | Self::File { .. } => EXIT_USAGE,
            Self::Unreachable { .. } => EXIT_UNREACHABLE,
            Self::Unknown { .. } | Self::Follow { .. } => EXIT_UNKNOWN,
            Self::Call { .. }
            | Self::Refused { .. }
            | Self::Ended { .. }
            | Self::NotFound { .. }
            | Self::NotNamed { .. }
            | Self::Io { .. } => EXIT_FAILED,
        }
    }
}
