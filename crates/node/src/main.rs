//! The entry node's binary.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
