//! Metrics, exported as Prometheus text, and structured logs.

pub mod logging;
pub mod monitor;

use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use snafu::Snafu;

/// Setting up the metrics failed.
#[derive(Debug, Snafu)]
#[snafu(display("setting up the metrics: {detail}"))]
pub struct TelemetryError {
    detail: String,
}

/// The metrics of one node; each node of a process has its own registry.
#[derive(Debug)]
pub struct Telemetry {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Telemetry {
    /// Creates the registry and its exporter.
    pub fn new() -> Result<Self, TelemetryError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let exporter = match exporter {
            Ok(exporter) => exporter,
            Err(error) => return TelemetrySnafu { detail: error.to_string() }.fail(),
        };
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that creates instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("balsamturn")
    }

    /// Returns all metrics as Prometheus text.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        // Encoding into memory fails only if the registry has inconsistent metric families.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8(text).unwrap_or_default()
    }
}
