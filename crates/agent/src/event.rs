//! The events that an entry node handles.

use std::sync::Arc;

use balsam_peer::DataCentreSummary;
use balsam_peer::Member;
use balsam_peer::StopSubject;
use balsam_route::Temperature;
use balsam_state::LogEntry;
use balsam_types::ClaimKey;
use balsam_types::Offset;
use balsam_types::PoolName;
use balsam_types::Record;
use balsam_types::StoredResponse;
use balsam_types::VmName;
use balsam_types::claim::RequestHash;
use balsam_types::vm::VmList;

/// The time of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTime {
    /// The node's monotonic clock.
    pub now_ms: u64,
    /// The wall clock, for record times and key ages only.
    pub wall_ms: u64,
}

/// A snapshot that a peer sent because it no longer keeps the requested records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSnapshot {
    /// The last offset contained in the state.
    pub as_of: Offset,
    /// The encoded state.
    pub state: Arc<[u8]>,
}

/// An endpoint's report about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// Identifies the endpoint process.
    pub instance: Arc<str>,
    /// The fencing number of the last order the endpoint followed.
    pub fence: u64,
    /// Whether the order has been completed: weights loaded, members connected.
    pub ready: bool,
    /// Whether the endpoint reports that it is leaving.
    pub leaving: bool,
    /// Cold or warm.
    pub temperature: Temperature,
    /// Requests in flight when the report was made.
    pub in_flight: u32,
    /// Age of the report when it was sent.
    pub age_ms: u64,
}

/// The result of one probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProbeResult {
    /// The endpoint answered.
    Report(LoadReport),
    /// The endpoint did not answer in time or refused the connection.
    NoAnswer,
}

/// The state of an endpoint VM as observed by any prober of the data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// The VM.
    pub vm: VmName,
    /// When the probe started, by this node's monotonic clock. For probes of other nodes this is an
    /// estimate, which is never later than the real time.
    pub observed_ms: u64,
    /// Whether the endpoint answered.
    pub present: bool,
    /// Whether it answered slowly compared with the other endpoints.
    pub slow: bool,
    /// The endpoint's report; meaningless if `present` is false.
    pub report: LoadReport,
}

/// The result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// The append took effect.
    Done {
        /// The number of the append.
        append: u64,
        /// When the platform appended the batch, by its clock.
        appended_at_ms: u64,
    },
    /// The append may or may not have taken effect.
    Unknown,
}

/// A request for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSubmission {
    /// Correlates the answer with the request.
    pub waiter: u64,
    /// The key, hashed with its organisation.
    pub key: ClaimKey,
    /// The key as sent by the caller; a UUIDv7 contains its creation time.
    pub raw_key: Arc<str>,
    /// Distinguishes a repeat from a different request with the same key.
    pub request_hash: RequestHash,
    /// The pool that would run the request.
    pub pool: PoolName,
    /// When the caller must be answered, by the monotonic clock.
    pub deadline_ms: u64,
}

/// An event at an entry node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The platform answered a read of the log.
    LogRead {
        /// When the read was started, by the monotonic clock.
        started_ms: u64,
        /// The batches, in order.
        entries: Vec<LogEntry>,
        /// The oldest append still kept.
        first_append: u64,
        /// The number of the next append.
        next_append: u64,
    },
    /// The platform did not answer a read of the log.
    LogReadFailed,
    /// A peer sent records or a snapshot of its state.
    PeerRecords {
        /// A snapshot that replaces an older state.
        snapshot: Option<PeerSnapshot>,
        /// Batches, in order.
        entries: Vec<LogEntry>,
    },
    /// An append finished or timed out.
    Appended {
        /// The batch.
        batch_id: u64,
        /// The result.
        result: AppendResult,
    },
    /// The platform sent its VM list.
    VmList(VmList),
    /// The complete view received from peers; replaces the previous one.
    Peers {
        /// Entry nodes.
        members: Vec<Member>,
        /// The most recent observation of each endpoint VM of this data centre.
        observations: Vec<Observation>,
        /// Stop notices in force: what must get no new work.
        stops: Vec<StopSubject>,
        /// Summaries of the other data centres.
        summaries: Vec<DataCentreSummary>,
    },
    /// A probe by this node ended.
    Probed {
        /// The VM.
        vm: VmName,
        /// When the probe was started, by the monotonic clock.
        started_ms: u64,
        /// How long it took.
        took_ms: u64,
        /// The result of the probe.
        result: ProbeResult,
    },
    /// A request needs a claim.
    Claim(ClaimSubmission),
    /// A request that waits for its claim was abandoned.
    ClaimDropped {
        /// The waiter of the claim.
        waiter: u64,
    },
    /// A claimed request completed.
    Complete {
        /// The key.
        key: ClaimKey,
        /// The response to return to repeats.
        response: StoredResponse,
    },
    /// A claimed request is known not to have run.
    Release {
        /// The key.
        key: ClaimKey,
    },
    /// An operator or this node submits a record to the log and waits for the verdict.
    Submit {
        /// Correlates the answer with the submission.
        waiter: u64,
        /// The record.
        record: Box<Record>,
    },
    /// The node is shutting down.
    Leave,
}
