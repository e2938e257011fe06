//! The logger of a node: JSON lines or lines for terminals.

use std::io;
use std::sync::Mutex;

use balsam_settings::check::LogFormat;
use balsam_settings::check::LogSettings;
use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;

/// Builds the logger; lines are dropped rather than slowing the node down.
pub fn logger(settings: LogSettings, node: &str) -> Logger {
    let level = if settings.debug { Level::Debug } else { Level::Info };
    let values = o!("node" => node.to_owned());
    match settings.format {
        LogFormat::Json => {
            let json = slog_json::Json::default(io::stderr());
            let drain = Mutex::new(json).map(slog::Fuse);
            let drain = slog_async::Async::new(drain).build().filter_level(level).fuse();
            Logger::root(drain, values)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::CompactFormat::new(decorator).build().fuse();
            let drain = slog_async::Async::new(drain).build().filter_level(level).fuse();
            Logger::root(drain, values)
        }
    }
}
