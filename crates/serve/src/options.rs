//! Limits and timeouts of the callers' interface.

use balsam_http::ClientOptions;
use snafu::Snafu;

/// Limits and timeouts; every field must be at least 1.
#[derive(Debug, Clone)]
pub struct ServeOptions {
    /// Maximum number of open connections from callers. Above it, the oldest connection without a
    /// running request is closed for a new one; if all run requests, those of the new one are
    /// refused. An eighth more may be open for that; further ones are closed.
    pub max_connections: usize,
    /// Maximum number of concurrent requests on one HTTP/2 connection.
    pub max_streams_per_connection: u32,
    /// Maximum number of concurrently running requests.
    pub max_running: u32,
    /// Maximum number of requests that wait for a running one to end.
    pub max_queued: usize,
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of headers in one request.
    pub max_headers: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of bytes of request bodies held in memory for all callers; one organisation
    /// may use at most a quarter of it.
    pub max_body_bytes_total: usize,
    /// How long a caller may take to send a request head.
    pub header_read_timeout_ms: u64,
    /// How long a caller may take to send a complete request body.
    pub body_read_timeout_ms: u64,
    /// How long a caller may read nothing of an answer that waits for it. Its answer holds memory
    /// and a place at an endpoint meanwhile.
    pub write_timeout_ms: u64,
    /// How long a connection without a request stays open.
    pub idle_connection_ms: u64,
    /// Maximum deadline that a caller may request; longer ones are capped.
    pub max_deadline_ms: u64,
    /// Timeout for opening a connection to an endpoint.
    pub connect_timeout_ms: u64,
    /// After which silence of a model engine, before or during a streamed answer, a resume or
    /// another attempt begins beside the silent one. Silence ends no answer.
    pub model_silence_ms: u64,
    /// After which silence of a plain service, or before an answer of an engine that is not
    /// streamed, another attempt begins beside the silent one. Silence ends no answer.
    pub plain_silence_ms: u64,
    /// How long an unused connection to an endpoint is kept.
    pub endpoint_idle_ms: u64,
    /// Maximum number of unused connections kept per endpoint. It should cover the concurrent
    /// requests from this node to one endpoint; each request above it needs a new connection.
    pub endpoint_idle_connections: usize,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Maximum number of resumes of one stream without an event in between.
    pub max_resumes: u32,
    /// Maximum size of a server-sent event from an endpoint, in bytes.
    pub max_event_bytes: usize,
    /// Percentage of reads that are copied to the second pool of a route that has one.
    pub compare_percent: u32,
    /// Maximum number of concurrently running copies.
    pub compare_running: usize,
}

impl Default for ServeOptions {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_streams_per_connection: 128,
            max_running: 4096,
            max_queued: 4096,
            max_header_bytes: 16 * 1024,
            max_headers: 64,
            max_body_bytes: 1024 * 1024,
            max_body_bytes_total: 64 * 1024 * 1024,
            header_read_timeout_ms: 5_000,
            body_read_timeout_ms: 10_000,
            write_timeout_ms: 30_000,
            idle_connection_ms: 60_000,
            max_deadline_ms: 3_600_000,
            connect_timeout_ms: 500,
            model_silence_ms: 2_000,
            plain_silence_ms: 30_000,
            endpoint_idle_ms: 15_000,
            endpoint_idle_connections: 128,
            max_attempts: 3,
            max_resumes: 3,
            max_event_bytes: 256 * 1024,
            compare_percent: 10,
            compare_running: 16,
        }
    }
}

/// An option with an invalid value.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{field} is {found}, expected {expected}"))]
pub struct InvalidOptions {
    /// The name of the option.
    pub field: &'static str,
    /// The invalid value.
    pub found: u64,
    /// The values that are accepted.
    pub expected: &'static str,
}

impl ServeOptions {
    /// Returns the options of the HTTP client for endpoints.
    pub(crate) fn client_options(&self) -> ClientOptions {
        ClientOptions {
            connect_timeout_ms: self.connect_timeout_ms,
            idle_ms: self.endpoint_idle_ms,
            idle_connections: self.endpoint_idle_connections,
        }
    }

    /// Returns the options if all are valid.
    pub fn check(self) -> Result<Self, InvalidOptions> {
        let fields = [
            ("max_connections", self.max_connections as u64),
            ("max_streams_per_connection", u64::from(self.max_streams_per_connection)),
            ("max_running", u64::from(self.max_running)),
            ("max_headers", self.max_headers as u64),
            ("max_body_bytes", self.max_body_bytes as u64),
            ("header_read_timeout_ms", self.header_read_timeout_ms),
            ("body_read_timeout_ms", self.body_read_timeout_ms),
            ("write_timeout_ms", self.write_timeout_ms),
            ("idle_connection_ms", self.idle_connection_ms),
            ("max_deadline_ms", self.max_deadline_ms),
            ("connect_timeout_ms", self.connect_timeout_ms),
            ("model_silence_ms", self.model_silence_ms),
            ("plain_silence_ms", self.plain_silence_ms),
            ("endpoint_idle_ms", self.endpoint_idle_ms),
            ("max_attempts", u64::from(self.max_attempts)),
            ("max_event_bytes", self.max_event_bytes as u64),
        ];
        for (field, found) in fields {
            if found == 0 {
                return Err(InvalidOptions { field, found, expected: "at least 1" });
            }
        }
        // hyper panics if the buffer size is below 8192.
        if self.max_header_bytes < 8192 {
            let found = self.max_header_bytes as u64;
            return Err(InvalidOptions {
                field: "max_header_bytes",
                found,
                expected: "at least 8192",
            });
        }
        if self.max_body_bytes_total / 4 < self.max_body_bytes {
            let found = self.max_body_bytes_total as u64;
            let expected = "at least four times the value of max_body_bytes";
            return Err(InvalidOptions { field: "max_body_bytes_total", found, expected });
        }
        if self.max_body_bytes_total > u32::MAX as usize {
            let found = self.max_body_bytes_total as u64;
            let expected = "less than 4 GiB";
            return Err(InvalidOptions { field: "max_body_bytes_total", found, expected });
        }
        Ok(self)
    }
}
