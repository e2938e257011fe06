//! The effects that the reducer returns for the node to execute.

use std::net::SocketAddr;
use std::sync::Arc;

use balsam_peer::StopSubject;
use balsam_route::Table;
use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::Offset;
use balsam_types::Record;
use balsam_types::StoredResponse;
use balsam_types::VmName;

/// An order to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The fencing number: the offset of the record that formed the group.
    pub fence: u64,
    /// The group that the VM joins, or `None` to leave its group.
    pub group: Option<GroupName>,
    /// The members, head first.
    pub members: Vec<VmName>,
    /// The model to load.
    pub model: Arc<str>,
    /// The version to load.
    pub version: Arc<str>,
}

/// The answer to a request for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The request may be dispatched.
    Granted {
        /// The offset of the claim.
        offset: Offset,
        /// The time limit for the dispatch, by the monotonic clock.
        dispatch_until_ms: u64,
    },
    /// The request completed earlier.
    Completed(StoredResponse),
    /// The key was already used for a different request.
    KeyReused,
    /// The deadline passed while another process was still running the request.
    StillRunning,
    /// The process that held the claim is gone.
    HolderGone,
    /// The log did not confirm the claim.
    Unconfirmed,
    /// The key is older than the window for which keys are kept.
    KeyExpired,
}

/// A state change that is logged and counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The platform's log became readable or unreadable.
    PlatformReachable(bool),
    /// The node has recovered its state and may serve.
    Recovered {
        /// The last offset folded.
        folded: Offset,
    },
    /// The log no longer keeps the records this node needs; it recovers from a snapshot again.
    Restarting {
        /// The next append that this node needed.
        needed: u64,
        /// The oldest append that the log keeps.
        first: u64,
    },
    /// A batch could not be decoded and counts as empty.
    BadBatch {
        /// The number of the append.
        append: u64,
    },
    /// A group of this data centre started or stopped serving.
    GroupServing {
        /// The group.
        group: GroupName,
        /// Whether the group serves now.
        serving: bool,
        /// Why the group does not serve; empty if it does.
        reason: Arc<str>,
    },
    /// A data centre was drained or returned.
    Drained {
        /// The data centre.
        data_centre: DataCentreName,
        /// Whether it is drained now.
        drained: bool,
    },
    /// A record was rejected by the fold.
    Rejected {
        /// The kind of the record.
        label: &'static str,
        /// The reason for the rejection.
        reason: Arc<str>,
    },
    /// This node proposed a repair.
    Repairing {
        /// The group to be formed.
        group: GroupName,
        /// The repair rule that applied.
        rule: Arc<str>,
    },
}

/// An action for the node to execute.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Append a batch to the log, through a peer if the platform is unreachable.
    Append {
        /// Correlates the result with the batch.
        batch_id: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Read the log from this append on and cancel a read in progress.
    ReadFrom(u64),
    /// Request records from a peer.
    FetchRecords {
        /// The peer.
        peer: SocketAddr,
        /// The next append that this node needs; zero if it has no state.
        from_append: u64,
    },
    /// Probe an endpoint.
    Probe {
        /// The VM.
        vm: VmName,
        /// Its address.
        address: SocketAddr,
    },
    /// Send an order to an endpoint.
    SendOrder {
        /// The VM.
        vm: VmName,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: Order,
    },
    /// Publish this node's observations and summary to its peers.
    Publish(balsam_peer::LocalState),
    /// Broadcast a stop notice: the subject must get no new work.
    Stop(StopSubject),
    /// Withdraw a stop notice at each node that has folded this offset.
    ClearStop {
        /// The subject of the notice.
        subject: StopSubject,
        /// The offset from which on the notice is not needed.
        at: Offset,
    },
    /// Replace the routing table.
    PublishTable(Arc<Table>),
    /// Answer a request for a claim.
    AnswerClaim {
        /// The waiter.
        waiter: u64,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// Answer a submitted record.
    AnswerSubmit {
        /// The waiter.
        waiter: u64,
        /// The verdict, or `None` if the log did not confirm it in time.
        verdict: Option<balsam_state::Verdict>,
        /// The offset of the record, if it was folded.
        offset: Option<Offset>,
    },
    /// Log and count a state change.
    ReportChange(Change),
}
