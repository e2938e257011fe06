//! A test harness: a front with fake ports and stand-in endpoints, in one process on loopback.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use balsam_route::Group;
use balsam_route::Pool;
use balsam_route::RemoteDataCentre;
use balsam_route::Table;
use balsam_route::Temperature;
use balsam_serve::ClaimDecision;
use balsam_serve::Front;
use balsam_serve::Permit;
use balsam_serve::PermitRefusal;
use balsam_serve::Ports;
use balsam_serve::ServeOptions;
use balsam_standin::endpoint::Endpoint;
use balsam_standin::endpoint::EndpointOptions;
use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::OrganisationName;
use balsam_types::OrganisationSpec;
use balsam_types::PoolKind;
use balsam_types::PoolName;
use balsam_types::PoolSpec;
use balsam_types::RouteMatch;
use balsam_types::RouteName;
use balsam_types::RouteSpec;
use balsam_types::StoredResponse;
use balsam_types::VmName;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::TextEncoder;
use tokio::net::TcpListener;

/// The token of the organisation `club`.
pub const TOKEN: &str = "test-token";

/// `echo -n test-token | sha256sum`.
const TOKEN_SHA256: &str = "4c5dc9b7708905f77f5e5d16316b5dfb425e68cb326dcd55a860e90a7707031e";

/// `echo -n other-token | sha256sum`.
const OTHER_TOKEN_SHA256: &str = "6c67163bbed989f232b31acc4f04df54b31285bfc01bd022c735b71e041a4754";

type Forward = dyn Fn(
        balsam_serve::ForwardCall,
    ) -> BoxFuture<'static, Result<balsam_serve::AttemptAnswer, balsam_serve::AttemptFailure>>
    + Send
    + Sync;

/// The responses of the fake ports and the requests they received.
pub struct FakePorts {
    pub started: Instant,
    pub table: Mutex<Arc<Table>>,
    pub claim: Mutex<ClaimDecision>,
    pub completed: Mutex<Vec<StoredResponse>>,
    pub can_record_answers: Mutex<bool>,
    pub released: Mutex<u32>,
    pub permits: Mutex<Result<u64, PermitRefusal>>,
    pub permits_held: Arc<Mutex<u32>>,
    pub permit_requests: Mutex<Vec<Instant>>,
    pub forward: Mutex<Option<Arc<Forward>>>,
}

impl FakePorts {
    pub fn now_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }
}

/// A front with its fake ports and a client.
pub struct Harness {
    pub front: Front,
    pub fake_ports: Arc<FakePorts>,
    pub address: SocketAddr,
    pub client: Client<HttpConnector, Full<Bytes>>,
    registry: prometheus::Registry,
    _provider: SdkMeterProvider,
}

/// Returns a warm group of the routing table.
pub fn group(name: &str, address: SocketAddr) -> Group {
    Group {
        group: GroupName::try_from(name).unwrap(),
        head: VmName::try_from(name).unwrap(),
        address,
        evidence_until_ms: u64::MAX,
        leaving: false,
        slow: false,
        temperature: Temperature::Warm,
        instance: Arc::from("i1"),
        reported_in_flight: 0,
        // Never stale.
        reported_at_ms: u64::MAX,
        owner: None,
    }
}

fn pool(name: &str, kind: PoolKind, groups: Vec<Group>) -> (PoolName, Arc<Pool>) {
    let pool = PoolName::try_from(name).unwrap();
    let spec = PoolSpec {
        pool: pool.clone(),
        kind,
        model: Arc::from("m"),
        version: Arc::from("1"),
        group_vms: 1,
        target_groups: 1,
        limit: 100_000,
        cold_limit: 1,
        checks_fence: true,
        not_run_statuses: vec![503],
        weight_bytes: 0,
    };
    (pool, Arc::new(Pool { spec: Arc::new(spec), groups, remotes: Vec::new() }))
}

fn route(name: &str, matches: RouteMatch, pool: &str, idempotent: Option<bool>) -> Arc<RouteSpec> {
    Arc::new(RouteSpec {
        route: RouteName::try_from(name).unwrap(),
        matches,
        pool: PoolName::try_from(pool).unwrap(),
        compare_pool: None,
        idempotent,
        deadline_ms: 10_000,
    })
}

/// Returns a table with the models `m` (idempotent) and `once` (not idempotent), and the plain
/// service `/orders`.
pub fn table(engines: Vec<Group>, services: Vec<Group>) -> Table {
    let organisation = |name: &str, token_sha256: &str| {
        let spec = OrganisationSpec {
            organisation: OrganisationName::try_from(name).unwrap(),
            token_sha256: Arc::from(token_sha256),
            weight: 1,
            limit_per_s: 0,
            limit_in_flight: 0,
        };
        (spec.token_sha256.clone(), Arc::new(spec))
    };
    let model = |name: &str| RouteMatch::Model(Arc::from(name));
    Table {
        organisations: HashMap::from([
            organisation("club", TOKEN_SHA256),
            organisation("other", OTHER_TOKEN_SHA256),
        ]),
        model_routes: HashMap::from([
            (Arc::from("m"), route("m", model("m"), "engines", Some(true))),
            (Arc::from("once"), route("once", model("once"), "engines", Some(false))),
        ]),
        path_routes: vec![route(
            "orders",
            RouteMatch::PathPrefix(Arc::from("/orders")),
            "services",
            None,
        )],
        pools: HashMap::from([
            pool("engines", PoolKind::Model, engines),
            pool("services", PoolKind::Plain, services),
        ]),
        ..Table::default()
    }
}

/// Adds a plain pool with one endpoint.
pub fn add_pool(table: &mut Table, name: &str, endpoint: &Endpoint) {
    let (name, pool) = pool(name, PoolKind::Plain, vec![group(name, endpoint.address())]);
    table.pools.insert(name, pool);
}

/// Starts a model engine.
pub async fn engine() -> Endpoint {
    Endpoint::start(EndpointOptions::default()).await.unwrap()
}

/// Starts a plain service.
pub async fn service() -> Endpoint {
    Endpoint::start(EndpointOptions::plain()).await.unwrap()
}

/// Adds a remote data centre that serves a pool.
pub fn add_remote(table: &mut Table, pool: &str, data_centre: &str) {
    let pool = table.pools.get_mut(pool).unwrap();
    Arc::make_mut(pool).remotes.push(RemoteDataCentre {
        data_centre: DataCentreName::try_from(data_centre).unwrap(),
        entry_nodes: vec![(VmName::try_from("e1").unwrap(), SocketAddr::from(([127, 0, 0, 1], 9)))],
        serving_groups: 1,
        free_slots: 1,
        drained: false,
        same_region: true,
        flow_back_percent: 100,
    });
}

impl Harness {
    /// Makes the client use HTTP/2 with prior knowledge.
    pub fn use_http2(&mut self) {
        self.client = Client::builder(TokioExecutor::new()).http2_only(true).build_http();
    }

    /// Starts a front with engines and services as its endpoints.
    pub async fn start(engines: &[&Endpoint], services: &[&Endpoint]) -> Self {
        let options = ServeOptions {
            model_silence_ms: 300,
            plain_silence_ms: 500,
            ..ServeOptions::default()
        };
        Self::start_with(options, engines, services).await
    }

    /// Starts a front with the given options.
    pub async fn start_with(
        options: ServeOptions,
        engines: &[&Endpoint],
        services: &[&Endpoint],
    ) -> Self {
        let groups = |endpoints: &[&Endpoint], kind: &str| -> Vec<Group> {
            let numbered = endpoints.iter().enumerate();
            // All groups but the first are slow, so the first attempt goes to the first endpoint.
            let slow = |i: usize| i > 0;
            let named = |i: usize, e: &Endpoint| group(&format!("{kind}{i}"), e.address());
            numbered.map(|(i, e)| Group { slow: slow(i), ..named(i, e) }).collect()
        };
        let table = table(groups(engines, "engine"), groups(services, "service"));
        let fake_ports = Arc::new(FakePorts {
            started: Instant::now(),
            table: Mutex::new(Arc::new(table)),
            claim: Mutex::new(ClaimDecision::Granted {
                offset: balsam_types::Offset::new(7, 0),
                dispatch_until_ms: u64::MAX,
            }),
            completed: Mutex::default(),
            can_record_answers: Mutex::new(true),
            released: Mutex::default(),
            permits: Mutex::new(Ok(u64::MAX)),
            permits_held: Arc::default(),
            permit_requests: Mutex::default(),
            forward: Mutex::default(),
        });
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone());
        let provider = SdkMeterProvider::builder().with_reader(exporter.build().unwrap()).build();
        let meter = provider.meter("test");
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let front = Front::new(options, ports(&fake_ports), &meter, log).unwrap();
        front.set_ready(true);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serving = front.clone();
        tokio::spawn(async move { serving.serve(listener).await });
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { front, fake_ports, address, client, registry, _provider: provider }
    }

    /// Returns the sum of a counter over all series that have these labels.
    pub fn count(&self, counter: &str, labels: &[&str]) -> u64 {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text).unwrap();
        let text = String::from_utf8(text).unwrap();
        let name = format!("{counter}_total{{");
        let series = text.lines().filter(|line| line.starts_with(&name));
        let series = series.filter(|line| labels.iter().all(|label| line.contains(label)));
        series.map(|line| line.rsplit(' ').next().unwrap().parse::<u64>().unwrap()).sum()
    }

    /// Returns the builder of a request with the organisation's token.
    pub fn request(&self, method: &str, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {TOKEN}"))
    }

    /// Sends a request.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Response<Incoming> {
        self.client.request(request).await.unwrap()
    }

    /// Sends a chat completion with a streamed answer.
    pub async fn chat(&self, model: &str, tokens: u64) -> Response<Incoming> {
        self.send(self.request("POST", CHAT).body(chat_body(model, tokens)).unwrap()).await
    }

    /// Sends an order to the plain service, with an `Idempotency-Key` if `key` is given.
    pub async fn order(&self, key: Option<&str>) -> Response<Incoming> {
        let mut request = self.request("POST", "/orders");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        self.send(request.body(Full::from("book 1")).unwrap()).await
    }
}

pub const CHAT: &str = "/v1/chat/completions";

/// Returns the body of a chat completion with a streamed answer.
pub fn chat_body(model: &str, tokens: u64) -> Full<Bytes> {
    let body = serde_json::json!({
        "model": model,
        "stream": true,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "q"}],
    });
    Full::from(body.to_string())
}

fn ports(fake_ports: &Arc<FakePorts>) -> Ports {
    let handle = || fake_ports.clone();
    let (table, now, claim, complete) = (handle(), handle(), handle(), handle());
    let (release, permit, forward) = (handle(), handle(), handle());
    Ports {
        table: Box::new(move || table.table.lock().unwrap().clone()),
        now_ms: Arc::new(move || now.now_ms()),
        claim: Box::new(move |_| {
            let decision = claim.claim.lock().unwrap().clone();
            async move { decision }.boxed()
        }),
        complete: Box::new(move |(_, _, response)| {
            complete.completed.lock().unwrap().push(response);
            let recorded = *complete.can_record_answers.lock().unwrap();
            async move { recorded }.boxed()
        }),
        release: Box::new(move |_| {
            *release.released.lock().unwrap() += 1;
            async {}.boxed()
        }),
        acquire_permit: Box::new(move |_| {
            let held = permit.permits_held.clone();
            permit.permit_requests.lock().unwrap().push(Instant::now());
            let granted = permit.permits.lock().unwrap().clone();
            let granted = granted.map(|until_ms| {
                *held.lock().unwrap() += 1;
                Permit::new(until_ms, move || *held.lock().unwrap() -= 1)
            });
            async move { granted }.boxed()
        }),
        forward: Box::new(move |call| {
            let forward = forward.forward.lock().unwrap().clone();
            let forward = forward.expect("the test expects no forwarded request");
            forward(call)
        }),
    }
}

/// Parses a problem response.
pub async fn problem(response: Response<Incoming>) -> serde_json::Value {
    let content_type = response.headers()["content-type"].clone();
    assert_eq!(content_type, "application/problem+json");
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let problem: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(problem["status"], status);
    problem
}

/// Reads a body; the flag is true if it ended and false if it was aborted.
pub async fn read(response: Response<Incoming>) -> (String, bool) {
    let mut body = response.into_body();
    let mut text = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    (String::from_utf8(text).unwrap(), is_complete)
}

/// Returns the ids of the events in a stream.
pub fn event_ids(text: &str) -> Vec<u64> {
    text.lines().filter_map(|l| l.strip_prefix("id: ")).map(|id| id.parse().unwrap()).collect()
}

/// Waits until a condition holds; panics with its description after 3 s.
pub async fn eventually(description: &str, condition: impl Fn() -> bool) {
    for _ in 0..300 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("condition did not hold within 3 s: {description}");
}
