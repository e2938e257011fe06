//! Merges messages from peers and builds the replies.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use balsam_types::Offset;

use crate::codec;
use crate::codec::LoadUpdate;
use crate::codec::MAX_PARTS;
use crate::codec::MAX_STOPS;
use crate::codec::Packet;
use crate::codec::load_code;
use crate::codec::load_from_code;
use crate::digest::Row;
use crate::digest::short_id;
use crate::entry::Entry;
use crate::entry::Part;
use crate::entry::PublishedObservation;
use crate::entry::complete_version;
use crate::entry::is_equal_except_load;
use crate::node::MAX_HEALTH_SCORE;
use crate::node::PeerNode;
use crate::relay::GATEWAYS;
use crate::view::OutboundMessage;
use crate::view::PeerEvent;
use crate::view::StopNotice;

/// Added to the age of parts that stay in the outbox until the next tick.
pub(crate) const OUTBOX_DELAY_MS: u64 = 100;

/// How long an address is skipped after a failed call.
const FAILED_ADDRESS_BACKOFF_MS: u64 = 2_000;

impl PeerNode {
    /// Merges a peer's message; returns the reply, or none if the message cannot be decoded, and
    /// the changes that it made.
    pub fn receive(&mut self, now_ms: u64, payload: &[u8]) -> (Option<Vec<u8>>, Vec<PeerEvent>) {
        self.detect_pause(now_ms);
        let Some(packet) = self.decode(now_ms, payload) else { return (None, Vec::new()) };
        let events = self.merge(now_ms, &packet);
        let reply = self.build_reply(now_ms, &packet);
        (Some(codec::encode(reply, now_ms)), events)
    }

    /// Merges the reply to a message that this node sent to `from`.
    pub fn receive_reply(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        payload: &[u8],
    ) -> Vec<PeerEvent> {
        self.detect_pause(now_ms);
        let Some(packet) = self.decode(now_ms, payload) else { return Vec::new() };
        self.health_score = self.health_score.saturating_sub(1);
        self.failed_until_ms.remove(&from);
        let events = self.merge(now_ms, &packet);
        if !packet.rows.is_empty() && !self.has_exchanged {
            self.has_exchanged = true;
            self.suspect_from_ms = now_ms;
        }
        let mut follow_up = self.packet(now_ms, Vec::new());
        follow_up.want = self.ids_to_fetch(&packet);
        follow_up.parts = self.requested_parts(now_ms, &packet);
        for part in &mut follow_up.parts {
            part.age_ms += OUTBOX_DELAY_MS;
        }
        if !packet.rows.is_empty() && packet.stops_hash != self.stops.hash() {
            follow_up.stops = self.stops_to_send();
        }
        if !(follow_up.want.is_empty() && follow_up.parts.is_empty() && follow_up.stops.is_empty())
        {
            self.outbox.push(OutboundMessage {
                to_address: from,
                payload: codec::encode(follow_up, now_ms),
            });
        }
        events
    }

    /// Records that a call got no reply, whether or not the message arrived.
    pub fn send_failed(&mut self, now_ms: u64, to: SocketAddr) {
        self.detect_pause(now_ms);
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        self.failed_until_ms.retain(|_, until_ms| *until_ms > now_ms);
        self.failed_until_ms.insert(to, now_ms + FAILED_ADDRESS_BACKOFF_MS);
    }

    pub(crate) fn packet(&self, now_ms: u64, rows: Vec<Row>) -> Packet {
        Packet {
            from_id: self.own_id,
            data_centre: self.own.part.data_centre.clone(),
            highest_offset: self.highest_offset,
            folded_offset: self.own.part.folded_offset,
            sender: (self.own.part.heartbeat, self.own.age_ms(now_ms)),
            rows,
            parts: Vec::new(),
            loads: Vec::new(),
            want: Vec::new(),
            stops_hash: self.stops.hash(),
            stops: Vec::new(),
        }
    }

    /// Returns the digest rows for a peer.
    ///
    /// For a peer of this data centre (`is_full`) rows of this data centre older than `max_age_ms`
    /// are left out: such a row is rarely news to the peer, which sends a newer one whether the row
    /// is present or absent. For other peers these are the rows of the gateways, and with
    /// `has_transit` those of other data centres as well.
    pub(crate) fn rows(
        &self,
        now_ms: u64,
        is_full: bool,
        has_transit: bool,
        max_age_ms: u64,
    ) -> Vec<Row> {
        let own = &self.own.part;
        let mut rows = Vec::with_capacity(self.entries.len() + 1);
        if is_full || self.gateways.contains(&own.node.vm) {
            rows.push(Row { id: self.own_id, heartbeat: own.heartbeat, version: own.version });
        }
        for (vm, entry) in &self.entries {
            let is_local = entry.part.data_centre == own.data_centre;
            let is_shared = match (is_full, is_local) {
                (true, true) => entry.evidence_age_ms(now_ms) <= max_age_ms,
                (true, false) => true,
                (false, true) => self.gateways.contains(vm),
                (false, false) => has_transit,
            };
            if is_shared && self.is_live(now_ms, entry) {
                rows.push(Row {
                    id: entry.id,
                    heartbeat: entry.version_heartbeat,
                    version: entry.part.version,
                });
            }
        }
        rows
    }

    pub(crate) fn push_stops(&mut self, now_ms: u64, stops: &[StopNotice]) {
        let targets = self.stop_targets(now_ms);
        let mut packet = self.packet(now_ms, Vec::new());
        packet.stops = stops.iter().take(MAX_STOPS).cloned().collect();
        let payload = codec::encode(packet, now_ms);
        let messages = targets
            .into_iter()
            .map(|to_address| OutboundMessage { to_address, payload: payload.clone() });
        self.outbox.extend(messages);
    }

    fn decode(&mut self, now_ms: u64, payload: &[u8]) -> Option<Packet> {
        let decoded = codec::decode(payload, now_ms);
        if decoded.is_err() {
            self.rejected += 1;
        }
        let mut packet = decoded.ok()?;
        self.complete_rows(now_ms, &mut packet);
        Some(packet)
    }

    /// Restores the high bits of heartbeats and versions in rows. Heartbeats from unknown senders
    /// and in late messages become zero, which confirms nothing.
    fn complete_rows(&self, now_ms: u64, packet: &mut Packet) {
        let sender = self.entry_of(packet.from_id);
        let is_usable = sender.is_some_and(|entry| !entry.is_late(now_ms, packet.sender.0));
        for row in &mut packet.rows {
            let Some(entry) = self.entry_of(row.id) else {
                row.heartbeat = 0;
                if row.id == self.own_id {
                    row.version = complete_version(self.own.part.version, row.version);
                }
                continue;
            };
            (row.heartbeat, row.version) = if is_usable {
                let is_from_sender = row.id == packet.from_id;
                let completed = || entry.complete_heartbeat(now_ms, row.heartbeat);
                let heartbeat = if is_from_sender { packet.sender.0 } else { completed() };
                (heartbeat, entry.complete_version(now_ms, row.version))
            } else {
                (0, entry.part.version)
            };
        }
    }

    fn entry_of(&self, id: u32) -> Option<&Entry> {
        self.entries.get(self.vm_by_id.get(&id)?)
    }

    fn merge(&mut self, now_ms: u64, packet: &Packet) -> Vec<PeerEvent> {
        let mut events = Vec::new();
        let is_same_data_centre = packet.data_centre == self.own.part.data_centre;
        for part in &packet.parts {
            self.merge_part(now_ms, is_same_data_centre, part, &mut events);
        }
        for load in &packet.loads {
            self.merge_load(now_ms, load);
        }
        for row in &packet.rows {
            self.merge_row(now_ms, *row);
        }
        if let Some(vm) = self.vm_by_id.get(&packet.from_id)
            && let Some(entry) = self.entries.get_mut(vm)
        {
            if !packet.rows.is_empty() {
                entry.observe_heartbeat(now_ms, packet.sender.0, packet.sender.1);
            }
            entry.part.folded_offset = entry.part.folded_offset.max(packet.folded_offset);
        }
        let offset: Offset = packet.highest_offset.max(packet.folded_offset);
        if offset > self.highest_offset {
            self.highest_offset = offset;
            events.push(PeerEvent::Offset(offset));
        }
        let max_stops = self.settings.max_stops;
        let new_stops: Vec<StopNotice> = packet
            .stops
            .iter()
            .filter(|stop| stop.expires_at_ms > now_ms)
            .filter_map(|stop| self.stops.merge(stop.clone(), max_stops))
            .collect();
        if !new_stops.is_empty() {
            self.push_stops(now_ms, &new_stops);
            events.extend(new_stops.into_iter().map(PeerEvent::Stop));
        }
        events
    }

    fn merge_row(&mut self, now_ms: u64, row: Row) {
        let Some(vm) = self.vm_by_id.get(&row.id) else { return };
        let Some(entry) = self.entries.get_mut(vm) else { return };
        entry.observe_heartbeat(now_ms, row.heartbeat, 0);
        if is_equal_except_load(row.version, entry.part.version) {
            entry.confirm(now_ms, row.heartbeat);
        }
    }

    fn merge_load(&mut self, now_ms: u64, load: &LoadUpdate) {
        let Some(vm) = self.vm_by_id.get(&load.row.id) else { return };
        let Some(entry) = self.entries.get_mut(vm) else { return };
        let known = &mut entry.part;
        let is_newer = load.row.version > known.version
            && is_equal_except_load(load.row.version, known.version)
            && load.codes.len() == known.observations.len();
        if is_newer {
            let pairs = known.observations.iter().zip(&load.codes);
            let updated = pairs.map(|(observation, code)| PublishedObservation {
                in_flight: load_from_code(*code),
                ..observation.clone()
            });
            known.observations = updated.collect();
            known.version = load.row.version;
        }
        self.merge_row(now_ms, load.row);
    }

    fn merge_part(
        &mut self,
        now_ms: u64,
        is_same_data_centre: bool,
        part: &Part,
        events: &mut Vec<PeerEvent>,
    ) {
        let own = &self.own.part;
        // Parts lose their observations when they leave the data centre, so a copy that comes back
        // from another data centre must not replace the complete part.
        if part.node.vm == own.node.vm
            || (part.data_centre == own.data_centre && !is_same_data_centre)
        {
            return;
        }
        let id = short_id(&part.node);
        if let Some(entry) = self.entries.get_mut(&part.node.vm) {
            if part.node == entry.part.node {
                if entry.replace(now_ms, part.clone()) {
                    events.push(PeerEvent::Changed(part.node.clone()));
                }
                return;
            }
            if incarnation_order(part) < incarnation_order(&entry.part) {
                return;
            }
        } else if self.entries.len() >= self.settings.max_members {
            return;
        }
        let is_id_taken = self.vm_by_id.get(&id).is_some_and(|vm| *vm != part.node.vm);
        if is_id_taken || id == self.own_id || part.age_ms > self.settings.gone_after_ms {
            return;
        }
        let entry = Entry::new(now_ms, id, part.clone());
        if let Some(old) = self.entries.insert(part.node.vm.clone(), entry) {
            self.vm_by_id.remove(&old.id);
        }
        self.vm_by_id.insert(id, part.node.vm.clone());
        self.gateways_chosen_ms = None;
        self.remember_seed(part.data_centre.clone(), part.peer_address);
        events.push(PeerEvent::Joined(part.node.clone()));
    }

    /// Returns the ids for which the peer holds a newer version than this node.
    fn ids_to_fetch(&self, packet: &Packet) -> Vec<u32> {
        let is_newer =
            |row: &&Row| match self.vm_by_id.get(&row.id).and_then(|vm| self.entries.get(vm)) {
                // A version that differs only in load arrives as a load update.
                Some(entry) => {
                    row.version > entry.part.version
                        && self.may_accept(packet, entry)
                        && !(is_equal_except_load(row.version, entry.part.version)
                            && entry.part.summary.is_none())
                }
                None => row.id != self.own_id,
            };
        packet.rows.iter().filter(is_newer).map(|row| row.id).take(MAX_PARTS).collect()
    }

    fn may_accept(&self, packet: &Packet, entry: &Entry) -> bool {
        let own = &self.own.part.data_centre;
        packet.data_centre == *own || entry.part.data_centre != *own
    }

    /// Returns the parts the peer asked for by id.
    fn requested_parts(&self, now_ms: u64, packet: &Packet) -> Vec<Part> {
        let is_full = packet.data_centre == self.own.part.data_centre;
        let parts = packet.want.iter().filter_map(|id| self.part_for(now_ms, *id, is_full));
        parts.take(MAX_PARTS).collect()
    }

    /// Returns a part as it may be sent, with its current age; observations stay within the data
    /// centre.
    fn part_for(&self, now_ms: u64, id: u32, is_full: bool) -> Option<Part> {
        let mut part = if id == self.own_id {
            Part { age_ms: self.own.age_ms(now_ms), ..self.own.part.clone() }
        } else {
            let entry = self.entries.get(self.vm_by_id.get(&id)?)?;
            let age_ms = entry.evidence_age_ms(now_ms);
            Part { heartbeat: entry.version_heartbeat, age_ms, ..entry.part.clone() }
        };
        if !is_full {
            part.observations = Vec::new().into();
        }
        Some(part)
    }

    /// Returns an update if the peer's version differs only in load. A part with a summary has to
    /// be sent whole.
    fn load_update(&self, known: Row, row: Row) -> Option<LoadUpdate> {
        let part = if row.id == self.own_id {
            &self.own.part
        } else {
            &self.entries.get(self.vm_by_id.get(&row.id)?)?.part
        };
        let is_load_only =
            is_equal_except_load(known.version, row.version) && part.summary.is_none();
        let codes = part.observations.iter().map(|observation| load_code(observation.in_flight));
        is_load_only.then(|| LoadUpdate { row, codes: codes.collect() })
    }

    /// Builds the reply: the parts that the peer asked for and, for a digest, what the peer lacks.
    fn build_reply(&mut self, now_ms: u64, packet: &Packet) -> Packet {
        let is_full = packet.data_centre == self.own.part.data_centre;
        let mut reply = self.packet(now_ms, Vec::new());
        reply.parts = self.requested_parts(now_ms, packet);
        if packet.rows.is_empty() {
            return reply;
        }
        let peer_rows: BTreeMap<u32, Row> = packet.rows.iter().map(|row| (row.id, *row)).collect();
        let has_transit = packet.rows.len() > GATEWAYS;
        for row in self.rows(now_ms, is_full, has_transit, self.settings.reply_max_age_ms) {
            let known = peer_rows.get(&row.id);
            if known.is_some_and(|known| known.version < row.version) {
                let update = known.and_then(|known| self.load_update(*known, row));
                if let Some(update) = update.filter(|_| is_full) {
                    reply.loads.push(update);
                } else if reply.parts.len() < MAX_PARTS {
                    reply.parts.extend(self.part_for(now_ms, row.id, is_full));
                }
            } else if known
                .is_none_or(|known| known.version == row.version && known.heartbeat < row.heartbeat)
                || row.id == self.own_id
            {
                reply.rows.push(row);
            }
        }
        if reply.rows.is_empty() {
            // A reply to a digest always has a row, so that the peer can tell it from other
            // replies.
            let own = &self.own.part;
            reply.rows.push(Row {
                id: self.own_id,
                heartbeat: own.heartbeat,
                version: own.version,
            });
        }
        reply.want = self.ids_to_fetch(packet);
        if packet.stops_hash != self.stops.hash() {
            reply.stops = self.stops_to_send();
        }
        reply
    }

    /// Returns as many notices as fit into a message, starting at a random one so that each is sent
    /// eventually.
    fn stops_to_send(&mut self) -> Vec<StopNotice> {
        let all: Vec<StopNotice> = self.stops.all().cloned().collect();
        if all.len() <= MAX_STOPS {
            return all;
        }
        let start = rand::Rng::random_range(&mut self.rng, 0..all.len());
        all.iter().cycle().skip(start).take(MAX_STOPS).cloned().collect()
    }
}

fn incarnation_order(part: &Part) -> (u64, u32) {
    (part.node.start_ms, part.node.nonce)
}
