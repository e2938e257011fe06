//! An HTTP client that sends the requests of the demonstration.

use std::net::SocketAddr;
use std::time::Duration;

use balsam_standin::estate::CALLER_TOKEN;
use balsam_standin::estate::MODEL;
use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// Number of tokens requested for each report.
pub const REPORT_TOKENS: usize = 8;

/// An HTTP client of the entry nodes; clones share its connections.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A response as received.
#[derive(Debug)]
pub struct Seen {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
}

impl Seen {
    /// Returns whether a streamed report is complete: each event once and in order, then the terminal
    /// event.
    pub fn is_complete_report(&self) -> bool {
        let ids: Vec<u64> = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .filter_map(|id| id.parse().ok())
            .collect();
        let is_in_order = ids.windows(2).all(|pair| pair[1] == pair[0] + 1);
        self.status == StatusCode::OK
            && is_in_order
            && ids.len() >= REPORT_TOKENS
            && self.body.contains("data: [DONE]")
    }
}

impl Caller {
    pub fn new() -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Requests a streamed report.
    pub async fn request_report(&self, node: SocketAddr, prompt: &str) -> Result<Seen, String> {
        let body = serde_json::json!({
            "model": MODEL,
            "stream": true,
            "max_tokens": REPORT_TOKENS,
            "messages": [{"role": "user", "content": prompt}],
        });
        let request = Request::post(format!("http://{node}/v1/chat/completions"))
            .header(header::AUTHORIZATION, format!("Bearer {CALLER_TOKEN}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body.to_string()));
        self.send(request.map_err(|error| error.to_string())?).await
    }

    /// Registers a ring with an idempotency key.
    pub async fn register(&self, node: SocketAddr, key: &str, ring: &str) -> Result<Seen, String> {
        let body = serde_json::json!({ "ring": ring }).to_string();
        let request = Request::post(format!("http://{node}/registrations/rings"))
            .header(header::AUTHORIZATION, format!("Bearer {CALLER_TOKEN}"))
            .header("idempotency-key", key)
            .body(Full::from(body));
        self.send(request.map_err(|error| error.to_string())?).await
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Seen, String> {
        let call = async {
            let response = self.client.request(request).await.map_err(|e| e.to_string())?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
            Ok(Seen {
                status: parts.status,
                headers: parts.headers,
                body: String::from_utf8_lossy(&body).into_owned(),
            })
        };
        timeout(CALL_TIMEOUT, call).await.map_err(|_| "no answer in time".to_owned())?
    }
}
