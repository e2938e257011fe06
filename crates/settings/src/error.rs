//! Errors that name the line of the settings file to correct.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// Why a settings file was rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("{}: reading the settings file: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The file is not valid TOML, or has an unknown key or a value of the wrong type.
    #[snafu(display("{}:{line}: {message}", path.display()))]
    Syntax {
        /// Path of the file.
        path: PathBuf,
        /// Line number, starting at 1.
        line: usize,
        /// Message of the TOML parser.
        message: String,
    },
    /// A value is unknown, malformed or out of range, or contradicts another key.
    #[snafu(display("{}:{line}: {key} is {found}, expected {expected}", path.display()))]
    Value {
        /// Path of the file.
        path: PathBuf,
        /// Line of the key, or of its table if the key is absent.
        line: usize,
        /// The dotted key.
        key: String,
        /// The value in the file.
        found: String,
        /// The accepted values.
        expected: String,
    },
}
