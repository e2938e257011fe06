//! Probes of and orders to endpoints.

use std::net::SocketAddr;
use std::sync::Arc;

use balsam_fleet::Order;
use balsam_fleet::event::OrderAnswer;
use balsam_fleet::event::ProbeAnswer;
use futures::future::BoxFuture;

/// How this platform's endpoints are probed and given orders.
#[derive(Clone)]
pub struct EndpointCalls {
    /// Checks on a new connection whether an endpoint is alive.
    pub probe: Arc<dyn Fn(SocketAddr) -> BoxFuture<'static, ProbeAnswer> + Send + Sync>,
    /// Sends an order to an endpoint.
    pub order: Arc<dyn Fn(SocketAddr, Order) -> BoxFuture<'static, OrderAnswer> + Send + Sync>,
}

impl std::fmt::Debug for EndpointCalls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EndpointCalls").finish_non_exhaustive()
    }
}
