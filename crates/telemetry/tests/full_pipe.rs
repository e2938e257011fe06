//! Logs to a reader that stops reading.

use std::io::Read;
use std::time::Duration;
use std::time::Instant;

use balsam_telemetry::logging::close;
use balsam_telemetry::logging::json_logger_to;
use slog::info;

/// Lines of 200 bytes: hundreds of times what a pipe and the queue before it hold.
const LINES: usize = 100_000;

/// A node that writes logs must not wait for whoever reads them: a full pipe would stop every
/// request. What is lost is counted in the line that follows it.
#[test]
fn a_reader_that_stops_reading_stops_no_request() {
    let (mut reader, writer) = std::io::pipe().unwrap();
    let log = json_logger_to(writer, "node");
    let started = Instant::now();
    let mut slowest = Duration::ZERO;
    for number in 0..LINES {
        let before = Instant::now();
        info!(log, "request refused"; "number" => number, "padding" => "x".repeat(120));
        slowest = slowest.max(before.elapsed());
    }
    assert!(started.elapsed() < Duration::from_secs(5), "{:?} for all lines", started.elapsed());
    assert!(slowest < Duration::from_millis(100), "{slowest:?} for one line");
    // The reader goes on: the lines that were kept come out, with the number of those lost.
    let ends = std::thread::spawn(move || drop(log));
    let mut text = String::new();
    reader.read_to_string(&mut text).unwrap();
    ends.join().unwrap();
    let kept = text.lines().filter(|line| line.contains("request refused")).count();
    assert!(kept < LINES / 2, "{kept} lines came through a pipe that nobody read");
    assert!(text.contains("messages"), "the loss is reported: {:?}", text.lines().last());
}

/// A process must end when it is told to, also if nobody reads its logs any more.
#[test]
fn a_reader_that_stops_reading_does_not_keep_the_process() {
    let (reader, writer) = std::io::pipe().unwrap();
    let log = json_logger_to(writer, "node");
    for number in 0..LINES / 10 {
        info!(log, "request refused"; "number" => number, "padding" => "x".repeat(120));
    }
    let started = Instant::now();
    close(log);
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    drop(reader);
}

/// The last lines of a process that ends are those an engineer looks for first.
#[test]
fn the_last_lines_are_written_before_the_process_ends() {
    let (mut reader, writer) = std::io::pipe().unwrap();
    let log = json_logger_to(writer, "node");
    info!(log, "stopped");
    close(log);
    let mut text = String::new();
    reader.read_to_string(&mut text).unwrap();
    assert!(text.contains("stopped"), "{text}");
}
