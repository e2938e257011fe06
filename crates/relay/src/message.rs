//! Encodes and decodes the messages between nodes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use balsam_fleet::StorePosition;
use balsam_fleet::demand::BusyGroups;
use balsam_fleet::event::HeadReport;
use balsam_fleet::event::LostGroup;
use balsam_fleet::event::PeerLoad;
use balsam_fleet::event::PeerReport;
use balsam_fleet::event::Scope;
use balsam_fleet::event::SentRequest;
use balsam_fleet::lease::MAX_OFFSET;
use balsam_fleet::operators::OperatorsReport;
use balsam_fleet::quarantine::CrashEvidence;
use balsam_fleet::quarantine::QuarantineReport;
use balsam_fleet::quarantine::SegmentEvidence;
use balsam_fleet::quarantine::Survival;
use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::ModelName;
use balsam_types::SegmentName;
use balsam_types::VmName;
use prost::Message;

use crate::gossip::ListUpdate;

/// Highest number of requests that a report may state for one endpoint.
const MAX_IN_FLIGHT: u32 = 1 << 24;

/// Highest number of unread tokens that a report may state for one endpoint: as many requests with
/// prompts of 2^32 tokens.
const MAX_UNREAD_TOKENS: u64 = 1 << 56;

/// Highest number of unwritten tokens that a report may state for one endpoint, for the same reason.
const MAX_UNWRITTEN_TOKENS: u64 = MAX_UNREAD_TOKENS;

/// Highest number of busy groups that a report may state: products with it must remain finite.
const MAX_BUSY_GROUPS: f64 = 1e12;

/// Highest number of nodes that a summary may state: no data centre has as many.
const MAX_NODES: u32 = 65_536;

/// Highest era of the store: one begins each time that the store comes back from a copy.
const MAX_ERA: u64 = 1 << 20;

/// Highest average age of the figures in a summary: a day. They count for seconds.
const MAX_AGE_MS: u64 = 86_400_000;

/// The decoded contents of a datagram.
#[derive(Debug, Clone)]
pub(crate) enum Envelope {
    Report(Box<ReportMessage>),
    Update(ListUpdate),
    Nodes(Vec<KnownNode>),
    Sent { node: Arc<str>, sent: Vec<SentRequest> },
}

/// A report, with the data that only the exchange between nodes needs.
#[derive(Debug, Clone)]
pub(crate) struct ReportMessage {
    pub report: PeerReport,
    /// Number of nodes that the sender knows; a sender that knows few is sent the others.
    pub known_node_count: u32,
    /// The live nodes of the data centre, if the report is its summary.
    pub nodes: Vec<SocketAddr>,
}

/// The address and data centre of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KnownNode {
    pub address: SocketAddr,
    pub data_centre: Option<DataCentreName>,
}

/// A datagram; exactly one of the fields is set.
#[derive(Clone, PartialEq, Message)]
struct Datagram {
    #[prost(message, optional, tag = "1")]
    report: Option<Report>,
    #[prost(message, optional, tag = "2")]
    update: Option<Update>,
    #[prost(message, optional, tag = "3")]
    nodes: Option<Nodes>,
    #[prost(message, optional, tag = "4")]
    sent: Option<Sent>,
}

#[derive(Clone, PartialEq, Message)]
struct Sent {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(message, repeated, tag = "2")]
    requests: Vec<SentTo>,
}

#[derive(Clone, PartialEq, Message)]
struct SentTo {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(uint32, tag = "2")]
    prompt_tokens: u32,
    /// Absent from nodes that do not estimate it.
    #[prost(uint32, optional, tag = "3")]
    answer_tokens: Option<u32>,
}

#[derive(Clone, PartialEq, Message)]
struct Nodes {
    #[prost(message, repeated, tag = "1")]
    nodes: Vec<Node>,
}

#[derive(Clone, PartialEq, Message)]
struct Node {
    #[prost(string, tag = "1")]
    address: String,
    /// Empty if unknown.
    #[prost(string, tag = "2")]
    data_centre: String,
}

#[derive(Clone, PartialEq, Message)]
struct Report {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(message, repeated, tag = "2")]
    loads: Vec<Load>,
    #[prost(message, repeated, tag = "3")]
    demand: Vec<ModelDemand>,
    #[prost(message, repeated, tag = "4")]
    lost: Vec<Lost>,
    #[prost(string, tag = "5")]
    data_centre: String,
    #[prost(uint64, tag = "6")]
    version: u64,
    #[prost(uint64, tag = "7")]
    lease_end: u64,
    #[prost(bool, tag = "8")]
    lease_released: bool,
    #[prost(bool, tag = "9")]
    has_store: bool,
    #[prost(uint32, tag = "10")]
    known_node_count: u32,
    /// Set if the report is the summary of a data centre.
    #[prost(message, optional, tag = "11")]
    summary: Option<Summary>,
    #[prost(message, optional, tag = "12")]
    operators: Option<Operators>,
    #[prost(message, repeated, tag = "13")]
    segments: Vec<Segment>,
    #[prost(message, repeated, tag = "14")]
    survivals: Vec<SurvivingEndpoint>,
    #[prost(uint64, tag = "15")]
    lease_era: u64,
    #[prost(string, repeated, tag = "16")]
    doubted_heads: Vec<String>,
    #[prost(message, repeated, tag = "17")]
    heads: Vec<Head>,
}

/// What the sender knows of a head that the planning node does not reach.
#[derive(Clone, PartialEq, Message)]
struct Head {
    #[prost(string, tag = "1")]
    head: String,
    #[prost(uint64, optional, tag = "2")]
    answered_age_ms: Option<u64>,
    #[prost(uint32, tag = "3")]
    unanswered_nodes: u32,
    #[prost(bool, tag = "4")]
    is_refused: bool,
}

/// An endpoint that closed a connection and has not crashed.
#[derive(Clone, PartialEq, Message)]
struct SurvivingEndpoint {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
}

/// Evidence on a prompt segment.
#[derive(Clone, PartialEq, Message)]
struct Segment {
    #[prost(string, tag = "1")]
    segment: String,
    #[prost(uint64, optional, tag = "2")]
    answered_age_ms: Option<u64>,
    #[prost(message, repeated, tag = "3")]
    crashes: Vec<Crash>,
}

#[derive(Clone, PartialEq, Message)]
struct Crash {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    /// The other segments of the suspected requests.
    #[prost(string, repeated, tag = "3")]
    companions: Vec<String>,
}

#[derive(Clone, PartialEq, Message)]
struct Operators {
    #[prost(uint64, tag = "1")]
    offset: u64,
    #[prost(string, repeated, tag = "2")]
    evacuated: Vec<String>,
    #[prost(uint64, optional, tag = "3")]
    read_age_ms: Option<u64>,
    #[prost(uint64, tag = "4")]
    era: u64,
    #[prost(string, repeated, tag = "5")]
    retained: Vec<String>,
    #[prost(uint64, tag = "6")]
    era_age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct Summary {
    #[prost(uint64, tag = "1")]
    age_ms: u64,
    #[prost(uint32, tag = "2")]
    node_count: u32,
    #[prost(string, repeated, tag = "3")]
    nodes: Vec<String>,
}

#[derive(Clone, PartialEq, Message)]
struct Load {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(uint32, tag = "2")]
    in_flight: u32,
    #[prost(uint64, tag = "3")]
    unread_tokens: u64,
    /// Absent from nodes that do not estimate it.
    #[prost(uint64, optional, tag = "4")]
    unwritten_tokens: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct ModelDemand {
    #[prost(string, tag = "1")]
    model: String,
    #[prost(double, tag = "2")]
    busy_groups: f64,
    #[prost(double, tag = "3")]
    reading_groups: f64,
    #[prost(double, tag = "4")]
    refused_groups: f64,
}

#[derive(Clone, PartialEq, Message)]
struct Lost {
    #[prost(string, tag = "1")]
    group: String,
    #[prost(uint64, tag = "2")]
    epoch: u64,
    #[prost(string, tag = "3")]
    member: String,
}

#[derive(Clone, PartialEq, Message)]
struct Update {
    #[prost(uint64, tag = "1")]
    from: u64,
    #[prost(uint64, tag = "2")]
    to: u64,
    #[prost(bytes = "vec", repeated, tag = "3")]
    records: Vec<Vec<u8>>,
    #[prost(uint64, tag = "4")]
    era: u64,
}

/// Encodes a report.
pub(crate) fn encode_report(message: &ReportMessage) -> Vec<u8> {
    let ReportMessage { report, known_node_count, nodes } = message;
    let summary = match report.scope {
        Scope::Node => None,
        Scope::DataCentre { nodes: node_count, age_ms } => {
            let nodes = nodes.iter().map(SocketAddr::to_string).collect();
            Some(Summary { age_ms, node_count, nodes })
        }
    };
    let loads = report.loads.iter().map(|load| Load {
        vm: load.vm.to_string(),
        in_flight: load.in_flight.min(MAX_IN_FLIGHT),
        unread_tokens: load.unread_tokens.min(MAX_UNREAD_TOKENS),
        unwritten_tokens: load.unwritten_tokens.map(|tokens| tokens.min(MAX_UNWRITTEN_TOKENS)),
    });
    let demand = report.demand.iter().map(|(model, busy)| ModelDemand {
        model: model.to_string(),
        busy_groups: busy.total.min(MAX_BUSY_GROUPS),
        reading_groups: busy.reading.min(MAX_BUSY_GROUPS),
        refused_groups: busy.refused.min(MAX_BUSY_GROUPS),
    });
    let lost = report.lost.iter().map(|lost| Lost {
        group: lost.group.to_string(),
        epoch: lost.epoch,
        member: lost.member.to_string(),
    });
    let report = Report {
        node: report.node.to_string(),
        loads: loads.collect(),
        demand: demand.collect(),
        lost: lost.collect(),
        data_centre: report.data_centre.to_string(),
        version: report.version,
        lease_end: report.lease_end.offset,
        lease_era: report.lease_end.era,
        lease_released: report.lease_released,
        has_store: report.has_store,
        known_node_count: *known_node_count,
        summary,
        operators: Some(encode_operators(&report.operators)),
        segments: report.quarantine.segments.iter().map(encode_segment).collect(),
        survivals: report.quarantine.survivals.iter().map(encode_survival).collect(),
        doubted_heads: report.doubted_heads.iter().map(ToString::to_string).collect(),
        heads: report.heads.iter().map(encode_head).collect(),
    };
    Datagram { report: Some(report), ..Datagram::default() }.encode_to_vec()
}

fn encode_head(report: &HeadReport) -> Head {
    Head {
        head: report.head.to_string(),
        answered_age_ms: report.answered_age_ms,
        unanswered_nodes: report.unanswered_nodes.min(MAX_NODES),
        is_refused: report.is_refused,
    }
}

fn encode_operators(report: &OperatorsReport) -> Operators {
    let names = |data_centres: &BTreeSet<DataCentreName>| {
        data_centres.iter().map(ToString::to_string).collect()
    };
    Operators {
        offset: report.position.offset,
        evacuated: names(&report.evacuated),
        read_age_ms: report.read_age_ms,
        era: report.position.era,
        retained: names(&report.retained),
        era_age_ms: report.era_age_ms,
    }
}

fn encode_survival(survival: &Survival) -> SurvivingEndpoint {
    SurvivingEndpoint { vm: survival.vm.to_string(), age_ms: survival.age_ms }
}

fn encode_segment(evidence: &SegmentEvidence) -> Segment {
    let crashes = evidence.crashes.iter().map(|crash| Crash {
        vm: crash.vm.to_string(),
        age_ms: crash.age_ms,
        companions: crash.companions.iter().map(ToString::to_string).collect(),
    });
    Segment {
        segment: evidence.segment.to_string(),
        answered_age_ms: evidence.answered_age_ms,
        crashes: crashes.collect(),
    }
}

/// Encodes a list of nodes.
pub(crate) fn encode_nodes(nodes: &[KnownNode]) -> Vec<u8> {
    let node = |known: &KnownNode| Node {
        address: known.address.to_string(),
        data_centre: known.data_centre.as_ref().map(ToString::to_string).unwrap_or_default(),
    };
    let nodes = Nodes { nodes: nodes.iter().map(node).collect() };
    Datagram { nodes: Some(nodes), ..Datagram::default() }.encode_to_vec()
}

/// Encodes requests that a node has just sent.
pub(crate) fn encode_sent(node: &str, sent: &[SentRequest]) -> Vec<u8> {
    let request = |sent: &SentRequest| SentTo {
        vm: sent.vm.to_string(),
        prompt_tokens: sent.prompt_tokens,
        answer_tokens: sent.answer_tokens,
    };
    let sent = Sent { node: node.to_owned(), requests: sent.iter().map(request).collect() };
    Datagram { sent: Some(sent), ..Datagram::default() }.encode_to_vec()
}

/// Encodes changes to the list of endpoints.
pub(crate) fn encode_update(update: &ListUpdate) -> Vec<u8> {
    let ListUpdate { era, from, to, records } = update.clone();
    let update = Update { from, to, records, era };
    Datagram { update: Some(update), ..Datagram::default() }.encode_to_vec()
}

/// Decodes a datagram; `None` if it is invalid.
pub(crate) fn decode(bytes: &[u8]) -> Option<Envelope> {
    let datagram = Datagram::decode(bytes).ok()?;
    match (datagram.report, datagram.update, datagram.nodes, datagram.sent) {
        (Some(report), None, None, None) => {
            report_from(report).map(|message| Envelope::Report(Box::new(message)))
        }
        (None, Some(Update { from, to, records, era }), None, None)
            if from <= to && to <= MAX_OFFSET && era <= MAX_ERA =>
        {
            Some(Envelope::Update(ListUpdate { era, from, to, records }))
        }
        (None, None, Some(nodes), None) => {
            nodes.nodes.into_iter().map(node_from).collect::<Option<_>>().map(Envelope::Nodes)
        }
        (None, None, None, Some(Sent { node, requests })) => {
            let sent = requests.into_iter().map(sent_from).collect::<Option<_>>()?;
            Some(Envelope::Sent { node: Arc::from(node), sent })
        }
        _ => None,
    }
}

fn at_most<T: PartialOrd>(value: T, bound: T) -> Option<T> {
    (value <= bound).then_some(value)
}

fn busy_groups(value: f64) -> Option<f64> {
    (0.0..=MAX_BUSY_GROUPS).contains(&value).then_some(value)
}

fn sent_from(sent: SentTo) -> Option<SentRequest> {
    let SentTo { vm, prompt_tokens, answer_tokens } = sent;
    Some(SentRequest { vm: VmName::from_foreign(&vm), prompt_tokens, answer_tokens })
}

fn node_from(node: Node) -> Option<KnownNode> {
    let data_centre = match node.data_centre.is_empty() {
        true => None,
        false => Some(DataCentreName::from_foreign(&node.data_centre)),
    };
    Some(KnownNode { address: node.address.parse().ok()?, data_centre })
}

fn report_from(report: Report) -> Option<ReportMessage> {
    let load = |load: Load| {
        let vm = VmName::from_foreign(&load.vm);
        let in_flight = at_most(load.in_flight, MAX_IN_FLIGHT)?;
        let unread_tokens = at_most(load.unread_tokens, MAX_UNREAD_TOKENS)?;
        let unwritten_tokens = match load.unwritten_tokens {
            Some(tokens) => Some(at_most(tokens, MAX_UNWRITTEN_TOKENS)?),
            None => None,
        };
        Some(PeerLoad { vm, in_flight, unread_tokens, unwritten_tokens })
    };
    let demand = |demand: ModelDemand| {
        let busy = BusyGroups {
            total: busy_groups(demand.busy_groups)?,
            reading: busy_groups(demand.reading_groups)?,
            refused: busy_groups(demand.refused_groups)?,
        };
        Some((ModelName::from_foreign(&demand.model), busy))
    };
    let lost = |lost: Lost| {
        let group = GroupName::from_foreign(&lost.group);
        let member = VmName::from_foreign(&lost.member);
        Some(LostGroup { group, epoch: lost.epoch, member })
    };
    let (scope, nodes) = match report.summary {
        None => (Scope::Node, Vec::new()),
        Some(Summary { age_ms, node_count, nodes }) => {
            let nodes = nodes.iter().map(|node| node.parse().ok()).collect::<Option<Vec<_>>>()?;
            let node_count = at_most(node_count, MAX_NODES)?;
            (Scope::DataCentre { nodes: node_count, age_ms: at_most(age_ms, MAX_AGE_MS)? }, nodes)
        }
    };
    let known_node_count = report.known_node_count;
    let report = PeerReport {
        node: Arc::from(report.node),
        data_centre: DataCentreName::from_foreign(&report.data_centre),
        scope,
        has_store: report.has_store,
        version: report.version,
        lease_end: position(report.lease_era, report.lease_end)?,
        lease_released: report.lease_released,
        loads: report.loads.into_iter().map(load).collect::<Option<_>>()?,
        demand: report.demand.into_iter().map(demand).collect::<Option<_>>()?,
        lost: report.lost.into_iter().map(lost).collect::<Option<_>>()?,
        doubted_heads: report.doubted_heads.iter().map(|h| VmName::from_foreign(h)).collect(),
        heads: report.heads.into_iter().map(head_from).collect::<Option<_>>()?,
        operators: operators_from(report.operators.unwrap_or_default())?,
        quarantine: QuarantineReport {
            segments: report.segments.into_iter().map(segment_from).collect::<Option<_>>()?,
            survivals: report.survivals.into_iter().map(survival_from).collect::<Option<_>>()?,
        },
    };
    Some(ReportMessage { report, known_node_count, nodes })
}

fn head_from(report: Head) -> Option<HeadReport> {
    Some(HeadReport {
        head: VmName::from_foreign(&report.head),
        answered_age_ms: report.answered_age_ms,
        unanswered_nodes: at_most(report.unanswered_nodes, MAX_NODES)?,
        is_refused: report.is_refused,
    })
}

fn survival_from(survival: SurvivingEndpoint) -> Option<Survival> {
    Some(Survival { vm: VmName::from_foreign(&survival.vm), age_ms: survival.age_ms })
}

fn segment_from(evidence: Segment) -> Option<SegmentEvidence> {
    let crash = |crash: Crash| {
        let companions = crash.companions.into_iter().map(|name| SegmentName::try_from(name).ok());
        Some(CrashEvidence {
            vm: VmName::from_foreign(&crash.vm),
            age_ms: crash.age_ms,
            companions: companions.collect::<Option<_>>()?,
        })
    };
    Some(SegmentEvidence {
        segment: SegmentName::try_from(evidence.segment).ok()?,
        answered_age_ms: evidence.answered_age_ms,
        crashes: evidence.crashes.into_iter().map(crash).collect::<Option<_>>()?,
    })
}

fn position(era: u64, offset: u64) -> Option<StorePosition> {
    Some(StorePosition { era: at_most(era, MAX_ERA)?, offset: at_most(offset, MAX_OFFSET)? })
}

fn operators_from(operators: Operators) -> Option<OperatorsReport> {
    let Operators { offset, evacuated, read_age_ms, era, retained, era_age_ms } = operators;
    let names = |names: Vec<String>| -> BTreeSet<DataCentreName> {
        names.iter().map(|name| DataCentreName::from_foreign(name)).collect()
    };
    Some(OperatorsReport {
        position: position(era, offset)?,
        evacuated: names(evacuated),
        retained: names(retained),
        era_age_ms,
        read_age_ms,
    })
}
