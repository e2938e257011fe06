//! The operators' command-line tool, `balsamctl`. See `docs/OPERATIONS.md`.

mod args;
mod commands;
mod connect;
mod error;
mod follow;
mod help;
mod render;
mod request_log;
mod spec;
mod table;
mod view;

use std::process::ExitCode;

fn main() -> ExitCode {
    match args::parse(std::env::args_os().skip(1).collect()) {
        Ok(args::Parsed::Text(text)) => commands::print(&text),
        Ok(args::Parsed::Run(options)) => commands::run(&options),
        Err(error) => commands::report_error(&error),
    }
}
