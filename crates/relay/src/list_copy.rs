//! Hands the list of endpoints to nodes that start.
//!
//! A list of many pages takes as many calls to the store from each node that starts. One node of a
//! data centre makes them, and the others take the list from it, with the position from which they
//! read on. A page holds 500 endpoints, so fleets of up to 1,000 do not need this.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use balsam_http::Client;
use balsam_http::ClientOptions;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::time::timeout;

use crate::gossip::ListNews;
use crate::message;

/// Time for opening a connection to another node.
const CONNECT_TIMEOUT_MS: u64 = 200;

/// Time for the whole list: a few hundred kilobytes over a link of 20 Mbit/s that several nodes
/// share. A node that gets nothing by then reads the store.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Most bytes of a list.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// Time that a node may take to ask, so that connections which fell silent do not pile up.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// The newest records of the list, by key, as the platform gave them.
#[derive(Debug, Default)]
pub struct ListCopy {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The position after the newest record; `None` before the first read.
    position: Option<u64>,
    records: BTreeMap<String, Vec<u8>>,
}

/// A record of the list, with its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListRecord {
    /// The name of the endpoint.
    pub key: String,
    /// The record as the platform gave it; `None` if it ends the entry.
    pub record: Option<Vec<u8>>,
}

impl ListCopy {
    /// Takes over a whole list that was read up to a position.
    pub fn replace(&self, position: u64, records: impl IntoIterator<Item = ListRecord>) {
        let mut state = self.lock();
        state.records.clear();
        state.apply(records);
        state.position = Some(position);
    }

    /// Takes over records that were read up to a position.
    pub fn advance(&self, position: u64, records: impl IntoIterator<Item = ListRecord>) {
        let mut state = self.lock();
        state.apply(records);
        state.position = state.position.map(|known| known.max(position));
    }

    /// Returns the whole list, once one was read.
    pub fn whole(&self) -> Option<ListNews> {
        let state = self.lock();
        let to = state.position?;
        Some(ListNews { from: 0, to, records: state.records.values().cloned().collect() })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply(&mut self, records: impl IntoIterator<Item = ListRecord>) {
        for ListRecord { key, record } in records {
            match record {
                Some(record) => _ = self.records.insert(key, record),
                None => _ = self.records.remove(&key),
            }
        }
    }
}

/// Gives the list to nodes that ask; never returns.
pub async fn serve(copy: Arc<ListCopy>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let copy = copy.clone();
        tokio::spawn(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let answer = answer(&copy);
                async move { Ok::<_, Infallible>(answer) }
            });
            // An error concerns the node that asks, which asks another one.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(ASK_TIMEOUT)
                .keep_alive(false)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn answer(copy: &ListCopy) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    match copy.whole() {
        Some(list) => *response.body_mut() = Full::new(message::encode_news(&list).into()),
        None => *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
    }
    response
}

/// Asks another node for the list; `None` if it has none or does not answer in time.
pub async fn fetch(address: SocketAddr) -> Option<ListNews> {
    let client = Client::new(&ClientOptions {
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
        idle_ms: 0,
        idle_connections: 0,
    });
    let mut request = Request::new(Full::default());
    *request.uri_mut() = http::Uri::from_static("/list");
    let host = http::HeaderValue::from_str(&address.to_string()).ok()?;
    request.headers_mut().insert(http::header::HOST, host);
    let exchange = async {
        let (mut conn, response) = client.send_fresh(address, request, FETCH_TIMEOUT).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES);
        Some(conn.driver.drive(body.collect()).await.ok()?.to_bytes())
    };
    let bytes = timeout(FETCH_TIMEOUT, exchange).await.ok()??;
    match message::decode(&bytes)? {
        message::Envelope::News(list) => Some(list),
        _ => None,
    }
}
