//! Encoding and decoding of the state.
//!
//! The encoding is canonical: equal states have equal bytes, so states can be compared by a digest
//! of the bytes. Claims are encoded by column, see `proto/snapshot.proto`.

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::Hash;
use std::sync::Arc;

use balsam_types::Author;
use balsam_types::ClaimKey;
use balsam_types::Incarnation;
use balsam_types::Offset;
use balsam_types::PoolName;
use balsam_types::RecordKind;
use balsam_types::StoredResponse;
use balsam_types::claim::RequestHash;
use balsam_types::record::ObjectRef;
use balsam_wire::DecodeError;
use balsam_wire::pb::record::v1 as pb_record;
use balsam_wire::pb::snapshot::v1 as pb;
use balsam_wire::record::incarnation_from_pb;
use balsam_wire::record::incarnation_to_pb;
use balsam_wire::record::kind_from_pb;
use balsam_wire::record::kind_to_pb;
use balsam_wire::record::object_from_pb;
use balsam_wire::record::object_to_pb;
use balsam_wire::record::offset_from_pb;
use balsam_wire::record::offset_to_pb;
use balsam_wire::record::parse_name;
use balsam_wire::record::plan_from_pb;
use balsam_wire::record::plan_to_pb;
use prost::Message;
use prost::encoding::WireType;
use sha2::Digest;
use sha2::Sha256;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

use crate::check;
use crate::claims::ClaimView;
use crate::claims::Claims;
use crate::claims::Completion;
use crate::claims::NewClaim;
use crate::control::ChangeContext;
use crate::control::ControlState;
use crate::control::Tombstone;
use crate::control::Versioned;
use crate::history::HistoryEntry;
use crate::limits::Limits;
use crate::plans::Phase;
use crate::plans::PlanView;
use crate::recent::RecentIds;
use crate::rejection::Rejection;
use crate::replicated::Replicated;

/// Maximum size of a snapshot to decode; 400,000 claims with 8 MiB of responses stay below it.
pub const MAX_SNAPSHOT_BYTES: usize = 64 * 1024 * 1024;

/// Maximum size of an object, plan or history entry to decode. Decoding a damaged one can take 85
/// times its size in memory, so fields are bounded and decoded one at a time.
pub const MAX_FIELD_BYTES: usize = 2 * check::MAX_CHANGE_BYTES;

/// Maximum size of a block of claims without its responses; a full block takes less than 400 kB.
const MAX_COLUMNS_BYTES: usize = 2 * 1024 * 1024;

/// Size of a claim key, a request hash or a record id.
const ID_BYTES: usize = 16;

/// A snapshot cannot be decoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SnapshotError {
    /// The size exceeds what a valid state needs.
    #[snafu(display("{part} has {found} bytes, expected at most {max}"))]
    TooLarge {
        /// The part of the snapshot.
        part: &'static str,
        /// Its size.
        found: usize,
        /// The limit.
        max: usize,
    },
    /// The bytes do not decode to the expected message.
    #[snafu(display("decoding {part}: {source}"))]
    Malformed {
        /// The part of the snapshot.
        part: &'static str,
        /// The error of the decoder.
        source: prost::DecodeError,
    },
    /// A value is not valid for its type.
    #[snafu(display("decoding a snapshot: {source}"), context(false))]
    Value {
        /// The invalid value.
        source: DecodeError,
    },
    /// A field is missing or inconsistent with other fields.
    #[snafu(display("snapshot field {field} is missing or inconsistent with other fields"))]
    Inconsistent {
        /// The field.
        field: &'static str,
    },
    /// An object violates an invariant of the state.
    #[snafu(display("the snapshot contains an invalid object: {source}"))]
    InvalidObject {
        /// The violated invariant.
        source: Rejection,
    },
    /// The offset in the snapshot differs from that in its record.
    #[snafu(display("expected a snapshot as of {expected}, found {found:?}"))]
    WrongOffset {
        /// The offset in the record.
        expected: Offset,
        /// The offset in the snapshot.
        found: Option<Offset>,
    },
}

type Result<T, E = SnapshotError> = std::result::Result<T, E>;

impl Replicated {
    /// Encodes the state; nodes that have folded the same records produce the same bytes.
    pub fn to_snapshot(&self) -> Vec<u8> {
        let mut out = Vec::new();
        let head = pb::Head {
            now_ms: self.now_ms,
            applied: self.last_offset.map(offset_to_pb),
            removed_horizon: Some(offset_to_pb(self.control.tombstone_horizon)),
        };
        put_field(&mut out, tag::HEAD, &head);
        objects_to_pb(&self.control).iter().for_each(|raw| put_field(&mut out, tag::OBJECTS, raw));
        for (object, tombstone) in self.control.tombstones_by_offset() {
            put_field(&mut out, tag::REMOVED, &tombstone_to_pb(object, tombstone));
        }
        self.plans.iter().for_each(|p| put_field(&mut out, tag::PLANS, &plan_state_to_pb(p)));
        self.history.iter().for_each(|e| put_field(&mut out, tag::HISTORY, &history_to_pb(e)));
        put_field(&mut out, tag::CONTROL_IDS, &ids_to_pb(&self.control_ids));
        put_field(&mut out, tag::CLAIM_IDS, &ids_to_pb(&self.claim_ids));
        let mut claims = self.claims.iter().peekable();
        while claims.peek().is_some() {
            put_field(&mut out, tag::CLAIMS, &claims_to_pb(claims.by_ref().take(BLOCK_CLAIMS)));
        }
        out
    }

    /// Returns the SHA-256 of the snapshot, by which nodes compare their states.
    pub fn digest(&self) -> [u8; 32] {
        Sha256::digest(self.to_snapshot()).into()
    }

    /// Decodes and validates a snapshot.
    pub fn from_snapshot(as_of: Offset, bytes: &[u8], limits: Limits) -> Result<Self> {
        check_size("snapshot", bytes.len(), MAX_SNAPSHOT_BYTES)?;
        let mut fields = Fields { rest: bytes };
        let (first_tag, head) = fields.next().transpose()?.unwrap_or_default();
        ensure!(first_tag == tag::HEAD, InconsistentSnafu { field: "head" });
        let head: pb::Head = decode("head", head)?;
        let mut state = Self::new(limits);
        state.last_offset = head.applied.as_ref().map(offset_from_pb);
        let found = state.last_offset;
        ensure!(found == Some(as_of), WrongOffsetSnafu { expected: as_of, found });
        state.now_ms = head.now_ms;
        state.control.tombstone_horizon = required_offset(&head.removed_horizon, as_of)?;
        let max_claims_bytes = state.limits.max_stored_bytes.saturating_add(MAX_COLUMNS_BYTES);
        let max_ids_bytes = state.limits.max_record_ids.saturating_mul(2 * ID_BYTES);
        let max_ids_bytes = max_ids_bytes.saturating_add(MAX_FIELD_BYTES);
        let (mut last_tag, mut last_claim) = (tag::HEAD, None);
        for field in fields {
            let (tag, raw) = field?;
            ensure!(tag >= last_tag, InconsistentSnafu { field: "state" });
            last_tag = tag;
            let max_field_bytes = match tag {
                tag::CLAIMS => max_claims_bytes,
                tag::CONTROL_IDS | tag::CLAIM_IDS => max_ids_bytes,
                _ => MAX_FIELD_BYTES,
            };
            check_size("a field of the snapshot", raw.len(), max_field_bytes)?;
            match tag {
                tag::OBJECTS => read_object(&mut state.control, decode("object", raw)?, as_of)?,
                tag::REMOVED => read_tombstone(&mut state.control, decode("removed", raw)?, as_of)?,
                tag::PLANS => {
                    state.plans.insert(plan_state_from_pb(decode("plan", raw)?, as_of)?);
                }
                tag::HISTORY => {
                    let entry = history_from_pb(decode("history", raw)?, as_of)?;
                    state.history.push(entry, &state.limits);
                }
                tag::CONTROL_IDS => read_ids(&mut state.control_ids, decode("ids", raw)?)?,
                tag::CLAIM_IDS => read_ids(&mut state.claim_ids, decode("ids", raw)?)?,
                tag::CLAIMS => {
                    let block = decode("claims", raw)?;
                    read_claims(&mut state.claims, block, &mut last_claim, as_of)?;
                }
                _ => return InconsistentSnafu { field: "state" }.fail(),
            }
        }
        Ok(state)
    }
}

/// Field numbers of `SnapshotState`, which is encoded and decoded field by field: as a whole
/// message, its claims would take the memory of all claims a second and a third time.
mod tag {
    pub(super) const HEAD: u32 = 1;
    pub(super) const OBJECTS: u32 = 2;
    pub(super) const REMOVED: u32 = 3;
    pub(super) const PLANS: u32 = 4;
    pub(super) const HISTORY: u32 = 5;
    pub(super) const CONTROL_IDS: u32 = 6;
    pub(super) const CLAIM_IDS: u32 = 7;
    pub(super) const CLAIMS: u32 = 8;
}

/// Claims per block; the columns of a block take about 300 kB while it is encoded or decoded.
const BLOCK_CLAIMS: usize = 4096;

fn put_field(out: &mut Vec<u8>, tag: u32, message: &impl Message) {
    prost::encoding::encode_key(tag, WireType::LengthDelimited, out);
    prost::encoding::encode_varint(message.encoded_len() as u64, out);
    // Encoding fails only if the buffer is full, and a vector grows.
    let _ = message.encode(out);
}

/// Iterates over the length-delimited fields of an encoded message.
struct Fields<'a> {
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    fn read(&mut self) -> Result<(u32, &'a [u8])> {
        let part = "snapshot";
        let key = prost::encoding::decode_key(&mut self.rest);
        let (tag, wire_type) = key.context(MalformedSnafu { part })?;
        let is_bytes = wire_type == WireType::LengthDelimited;
        ensure!(is_bytes, InconsistentSnafu { field: "state" });
        let length = prost::encoding::decode_varint(&mut self.rest);
        let length = usize::try_from(length.context(MalformedSnafu { part })?).ok();
        let field = length.and_then(|length| self.rest.split_at_checked(length));
        let (field, rest) = field.context(InconsistentSnafu { field: "state" })?;
        self.rest = rest;
        Ok((tag, field))
    }
}

impl<'a> Iterator for Fields<'a> {
    type Item = Result<(u32, &'a [u8])>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.rest.is_empty() {
            return None;
        }
        let field = self.read();
        if field.is_err() {
            self.rest = &[];
        }
        Some(field)
    }
}

fn decode<M: Message + Default>(part: &'static str, raw: &[u8]) -> Result<M> {
    M::decode(raw).context(MalformedSnafu { part })
}

fn check_size(part: &'static str, found: usize, max: usize) -> Result<()> {
    ensure!(found <= max, TooLargeSnafu { part, found, max });
    Ok(())
}

fn required_offset(raw: &Option<pb_record::Offset>, as_of: Offset) -> Result<Offset> {
    let offset = raw.as_ref().map(offset_from_pb).context(InconsistentSnafu { field: "offset" })?;
    ensure!(offset <= as_of, InconsistentSnafu { field: "offset" });
    Ok(offset)
}

fn versioned_to_pb<T>(kind: RecordKind, versioned: &Versioned<T>) -> pb::Object {
    pb::Object {
        change: Some(kind_to_pb(&kind)),
        offset: Some(offset_to_pb(versioned.offset)),
        summary: versioned.summary.to_string(),
    }
}

/// Encodes the existing objects, each after those that it depends on.
fn objects_to_pb(control: &ControlState) -> Vec<pb::Object> {
    let mut objects = Vec::new();
    for entry in control.organisations.values() {
        objects.push(versioned_to_pb(RecordKind::PutOrganisation((*entry.value).clone()), entry));
    }
    for entry in control.pools.values() {
        objects.push(versioned_to_pb(RecordKind::PutPool((*entry.value).clone()), entry));
    }
    for entry in control.routes.values() {
        objects.push(versioned_to_pb(RecordKind::PutRoute((*entry.value).clone()), entry));
    }
    for entry in control.groups.values() {
        objects.push(versioned_to_pb(RecordKind::FormGroup((*entry.value).clone()), entry));
    }
    for (group, entry) in &control.owners {
        let (group, node) = (group.clone(), (*entry.value).clone());
        objects.push(versioned_to_pb(RecordKind::AssignOwner { group, node }, entry));
    }
    for (data_centre, entry) in &control.drains {
        let kind = RecordKind::DrainDataCentre(data_centre.clone());
        objects.push(versioned_to_pb(kind, entry));
    }
    objects
}

fn tombstone_to_pb(object: &ObjectRef, tombstone: &Tombstone) -> pb::Removed {
    pb::Removed {
        object: Some(object_to_pb(object)),
        offset: Some(offset_to_pb(tombstone.offset)),
        at_ms: tombstone.at_ms,
        summary: tombstone.summary.to_string(),
        members: tombstone.members.map(Vec::from).unwrap_or_default(),
    }
}

fn read_object(control: &mut ControlState, raw: pb::Object, as_of: Offset) -> Result<()> {
    let change = raw.change.context(InconsistentSnafu { field: "change" })?;
    let kind = kind_from_pb(change)?;
    ensure!(check::is_allowed_in_plan(&kind), InconsistentSnafu { field: "change" });
    let offset = required_offset(&raw.offset, as_of)?;
    let change = ChangeContext { offset, now_ms: 0, summary: raw.summary.into() };
    control.apply(&kind, &change).context(InvalidObjectSnafu)
}

fn read_tombstone(control: &mut ControlState, raw: pb::Removed, as_of: Offset) -> Result<()> {
    let object = raw.object.context(InconsistentSnafu { field: "object" })?;
    let object = object_from_pb(object)?;
    let offset = required_offset(&raw.offset, as_of)?;
    ensure!(control.last_change(&object).is_none(), InconsistentSnafu { field: "removed" });
    let members = match &raw.members[..] {
        [] => None,
        raw => Some(raw.try_into().ok().context(InconsistentSnafu { field: "members" })?),
    };
    let (at_ms, summary) = (raw.at_ms, raw.summary.into());
    control.insert_tombstone(object, Tombstone { offset, at_ms, summary, members });
    Ok(())
}

fn plan_state_to_pb(view: &PlanView) -> pb::PlanState {
    let phase = match view.phase {
        Phase::Proposed => 0,
        Phase::Confirmed => 1,
        Phase::Done => 2,
        Phase::Aborted => 3,
    };
    pb::PlanState {
        plan: Some(plan_to_pb(&view.spec)),
        proposed: Some(offset_to_pb(view.proposed)),
        changed: Some(offset_to_pb(view.offset)),
        phase,
        steps_done: view.steps_done,
        changed_at_ms: view.changed_at_ms,
        summary: view.summary.to_string(),
    }
}

fn plan_state_from_pb(raw: pb::PlanState, as_of: Offset) -> Result<PlanView> {
    let phase = match raw.phase {
        0 => Phase::Proposed,
        1 => Phase::Confirmed,
        2 => Phase::Done,
        3 => Phase::Aborted,
        _ => return InconsistentSnafu { field: "phase" }.fail(),
    };
    let plan = raw.plan.context(InconsistentSnafu { field: "plan" })?;
    let encoded_bytes = plan.encoded_len();
    let spec = plan_from_pb(plan)?;
    let is_in_range = raw.steps_done as usize <= spec.steps.len();
    ensure!(is_in_range, InconsistentSnafu { field: "steps_done" });
    Ok(PlanView {
        spec: Arc::new(spec),
        phase,
        steps_done: raw.steps_done,
        proposed: required_offset(&raw.proposed, as_of)?,
        offset: required_offset(&raw.changed, as_of)?,
        changed_at_ms: raw.changed_at_ms,
        summary: raw.summary.into(),
        encoded_bytes,
    })
}

fn history_to_pb(entry: &HistoryEntry) -> pb::HistoryEntry {
    use pb_record::author::Author as PbAuthor;

    let author = match &entry.author {
        Author::Operator(operator) => PbAuthor::Operator(operator.to_string()),
        Author::Node(node) => PbAuthor::Node(incarnation_to_pb(node)),
    };
    pb::HistoryEntry {
        offset: Some(offset_to_pb(entry.offset)),
        appended_at_ms: entry.appended_at_ms,
        author: Some(pb_record::Author { author: Some(author) }),
        label: entry.label.to_string(),
        objects: entry.objects.iter().map(object_to_pb).collect(),
        summary: entry.summary.to_string(),
        reason: entry.reason.to_string(),
        rejection: entry.rejection.as_deref().unwrap_or_default().to_owned(),
    }
}

fn history_from_pb(raw: pb::HistoryEntry, as_of: Offset) -> Result<HistoryEntry> {
    use pb_record::author::Author as PbAuthor;

    let author = raw.author.and_then(|author| author.author);
    let author = match author.context(InconsistentSnafu { field: "author" })? {
        PbAuthor::Operator(operator) => Author::Operator(parse_name(operator, "Author")?),
        PbAuthor::Node(node) => Author::Node(incarnation_from_pb(node)?),
    };
    let objects = raw.objects.into_iter().map(object_from_pb);
    Ok(HistoryEntry {
        offset: required_offset(&raw.offset, as_of)?,
        appended_at_ms: raw.appended_at_ms,
        author,
        label: raw.label.into(),
        objects: objects.collect::<Result<_, _>>()?,
        summary: raw.summary.into(),
        reason: raw.reason.into(),
        rejection: (!raw.rejection.is_empty()).then(|| raw.rejection.into()),
    })
}

/// Assigns indices to distinct values in the order of their first use.
struct IndexTable<T> {
    indices: HashMap<T, u32>,
    values: Vec<T>,
}

impl<T: Clone + Eq + Hash> IndexTable<T> {
    fn new() -> Self {
        Self { indices: HashMap::new(), values: Vec::new() }
    }

    fn index(&mut self, value: &T) -> u32 {
        if let Some(index) = self.indices.get(value) {
            return *index;
        }
        let index = self.values.len() as u32;
        self.values.push(value.clone());
        self.indices.insert(value.clone(), index);
        index
    }
}

fn claims_to_pb(claims: impl Iterator<Item = (ClaimKey, ClaimView)>) -> pb::Claims {
    let mut out = pb::Claims::default();
    let (mut pools, mut nodes, mut type_table) =
        (IndexTable::new(), IndexTable::new(), IndexTable::new());
    let (mut last_append, mut last_at_ms) = (0, 0);
    for (claim_index, (key, view)) in (0..).zip(claims) {
        out.keys.extend_from_slice(&key.0);
        out.request_hashes.extend_from_slice(&view.request_hash.0);
        out.pool.push(pools.index(&view.pool));
        out.node.push(nodes.index(&view.holder));
        // Claims are in the order of offsets and times, so the deltas are not negative.
        out.append_delta.push(view.offset.append - last_append);
        out.index.push(view.offset.index);
        out.at_ms_delta.push(view.claimed_at_ms - last_at_ms);
        (last_append, last_at_ms) = (view.offset.append, view.claimed_at_ms);
        let Some(completed) = view.completed else { continue };
        let response = &completed.response;
        out.completed_claim.push(claim_index);
        out.completed_append.push(completed.offset.append);
        out.completed_index.push(completed.offset.index);
        out.status.push(response.status.into());
        out.content_type.push(type_table.index(&response.content_type));
        let body = response.body.as_deref();
        out.body_length.push(body.map_or(0, |body| body.len() as u32 + 1));
        out.bodies.extend_from_slice(body.unwrap_or_default());
    }
    out.pools = pools.values.iter().map(PoolName::to_string).collect();
    out.nodes = nodes.values.iter().map(incarnation_to_pb).collect();
    out.content_types = type_table.values.iter().map(|text| text.to_string()).collect();
    out
}

/// Reads the completions of a block in the order of their claims.
struct CompletionReader<'a> {
    raw: &'a pb::Claims,
    type_names: Vec<Arc<str>>,
    next: usize,
    body_start: usize,
}

impl CompletionReader<'_> {
    /// Returns the completion of a claim, if the next completion belongs to it.
    fn take(&mut self, claim: usize, as_of: Offset) -> Result<Option<Completion>> {
        let (raw, next) = (self.raw, self.next);
        if raw.completed_claim.get(next).is_none_or(|number| *number as usize != claim) {
            return Ok(None);
        }
        self.next += 1;
        let offset = Offset::new(raw.completed_append[next], raw.completed_index[next]);
        ensure!(offset <= as_of, InconsistentSnafu { field: "completed_append" });
        let status = u16::try_from(raw.status[next]).ok();
        let status = status.context(InconsistentSnafu { field: "status" })?;
        let content_type = self.type_names.get(raw.content_type[next] as usize);
        let content_type = content_type.context(InconsistentSnafu { field: "content_type" })?;
        let body = match (raw.body_length[next] as usize).checked_sub(1) {
            None => None,
            Some(length) => {
                let start = self.body_start;
                self.body_start = start.saturating_add(length);
                let body = raw.bodies.get(start..self.body_start);
                Some(Arc::from(body.context(InconsistentSnafu { field: "bodies" })?))
            }
        };
        let response = StoredResponse { status, content_type: Arc::clone(content_type), body };
        Ok(Some(Completion { offset, response }))
    }
}

/// Reads a block of claims; `last` is the offset and time of the previous block's last claim.
fn read_claims(
    claims: &mut Claims,
    mut raw: pb::Claims,
    last: &mut Option<(Offset, u64)>,
    as_of: Offset,
) -> Result<()> {
    let pools = std::mem::take(&mut raw.pools).into_iter().map(|pool| parse_name(pool, "Claims"));
    let pools: Vec<PoolName> = pools.collect::<Result<_, _>>()?;
    let nodes = std::mem::take(&mut raw.nodes).into_iter().map(incarnation_from_pb);
    let nodes: Vec<Incarnation> = nodes.collect::<Result<_, _>>()?;
    let type_names = std::mem::take(&mut raw.content_types).into_iter().map(Arc::from).collect();
    let (count, completed_count) = (raw.pool.len(), raw.completed_claim.len());
    let columns = [raw.node.len(), raw.append_delta.len(), raw.index.len(), raw.at_ms_delta.len()];
    let bytes = [raw.keys.len(), raw.request_hashes.len()];
    let lengths_match = columns == [count; 4] && bytes == [count * ID_BYTES; 2];
    ensure!(lengths_match, InconsistentSnafu { field: "claims" });
    let columns = [raw.completed_append.len(), raw.completed_index.len(), raw.status.len()];
    let lengths_match = columns == [completed_count; 3]
        && [raw.content_type.len(), raw.body_length.len()] == [completed_count; 2];
    ensure!(lengths_match, InconsistentSnafu { field: "completed_claim" });
    let mut completions = CompletionReader { raw: &raw, type_names, next: 0, body_start: 0 };
    let (keys, hashes) = (raw.keys.as_chunks().0, raw.request_hashes.as_chunks().0);
    let (mut offset, mut at_ms) = (Offset::default(), 0_u64);
    for claim_index in 0..count {
        let append = offset.append.checked_add(raw.append_delta[claim_index]);
        let append = append.context(InconsistentSnafu { field: "append_delta" })?;
        offset = Offset::new(append, raw.index[claim_index]);
        let claimed_at_ms = at_ms.checked_add(raw.at_ms_delta[claim_index]);
        at_ms = claimed_at_ms.context(InconsistentSnafu { field: "at_ms_delta" })?;
        let is_ascending = last
            .is_none_or(|(last_offset, last_at_ms)| offset > last_offset && at_ms >= last_at_ms);
        ensure!(is_ascending && offset <= as_of, InconsistentSnafu { field: "append_delta" });
        *last = Some((offset, at_ms));
        let pool = pools.get(raw.pool[claim_index] as usize);
        let node = nodes.get(raw.node[claim_index] as usize);
        let new = NewClaim {
            key: ClaimKey(keys[claim_index]),
            request_hash: RequestHash(hashes[claim_index]),
            pool: pool.context(InconsistentSnafu { field: "pool" })?,
            node: node.context(InconsistentSnafu { field: "node" })?,
            offset,
            at_ms,
        };
        let completed = completions.take(claim_index, as_of)?;
        ensure!(claims.restore(&new, completed), InconsistentSnafu { field: "keys" });
    }
    let is_fully_read =
        completions.next == completed_count && completions.body_start == raw.bodies.len();
    ensure!(is_fully_read, InconsistentSnafu { field: "completed_claim" });
    Ok(())
}

fn ids_to_pb(recent: &RecentIds) -> pb::RecentIds {
    let mut out = pb::RecentIds::default();
    for (bucket_number, ids) in recent.sorted_buckets() {
        out.slice.push(bucket_number);
        out.count.push(ids.len() as u32);
        out.ids.extend(ids.iter().flat_map(|id| id.to_be_bytes()));
    }
    out
}

fn read_ids(recent: &mut RecentIds, raw: pb::RecentIds) -> Result<()> {
    let (ids, rest) = raw.ids.as_chunks::<ID_BYTES>();
    let total_count: u64 = raw.count.iter().map(|count| u64::from(*count)).sum();
    let lengths_match =
        raw.slice.len() == raw.count.len() && total_count == ids.len() as u64 && rest.is_empty();
    ensure!(lengths_match && raw.slice.is_sorted(), InconsistentSnafu { field: "ids" });
    let mut ids = ids.iter().map(|id| u128::from_be_bytes(*id));
    for (bucket_number, count) in raw.slice.into_iter().zip(raw.count) {
        let bucket_ids: HashSet<u128> = ids.by_ref().take(count as usize).collect();
        ensure!(bucket_ids.len() == count as usize, InconsistentSnafu { field: "ids" });
        recent.push_bucket(bucket_number, bucket_ids);
    }
    Ok(())
}
