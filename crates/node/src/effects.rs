//! Executes the reducer's effects that need I/O.

use std::net::SocketAddr;
use std::sync::Arc;

use balsam_agent::Agent;
use balsam_agent::Effect;
use balsam_agent::Event;
use balsam_agent::effect::Change;
use balsam_agent::event::AppendResult;
use balsam_agent::event::PeerSnapshot;
use balsam_peer::MemberState;
use balsam_platform::LogClient;
use balsam_route::Table;
use balsam_serve::Front;
use balsam_types::Record;
use balsam_wire::record::encode_batch;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::watch;

use crate::agent_task::AgentHandle;
use crate::agent_task::Message;
use crate::agent_task::SharedTable;
use crate::clock::Clock;
use crate::log_task::decode_entries;
use crate::peer_client::PeerClients;
use crate::permits::OwnedPermits;
use crate::probe::Prober;
use crate::recent::RecentBatches;
use crate::telemetry::ControlMetrics;

/// Executes effects; holds the clients and the shared state that they need.
pub(crate) struct Executor {
    pub(crate) clock: Clock,
    pub(crate) log_client: LogClient,
    pub(crate) append_timeout_ms: u64,
    pub(crate) read_position: watch::Sender<u64>,
    pub(crate) peers: PeerClients,
    pub(crate) prober: Prober,
    pub(crate) permits: Arc<OwnedPermits>,
    pub(crate) recent: Arc<RecentBatches>,
    pub(crate) table: SharedTable,
    pub(crate) front: Arc<std::sync::OnceLock<Front>>,
    pub(crate) metrics: Arc<ControlMetrics>,
    pub(crate) log: Logger,
}

impl Executor {
    /// Starts an effect; its result is sent to the agent task as an event.
    pub(crate) fn execute(&self, handle: &AgentHandle, agent: &Agent, effect: Effect) {
        match effect {
            Effect::Append { batch_id, records } => self.append(handle, agent, batch_id, records),
            Effect::ReadFrom(append) => drop(self.read_position.send(append)),
            Effect::FetchRecords { peer, from_append } => self.fetch(handle, peer, from_append),
            Effect::Probe { vm, address } => {
                let (handle, prober, clock) = (handle.clone(), self.prober.clone(), self.clock);
                tokio::spawn(async move {
                    let started_ms = clock.now_ms();
                    let result = prober.probe(address).await;
                    let took_ms = clock.now_ms() - started_ms;
                    handle.send(Event::Probed { vm, started_ms, took_ms, result }).await;
                });
            }
            Effect::SendOrder { address, order, .. } => {
                let prober = self.prober.clone();
                tokio::spawn(async move { prober.order(address, &order).await });
            }
            Effect::ReportChange(change) => self.record_change(&change),
            // The agent task executes the others itself.
            _ => {}
        }
    }

    /// Sends a dissemination message and passes the reply to the agent task.
    pub(crate) fn gossip(&self, handle: &AgentHandle, to: SocketAddr, payload: Vec<u8>) {
        let (handle, peers, metrics) = (handle.clone(), self.peers.clone(), self.metrics.clone());
        metrics.count_peer_message("sent", payload.len());
        tokio::spawn(async move {
            let message = match peers.gossip(to, payload).await {
                Some(reply) if reply.is_empty() => return,
                Some(reply) => {
                    metrics.count_peer_message("received", reply.len());
                    Message::GossipReply(to, reply)
                }
                None => Message::GossipFailed(to),
            };
            handle.send_message(message).await;
        });
    }

    pub(crate) fn publish_table(&self, table: Arc<Table>, agent: &Agent) {
        self.table.store(table);
        let Some(front) = self.front.get() else {
            return;
        };
        front.set_ready(agent.has_state() && !agent.leaving);
        let (nodes_in_data_centre, nodes_in_estate) = agent.live_nodes();
        front.set_live_nodes(nodes_in_data_centre, nodes_in_estate);
    }

    fn append(&self, handle: &AgentHandle, agent: &Agent, batch_id: u64, records: Vec<Record>) {
        let relays: Vec<SocketAddr> = agent
            .members
            .iter()
            .filter(|member| member.state == MemberState::Alive && member.platform_reachable)
            .map(|member| member.peer_address)
            .collect();
        // Append through a peer only if this node cannot reach the platform itself.
        let relay = relays.get(batch_id as usize % relays.len().max(1)).copied();
        let relay = relay.filter(|_| !agent.log.platform_reachable);
        let (handle, peers) = (handle.clone(), self.peers.clone());
        let (client, timeout_ms) = (self.log_client.clone(), self.append_timeout_ms);
        let metrics = self.metrics.clone();
        tokio::spawn(async move {
            let batch = encode_batch(&records);
            let appended = match relay {
                Some(relay) => peers.relay_append(relay, batch, timeout_ms).await,
                None => client.append(batch, timeout_ms).await.ok(),
            };
            metrics.count_append(appended.is_some());
            let result = appended.map_or(AppendResult::Unknown, |appended| AppendResult::Done {
                append: appended.append,
                appended_at_ms: appended.appended_at_ms,
            });
            handle.send(Event::Appended { batch_id, result }).await;
        });
    }

    fn fetch(&self, handle: &AgentHandle, peer: SocketAddr, from_append: u64) {
        let (handle, peers, recent) = (handle.clone(), self.peers.clone(), self.recent.clone());
        tokio::spawn(async move {
            let Some(answer) = peers.fetch_records(peer, from_append).await else {
                return;
            };
            recent.add(&answer.entries);
            let entries = decode_entries(&answer.entries);
            let snapshot = answer
                .snapshot
                .map(|(as_of, state)| PeerSnapshot { as_of, state: Arc::from(state) });
            handle.send(Event::PeerRecords { snapshot, entries }).await;
        });
    }

    fn record_change(&self, change: &Change) {
        let log = &self.log;
        match change {
            Change::PlatformReachable(true) => info!(log, "the platform's log can be read"),
            Change::PlatformReachable(false) => warn!(log, "the platform's log cannot be read"),
            Change::Recovered { folded } => {
                info!(log, "state recovered"; "folded" => %folded);
            }
            Change::Restarting { needed, first } => warn!(
                log, "the log no longer keeps the next record; recovering from a snapshot";
                "needed" => needed, "first" => first
            ),
            Change::BadBatch { append } => {
                warn!(log, "a batch cannot be decoded"; "append" => append);
            }
            Change::GroupServing { group, serving: true, .. } => {
                info!(log, "group serves"; "group" => %group);
            }
            Change::GroupServing { group, reason, .. } => {
                warn!(log, "group does not serve"; "group" => %group, "reason" => &**reason);
            }
            Change::Drained { data_centre, drained } => {
                info!(log, "drain state of data centre changed";
                    "data_centre" => %data_centre, "drained" => drained);
            }
            Change::Rejected { label, reason } => {
                info!(log, "proposal rejected"; "kind" => label, "reason" => &**reason);
            }
            Change::Repairing { group, rule } => {
                info!(log, "repair proposed"; "group" => %group, "rule" => &**rule);
            }
        }
        self.metrics.count_change(label(change));
    }
}

const fn label(change: &Change) -> &'static str {
    match change {
        Change::PlatformReachable(true) => "platform_reachable",
        Change::PlatformReachable(false) => "platform_unreachable",
        Change::Recovered { .. } => "recovered",
        Change::Restarting { .. } => "restarting",
        Change::BadBatch { .. } => "bad_batch",
        Change::GroupServing { serving: true, .. } => "group_serving",
        Change::GroupServing { .. } => "group_stopped",
        Change::Drained { drained: true, .. } => "drained",
        Change::Drained { .. } => "returned",
        Change::Rejected { .. } => "proposal_rejected",
        Change::Repairing { .. } => "repair",
    }
}
