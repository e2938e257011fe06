//! The operators' configuration in the form needed by the request path.
//!
//! One value holds a complete version, so that a request is handled by the same version from its
//! first look-up to its last.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use balsam_types::ModelName;
use balsam_types::OrganisationName;
use balsam_types::PoolName;
use balsam_types::RouteName;

use crate::priority::Priority;

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Increases with each change; see [`Configuration::replaces`].
    pub version: u64,
    /// The routes by host, longest prefix first.
    pub routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// The pools that routes refer to.
    pub pools: BTreeMap<PoolName, Arc<PoolConfig>>,
    /// Which requests need a key.
    pub access: Access,
    /// The limits for callers.
    pub limits: CallerLimits,
    /// The values that could not be understood. Only the parts that need them are not in force.
    pub faults: Vec<ConfigurationFault>,
}

/// A value of a configuration that cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationFault {
    /// The part that the value belongs to.
    pub part: Arc<str>,
    /// The field.
    pub field: &'static str,
    /// The value, or what it is if it may contain the key of a caller.
    pub value: String,
}

/// Which requests need a key.
///
/// "No keys" and "no key needed" are two things: an empty map of keys used to stand for both. See
/// `docs/incidents/no-tenants.md`.
#[derive(Debug, Clone, PartialEq)]
pub enum Access {
    /// None: the configuration does not speak of organisations.
    Open,
    /// All but those of public routes; the organisations by caller key.
    ByKey(HashMap<Arc<str>, Arc<Organisation>>),
}

impl Default for Access {
    fn default() -> Self {
        Self::ByKey(HashMap::new())
    }
}

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub max_header_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Timeout for receiving the head of a request.
    pub header_timeout_ms: u64,
    /// Timeout between two requests on a connection.
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

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Its name, which is passed to endpoints; `None` if it cannot be understood, in which case its
    /// requests are refused.
    pub name: Option<OrganisationName>,
    /// Its priority, which overrides that of the route.
    pub priority: Option<Priority>,
}

/// Whether requests of a route may be repeated, and whether the answer is a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request.
    NonIdempotent,
    /// Answers with a stream of events.
    Stream {
        /// Whether another endpoint may continue after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run already can be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// Destination of the requests for a host and path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name, for logs.
    pub name: RouteName,
    /// The path prefix, which begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller waits for an answer.
    pub timeout_ms: u64,
    /// The longest time without an event, also before the first, for which a caller of a stream stays.
    pub event_patience_ms: u64,
    /// The time in which the operators want an answer to begin; for the log only.
    pub target_ms: u64,
    /// The longest pause between events that the operators want; for the log only.
    pub gap_target_ms: u64,
    /// The priority; the lowest is served first.
    pub priority: Priority,
    /// The pools and their weights, of which the largest is 1. Requests are refused if there are none.
    pub split: Vec<(PoolName, f64)>,
    /// Maximum number of endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// A set of endpoints that answer the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolConfig {
    /// The name.
    pub name: PoolName,
    /// Maximum number of connections that an endpoint accepts from all nodes together.
    pub max_connections: u32,
    /// Requests per second that an endpoint can take during its cold start; zero if there is no
    /// limit.
    pub cold_per_s: f64,
    /// The model engine; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// Settings of a pool's model engines; see `docs/decisions/0008-platform.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Maximum number of concurrent requests of a group.
    pub slots: u32,
    /// Time of one token step without requests.
    pub step_ms: f64,
    /// Additional time per step for each running request.
    pub per_sequence_ms: f64,
    /// Prompt tokens read per ms.
    pub read_per_ms: f64,
    /// Maximum number of prompt tokens read in one step.
    pub chunk_tokens: u32,
    /// Number of steps in one pass.
    pub stride: u32,
    /// Time from the order to open a group until it serves.
    pub form_ms: u64,
    /// Maximum number of weight loads that may start per second.
    pub loads_per_s: f64,
    /// The models.
    pub models: Vec<Model>,
    /// What requests usually need, if the operators say so.
    pub usual: Option<UsualTokens>,
}

/// Mean number of tokens of requests, as the operators state it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsualTokens {
    /// Of their prompts.
    pub prompt_tokens: u32,
    /// Of their answers.
    pub answer_tokens: u32,
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
    /// Number of members of a group.
    pub size: u32,
    /// Factor applied to all times of a group.
    pub pace: f64,
    /// Fraction of the work that is assumed for the model before the first request.
    pub share: f64,
    /// Time to load the weights from the weight store.
    pub load_ms: u64,
    /// Time to load the weights from the host.
    pub warm_ms: u64,
}

impl Configuration {
    /// Whether this configuration replaces one that was read before it; versions never go back.
    ///
    /// A store that came back from a copy without a version may get it again with other content,
    /// which is then the one that the operators had confirmed last.
    pub fn replaces(&self, other: &Configuration) -> bool {
        match self.version.cmp(&other.version) {
            Ordering::Less => false,
            Ordering::Equal => self != other,
            Ordering::Greater => true,
        }
    }

    /// Finds the route of a request: the longest prefix among those of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        // A port in the host header is ignored.
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Finds the organisation of a caller's key.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        match &self.access {
            Access::Open => None,
            Access::ByKey(organisations) => organisations.get(key),
        }
    }
}

impl Route {
    /// Chooses the pool of a request by weight, if there is one; `draw` is uniform in 0 to 1.
    pub fn pool(&self, draw: f64) -> Option<&PoolName> {
        let total: f64 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut remaining = draw * total;
        for (pool, weight) in &self.split {
            remaining -= weight;
            if remaining < 0.0 {
                return Some(pool);
            }
        }
        self.split.last().map(|(pool, _)| pool)
    }
}
