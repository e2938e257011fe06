//! Measures the latency that the front adds to streamed answers, compared with direct calls.
//!
//! Direct calls and calls through the front alternate in short time slices of one run, so that both
//! see the same load from other processes. The bounds are those of `docs/design.md`, section 17.
//!
//! With the argument `cost` it measures CPU time and allocations instead, which depend less on
//! other processes: `cargo bench -p balsam-serve --bench added_latency -- cost`. `cost-direct` and
//! `cost-front` run only one of the two paths, for `valgrind --tool=callgrind`. Instruction counts
//! of one path vary by up to a tenth between runs, so single runs do not show a small change.
#![allow(clippy::print_stdout, reason = "a bench reports on standard output")]

use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use balsam_route::Group;
use balsam_route::Pool;
use balsam_route::Table;
use balsam_route::Temperature;
use balsam_serve::AttemptFailure;
use balsam_serve::ClaimDecision;
use balsam_serve::Front;
use balsam_serve::PermitRefusal;
use balsam_serve::Ports;
use balsam_serve::ProblemKind;
use balsam_serve::ServeOptions;
use balsam_standin::endpoint::Endpoint;
use balsam_standin::endpoint::EndpointOptions;
use balsam_types::GroupName;
use balsam_types::OrganisationName;
use balsam_types::OrganisationSpec;
use balsam_types::Outcome;
use balsam_types::PoolKind;
use balsam_types::PoolName;
use balsam_types::PoolSpec;
use balsam_types::RouteMatch;
use balsam_types::RouteName;
use balsam_types::RouteSpec;
use balsam_types::VmName;
use bytes::Bytes;
use futures::FutureExt;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::net::TcpListener;

/// Peak load of one node according to `docs/design.md`, section 17.
const REQUESTS_PER_S: u64 = 820;
const SLICES: usize = 16;
const SLICE_MS: u64 = 250;
const TOKENS: u64 = 16;
const TOKEN_INTERVAL_MS: u64 = 5;
/// Batches of concurrent requests per path in the `cost` modes, and the requests of each batch.
const COST_BATCHES: usize = 40;
const COST_BATCH: usize = 10;
const TOKEN: &str = "test-token";
/// SHA-256 of [`TOKEN`].
const TOKEN_SHA256: &str = "4c5dc9b7708905f77f5e5d16316b5dfb425e68cb326dcd55a860e90a7707031e";

type Failure = Box<dyn Error + Send + Sync>;
type HttpClient = Client<HttpConnector, Full<Bytes>>;

#[derive(Default)]
struct Samples {
    first_byte_ms: Vec<f64>,
    gap_ms: Vec<f64>,
}

fn main() -> ExitCode {
    let mode = std::env::args().find(|argument| argument.starts_with("cost"));
    if let Some(mode) = mode {
        return match measure_cost(&mode) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                println!("added_latency: {e}");
                ExitCode::FAILURE
            }
        };
    }
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    match runtime.block_on(run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            println!("added_latency: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Measures CPU time and allocations per request on each path, on one thread, where nothing else
/// allocates.
fn measure_cost(mode: &str) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (engine, front, client) = runtime.block_on(start(1))?;
    let mut paths = Vec::new();
    if mode != "cost-front" {
        paths.push(("direct", engine.address()));
    }
    if mode != "cost-direct" {
        paths.push(("front", front));
    }
    println!("load average: {}", load_average());
    for (path, address) in paths {
        runtime.block_on(run_batch(&client, address))?;
        let before_s = cpu_s();
        let mut result = Ok(());
        let info = allocation_counter::measure(|| {
            result = runtime.block_on(async {
                for _ in 0..COST_BATCHES {
                    run_batch(&client, address).await?;
                }
                Ok::<_, Failure>(())
            });
        });
        result?;
        let requests = (COST_BATCHES * COST_BATCH) as f64;
        println!(
            "{path}: {:.1} allocations, {:.0} bytes allocated, {:.0} us CPU per request of {} \
             tokens",
            info.count_total as f64 / requests,
            info.bytes_total as f64 / requests,
            (cpu_s() - before_s) * 1e6 / requests,
            tokens(),
        );
    }
    Ok(())
}

async fn run_batch(client: &HttpClient, address: SocketAddr) -> Result<(), Failure> {
    let calls = (0..COST_BATCH).map(|_| call(client.clone(), address));
    futures::future::try_join_all(calls).await.map(drop)
}

/// Returns the CPU time of this thread, which does all the work on a single-threaded runtime.
fn cpu_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanos = stat.split_whitespace().next().and_then(|n| n.parse::<f64>().ok());
    nanos.unwrap_or(f64::NAN) / 1e9
}

fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let cores = std::thread::available_parallelism().map_or(0, |n| n.get());
    let minutes: Vec<&str> = text.split_whitespace().take(3).collect();
    format!("{} on {cores} cores", minutes.join(" "))
}

/// Returns the number of tokens per answer; `BENCH_TOKENS` overrides the default.
fn tokens() -> u64 {
    std::env::var("BENCH_TOKENS").ok().and_then(|tokens| tokens.parse().ok()).unwrap_or(TOKENS)
}

/// Returns the CPU time of this process, with the kernel's resolution of 10 ms.
///
/// The caller, the front and the endpoint run in this process, so the difference between slices
/// with and without the front is the time of the front and of the second connection.
fn process_cpu_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: u64 = fields.skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum();
    ticks as f64 / 100.0
}

async fn start(token_interval_ms: u64) -> Result<(Endpoint, SocketAddr, HttpClient), Failure> {
    let options =
        EndpointOptions { token_interval_ms, resume_window_ms: 500, ..EndpointOptions::default() };
    let engine = Endpoint::start(options).await?;
    let address = start_front(table(engine.address())?).await?;
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new()).build(connector);
    Ok((engine, address, client))
}

async fn run() -> Result<bool, Failure> {
    let (engine, address, client) = start(TOKEN_INTERVAL_MS).await?;
    // Warm-up slices open connections and fill caches; they are not measured.
    run_slice(&client, engine.address()).await?;
    run_slice(&client, address).await?;
    let (mut direct, mut front) = (Samples::default(), Samples::default());
    let (mut direct_cpu_s, mut front_cpu_s) = (0.0, 0.0);
    for _ in 0..SLICES {
        let before_s = process_cpu_s();
        direct.add(run_slice(&client, engine.address()).await?);
        let between_s = process_cpu_s();
        front.add(run_slice(&client, address).await?);
        direct_cpu_s += between_s - before_s;
        front_cpu_s += process_cpu_s() - between_s;
    }
    let sent = front.first_byte_ms.len();
    println!(
        "added_latency: {sent} requests each way at {REQUESTS_PER_S}/s, {} tokens each",
        tokens()
    );
    let added_us = (front_cpu_s - direct_cpu_s) * 1e6 / sent as f64;
    let direct_us = direct_cpu_s * 1e6 / sent as f64;
    println!("added CPU time per request: {added_us:.0} us (direct {direct_us:.0} us)");
    println!("load average: {}", load_average());
    let first_byte = "design.md 17, added time to first byte";
    let gap = "design.md 17, added gap between streamed events";
    let checks = [
        report(
            "first byte, median",
            &direct.first_byte_ms,
            &front.first_byte_ms,
            0.5,
            1.0,
            first_byte,
        ),
        report(
            "first byte, p95",
            &direct.first_byte_ms,
            &front.first_byte_ms,
            0.95,
            3.0,
            first_byte,
        ),
        report("event gap, p95", &direct.gap_ms, &front.gap_ms, 0.95, 1.0, gap),
    ];
    Ok(checks.into_iter().all(|is_within| is_within))
}

impl Samples {
    fn add(&mut self, other: Self) {
        self.first_byte_ms.extend(other.first_byte_ms);
        self.gap_ms.extend(other.gap_ms);
    }
}

fn report(
    name: &str,
    direct: &[f64],
    front: &[f64],
    quantile: f64,
    bound_ms: f64,
    source: &str,
) -> bool {
    let (direct_ms, front_ms) = (percentile(direct, quantile), percentile(front, quantile));
    let added_ms = front_ms - direct_ms;
    let is_within = added_ms <= bound_ms;
    let verdict = if is_within { "ok" } else { "OUTSIDE" };
    println!(
        "{name}: added {added_ms:.3} ms (direct {direct_ms:.3}, front {front_ms:.3}), \
         bound {bound_ms} ms ({source}): {verdict}"
    );
    is_within
}

fn percentile(samples: &[f64], quantile: f64) -> f64 {
    let mut sorted = samples.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(f64::INFINITY)
}

/// Sends requests at a fixed rate for one time slice, even if earlier ones have not ended.
async fn run_slice(client: &HttpClient, address: SocketAddr) -> Result<Samples, Failure> {
    let start = tokio::time::Instant::now();
    let mut calls = Vec::new();
    for number in 0..REQUESTS_PER_S * SLICE_MS / 1_000 {
        let due = start + Duration::from_micros(number * 1_000_000 / REQUESTS_PER_S);
        tokio::time::sleep_until(due).await;
        calls.push(tokio::spawn(call(client.clone(), address)));
    }
    let mut samples = Samples::default();
    for call in calls {
        samples.add(call.await??);
    }
    Ok(samples)
}

async fn call(client: HttpClient, address: SocketAddr) -> Result<Samples, Failure> {
    let body = serde_json::json!({
        "model": "m",
        "stream": true,
        "max_tokens": tokens(),
        "messages": [{"role": "user", "content": "q"}],
    });
    let request = Request::post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .body(Full::from(body.to_string()))?;
    let started = Instant::now();
    let mut response = client.request(request).await?;
    let mut samples = Samples::default();
    let mut last = None;
    let mut text = Vec::new();
    while let Some(frame) = response.body_mut().frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        let now = Instant::now();
        match last.replace(now) {
            None => samples.first_byte_ms.push((now - started).as_secs_f64() * 1e3),
            Some(previous) => samples.gap_ms.push((now - previous).as_secs_f64() * 1e3),
        }
        text.extend_from_slice(&data);
    }
    if !text.ends_with(b"data: [DONE]\n\n") {
        return Err(format!("an answer was truncated: {}", String::from_utf8_lossy(&text)).into());
    }
    Ok(samples)
}

async fn start_front(table: Table) -> Result<SocketAddr, Failure> {
    let started = Instant::now();
    let table = Arc::new(table);
    let refusal = || PermitRefusal { retry_after_ms: 0, reason: Arc::from("not used") };
    let failure = || AttemptFailure::new(Outcome::NotRun, ProblemKind::NoEndpoint, "not used");
    let ports = Ports {
        table: Box::new(move || table.clone()),
        now_ms: Arc::new(move || 1_000 + started.elapsed().as_millis() as u64),
        claim: Box::new(|_| async { ClaimDecision::KeyExpired }.boxed()),
        complete: Box::new(|_| async { false }.boxed()),
        release: Box::new(|_| async {}.boxed()),
        acquire_permit: Box::new(move |_| async move { Err(refusal()) }.boxed()),
        forward: Box::new(move |_| async move { Err(failure()) }.boxed()),
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let meter = opentelemetry::global::meter("bench");
    let front = Front::new(ServeOptions::default(), ports, &meter, log)?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move { front.serve(listener).await });
    Ok(address)
}

fn table(engine: SocketAddr) -> Result<Table, Failure> {
    let pool = PoolName::try_from("engines")?;
    let spec = PoolSpec {
        pool: pool.clone(),
        kind: PoolKind::Model,
        model: Arc::from("m"),
        version: Arc::from("1"),
        group_vms: 1,
        target_groups: 1,
        limit: 100_000,
        cold_limit: 1,
        checks_fence: true,
        not_run_statuses: Vec::new(),
        weight_bytes: 0,
    };
    let group = Group {
        group: GroupName::try_from("g")?,
        head: VmName::try_from("v")?,
        address: engine,
        evidence_until_ms: u64::MAX,
        leaving: false,
        slow: false,
        temperature: Temperature::Warm,
        instance: Arc::from("i1"),
        reported_in_flight: 0,
        reported_at_ms: u64::MAX,
        owner: None,
    };
    let organisation = OrganisationSpec {
        organisation: OrganisationName::try_from("club")?,
        token_sha256: Arc::from(TOKEN_SHA256),
        weight: 1,
        limit_per_s: 0,
        limit_in_flight: 0,
    };
    let route = RouteSpec {
        route: RouteName::try_from("m")?,
        matches: RouteMatch::Model(Arc::from("m")),
        pool: pool.clone(),
        compare_pool: None,
        idempotent: Some(true),
        deadline_ms: 10_000,
    };
    let groups = Pool { spec: Arc::new(spec), groups: vec![group], remotes: Vec::new() };
    Ok(Table {
        organisations: HashMap::from([(Arc::from(TOKEN_SHA256), Arc::new(organisation))]),
        model_routes: HashMap::from([(Arc::from("m"), Arc::new(route))]),
        pools: HashMap::from([(pool, Arc::new(groups))]),
        ..Table::default()
    })
}
