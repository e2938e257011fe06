//! Encodes and decodes payloads, with validation and size limits.

use std::sync::Arc;

use balsam_types::DataCentreName;
use balsam_types::Offset;
use balsam_wire::DecodeError;
use balsam_wire::pb::gossip::v1 as pb;
use balsam_wire::pb::gossip::v1::stop::Subject as PbSubject;
use balsam_wire::pb::record::v1::Offset as PbOffset;
use balsam_wire::record::incarnation_from_pb;
use balsam_wire::record::incarnation_to_pb;
use balsam_wire::record::offset_from_pb;
use balsam_wire::record::offset_to_pb;
use balsam_wire::record::parse_name;
use prost::Message;
use snafu::Snafu;

use crate::digest;
use crate::digest::Row;
use crate::entry::Part;
use crate::entry::PublishedObservation;
use crate::view::CapacitySummary;
use crate::view::PoolSummary;
use crate::view::Presence;
use crate::view::StopNotice;
use crate::view::StopSubject;
use crate::view::Temperature;

/// Maximum size of an accepted payload.
pub const MAX_PAYLOAD_BYTES: usize = 256 * 1024;
/// Maximum number of parts in one payload; a joining node gets the rest in later exchanges.
pub(crate) const MAX_PARTS: usize = 128;
/// Maximum number of stop notices in one payload.
pub(crate) const MAX_STOPS: usize = 256;
/// Maximum number of observations in one part.
pub(crate) const MAX_OBSERVATIONS: usize = 256;
const MAX_POOLS: usize = 256;
const MAX_INSTANCE_BYTES: usize = 128;

/// The reason why a payload was rejected.
#[derive(Debug, Snafu)]
pub enum PayloadError {
    /// A value is invalid.
    #[snafu(context(false), display("gossip payload: {source}"))]
    Wire {
        /// The invalid value.
        source: DecodeError,
    },
    /// The bytes are not a valid protobuf message.
    #[snafu(context(false), display("gossip payload: {source}"))]
    Malformed {
        /// The decoder's error.
        source: prost::DecodeError,
    },
    /// A field is missing, too long or has an unknown value.
    #[snafu(display("gossip payload: field {field} is missing, too long or has an unknown value"))]
    Field {
        /// The name of the field.
        field: &'static str,
    },
}

/// The loads of a version that differs only in load from the one that the peer holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LoadUpdate {
    pub(crate) row: Row,
    /// One code per observation, see [`load_code`].
    pub(crate) codes: Vec<u8>,
}

/// Encodes a load that is zero or a power of two.
pub(crate) fn load_code(in_flight: u32) -> u8 {
    in_flight.checked_ilog2().map_or(0, |log| log as u8 + 1)
}

/// Decodes a load.
pub(crate) fn load_from_code(code: u8) -> u32 {
    let log = code.checked_sub(1);
    log.map_or(0, |log| 1_u32.checked_shl(u32::from(log)).unwrap_or(u32::MAX))
}

fn load_to_pb(load: LoadUpdate) -> pb::LoadUpdate {
    let Row { id, heartbeat, version } = load.row;
    pb::LoadUpdate { id, heartbeat, version, in_flight: load.codes }
}

fn load_from_pb(raw: pb::LoadUpdate) -> LoadUpdate {
    let row = Row { id: raw.id, heartbeat: raw.heartbeat, version: raw.version };
    LoadUpdate { row, codes: raw.in_flight }
}

/// A decoded message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Packet {
    pub(crate) from_id: u32,
    pub(crate) data_centre: DataCentreName,
    pub(crate) highest_offset: Offset,
    pub(crate) folded_offset: Offset,
    /// The sender's own heartbeat and its age; meaningful only if there are rows.
    pub(crate) sender: (u64, u64),
    pub(crate) rows: Vec<Row>,
    pub(crate) parts: Vec<Part>,
    pub(crate) loads: Vec<LoadUpdate>,
    pub(crate) want: Vec<u32>,
    pub(crate) stops_hash: u32,
    pub(crate) stops: Vec<StopNotice>,
}

fn check_len<T>(items: &[T], max: usize, field: &'static str) -> Result<(), PayloadError> {
    if items.len() > max { FieldSnafu { field }.fail() } else { Ok(()) }
}

fn require<T>(value: Option<T>, field: &'static str) -> Result<T, PayloadError> {
    value.ok_or(PayloadError::Field { field })
}

fn offset(raw: Option<PbOffset>) -> Offset {
    raw.as_ref().map(offset_from_pb).unwrap_or_default()
}

pub(crate) fn encode(packet: Packet, now_ms: u64) -> Vec<u8> {
    let message = pb::Message {
        from_id: packet.from_id,
        data_centre: packet.data_centre.to_string(),
        highest_offset: Some(offset_to_pb(packet.highest_offset)),
        folded_offset: Some(offset_to_pb(packet.folded_offset)),
        digest: digest::encode_rows(packet.sender, packet.rows),
        parts: packet.parts.iter().map(part_to_pb).collect(),
        loads: packet.loads.into_iter().map(load_to_pb).collect(),
        want: packet.want,
        stops_hash: packet.stops_hash,
        stops: packet.stops.iter().map(|stop| stop_to_pb(stop, now_ms)).collect(),
    };
    message.encode_to_vec()
}

pub(crate) fn decode(payload: &[u8], now_ms: u64) -> Result<Packet, PayloadError> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return FieldSnafu { field: "payload" }.fail();
    }
    let raw = pb::Message::decode(payload)?;
    check_len(&raw.parts, MAX_PARTS, "parts")?;
    check_len(&raw.loads, digest::MAX_ROWS, "loads")?;
    check_len(&raw.want, digest::MAX_ROWS, "want")?;
    check_len(&raw.stops, MAX_STOPS, "stops")?;
    let parts: Result<Vec<Part>, _> = raw.parts.into_iter().map(part_from_pb).collect();
    let stops: Result<Vec<StopNotice>, _> =
        raw.stops.into_iter().map(|stop| stop_from_pb(stop, now_ms)).collect();
    let (sender, rows) = require(digest::decode_rows(&raw.digest), "digest")?;
    Ok(Packet {
        from_id: raw.from_id,
        data_centre: parse_name(raw.data_centre, "Message")?,
        highest_offset: offset(raw.highest_offset),
        folded_offset: offset(raw.folded_offset),
        sender,
        rows,
        parts: parts?,
        loads: raw.loads.into_iter().map(load_from_pb).collect(),
        want: raw.want,
        stops_hash: raw.stops_hash,
        stops: stops?,
    })
}

fn part_to_pb(part: &Part) -> pb::Part {
    let state = if part.leaving { pb::NodeState::Leaving } else { pb::NodeState::Alive };
    pb::Part {
        node: Some(incarnation_to_pb(&part.node)),
        data_centre: part.data_centre.to_string(),
        region: part.region.to_string(),
        peer_address: part.peer_address.to_string(),
        state: state.into(),
        heartbeat: part.heartbeat,
        version: part.version,
        age_ms: part.age_ms,
        platform_reachable: part.platform_reachable,
        folded_offset: Some(offset_to_pb(part.folded_offset)),
        observations: part.observations.iter().map(observation_to_pb).collect(),
        summary: part.summary.as_ref().map(summary_to_pb),
    }
}

fn part_from_pb(raw: pb::Part) -> Result<Part, PayloadError> {
    check_len(&raw.observations, MAX_OBSERVATIONS, "observations")?;
    let leaving = match raw.state() {
        pb::NodeState::Alive => false,
        pb::NodeState::Leaving => true,
        pb::NodeState::Unspecified => return FieldSnafu { field: "state" }.fail(),
    };
    let observations: Result<Vec<PublishedObservation>, _> =
        raw.observations.into_iter().map(observation_from_pb).collect();
    Ok(Part {
        node: incarnation_from_pb(require(raw.node, "node")?)?,
        data_centre: parse_name(raw.data_centre, "Part")?,
        region: parse_name(raw.region, "Part")?,
        peer_address: require(raw.peer_address.parse().ok(), "peer_address")?,
        leaving,
        heartbeat: raw.heartbeat,
        version: raw.version,
        age_ms: raw.age_ms,
        platform_reachable: raw.platform_reachable,
        folded_offset: offset(raw.folded_offset),
        observations: observations?.into(),
        summary: raw.summary.map(summary_from_pb).transpose()?,
    })
}

fn observation_to_pb(observation: &PublishedObservation) -> pb::Observation {
    let presence = match observation.presence {
        Presence::Present => pb::Presence::Present,
        Presence::Missing => pb::Presence::Missing,
        Presence::Slow => pb::Presence::Slow,
        Presence::Leaving => pb::Presence::Leaving,
    };
    let temperature = match observation.temperature {
        Temperature::Unknown => pb::Temperature::Unknown,
        Temperature::Cold => pb::Temperature::Cold,
        Temperature::Warm => pb::Temperature::Warm,
    };
    pb::Observation {
        vm: observation.vm.to_string(),
        presence: presence.into(),
        instance: observation.instance.to_string(),
        temperature: temperature.into(),
        in_flight: observation.in_flight,
        fence: observation.fence,
        ready: observation.ready,
    }
}

fn observation_from_pb(raw: pb::Observation) -> Result<PublishedObservation, PayloadError> {
    check_len(raw.instance.as_bytes(), MAX_INSTANCE_BYTES, "instance")?;
    let presence = match raw.presence() {
        pb::Presence::Present => Presence::Present,
        pb::Presence::Missing => Presence::Missing,
        pb::Presence::Slow => Presence::Slow,
        pb::Presence::Leaving => Presence::Leaving,
        pb::Presence::Unspecified => return FieldSnafu { field: "presence" }.fail(),
    };
    let temperature = match raw.temperature() {
        pb::Temperature::Unknown => Temperature::Unknown,
        pb::Temperature::Cold => Temperature::Cold,
        pb::Temperature::Warm => Temperature::Warm,
    };
    let instance = Arc::from(raw.instance.as_str());
    let vm = parse_name(raw.vm.clone(), "Observation")?;
    let pb::Observation { in_flight, fence, ready, .. } = raw;
    Ok(PublishedObservation { vm, presence, instance, temperature, in_flight, fence, ready })
}

fn summary_to_pb(summary: &CapacitySummary) -> pb::Summary {
    let pool = |pool: &PoolSummary| pb::PoolSummary {
        pool: pool.pool.to_string(),
        serving_groups: pool.serving_groups,
        free_slots: pool.free_slots,
    };
    pb::Summary {
        drained: summary.drained,
        offset: Some(offset_to_pb(summary.offset)),
        pools: summary.pools.iter().map(pool).collect(),
    }
}

fn summary_from_pb(raw: pb::Summary) -> Result<CapacitySummary, PayloadError> {
    check_len(&raw.pools, MAX_POOLS, "pools")?;
    let pool = |pool: pb::PoolSummary| -> Result<PoolSummary, PayloadError> {
        Ok(PoolSummary {
            pool: parse_name(pool.pool, "PoolSummary")?,
            serving_groups: pool.serving_groups,
            free_slots: pool.free_slots,
        })
    };
    let pools: Result<Vec<PoolSummary>, _> = raw.pools.into_iter().map(pool).collect();
    Ok(CapacitySummary { drained: raw.drained, offset: offset(raw.offset), pools: pools? })
}

fn stop_to_pb(stop: &StopNotice, now_ms: u64) -> pb::Stop {
    let subject = match &stop.subject {
        StopSubject::DataCentre(data_centre) => PbSubject::DataCentre(data_centre.to_string()),
        StopSubject::EndpointVm(vm) => PbSubject::EndpointVm(vm.to_string()),
        StopSubject::EntryVm(vm) => PbSubject::EntryVm(vm.to_string()),
    };
    pb::Stop {
        id: stop.id.to_be_bytes().to_vec(),
        origin: Some(incarnation_to_pb(&stop.origin)),
        subject: Some(subject),
        expires_in_ms: stop.expires_at_ms.saturating_sub(now_ms),
        cleared_at: stop.cleared_at.map(offset_to_pb),
    }
}

fn stop_from_pb(raw: pb::Stop, now_ms: u64) -> Result<StopNotice, PayloadError> {
    let id: Option<[u8; 16]> = raw.id.as_slice().try_into().ok();
    let subject = match require(raw.subject, "subject")? {
        PbSubject::DataCentre(raw) => StopSubject::DataCentre(parse_name(raw, "Stop")?),
        PbSubject::EndpointVm(raw) => StopSubject::EndpointVm(parse_name(raw, "Stop")?),
        PbSubject::EntryVm(raw) => StopSubject::EntryVm(parse_name(raw, "Stop")?),
    };
    Ok(StopNotice {
        id: u128::from_be_bytes(require(id, "id")?),
        origin: incarnation_from_pb(require(raw.origin, "origin")?)?,
        subject,
        expires_at_ms: now_ms.saturating_add(raw.expires_in_ms),
        cleared_at: raw.cleared_at.as_ref().map(offset_from_pb),
    })
}
