//! The task that owns the state of the reducer and of the dissemination between peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balsam_agent::Agent;
use balsam_agent::Effect;
use balsam_agent::Event;
use balsam_agent::effect::ClaimAnswer;
use balsam_agent::event::ClaimSubmission;
use balsam_agent::event::LoadReport;
use balsam_agent::event::Observation;
use balsam_agent::reduce;
use balsam_peer::Contact;
use balsam_peer::Evidence;
use balsam_peer::PeerEvent;
use balsam_peer::PeerNode;
use balsam_peer::Presence;
use balsam_peer::StopSubject;
use balsam_route::Temperature;
use balsam_state::Verdict;
use balsam_types::ClaimKey;
use balsam_types::Offset;
use balsam_types::Record;
use balsam_types::VmRole;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::clock::Clock;
use crate::effects::Executor;

/// Interval of the ticks that drive the reducer and the dissemination.
const TICK: Duration = Duration::from_millis(100);

/// Capacity of the task's message queue; senders wait when it is full.
const QUEUE_CAPACITY: usize = 4_096;

/// The verdict on a submitted record, with its offset; `None` if the log did not confirm it.
pub(crate) type SubmitAnswer = Option<(Verdict, Offset)>;

type StateReader = Box<dyn FnOnce(&Agent, &PeerNode) + Send>;

/// A message to the task.
pub(crate) enum Message {
    /// An event for the reducer.
    Event(Event),
    /// A claim to request.
    Claim(ClaimSubmission, oneshot::Sender<ClaimAnswer>),
    /// A record to submit.
    Submit(Box<Record>, oneshot::Sender<SubmitAnswer>),
    /// A dissemination message from a peer.
    Gossip(Vec<u8>, oneshot::Sender<Vec<u8>>),
    /// The reply to a dissemination message.
    GossipReply(SocketAddr, Vec<u8>),
    /// A dissemination message that could not be delivered.
    GossipFailed(SocketAddr),
    /// Withdraws a stop whose record was rejected at this offset.
    WithdrawStop(StopSubject, Offset),
    /// A function that reads the state.
    Read(StateReader),
}

/// Sends messages to the task; clones send to the same task.
#[derive(Debug, Clone)]
pub struct AgentHandle {
    sender: mpsc::Sender<Message>,
}

impl AgentHandle {
    /// Creates the handle and the receiver for the task.
    pub(crate) fn channel() -> (Self, mpsc::Receiver<Message>) {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        (Self { sender }, receiver)
    }

    pub(crate) async fn send(&self, event: Event) {
        self.send_message(Message::Event(event)).await;
    }

    /// Sends a message; it is dropped if the task has ended.
    pub(crate) async fn send_message(&self, message: Message) {
        let _ = self.sender.send(message).await;
    }

    /// Runs a function on the state and returns its result, or `None` if the task has ended.
    pub async fn read<T: Send + 'static>(
        &self,
        read_state: impl FnOnce(&Agent, &PeerNode) -> T + Send + 'static,
    ) -> Option<T> {
        let (result_sender, result_receiver) = oneshot::channel();
        let state_reader: StateReader =
            Box::new(move |agent, peers| drop(result_sender.send(read_state(agent, peers))));
        self.send_message(Message::Read(state_reader)).await;
        result_receiver.await.ok()
    }

    /// Submits a record and waits for its verdict.
    pub(crate) async fn submit(&self, record: Record) -> SubmitAnswer {
        let (answer_sender, answer_receiver) = oneshot::channel();
        self.send_message(Message::Submit(Box::new(record), answer_sender)).await;
        answer_receiver.await.ok().flatten()
    }
}

/// The task's state.
pub(crate) struct AgentTask {
    pub(crate) agent: Agent,
    pub(crate) peers: PeerNode,
    pub(crate) clock: Clock,
    pub(crate) executor: Executor,
    pub(crate) handle: AgentHandle,
    pub(crate) contacts: Vec<SocketAddr>,
    pub(crate) claims: HashMap<u64, (ClaimKey, oneshot::Sender<ClaimAnswer>)>,
    pub(crate) submits: HashMap<u64, oneshot::Sender<SubmitAnswer>>,
    pub(crate) last_waiter: u64,
}

impl AgentTask {
    /// Runs until every handle is gone.
    pub(crate) async fn run(mut self, mut receiver: mpsc::Receiver<Message>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.tick(),
                message = receiver.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        let now_ms = self.clock.now_ms();
        self.refresh_peer_view();
        self.apply(Event::Tick);
        self.executor.permits.tick(&self.agent, now_ms);
        let messages = self.peers.tick(now_ms);
        for message in messages {
            self.executor.gossip(&self.handle, message.to_address, message.payload);
        }
        self.record_metrics(now_ms);
    }

    fn record_metrics(&self, now_ms: u64) {
        let head_read_ms = self.agent.log.head_read_ms;
        let head_age_ms = head_read_ms.map_or(now_ms, |read_ms| now_ms.saturating_sub(read_ms));
        self.executor.metrics.record_state(
            self.agent.folded().append,
            head_age_ms,
            self.agent.replicated.claim_count() as u64,
            self.agent.claims.len() as u64,
        );
    }

    /// Passes what is known from peers to the reducer.
    fn refresh_peer_view(&mut self) {
        let now_ms = self.clock.now_ms();
        let observations = self.peers.freshest(now_ms);
        let event = Event::Peers {
            members: self.peers.members(now_ms),
            observations: observations
                .into_values()
                .map(|evidence| observation(evidence, now_ms))
                .collect(),
            stops: self.peers.stops().into_iter().map(|notice| notice.subject).collect(),
            summaries: self.peers.summaries(now_ms),
        };
        self.apply(event);
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Event(event) => {
                if let Event::VmList(list) = &event {
                    self.set_contacts(list);
                }
                self.apply(event);
            }
            Message::Claim(submission, answer_sender) => self.claim(submission, answer_sender),
            Message::Submit(record, answer_sender) => {
                let waiter = self.waiter();
                self.submits.insert(waiter, answer_sender);
                self.apply(Event::Submit { waiter, record });
            }
            Message::Gossip(payload, answer_sender) => {
                let (reply, updates) = self.peers.receive(self.clock.now_ms(), &payload);
                let _ = answer_sender.send(reply.unwrap_or_default());
                self.apply_urgent_updates(&updates);
            }
            Message::GossipReply(from, payload) => {
                let updates = self.peers.receive_reply(self.clock.now_ms(), from, &payload);
                self.apply_urgent_updates(&updates);
            }
            Message::GossipFailed(to) => self.peers.send_failed(self.clock.now_ms(), to),
            Message::WithdrawStop(subject, at) => self.withdraw_stop(&subject, at),
            Message::Read(reader) => reader(&self.agent, &self.peers),
        }
    }

    fn claim(
        &mut self,
        mut submission: ClaimSubmission,
        answer_sender: oneshot::Sender<ClaimAnswer>,
    ) {
        submission.waiter = self.waiter();
        self.claims.insert(submission.waiter, (submission.key, answer_sender));
        self.apply(Event::Claim(submission));
    }

    /// Returns a fresh id for a waiting caller.
    fn waiter(&mut self) -> u64 {
        self.last_waiter += 1;
        self.last_waiter
    }

    /// Applies updates that must not wait for the next tick.
    fn apply_urgent_updates(&mut self, updates: &[PeerEvent]) {
        if updates.iter().any(|update| matches!(update, PeerEvent::Stop(_))) {
            self.refresh_peer_view();
            self.apply(Event::Tick);
        }
    }

    fn set_contacts(&mut self, list: &balsam_types::vm::VmList) {
        let from_settings =
            self.contacts.iter().map(|address| Contact { address: *address, data_centre: None });
        let from_list = list.vms.iter().filter_map(|vm| match vm.role {
            VmRole::Entry { peer_address } => {
                let data_centre = Some(vm.data_centre.clone());
                Some(Contact { address: peer_address, data_centre })
            }
            VmRole::Endpoint { .. } => None,
        });
        self.peers.set_contacts(from_settings.chain(from_list).collect());
    }

    /// Applies an event and executes its effects, including the events that follow from them.
    fn apply(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let effects = reduce(&mut self.agent, self.clock.at(), event);
            for effect in effects {
                if let Some(follow_up) = self.execute(effect) {
                    events.push(follow_up);
                }
            }
        }
    }

    fn execute(&mut self, effect: Effect) -> Option<Event> {
        let now_ms = self.clock.now_ms();
        match effect {
            Effect::Publish(local) => self.peers.set_local(now_ms, local),
            Effect::Stop(subject) => self.raise_stop(now_ms, subject),
            Effect::ClearStop { subject, at } => self.clear_stops(now_ms, &subject, at),
            Effect::PublishTable(table) => {
                self.executor.permits.sync_with_log(&self.agent, now_ms);
                self.executor.publish_table(table, &self.agent);
            }
            Effect::AnswerClaim { waiter, answer } => return self.answer_claim(waiter, answer),
            Effect::AnswerSubmit { waiter, verdict, offset } => {
                if let Some(submit) = self.submits.remove(&waiter) {
                    let _ = submit.send(verdict.zip(offset));
                }
            }
            other => self.executor.execute(&self.handle, &self.agent, other),
        }
        None
    }

    /// Answers a claim; if the caller has gone, it is released, since nothing was dispatched.
    fn answer_claim(&mut self, waiter: u64, answer: ClaimAnswer) -> Option<Event> {
        let (key, sender) = self.claims.remove(&waiter)?;
        let granted = matches!(answer, ClaimAnswer::Granted { .. });
        let was_dropped = sender.send(answer).is_err();
        (granted && was_dropped).then_some(Event::Release { key })
    }

    fn raise_stop(&mut self, now_ms: u64, subject: StopSubject) {
        let is_already_raised = self.peers.stops().iter().any(|notice| notice.subject == subject);
        if !is_already_raised {
            self.peers.raise_stop(now_ms, subject);
        }
        self.agent.stops = self.peers.stops().into_iter().map(|notice| notice.subject).collect();
    }

    /// Withdraws a stop notice. A drain that the log holds for another reason stays in force.
    fn withdraw_stop(&mut self, subject: &StopSubject, at: Offset) {
        self.clear_stops(self.clock.now_ms(), subject, at);
        self.refresh_peer_view();
        self.apply(Event::Tick);
    }

    fn clear_stops(&mut self, now_ms: u64, subject: &StopSubject, at: Offset) {
        let notices = self.peers.stops().into_iter();
        for notice in notices.filter(|notice| notice.subject == *subject) {
            self.peers.clear_stop(now_ms, notice.id, at);
        }
    }
}

fn observation(evidence: Evidence, now_ms: u64) -> Observation {
    Observation {
        observed_ms: now_ms.saturating_sub(evidence.age_ms),
        present: evidence.presence != Presence::Missing,
        slow: evidence.presence == Presence::Slow,
        report: LoadReport {
            instance: evidence.instance,
            fence: evidence.fence,
            ready: evidence.ready,
            leaving: evidence.presence == Presence::Leaving,
            temperature: match evidence.temperature {
                balsam_peer::Temperature::Unknown => Temperature::Unknown,
                balsam_peer::Temperature::Cold => Temperature::Cold,
                balsam_peer::Temperature::Warm => Temperature::Warm,
            },
            in_flight: evidence.in_flight,
            age_ms: 0,
        },
        vm: evidence.vm,
    }
}

/// The routing table, replaced by the task and read by the request path.
pub(crate) type SharedTable = Arc<arc_swap::ArcSwap<balsam_route::Table>>;
