//! The operators' configuration as the request path needs it.
//!
//! One value holds a whole version, so that a request is handled by one version from its first
//! look-up to its last.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use balsam_types::ModelName;
use balsam_types::OrganisationName;
use balsam_types::PoolName;
use balsam_types::RouteName;

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// Rises with each change; see [`Configuration::replaces`].
    pub version: u64,
    /// The routes of each host, the longest prefix first.
    pub routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// The pools that routes refer to.
    pub pools: BTreeMap<PoolName, Arc<PoolConfig>>,
    /// The organisations by the keys of their callers.
    pub organisations: HashMap<Arc<str>, Arc<Organisation>>,
    /// Whether a request needs a key, unless its route is public.
    pub requires_key: bool,
    /// The limits towards callers.
    pub limits: CallerLimits,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub max_header_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for the head of a request.
    pub header_timeout_ms: u64,
    /// Time between two requests of a connection.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // In force only until the first configuration is read.
        Self {
            max_header_bytes: 32 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

/// A customer of the estate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Its name, which endpoints are told.
    pub name: OrganisationName,
    /// Its rank, which goes before that of the route.
    pub priority: Option<u8>,
}

/// What may be repeated, and whether the answer is a series of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request.
    NonIdempotent,
    /// Answers with a series of events.
    Stream {
        /// Whether another endpoint may go on after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// Where requests of a host and path go.
#[derive(Debug, Clone)]
pub struct Route {
    /// The name, for logs.
    pub name: RouteName,
    /// The start of the path, which begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// The time within which an answer has its full worth.
    pub target_ms: u64,
    /// The longest pause between events with which a stream has its full worth.
    pub gap_target_ms: u64,
    /// The rank, with 0 served first.
    pub priority: u8,
    /// The pools and their weights.
    pub split: Vec<(PoolName, u32)>,
    /// Most endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// A set of endpoints that answer the same requests.
#[derive(Debug, Clone)]
pub struct PoolConfig {
    /// The name.
    pub name: PoolName,
    /// Most connections that an endpoint accepts from all nodes together.
    pub max_connections: u32,
    /// Requests a second that an endpoint bears in cold start; zero if the pool has no such limit.
    pub cold_per_s: f64,
    /// The model engine; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// The figures of a pool's model engines; see `docs/decisions/0008-platform.md`.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Requests that one group runs at a time.
    pub slots: u32,
    /// Time of one token step without requests.
    pub step_ms: f64,
    /// Time that each running request adds to a step.
    pub per_sequence_ms: f64,
    /// Prompt tokens read in a ms.
    pub read_per_ms: f64,
    /// Most prompt tokens read in one step.
    pub chunk_tokens: u32,
    /// Steps of one pass.
    pub stride: u32,
    /// Time from the order to open a group until it serves.
    pub form_ms: u64,
    /// Weight loads that may start in a second.
    pub loads_per_s: f64,
    /// The models.
    pub models: Vec<Model>,
}

impl Engine {
    /// Finds a model by name.
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        self.models.iter().find(|model| model.name == *name)
    }
}

/// A model that groups of a pool serve.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// The name that callers ask for.
    pub name: ModelName,
    /// Members of a group.
    pub size: u32,
    /// Factor on all times of a group.
    pub pace: f64,
    /// Part of the work at the start.
    pub share: f64,
    /// Time to load the weights from the weight store.
    pub load_ms: u64,
    /// Time to load the weights from the host.
    pub warm_ms: u64,
}

impl Configuration {
    /// Whether this version goes before another one; versions never go back.
    pub fn replaces(&self, other: &Configuration) -> bool {
        self.version > other.version
    }

    /// Finds the route of a request: the longest prefix among those of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        // A port in the host header names the same host.
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Finds the organisation of a caller's key.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.organisations.get(key)
    }
}

impl Route {
    /// Chooses the pool of a request; `draw` is uniform in 0 to 1.
    pub fn pool(&self, draw: f64) -> Option<&PoolName> {
        let total: f64 = self.split.iter().map(|(_, weight)| f64::from(*weight)).sum();
        let mut left = draw * total;
        let mut weighted = self.split.iter().filter(|(_, weight)| *weight > 0);
        for (pool, weight) in weighted.clone() {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(pool);
            }
        }
        weighted.next_back().map(|(pool, _)| pool)
    }
}
