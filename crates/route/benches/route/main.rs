//! Benchmarks of the request path; each figure has a bound and the source of that bound.
//!
//! `cargo bench -p balsam-route` runs all parts; `-- choice` runs one.

mod choice;
mod cold_sim;
mod cold_start;
mod estate;
mod fair_sim;
mod fairness;
mod figures;
mod queueing;
mod subset;

use std::process::ExitCode;

use figures::Figures;

type Part = (&'static str, fn(&mut Figures));

const PARTS: [Part; 5] = [
    ("choice", choice::run),
    ("cold_start", cold_start::run),
    ("subset", subset::run),
    ("fairness", fairness::run),
    ("queueing", queueing::run),
];

fn main() -> ExitCode {
    let selected: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    let mut figures = Figures::default();
    for (name, run) in PARTS {
        if selected.is_empty() || selected.iter().any(|part| part == name) {
            run(&mut figures);
        }
    }
    figures.exit_code()
}
