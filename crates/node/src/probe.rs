//! Probes endpoints and sends orders to them over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balsam_agent::effect::Order;
use balsam_agent::event::LoadReport;
use balsam_agent::event::ProbeResult;
use balsam_route::Temperature;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use tokio::time::timeout;

/// Largest load report accepted.
const MAX_REPORT_BYTES: usize = 16 * 1024;

/// Timeout for the answer to an order. Executing the order takes longer and shows in load reports.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an idle connection to an endpoint is kept for the next probe.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// An HTTP client for the control path, separate from the connections that carry callers' requests.
#[derive(Debug, Clone)]
pub(crate) struct Prober {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

#[derive(Debug, Deserialize)]
struct RawReport {
    instance: String,
    #[serde(default)]
    in_flight: u32,
    #[serde(default)]
    queued: u32,
    warm: bool,
    #[serde(default)]
    fence: u64,
    /// Plain services take no orders and count as ready when they answer.
    #[serde(default = "ready_by_default")]
    ready: bool,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    age_ms: u64,
}

const fn ready_by_default() -> bool {
    true
}

impl Prober {
    pub(crate) fn new(timeout_ms: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(timeout_ms)));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(1)
            .build(connector);
        Self { client, timeout: Duration::from_millis(timeout_ms) }
    }

    /// Fetches an endpoint's load report.
    pub(crate) async fn probe(&self, address: SocketAddr) -> ProbeResult {
        let report = timeout(self.timeout, self.fetch_report(address)).await;
        report.ok().flatten().map_or(ProbeResult::NoAnswer, ProbeResult::Report)
    }

    async fn fetch_report(&self, address: SocketAddr) -> Option<LoadReport> {
        let request = Request::builder().uri(format!("http://{address}/v1/load"));
        let request = request.body(Full::default()).ok()?;
        let response = self.client.request(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_REPORT_BYTES).collect().await.ok()?;
        let raw: RawReport = serde_json::from_slice(&body.to_bytes()).ok()?;
        Some(LoadReport {
            instance: Arc::from(raw.instance),
            fence: raw.fence,
            ready: raw.ready,
            leaving: raw.leaving,
            temperature: if raw.warm { Temperature::Warm } else { Temperature::Cold },
            in_flight: raw.in_flight.saturating_add(raw.queued),
            age_ms: raw.age_ms,
        })
    }

    /// Sends an order; whether it was executed shows in later load reports.
    pub(crate) async fn order(&self, address: SocketAddr, order: &Order) -> Option<StatusCode> {
        let kind = if order.group.is_some() { "form" } else { "release" };
        let body = serde_json::json!({
            "fence": order.fence,
            "kind": kind,
            "group": order.group.as_ref().map(|group| group.as_str()),
            "members": order.members.iter().map(|vm| vm.as_str()).collect::<Vec<_>>(),
            "model": &*order.model,
            "version": &*order.version,
        });
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/v1/orders"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::from(body.to_string()))
            .ok()?;
        let answer = timeout(ORDER_TIMEOUT, self.client.request(request)).await.ok()?.ok()?;
        Some(answer.status())
    }
}
