//! Runs a complete estate on loopback: `cargo run --release --example local_estate [-- --demo]`.

mod caller;
mod demo;

use std::io::Write;
use std::process::ExitCode;

use balsam_standin::estate::CALLER_TOKEN;
use balsam_standin::estate::Estate;
use balsam_standin::estate::EstateOptions;
use balsam_standin::estate::MODEL;
use slog::Discard;
use slog::Logger;
use slog::o;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
async fn main() -> ExitCode {
    let is_demo = std::env::args().skip(1).any(|argument| argument == "--demo");
    let result = if is_demo { demo::run().await } else { serve_until_interrupted().await };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("local_estate: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve_until_interrupted() -> Result<(), BoxError> {
    let estate = Estate::start(EstateOptions::default(), Logger::root(Discard, o!())).await?;
    print_addresses(&estate)?;
    tokio::signal::ctrl_c().await?;
    for node in estate.nodes {
        node.node.shutdown().await;
    }
    Ok(())
}

fn print_addresses(estate: &Estate) -> Result<(), BoxError> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "platform: {}", estate.platform_address)?;
    for node in &estate.nodes {
        let addresses = node.node.addresses();
        writeln!(
            out,
            "{}: callers {}, operators {}, metrics {}",
            node.vm, addresses.callers, addresses.operators, addresses.metrics
        )?;
    }
    let (first, other) = (estate.callers(0), estate.callers(2));
    writeln!(out, "\nA streamed report:\n")?;
    writeln!(
        out,
        "curl -sN http://{first}/v1/chat/completions -H 'Authorization: Bearer {CALLER_TOKEN}' \
         -H 'Content-Type: application/json' -d '{{\"model\":\"{MODEL}\",\"stream\":true,\
         \"max_tokens\":8,\"messages\":[{{\"role\":\"user\",\"content\":\"Race 7\"}}]}}'"
    )?;
    writeln!(out, "\nA registration, then the same one again at a node of another data centre:\n")?;
    for address in [first, other] {
        writeln!(
            out,
            "curl -si http://{address}/registrations/rings -H 'Authorization: Bearer {CALLER_TOKEN}' \
             -H 'Idempotency-Key: ring-HU-26-0042' -d '{{\"ring\":\"HU-26-0042\"}}'"
        )?;
    }
    writeln!(out, "\nEnd with Ctrl-C.")?;
    out.flush()?;
    Ok(())
}
