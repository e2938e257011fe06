//! Inputs (events) and outputs (effects) of the reducer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;

use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::ModelName;
use balsam_types::OrganisationName;
use balsam_types::PoolName;
use balsam_types::RouteName;
use balsam_types::SegmentName;
use balsam_types::VmName;

use crate::configuration::CallerLimits;
use crate::configuration::Configuration;
use crate::configuration::ConfigurationFault;
use crate::demand::BusyGroups;
use crate::directory::ListChange;
pub use crate::head_evidence::HeadVerdict;
use crate::lease::LastHolder;
use crate::operators::OperatorsReport;
use crate::operators::OperatorsUpdate;
use crate::position::StorePosition;
use crate::priority::Priority;
use crate::quarantine::Blamed;
use crate::quarantine::QuarantineReport;
use crate::quarantine::SegmentEvidence;

/// Identifies one attempt of a request within this node.
pub type AttemptId = u64;

/// An input of the reducer.
#[derive(Debug, Clone)]
pub enum Event {
    /// A configuration was read.
    Configuration(Arc<Configuration>),
    /// The list of endpoints was read.
    List(ListChange),
    /// This node has applied a read of the list that reached its end.
    ListRead {
        /// When the read began: the list is at least as new.
        begun_ms: u64,
    },
    /// The operators' topic was read.
    Operators(OperatorsUpdate),
    /// A request needs an endpoint.
    Arrive(Arrival),
    /// The first event of an answer arrived, so the prompt has been read.
    Started(AttemptId),
    /// The second event of an answer arrived, so the endpoint has survived its beginning.
    Continued(AttemptId),
    /// An attempt ended, or the caller of a waiting request left.
    Ended {
        /// The attempt.
        attempt_id: AttemptId,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// Another node reported its load.
    Peer(PeerReport),
    /// Another node sent requests that its last report does not include yet.
    PeerSent {
        /// The node.
        node: Arc<str>,
        /// The requests.
        sent: Vec<SentRequest>,
    },
    /// An endpoint announced in an answer that it is leaving.
    EndpointLeaving(VmName),
    /// An endpoint refused a request and asked this node to send nothing for a while.
    EndpointPaused {
        /// The endpoint.
        vm: VmName,
        /// How long it wants no requests.
        pause_ms: u64,
    },
    /// A probe of an endpoint was answered or refused.
    Probed {
        /// The endpoint.
        vm: VmName,
        /// Whether it answered; otherwise nothing listens at its address.
        is_alive: bool,
    },
    /// A probe of an endpoint was neither answered nor refused in time.
    ProbeUnanswered(VmName),
    /// The evidence on prompt segments that the store keeps was read.
    QuarantineRead(Vec<SegmentEvidence>),
    /// The store refused a call of this node or did not answer it.
    StoreLost,
    /// A call to the store about the planner lease ended.
    Lease(LeaseEvent),
    /// An order was answered or timed out.
    OrderAnswered {
        /// The endpoint.
        vm: VmName,
        /// The order.
        order: Order,
        /// The answer.
        answer: OrderAnswer,
    },
    /// Periodic timer.
    Tick,
}

/// Result of a call to the store about the planner lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The records were read.
    Read {
        /// The position after the last record.
        end: StorePosition,
        /// Who appended the last record.
        last: LastHolder,
    },
    /// This node's record was appended.
    Appended {
        /// When the call was sent.
        sent_ms: u64,
        /// The position that was the condition.
        at: StorePosition,
        /// The era of the answer.
        era: u64,
    },
    /// Another node's record was appended first.
    Refused {
        /// The position after the last record.
        end: StorePosition,
    },
    /// The call was not answered.
    Unanswered,
    /// This node gives up the lease.
    Released,
}

/// The lease held by this node, which allows it to give orders to endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leadership {
    /// Increases with each change of the planning node; fences its orders.
    pub generation: u64,
    /// When the lease ends unless it is renewed.
    pub until_ms: u64,
}

/// A request that needs an endpoint.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The attempt.
    pub attempt_id: AttemptId,
    /// The route, by which the cost of its requests is learned.
    pub route: RouteName,
    /// The pool.
    pub pool: PoolName,
    /// The model, for a pool of model engines.
    pub model: Option<ModelName>,
    /// The caller's organisation, if known.
    pub organisation: Option<OrganisationName>,
    /// The segments of the prompt that other requests may share.
    pub segments: Arc<[SegmentName]>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Expected number of tokens in the answer, according to the caller.
    pub answer_tokens: u32,
    /// The caller's estimate of the tokens in the answer, which is often far off.
    pub answer_hint_tokens: Option<u32>,
    /// Maximum number of tokens in the answer.
    pub max_answer_tokens: u32,
    /// The priority; the lowest is served first.
    pub priority: Priority,
    /// When the caller sent the request.
    pub arrived_ms: u64,
    /// When the caller leaves if its answer has not begun; the deadline, unless the answer is a stream.
    pub first_event_by_ms: u64,
    /// When the caller leaves if its answer is not complete.
    pub deadline_at_ms: u64,
    /// Endpoints that must not be tried again.
    pub tried: Vec<VmName>,
    /// Whether an earlier attempt reached an endpoint, so that this one draws on the retry budget.
    pub is_retry: bool,
    /// Whether the caller already has part of the answer, which a later endpoint would complete.
    pub has_partial_answer: bool,
    /// Whether an earlier attempt is still running and only late. This one takes a free slot or none:
    /// under load, it would take the place of a request that has no endpoint yet.
    pub is_optional: bool,
}

/// Destination of an attempt.
#[derive(Debug, Clone)]
pub struct Target {
    /// The endpoint.
    pub vm: VmName,
    /// Its address.
    pub address: SocketAddr,
    /// When the last event of any answer from this endpoint arrived, by this node's clock; updated
    /// by the reader of each answer.
    pub progress_ms: Arc<AtomicU64>,
    /// Number of events of this attempt's answer; updated by its reader.
    pub events: Arc<AtomicU32>,
    /// Expected number of events, if the deployment asks for estimates.
    pub expected_events: Option<u32>,
    /// Time in which attempts of its kind have usually given their first event, or their answer if that
    /// is no stream, once one has.
    pub usual_ms: Option<u64>,
}

/// Refusal of a request that no endpoint takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefuseReason,
    /// Suggested delay before the caller retries.
    pub retry_after_ms: u64,
    /// The prediction that it follows from, if the work ahead decided; for the log.
    pub prediction: Option<WaitPrediction>,
}

/// What a request was predicted to wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitPrediction {
    /// The wait.
    pub wait_ms: u64,
    /// The work ahead of it, in ms of a full group or of a slot of a plain service.
    pub work_ahead_ms: u64,
}

/// The reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefuseReason {
    /// No endpoint serves the pool or the model now.
    NoEndpoint,
    /// Its caller is predicted to leave before it would be served.
    Overloaded,
    /// The retry budget is exhausted.
    NoBudget,
    /// The deadline has passed.
    Deadline,
    /// Prompts with the same segment crashed endpoints.
    Quarantined,
}

impl RefuseReason {
    /// Returns the reason as a log field.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::Overloaded => "overloaded",
            Self::NoBudget => "no_retry_budget",
            Self::Deadline => "deadline",
            Self::Quarantined => "quarantined",
        }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint returned a complete answer.
    Answered,
    /// The endpoint returned a complete answer that reports its own failure.
    Failed,
    /// The endpoint refused the request without running it.
    TurnedAway,
    /// The endpoint is not the one that the list shows at its address, or it does not lead the
    /// group.
    Misdirected,
    /// No connection could be opened.
    Unreachable,
    /// The endpoint closed or reset the connection before the end of its answer, as a crash does.
    Closed,
    /// The connection went silent, or the group was considered lost.
    Broken,
    /// The endpoint sent bytes that are not a valid answer to the request.
    Faulty,
    /// The caller left, or the request was abandoned.
    Cancelled,
}

/// Which nodes a report covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The node that sent it.
    Node,
    /// All nodes of a data centre, as a summary.
    DataCentre {
        /// Number of nodes in the summary.
        nodes: u32,
        /// Average age of the figures when the summary was sent.
        age_ms: u64,
    },
}

/// Load report of another node or of a whole data centre.
#[derive(Debug, Clone)]
pub struct PeerReport {
    /// The sending node, or the name of the data centre for a summary.
    pub node: Arc<str>,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Which nodes the report covers.
    pub scope: Scope,
    /// Whether the store currently answers the node's calls; see `STORE_RECOVERY_MS`.
    pub has_store: bool,
    /// The version of the configuration in force; zero before the first.
    pub version: u64,
    /// The position after the last known record of the planner lease.
    pub lease_end: StorePosition,
    /// Whether that record releases the lease.
    pub lease_released: bool,
    /// Load of the node's own requests by endpoint.
    pub loads: Vec<PeerLoad>,
    /// Work requested by the node's callers, by model.
    pub demand: Vec<(ModelName, BusyGroups)>,
    /// Groups that the node found lost.
    pub lost: Vec<LostGroup>,
    /// Heads of which the planning node needs to know whether they still serve.
    pub doubted_heads: Vec<VmName>,
    /// What the node found out about such heads.
    pub heads: Vec<HeadReport>,
    /// What the node knows of the operators' orders.
    pub operators: OperatorsReport,
    /// What the node knows of prompt segments that may crash endpoints.
    pub quarantine: QuarantineReport,
}

/// A request that was just sent to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentRequest {
    /// The endpoint.
    pub vm: VmName,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Expected tokens of its answer, if the node estimates them.
    pub answer_tokens: Option<u32>,
}

/// A group that a node considers lost because a member did not answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostGroup {
    /// The group.
    pub group: GroupName,
    /// Its fencing number.
    pub epoch: u64,
    /// The member that did not answer.
    pub member: VmName,
}

/// What a node, or all nodes of a data centre, know of a head that the planning node does not reach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadReport {
    /// The head.
    pub head: VmName,
    /// Time since it last answered; `None` if it did not lately.
    pub answered_age_ms: Option<u64>,
    /// Number of nodes whose last probe it did not answer.
    pub unanswered_nodes: u32,
    /// Whether it refused the connection of a probe.
    pub is_refused: bool,
}

/// Load that another node causes at one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerLoad {
    /// The endpoint.
    pub vm: VmName,
    /// Requests in flight.
    pub in_flight: u32,
    /// Prompt tokens of requests whose first event has not arrived.
    pub unread_tokens: u64,
    /// Tokens that are expected to follow in their answers, if the node estimates them.
    pub unwritten_tokens: Option<u64>,
}

/// An order to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Join a group as a member.
    Join {
        /// The group.
        group: GroupName,
        /// The fencing number.
        epoch: u64,
        /// The model.
        model: ModelName,
        /// All members, the head first.
        members: Vec<VmName>,
    },
    /// Start serving as the head of a group.
    Open {
        /// The group.
        group: GroupName,
        /// The fencing number.
        epoch: u64,
    },
    /// Finish running requests and accept no more.
    Close {
        /// The group.
        group: GroupName,
        /// The fencing number.
        epoch: u64,
    },
    /// Leave the group immediately.
    Leave {
        /// The group.
        group: GroupName,
        /// The fencing number.
        epoch: u64,
    },
    /// Load the weights of a model onto the host.
    Stage {
        /// The model.
        model: ModelName,
    },
}

impl Order {
    /// Returns the kind as a log field.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }
}

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeAnswer {
    /// The endpoint answered.
    Alive,
    /// Nothing listens at the endpoint's address, so its process has ended.
    Refused,
    /// No answer arrived in time. The endpoint, or this node, may only be slow.
    Unanswered,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The endpoint carries out the order or has already done so.
    Accepted,
    /// The endpoint refuses the order in its current state.
    Refused,
    /// Nothing listens at the endpoint's address, so its process has ended.
    Unreachable,
    /// No answer arrived; the order may still take effect later.
    Unanswered,
}

/// An output of the reducer, to be carried out by the caller.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Send the request to an endpoint.
    Dispatch {
        /// The attempt.
        attempt_id: AttemptId,
        /// Where to send it.
        target: Target,
        /// Tokens of its prompt.
        prompt_tokens: u32,
        /// Expected tokens of its answer, if the deployment asks for estimates.
        answer_tokens: Option<u32>,
    },
    /// Answer the request with a refusal.
    Refuse {
        /// The attempt.
        attempt_id: AttemptId,
        /// The reason and when to retry.
        refusal: Refusal,
    },
    /// Cancel an attempt at its endpoint; another attempt may follow.
    Abandon {
        /// The attempt.
        attempt_id: AttemptId,
    },
    /// Start another attempt beside one whose group is considered lost. That one goes on, because
    /// its endpoint may only be silent for a while.
    TryElsewhere {
        /// The attempt.
        attempt_id: AttemptId,
    },
    /// Check on a new connection whether an endpoint is alive.
    Probe {
        /// The endpoint.
        vm: VmName,
        /// Its address.
        address: SocketAddr,
    },
    /// Send an order to an endpoint.
    Order {
        /// The endpoint.
        vm: VmName,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: Order,
    },
    /// Write a decision to the log.
    LogDecision(Decision),
}

/// A decision to be logged: a change in what the node assumes or does.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// A group has been silent for longer than its load explains.
    GroupSuspected {
        /// The group.
        group: GroupName,
        /// How long nothing arrived.
        silent_ms: u64,
    },
    /// A group is considered lost.
    GroupLost {
        /// The group.
        group: GroupName,
        /// Its fencing number.
        epoch: u64,
        /// The member that did not answer, if one is known.
        member: Option<VmName>,
        /// Number of this node's attempts at the group.
        attempts: usize,
    },
    /// A group has started to serve.
    GroupServes {
        /// The group.
        group: GroupName,
        /// Its fencing number.
        epoch: u64,
    },
    /// A group is being formed.
    GroupForming {
        /// The group.
        group: GroupName,
        /// Its fencing number.
        epoch: u64,
        /// Its members, the head first.
        members: Vec<VmName>,
    },
    /// A group is being dissolved.
    GroupDissolving {
        /// The group.
        group: GroupName,
        /// Its fencing number.
        epoch: u64,
        /// The reason.
        reason: &'static str,
    },
    /// The members of a dissolved group may join other groups.
    MembersReleased {
        /// The group.
        group: GroupName,
        /// Its fencing number.
        epoch: u64,
        /// Its head.
        head: VmName,
        /// What shows that the head no longer serves the group.
        evidence: &'static str,
    },
    /// Whether the head of a dissolving group serves, according to all nodes.
    HeadVerdict {
        /// The group.
        group: GroupName,
        /// Its fencing number.
        epoch: u64,
        /// Its head.
        head: VmName,
        /// The conclusion.
        verdict: HeadVerdict,
        /// How long the planning node has asked the other nodes.
        asked_for_ms: u64,
    },
    /// A configuration took effect.
    Configuration {
        /// Its version.
        version: u64,
        /// Its limits for callers.
        limits: CallerLimits,
    },
    /// A part of the configuration that took effect cannot be used as it was written.
    ConfigurationFault {
        /// The version.
        version: u64,
        /// The part and the value that cannot be understood.
        fault: ConfigurationFault,
    },
    /// The operators evacuated a data centre or returned it to service.
    Evacuation {
        /// The data centre.
        data_centre: DataCentreName,
        /// Whether it is evacuated.
        is_out: bool,
        /// How long this node had been without confirmation that nothing changed.
        unconfirmed_ms: Option<u64>,
        /// The node that reported it; `None` if this node read it itself.
        told_by: Option<Arc<str>>,
    },
    /// The store came back from a copy, in which the last changes of the operators may be missing.
    StoreRestored {
        /// The last known position before.
        before: StorePosition,
        /// The first known position after.
        position: StorePosition,
        /// Data centres that stay evacuated although the copy does not show it.
        retained: Vec<DataCentreName>,
        /// The node that reported it; `None` if this node read it itself.
        told_by: Option<Arc<str>>,
    },
    /// The list of endpoints was read again after an outage.
    ListReturned {
        /// Duration of the outage.
        away_ms: u64,
    },
    /// An endpoint is no longer used.
    EndpointGone {
        /// The endpoint.
        vm: VmName,
        /// The reason.
        reason: &'static str,
    },
    /// An endpoint announced in an answer that it is leaving, before the list showed it.
    EndpointLeaving {
        /// The endpoint.
        vm: VmName,
    },
    /// An endpoint asked this node to send nothing for a while.
    EndpointPaused {
        /// The endpoint.
        vm: VmName,
        /// How long it wants no requests.
        pause_ms: u64,
    },
    /// Requests with a prompt segment are refused from now on.
    SegmentQuarantined(Blamed),
    /// Requests with a prompt segment are sent again.
    SegmentReleased {
        /// The segment.
        segment: SegmentName,
    },
    /// This node itself did not run for a while.
    OwnPause {
        /// How long it handled no event.
        paused_ms: u64,
    },
    /// Several endpoints of another data centre cannot be reached, so it is not used for a while.
    DataCentreCut {
        /// The data centre.
        data_centre: DataCentreName,
    },
    /// Utilisation of a model's groups, as seen by the planning node.
    Use {
        /// The model.
        model: ModelName,
        /// Groups that serve or are being formed.
        groups: u32,
        /// Number of groups that the callers' work keeps busy.
        busy_groups: f64,
        /// Work of refused requests, in busy groups.
        refused_groups: f64,
        /// Endpoints that belong to no group.
        free_endpoints: u32,
        /// Time since the last entry for which free endpoints could have formed groups of the model
        /// while its callers were refused, summed over the endpoints.
        idle_endpoint_ms: u64,
    },
    /// This node became or stopped being the planning node.
    Leading {
        /// The generation; `None` when the lease ended.
        generation: Option<u64>,
    },
    /// The planning node started to give orders, or stopped because its list is too old.
    Planning {
        /// Whether it gives orders.
        is_active: bool,
        /// How long it has held the lease.
        held_ms: u64,
        /// The age of its list; `None` if it has not read the list itself.
        list_age_ms: Option<u64>,
    },
}
