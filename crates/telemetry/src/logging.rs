//! Structured logs on standard output.

use std::io;
use std::sync::Mutex;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;

/// Lines that wait for the writer; later ones are dropped and counted, so that a reader that stops
/// reading costs no request.
const QUEUED_LINES: usize = 1024;

/// Builds a logger that writes JSON lines to standard output and never blocks.
pub fn json_logger(node: &str) -> Logger {
    json_logger_to(io::stdout(), node)
}

/// The same to another writer, which may stand still.
pub fn json_logger_to(writer: impl io::Write + Send + 'static, node: &str) -> Logger {
    let json = slog_json::Json::default(writer);
    let drain = Mutex::new(json).map(slog::Fuse);
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .filter_level(Level::Info)
        .fuse();
    Logger::root(drain, o!("node" => node.to_owned()))
}

/// Time for the queued lines to be written before the process ends.
const CLOSE_PATIENCE: Duration = Duration::from_millis(500);

/// Writes the queued lines and ends the log, without waiting longer than a moment for a reader that
/// stands still; the caller must hold the last logger of the process.
///
/// The end of the last logger waits for its writer, so a process would never end beside a full pipe.
pub fn close(log: Logger) {
    let (closed, is_closed) = mpsc::channel();
    let closer = thread::Builder::new().name("log close".to_owned());
    let spawned = closer.spawn(move || {
        drop(log);
        let _ = closed.send(());
    });
    if spawned.is_ok() {
        // Too late or not, the process ends now.
        let _ = is_closed.recv_timeout(CLOSE_PATIENCE);
    }
}
