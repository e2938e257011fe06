//! Structured logs on standard output.

use std::io;
use std::sync::Mutex;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;

/// Lines that wait for the writer; later ones are dropped and counted, so that a reader that stops
/// reading costs no request.
const QUEUED_LINES: usize = 1024;

/// Builds a logger that writes JSON lines to standard output and never blocks.
pub fn json_logger(node: &str) -> Logger {
    let json = slog_json::Json::default(io::stdout());
    let drain = Mutex::new(json).map(slog::Fuse);
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .filter_level(Level::Info)
        .fuse();
    Logger::root(drain, o!("node" => node.to_owned()))
}
