//! The operators' interface.

mod convert;
mod status;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use balsam_agent::Agent;
use balsam_agent::estate;
use balsam_agent::groups;
use balsam_peer::MemberState;
use balsam_peer::PeerNode;
use balsam_peer::StopSubject;
use balsam_plan::PlanLimits;
use balsam_plan::make_plan;
use balsam_plan::suggest::suggest;
use balsam_state::Verdict;
use balsam_types::Author;
use balsam_types::ClaimKey;
use balsam_types::DataCentreName;
use balsam_types::GroupName;
use balsam_types::Offset;
use balsam_types::OperatorName;
use balsam_types::OrganisationName;
use balsam_types::PlanName;
use balsam_types::Record;
use balsam_types::RecordId;
use balsam_types::RecordKind;
use balsam_types::VmName;
use balsam_types::record::ObjectRef;
use balsam_wire::pb::operator::v1 as pb;
use balsam_wire::pb::operator::v1::explain_request::Subject;
use balsam_wire::pb::operator::v1::operator_server::Operator;
use balsam_wire::record::offset_to_pb;
use balsam_wire::record::parse_name;
use balsam_wire::record::plan_to_pb;
use futures::Stream;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use tokio::time::sleep;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::agent_task::AgentHandle;
use crate::agent_task::Message;
use crate::clock::Clock;
use crate::clock::wall_ms;
use crate::peer_client::PeerClients;

/// Percentage of a pool's groups that a rolling update takes out of service at a time.
const ROLL_PERCENT: u32 = 25;

/// How long a confirmation waits until the change is in force everywhere.
///
/// A change must be in force within 5 s; data centres exchange their offsets every 2.4 s.
const IN_FORCE_TIMEOUT_MS: u64 = 8_000;

/// Polling interval of confirmations and watches.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Serves the operators' API.
pub(crate) struct OperatorServer {
    pub(crate) agent: AgentHandle,
    pub(crate) clock: Clock,
    pub(crate) peers: PeerClients,
    /// Operators with the SHA-256 of their tokens in lower-case hex.
    pub(crate) operators: Vec<(OperatorName, Arc<str>)>,
}

type WatchStream = Pin<Box<dyn Stream<Item = Result<pb::StatusResponse, Status>> + Send>>;

#[tonic::async_trait]
impl Operator for OperatorServer {
    type WatchStream = WatchStream;

    async fn status(
        &self,
        request: Request<pb::StatusRequest>,
    ) -> Result<Response<pb::StatusResponse>, Status> {
        self.authenticate(&request)?;
        Ok(Response::new(self.current_status().await?))
    }

    async fn make_plan(
        &self,
        request: Request<pb::MakePlanRequest>,
    ) -> Result<Response<pb::MakePlanResponse>, Status> {
        let operator = self.authenticate(&request)?;
        let request = request.into_inner();
        let intent = convert::intent_from_pb(request.intent).map_err(Status::invalid_argument)?;
        let plan = random_plan_name()?;
        let at = self.clock.at();
        let planned = self.agent.read(move |agent, _| {
            let limits = PlanLimits { roll_percent: ROLL_PERCENT, repair: groups::limits(agent) };
            make_plan(&estate::build(agent, at), &intent, &plan, &limits)
        });
        let spec = match planned.await.ok_or_else(shutting_down)? {
            Ok(spec) => spec,
            Err(refusals) => return Ok(Response::new(convert::refusals_to_pb(&refusals))),
        };
        let kind = RecordKind::ProposePlan(spec.clone());
        let record = record(operator, &request.reason, Some(Offset::default()), kind);
        let answer = match self.agent.submit(record).await {
            Some((Verdict::Rejected(reason), _)) => convert::rejected_plan(reason.to_string()),
            Some(_) => pb::MakePlanResponse {
                plan: Some(plan_to_pb(&spec)),
                ..pb::MakePlanResponse::default()
            },
            None => return Err(unconfirmed("the plan")),
        };
        Ok(Response::new(answer))
    }

    async fn confirm(
        &self,
        request: Request<pb::ConfirmRequest>,
    ) -> Result<Response<pb::ConfirmResponse>, Status> {
        let operator = self.authenticate(&request)?;
        let request = request.into_inner();
        let plan: PlanName = parse_name(request.plan, "ConfirmRequest").map_err(invalid)?;
        let drains = self.drains_of_first_step(plan.clone()).await?;
        let record = record(operator, &request.reason, None, RecordKind::ConfirmPlan(plan));
        let answer = match self.agent.submit(record).await {
            Some((Verdict::Accepted | Verdict::Duplicate, offset)) => pb::ConfirmResponse {
                refusal: String::new(),
                accepted_offset: Some(offset_to_pb(offset)),
                data_centres: self.in_force(offset).await?,
            },
            Some((Verdict::Rejected(reason), offset)) => {
                self.withdraw_stops(drains, offset).await;
                pb::ConfirmResponse { refusal: reason.to_string(), ..Default::default() }
            }
            None if drains.is_empty() => return Err(unconfirmed("the confirmation")),
            None => return Err(unconfirmed_drain(&drains)),
        };
        Ok(Response::new(answer))
    }

    async fn abort(
        &self,
        request: Request<pb::AbortRequest>,
    ) -> Result<Response<pb::AbortResponse>, Status> {
        let operator = self.authenticate(&request)?;
        let request = request.into_inner();
        let plan: PlanName = parse_name(request.plan, "AbortRequest").map_err(invalid)?;
        let record = record(operator, &request.reason, None, RecordKind::AbortPlan(plan));
        let refusal = match self.agent.submit(record).await {
            Some((Verdict::Rejected(reason), _)) => reason.to_string(),
            Some(_) => String::new(),
            None => return Err(unconfirmed("the abort")),
        };
        Ok(Response::new(pb::AbortResponse { refusal }))
    }

    async fn history(
        &self,
        request: Request<pb::HistoryRequest>,
    ) -> Result<Response<pb::HistoryResponse>, Status> {
        self.authenticate(&request)?;
        let limit = request.into_inner().max_entries as usize;
        let entries = self.agent.read(move |agent, _| {
            let newest = agent.replicated.history().rev().take(limit);
            newest.map(|entry| convert::history_to_pb(entry)).collect::<Vec<_>>()
        });
        let mut entries = entries.await.ok_or_else(shutting_down)?;
        entries.reverse();
        Ok(Response::new(pb::HistoryResponse { entries }))
    }

    async fn explain(
        &self,
        request: Request<pb::ExplainRequest>,
    ) -> Result<Response<pb::ExplainResponse>, Status> {
        self.authenticate(&request)?;
        let subject = request.into_inner().subject;
        let subject = subject.ok_or_else(|| Status::invalid_argument("no subject"))?;
        let at = self.clock.at();
        let answer = self.agent.read(move |agent, _| explain(agent, at, subject));
        Ok(Response::new(answer.await.ok_or_else(shutting_down)??))
    }

    async fn watch(
        &self,
        request: Request<pb::StatusRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        self.authenticate(&request)?;
        let (agent, clock) = (self.agent.clone(), self.clock);
        let stream = futures::stream::unfold(None, move |last: Option<pb::StatusResponse>| {
            let agent = agent.clone();
            async move {
                loop {
                    let status =
                        agent.read(move |agent, peers| status::status(agent, peers, clock.at()));
                    let status = status.await?;
                    if last.as_ref().is_none_or(|last| status::differs(last, &status)) {
                        return Some((Ok(status.clone()), Some(status)));
                    }
                    sleep(POLL_INTERVAL).await;
                }
            }
        });
        Ok(Response::new(Box::pin(stream)))
    }
}

impl OperatorServer {
    /// Finds the operator of the bearer token, comparing in constant time.
    fn authenticate<T>(&self, request: &Request<T>) -> Result<OperatorName, Status> {
        let header = request.metadata().get("authorization").and_then(|value| value.to_str().ok());
        let token = header.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
        let hash = hex(&Sha256::digest(token.as_bytes()));
        let mut matched = None;
        for (operator, token_sha256) in &self.operators {
            if bool::from(token_sha256.as_bytes().ct_eq(hash.as_bytes())) {
                matched = Some(operator.clone());
            }
        }
        matched.ok_or_else(|| Status::unauthenticated("the operator token is missing or not known"))
    }

    async fn current_status(&self) -> Result<pb::StatusResponse, Status> {
        let at = self.clock.at();
        let status = self.agent.read(move |agent, peers| status::status(agent, peers, at));
        status.await.ok_or_else(shutting_down)
    }

    /// Returns the data centres that the first step of a plan drains; such a drain takes effect
    /// before the log confirms it.
    async fn drains_of_first_step(&self, plan: PlanName) -> Result<Vec<DataCentreName>, Status> {
        let drains = self.agent.read(move |agent, _| {
            let plan = agent.replicated.plan(&plan)?;
            let changes = plan.spec.steps.first()?.changes.iter();
            let drains = changes.filter_map(|change| match change {
                RecordKind::DrainDataCentre(name) => Some(name.clone()),
                _ => None,
            });
            Some(drains.collect::<Vec<_>>())
        });
        Ok(drains.await.ok_or_else(shutting_down)?.unwrap_or_default())
    }

    /// Withdraws the stop notices of a refused drain, which would otherwise hold for an hour.
    async fn withdraw_stops(&self, drains: Vec<DataCentreName>, refused_at: Offset) {
        for data_centre in drains {
            let subject = StopSubject::DataCentre(data_centre);
            self.agent.send_message(Message::WithdrawStop(subject, refused_at)).await;
        }
    }

    /// Waits until every reachable node has folded an offset; reports the state per data centre.
    ///
    /// Queries the nodes directly, because dissemination delivers their offsets seconds later.
    async fn in_force(&self, offset: Offset) -> Result<Vec<pb::DataCentreInForce>, Status> {
        let started_ms = self.clock.now_ms();
        let mut reached_after_ms = BTreeMap::new();
        loop {
            let now_ms = self.clock.now_ms();
            let known = self.agent.read(move |agent, peers| known_nodes(agent, peers, now_ms));
            let nodes = known.await.ok_or_else(shutting_down)?;
            let statuses = self.statuses(nodes, offset).await;
            let waited_ms = self.clock.now_ms() - started_ms;
            for (data_centre, status) in &statuses {
                if *status == ChangeStatus::InForce {
                    reached_after_ms.entry(data_centre.clone()).or_insert(waited_ms);
                }
            }
            let is_in_force_everywhere =
                statuses.iter().all(|(_, status)| *status == ChangeStatus::InForce);
            if is_in_force_everywhere || waited_ms >= IN_FORCE_TIMEOUT_MS {
                return Ok(in_force_report(&statuses, &reached_after_ms));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Queries the folded offsets of the known nodes in each data centre and compares the lowest.
    async fn statuses(
        &self,
        nodes: KnownNodes,
        offset: Offset,
    ) -> Vec<(DataCentreName, ChangeStatus)> {
        let queries = nodes.into_iter().map(|(data_centre, targets)| async move {
            let answers = targets.addresses.iter().map(|address| self.peers.folded(*address));
            let answers = futures::future::join_all(answers).await;
            let offsets = answers.into_iter().flatten().chain(targets.own_offset);
            let status = match offsets.min() {
                None => ChangeStatus::NotReachable,
                Some(lowest) if lowest >= offset => ChangeStatus::InForce,
                Some(_) => ChangeStatus::Pending,
            };
            (data_centre, status)
        });
        futures::future::join_all(queries).await
    }
}

/// The entry nodes that can be queried, by data centre.
type KnownNodes = BTreeMap<DataCentreName, KnownDataCentre>;

/// The entry nodes of a data centre that can be queried.
#[derive(Debug, Default)]
struct KnownDataCentre {
    /// Their peer addresses.
    addresses: Vec<SocketAddr>,
    /// The folded offset of this node, if it is one of them.
    own_offset: Option<Offset>,
}

fn known_nodes(agent: &Agent, peers: &PeerNode, now_ms: u64) -> KnownNodes {
    let mut nodes = KnownNodes::new();
    for vm in agent.vms.values() {
        nodes.entry(vm.data_centre.clone()).or_default();
    }
    nodes.entry(agent.data_centre.clone()).or_default().own_offset = Some(agent.folded());
    for member in peers.members(now_ms) {
        if member.state == MemberState::Alive {
            let known = nodes.entry(member.data_centre).or_default();
            known.addresses.push(member.peer_address);
        }
    }
    nodes
}

/// Whether a change is in force in a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChangeStatus {
    InForce,
    Pending,
    NotReachable,
}

fn in_force_report(
    statuses: &[(DataCentreName, ChangeStatus)],
    reached_after_ms: &BTreeMap<DataCentreName, u64>,
) -> Vec<pb::DataCentreInForce> {
    let lines = statuses.iter().map(|(data_centre, status)| pb::DataCentreInForce {
        data_centre: data_centre.to_string(),
        in_force_after_ms: reached_after_ms.get(data_centre).copied(),
        state: match status {
            ChangeStatus::InForce => "in_force",
            ChangeStatus::Pending => "pending",
            ChangeStatus::NotReachable => "not_reachable",
        }
        .to_owned(),
    });
    lines.collect()
}

fn explain(
    agent: &Agent,
    at: balsam_agent::EventTime,
    subject: Subject,
) -> Result<pb::ExplainResponse, Status> {
    match subject {
        Subject::Group(raw) => explain_group(agent, at, raw),
        Subject::Vm(raw) => explain_vm(agent, at, raw),
        Subject::RequestKey(raw) => explain_key(agent, &raw),
    }
}

fn explain_group(
    agent: &Agent,
    at: balsam_agent::EventTime,
    raw: String,
) -> Result<pb::ExplainResponse, Status> {
    let group: GroupName = parse_name(raw, "ExplainRequest").map_err(invalid)?;
    let mut lines = Vec::new();
    let mut suggestions = Vec::new();
    match agent.replicated.group(&group) {
        Some(found) => lines.extend(status::group_lines(agent, at, &found.value, found.offset)),
        None => {
            lines.push(format!("group {group} does not exist"));
            let known = agent.replicated.groups().map(|group| group.value.group.as_str());
            suggestions = suggest(group.as_str(), known);
        }
    }
    let entries = history_of(agent, &ObjectRef::Group(group));
    Ok(pb::ExplainResponse { lines, entries, suggestions })
}

fn explain_vm(
    agent: &Agent,
    at: balsam_agent::EventTime,
    raw: String,
) -> Result<pb::ExplainResponse, Status> {
    let vm: VmName = parse_name(raw, "ExplainRequest").map_err(invalid)?;
    let Some(info) = agent.vms.get(&vm) else {
        let known = agent.vms.keys().map(VmName::as_str);
        let suggestions = suggest(vm.as_str(), known);
        let lines = vec![format!("VM {vm} is not in the VM list")];
        return Ok(pb::ExplainResponse { lines, entries: Vec::new(), suggestions });
    };
    let lines = status::vm_lines(agent, at, info);
    let group = agent.replicated.group_of(&vm).cloned();
    let entries = group.map(|group| history_of(agent, &ObjectRef::Group(group)));
    Ok(pb::ExplainResponse { lines, entries: entries.unwrap_or_default(), suggestions: Vec::new() })
}

fn explain_key(agent: &Agent, raw: &str) -> Result<pb::ExplainResponse, Status> {
    let expected = "expected ORGANISATION/IDEMPOTENCY-KEY";
    let (organisation, key) =
        raw.split_once('/').ok_or_else(|| Status::invalid_argument(expected))?;
    let organisation = OrganisationName::try_from(organisation)
        .map_err(|error| Status::invalid_argument(error.to_string()))?;
    let key = ClaimKey::new(&organisation, key)
        .map_err(|error| Status::invalid_argument(error.to_string()))?;
    let line = match agent.replicated.claim(&key) {
        None => "no request with this key is known; within the key window none has run".to_owned(),
        Some(claim) => match claim.completed {
            Some(done) => format!(
                "claimed by {} at {}, completed at {} with status {}",
                claim.holder, claim.offset, done.offset, done.response.status
            ),
            None if agent.is_running(&claim.holder) => {
                format!("claimed by {} at {}, still running", claim.holder, claim.offset)
            }
            None => format!(
                "claimed by {} at {}; the process is gone and the outcome is unknown",
                claim.holder, claim.offset
            ),
        },
    };
    Ok(pb::ExplainResponse { lines: vec![line], entries: Vec::new(), suggestions: Vec::new() })
}

fn history_of(agent: &Agent, object: &ObjectRef) -> Vec<pb::HistoryEntry> {
    agent.replicated.history_of(object).map(|entry| convert::history_to_pb(entry)).collect()
}

fn record(
    operator: OperatorName,
    reason: &str,
    expect_offset: Option<Offset>,
    kind: RecordKind,
) -> Record {
    Record {
        record_id: RecordId(rand::random()),
        author: Author::Operator(operator),
        at_ms: wall_ms(),
        reason: reason.into(),
        expect_offset,
        kind,
    }
}

fn random_plan_name() -> Result<PlanName, Status> {
    let raw = format!("plan-{:08x}", rand::random::<u32>());
    PlanName::try_from(raw).map_err(|error| Status::internal(error.to_string()))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn invalid(error: balsam_wire::DecodeError) -> Status {
    Status::invalid_argument(error.to_string())
}

fn shutting_down() -> Status {
    Status::unavailable("the node is shutting down")
}

/// `DEADLINE_EXCEEDED` tells clients that the outcome is unknown; any other code means that nothing
/// was recorded.
fn unconfirmed(what: &str) -> Status {
    Status::deadline_exceeded(format!(
        "the log did not confirm {what} in time; it may still take effect: see `balsamctl history`"
    ))
}

fn unconfirmed_drain(drains: &[DataCentreName]) -> Status {
    let names: Vec<&str> = drains.iter().map(DataCentreName::as_str).collect();
    Status::deadline_exceeded(format!(
        "the log did not confirm the drain in time; new work is kept from {} by a stop notice at \
         every reachable node, and the record may still take effect: see `balsamctl history`",
        names.join(", ")
    ))
}
