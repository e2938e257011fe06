//! Structured logging to standard output.

use std::io;
use std::sync::Mutex;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;

/// Maximum number of queued lines; further lines are dropped and counted, so that a reader that
/// stops reading never blocks a request.
const MAX_QUEUED_LINES: usize = 1024;

/// Builds a logger that writes JSON lines to standard output and never blocks.
pub fn json_logger(node: &str) -> Logger {
    json_logger_to(io::stdout(), node)
}

/// Like [`json_logger`], but writes to `writer`, which may block.
pub fn json_logger_to(writer: impl io::Write + Send + 'static, node: &str) -> Logger {
    let json = slog_json::Json::default(writer);
    let drain = Mutex::new(json).map(slog::Fuse);
    let drain = slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .filter_level(Level::Info)
        .fuse();
    Logger::root(drain, o!("node" => node.to_owned()))
}

/// Maximum time to write the queued lines before the process exits.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Writes the queued lines and closes the log, or gives up after a timeout; the caller must hold
/// the last logger of the process.
///
/// Dropping the last logger waits for its writer, so without the timeout a process whose output
/// pipe is full would never exit.
pub fn close(log: Logger) {
    let (done_sender, done_receiver) = mpsc::channel();
    let thread_builder = thread::Builder::new().name("log close".to_owned());
    let spawn_result = thread_builder.spawn(move || {
        drop(log);
        let _ = done_sender.send(());
    });
    if spawn_result.is_ok() {
        // A timeout is ignored, because the process exits in any case.
        let _ = done_receiver.recv_timeout(CLOSE_TIMEOUT);
    }
}
