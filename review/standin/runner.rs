//! Runners (PROTOCOL.md): they register in the store, take orders, form groups and run requests.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Json, Request, answer, serve};
use crate::store::Store;

/// Interval between two entries of a runner.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time of a join if the model was that of the member's last group, and from the host.
const REJOIN: Duration = Duration::from_millis(200);
const WARM_JOIN: Duration = Duration::from_millis(1_100);

/// Time from an order to open until the head serves.
const FORM: Duration = Duration::from_millis(300);

/// Time after which work that depends on a lost member is cut off.
const STALL: Duration = Duration::from_millis(5_000);

/// Events of a whole answer, and the time before each.
pub const EVENTS: u64 = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// Time for which a request of a plain service runs.
const PLAIN_WORK: Duration = Duration::from_millis(150);

/// What happened, with the time since the start, for `record.txt`.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &std::path::Path) -> Arc<Self> {
        let file = Mutex::new(File::create(path).unwrap());
        Arc::new(Self { started: Instant::now(), file })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} {text}");
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    Joining,
    Ready,
    Open,
    Closing,
    Broken,
}

impl State {
    fn name(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Ready => "ready",
            Self::Open => "open",
            Self::Closing => "closing",
            Self::Broken => "broken",
        }
    }
}

/// The membership of a runner.
#[derive(Debug, Clone)]
pub struct Membership {
    pub group: String,
    pub epoch: u64,
    pub members: Vec<String>,
    pub rank: usize,
    pub state: State,
}

#[derive(Default)]
struct Life {
    membership: Option<Membership>,
    /// The highest epoch of a join that this life has seen.
    seen_epoch: u64,
    last_model: String,
    orders: u64,
    running: u32,
    is_draining: bool,
    has_ended: bool,
}

/// What a runner does with an order: it answers, or it leaves the order unanswered and carries it
/// out later.
pub type Delay = dyn Fn(&str, &str) -> Option<Duration> + Send + Sync;

pub struct Runner {
    pub id: String,
    service: &'static str,
    pub address: SocketAddr,
    store: Arc<Store>,
    fleet: Arc<Fleet>,
    born: u64,
    sequence: AtomicU64,
    runs: AtomicU64,
    life: Mutex<Life>,
}

/// The runners, and what all of them share.
pub struct Fleet {
    pub record: Arc<Record>,
    pub runners: Mutex<BTreeMap<String, Arc<Runner>>>,
    pub delay: Box<Delay>,
    /// The joins that a runner took while the head of its group was open or closing.
    pub violations: Mutex<Vec<String>>,
    /// How often each request ran.
    pub runs: Mutex<BTreeMap<String, u32>>,
}

impl Fleet {
    pub fn new(record: Arc<Record>, delay: Box<Delay>) -> Arc<Self> {
        let (runners, violations, runs) = Default::default();
        Arc::new(Self { record, runners, delay, violations, runs })
    }

    pub fn get(&self, id: &str) -> Option<Arc<Runner>> {
        self.runners.lock().unwrap().get(id).cloned()
    }

    /// Returns the state of a runner in a group, if it is a member of it.
    fn state_in(&self, id: &str, group: &str, epoch: u64) -> Option<State> {
        let life = self.get(id)?;
        let life = life.life.lock().unwrap();
        let membership = life.membership.as_ref().filter(|_| !life.has_ended)?;
        (membership.group == group && membership.epoch == epoch).then_some(membership.state)
    }
}

impl Runner {
    /// Starts a runner on a free port and registers it.
    pub fn start(
        fleet: &Arc<Fleet>,
        store: &Arc<Store>,
        service: &'static str,
        id: &str,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service,
            address: listener.local_addr().unwrap(),
            store: store.clone(),
            fleet: fleet.clone(),
            born: now.as_millis() as u64,
            sequence: AtomicU64::new(0),
            runs: AtomicU64::new(0),
            life: Mutex::default(),
        });
        fleet.runners.lock().unwrap().insert(id.to_owned(), runner.clone());
        fleet.record.line(&format!("runner {id} of {service} starts at {}", runner.address));
        let handler = runner.clone();
        let ending = runner.clone();
        let has_ended = move || ending.life.lock().unwrap().has_ended;
        serve(listener, has_ended, move |request, stream| handler.clone().handle(request, stream));
        runner.write_entry();
        let beating = runner.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.life.lock().unwrap().has_ended {
                    return;
                }
                beating.write_entry();
            }
        });
        runner
    }

    pub fn membership(&self) -> Option<Membership> {
        self.life.lock().unwrap().membership.clone()
    }

    /// Reports that the runner leaves, waits until its group has no more need of it, and ends it.
    pub fn drain(self: &Arc<Self>, serve_for: Duration) {
        self.life.lock().unwrap().is_draining = true;
        self.fleet.record.line(&format!("runner {} drains", self.id));
        self.write_entry();
        thread::sleep(serve_for);
        self.life.lock().unwrap().has_ended = true;
        self.store.put("keyed.servers", &self.id, b"");
        self.fleet.record.line(&format!("runner {} has left", self.id));
    }

    /// Writes an entry of another writer under the id of this runner: a copy of the runner's own entry,
    /// with a service that the configuration does not name.
    pub fn write_entry_of_another_writer(&self, service: &str) {
        let sequence = self.sequence.load(Ordering::Relaxed).saturating_sub(1);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"domain\":\"d0\",\"staged\":[\"m\"],\
             \"born\":{},\"sequence\":{sequence}}}",
            self.address, self.born
        );
        self.fleet.record.line(&format!("another writer writes under {}: {entry}", self.id));
        self.store.put("keyed.servers", &self.id, entry.as_bytes());
    }

    /// Writes an entry of another writer under the id of this runner: a copy of the runner's own entry
    /// without the field `version`, and with a sequence of the writer's own, the Unix time.
    pub fn write_entry_without_version(&self) {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"slots\":8,\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"domain\":\"d0\",\"staged\":[\"m\"],\"born\":{},\"sequence\":{},\
             \"group\":null}}",
            self.service,
            self.address,
            self.born,
            now.as_secs()
        );
        self.fleet.record.line(&format!("another writer writes under {}: {entry}", self.id));
        self.store.put("keyed.servers", &self.id, entry.as_bytes());
    }

    /// Returns the number of requests that the runner has begun to run.
    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::Relaxed)
    }

    fn write_entry(&self) {
        let life = self.life.lock().unwrap();
        let state = if life.is_draining { "draining" } else { "ready" };
        let group = match &life.membership {
            None => "null".to_owned(),
            Some(m) => format!(
                "{{\"name\":\"{}\",\"epoch\":{},\"rank\":{},\"state\":\"{}\"}}",
                m.group,
                m.epoch,
                m.rank,
                m.state.name()
            ),
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"domain\":\"d0\",\"staged\":[\"m\"],\
             \"born\":{},\"sequence\":{},\"group\":{group}}}",
            self.service,
            self.address,
            self.born,
            self.sequence.fetch_add(1, Ordering::Relaxed)
        );
        self.store.put("keyed.servers", &self.id, entry.as_bytes());
    }

    fn handle(self: Arc<Self>, request: &Request, stream: &mut TcpStream) -> bool {
        if self.life.lock().unwrap().has_ended {
            return false;
        }
        let is_other = request.header("x-expect-instance").is_some_and(|id| id != self.id);
        match request.path() {
            _ if is_other => answer(stream, 421, "x-not-executed: 1\r\n", b""),
            "/report" => {
                answer(stream, 200, "content-type: application/json\r\n", b"{\"stage\":\"both\"}")
            }
            "/order" => self.take_order(request, stream),
            _ => self.run(request, stream),
        }
    }

    fn take_order(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> bool {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let Some(order) = Json::parse(&text) else { return answer(stream, 400, "", b"") };
        let operation = order.get("operation").text().to_owned();
        if let Some(delay) = (self.fleet.delay)(&self.id, &operation) {
            self.fleet.record.line(&format!(
                "runner {} leaves an order unanswered, to be carried out {:.1} s later: {text}",
                self.id,
                delay.as_secs_f64()
            ));
            let runner = self.clone();
            thread::spawn(move || {
                thread::sleep(delay);
                let status = runner.carry_out(&order);
                let id = &runner.id;
                runner
                    .fleet
                    .record
                    .line(&format!("runner {id} carries out late ({status}): {text}"));
            });
            thread::sleep(Duration::from_secs(3));
            return false;
        }
        let status = self.carry_out(&order);
        self.fleet.record.line(&format!("runner {} answers {status} to {text}", self.id));
        answer(stream, status, "", b"")
    }

    /// Carries out an order; returns the status of its answer.
    fn carry_out(self: &Arc<Self>, order: &Json) -> u16 {
        let group = order.get("group").text().to_owned();
        let epoch = order.get("epoch").number();
        match order.get("operation").text() {
            "join" => {
                self.join(&group, epoch, order.get("model").text(), order.get("members").texts())
            }
            "open" => self.open(&group, epoch),
            "close" => self.close(&group, epoch),
            "leave" => {
                let mut life = self.life.lock().unwrap();
                let is_member =
                    life.membership.as_ref().is_some_and(|m| m.group == group && m.epoch == epoch);
                if is_member {
                    life.membership = None;
                    life.orders += 1;
                }
                drop(life);
                self.write_entry();
                if is_member { 202 } else { 200 }
            }
            "stage" => 200,
            _ => 400,
        }
    }

    fn join(self: &Arc<Self>, group: &str, epoch: u64, model: &str, members: Vec<String>) -> u16 {
        let Some(rank) = members.iter().position(|member| *member == self.id) else { return 409 };
        let before = self.membership();
        let mut life = self.life.lock().unwrap();
        let is_same = before.as_ref().is_some_and(|m| m.group == group && m.epoch == epoch);
        if epoch < life.seen_epoch
            || (is_same && before.as_ref().is_some_and(|m| m.members != members))
        {
            return 412;
        }
        if is_same {
            return 200;
        }
        life.seen_epoch = epoch;
        life.orders += 1;
        let time = if life.last_model == model { REJOIN } else { WARM_JOIN };
        life.last_model = model.to_owned();
        let state = State::Joining;
        life.membership = Some(Membership { group: group.to_owned(), epoch, members, rank, state });
        drop(life);
        if let Some(before) = before {
            self.check_join(&before, group);
        }
        self.write_entry();
        let (runner, group) = (self.clone(), group.to_owned());
        thread::spawn(move || {
            thread::sleep(time);
            runner.change(&group, epoch, State::Ready);
        });
        202
    }

    /// Records a join that this runner took while the head of its group was open or closing. A head
    /// that joins another group was open until then by its own state.
    fn check_join(&self, before: &Membership, group: &str) {
        let head = &before.members[0];
        let state = match *head == self.id {
            true => Some(before.state),
            false => self.fleet.state_in(head, &before.group, before.epoch),
        };
        if matches!(state, Some(State::Open | State::Closing)) {
            let text = format!(
                "TWO: runner {} took a join of {group} while {} of its group {} was {}",
                self.id,
                head,
                before.group,
                state.map_or("", State::name)
            );
            self.fleet.record.line(&text);
            self.fleet.violations.lock().unwrap().push(text);
        }
    }

    fn open(self: &Arc<Self>, group: &str, epoch: u64) -> u16 {
        let state = self.fleet.state_in(&self.id, group, epoch);
        let rank = self.membership().map_or(0, |m| m.rank);
        match state {
            Some(State::Open) => 200,
            Some(State::Ready) if rank == 0 => {
                self.life.lock().unwrap().orders += 1;
                let (runner, group) = (self.clone(), group.to_owned());
                thread::spawn(move || {
                    thread::sleep(FORM);
                    if runner.fleet.state_in(&runner.id, &group, epoch) == Some(State::Ready) {
                        runner.change(&group, epoch, State::Open);
                    }
                });
                202
            }
            _ => 409,
        }
    }

    /// Takes no more requests and is ready again when those that run have ended.
    fn close(self: &Arc<Self>, group: &str, epoch: u64) -> u16 {
        if self.fleet.state_in(&self.id, group, epoch) != Some(State::Open) {
            return 200;
        }
        self.change(group, epoch, State::Closing);
        let (runner, group) = (self.clone(), group.to_owned());
        thread::spawn(move || {
            while runner.life.lock().unwrap().running > 0 {
                thread::sleep(Duration::from_millis(10));
            }
            if runner.fleet.state_in(&runner.id, &group, epoch) == Some(State::Closing) {
                runner.change(&group, epoch, State::Ready);
            }
        });
        202
    }

    /// Enters a state of a group, if the runner is still a member of it.
    fn change(&self, group: &str, epoch: u64, state: State) -> u16 {
        let mut life = self.life.lock().unwrap();
        let Some(membership) =
            life.membership.as_mut().filter(|m| m.group == group && m.epoch == epoch)
        else {
            return 409;
        };
        let before = std::mem::replace(&mut membership.state, state);
        drop(life);
        if before != state {
            let text = format!("runner {} is {} in {group}", self.id, state.name());
            self.fleet.record.line(&text);
        }
        self.write_entry();
        202
    }

    fn has_all_members(&self, membership: &Membership) -> bool {
        membership.members.iter().all(|id| {
            self.fleet.get(id).is_some_and(|runner| {
                let life = runner.life.lock().unwrap();
                let own = life.membership.as_ref();
                !life.has_ended
                    && own
                        .is_some_and(|m| m.group == membership.group && m.epoch == membership.epoch)
            })
        })
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        if id.is_empty() {
            return answer(stream, 400, "x-not-executed: 1\r\n", b"");
        }
        let membership = self.membership();
        let is_model = request.header("x-model-name").is_some();
        let serving = membership.filter(|m| m.rank == 0 && m.state == State::Open);
        if is_model && serving.is_none() {
            return answer(
                stream,
                421,
                &format!("x-request-id: {id}\r\nx-not-executed: 1\r\n"),
                b"",
            );
        }
        *self.fleet.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        self.runs.fetch_add(1, Ordering::Relaxed);
        let group = serving.as_ref().map(|m| m.group.clone()).unwrap_or_default();
        self.fleet.record.line(&format!("runner {} {group} runs {id}", self.id));
        let seal = format!("x-request-id: {id}\r\nx-response-seal: seal-{}\r\n", self.id);
        let Some(serving) = serving else {
            thread::sleep(PLAIN_WORK);
            // The end of the process cuts what it runs.
            if self.life.lock().unwrap().has_ended {
                self.fleet.record.line(&format!("runner {} ends and cuts {id}", self.id));
                return false;
            }
            return answer(stream, 200, &seal, &request.body);
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{seal}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        self.life.lock().unwrap().running += 1;
        let is_whole = self.stream(request, &serving, &head, stream).is_some();
        self.life.lock().unwrap().running -= 1;
        is_whole
    }

    fn stream(
        &self,
        request: &Request,
        serving: &Membership,
        head: &str,
        stream: &mut TcpStream,
    ) -> Option<()> {
        let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        stream.write_all(head.as_bytes()).ok()?;
        for id in after + 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            let stalled_at = Instant::now();
            while !self.has_all_members(serving) {
                thread::sleep(Duration::from_millis(20));
                if stalled_at.elapsed() >= STALL {
                    self.change(&serving.group, serving.epoch, State::Broken);
                }
                // A group that the head has left, or that is broken, ends its work.
                let state = self.fleet.state_in(&self.id, &serving.group, serving.epoch);
                if !matches!(state, Some(State::Open | State::Closing)) {
                    return None;
                }
            }
            let event = format!("id: {id}\ndata: piece {id}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).ok()?;
        }
        stream.write_all(b"0\r\n\r\n").ok()
    }
}
