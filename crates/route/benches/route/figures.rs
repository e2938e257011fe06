//! Prints one line per figure and tracks whether a bound was missed.

use std::io::Write;
use std::process::ExitCode;

/// The figures of one bench.
#[derive(Default)]
pub struct Figures {
    has_failed: bool,
}

impl Figures {
    /// Prints a figure that must not exceed the bound.
    pub fn at_most(&mut self, name: &str, value: f64, bound: f64, source: &str) {
        let is_met = value <= bound;
        self.has_failed |= !is_met;
        let verdict = if is_met { "ok" } else { "MISSED" };
        self.print_line(&format!("{name}: {value:.3}, bound {bound:.3} ({source}) {verdict}"));
    }

    /// Prints a figure without a bound, for comparison.
    pub fn info(&mut self, name: &str, value: f64) {
        self.print_line(&format!("{name}: {value:.3}, no bound (for comparison)"));
    }

    /// Prints a line.
    pub fn print_line(&mut self, text: &str) {
        // A closed stdout must not affect the exit code.
        let _ = writeln!(std::io::stdout(), "{text}");
    }

    /// Returns a failure exit code if any bound was missed.
    pub fn exit_code(self) -> ExitCode {
        if self.has_failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
    }
}

/// Returns the percentile of sorted values; `fraction` is from 0 to 1.
pub fn percentile(sorted: &[f64], fraction: f64) -> f64 {
    let rank = (sorted.len() as f64 * fraction).ceil() as usize;
    sorted[rank.clamp(1, sorted.len()) - 1]
}
