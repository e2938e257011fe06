//! Schedules messages and chooses their receivers.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use balsam_types::DataCentreName;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;

use crate::codec;
use crate::entry::Part;
use crate::exchange::OUTBOX_DELAY_MS;
use crate::node::PeerNode;
use crate::relay::RELAYS;
use crate::relay::highest_ranked;
use crate::view::OutboundMessage;

/// Time between attempts to contact addresses that are not live members.
const CONTACT_INTERVAL_MS: u64 = 5_000;

/// The same while no live peer of this node's data centre is known.
const ISOLATED_CONTACT_INTERVAL_MS: u64 = 1_000;

/// One in this many digests to another data centre also covers third data centres.
const TRANSIT_PERIOD: u32 = 4;

/// Factor by which the exchange interval of relays is longer in a large cluster.
const RELAY_INTERVAL_FACTOR: u64 = 2;

/// Below this number of members a node's traffic is far from the limit, so relays do not need a
/// longer exchange interval.
const SMALL_CLUSTER_MEMBERS: usize = 24;

impl PeerNode {
    fn is_small_cluster(&self) -> bool {
        self.entries.len() < SMALL_CLUSTER_MEMBERS
    }

    /// Advances the clock and returns the messages to send now.
    pub fn tick(&mut self, now_ms: u64) -> Vec<OutboundMessage> {
        self.detect_pause(now_ms);
        self.stops.expire(now_ms);
        self.forget_silent_members(now_ms);
        self.refresh_own_part(now_ms);
        self.exchange_within_data_centre(now_ms);
        self.try_contact(now_ms);
        self.exchange_between_data_centres(now_ms);
        std::mem::take(&mut self.outbox)
    }

    /// Queues this node's part at once, because a changed probe result must not wait for the next
    /// scheduled exchange.
    pub(crate) fn push_own_part(&mut self, now_ms: u64) {
        let targets = self.random_peers(now_ms, self.settings.stop_fanout);
        let mut packet = self.packet(now_ms, Vec::new());
        let age_ms = self.own.age_ms(now_ms) + OUTBOX_DELAY_MS;
        packet.parts.push(Part { age_ms, ..self.own.part.clone() });
        let payload = codec::encode(packet, now_ms);
        let messages = targets
            .into_iter()
            .map(|to_address| OutboundMessage { to_address, payload: payload.clone() });
        self.outbox.extend(messages);
    }

    /// Returns random peers, the relays of this data centre and, on a gateway, those of other ones.
    pub(crate) fn stop_targets(&mut self, now_ms: u64) -> BTreeSet<SocketAddr> {
        let mut targets: BTreeSet<SocketAddr> =
            self.random_peers(now_ms, self.settings.stop_fanout).into_iter().collect();
        let relays = self.gateways.iter().take(RELAYS).filter_map(|vm| self.entries.get(vm));
        targets.extend(relays.map(|entry| entry.part.peer_address));
        if self.gateways.contains(&self.own.part.node.vm) {
            for data_centre in self.other_data_centres() {
                targets.extend(self.relays_of(now_ms, &data_centre));
            }
        }
        targets
    }

    fn random_peers(&mut self, now_ms: u64, count: usize) -> Vec<SocketAddr> {
        let live = self.live_addresses(now_ms);
        live.choose_multiple(&mut self.rng, count).copied().collect()
    }

    /// Returns the addresses of live peers in this data centre.
    fn live_addresses(&self, now_ms: u64) -> Vec<SocketAddr> {
        let own = &self.own.part.data_centre;
        let live = self
            .entries
            .values()
            .filter(|entry| entry.part.data_centre == *own && self.is_live(now_ms, entry));
        live.map(|entry| entry.part.peer_address).collect()
    }

    fn relays_of(&self, now_ms: u64, data_centre: &DataCentreName) -> Vec<SocketAddr> {
        let live = self.entries.iter().filter(|(_, entry)| {
            entry.part.data_centre == *data_centre && self.is_live(now_ms, entry)
        });
        let ranked = highest_ranked(live.map(|(vm, _)| vm), usize::MAX);
        let addresses = ranked.into_iter().filter_map(|vm| self.entries.get(vm));
        let addresses = addresses.map(|entry| entry.part.peer_address);
        addresses.filter(|address| !self.has_failed(now_ms, address)).take(RELAYS).collect()
    }

    fn other_data_centres(&self) -> BTreeSet<DataCentreName> {
        let own = &self.own.part.data_centre;
        let from_contacts = self.contacts.iter().filter_map(|contact| contact.data_centre.clone());
        let known = self.seeds.keys().cloned().chain(from_contacts);
        known.filter(|data_centre| data_centre != own).collect()
    }

    fn has_failed(&self, now_ms: u64, address: &SocketAddr) -> bool {
        self.failed_until_ms.get(address).is_some_and(|until_ms| *until_ms > now_ms)
    }

    fn send_digest(&mut self, now_ms: u64, to_address: SocketAddr, is_full: bool) {
        let has_transit = self.rng.random_range(0..TRANSIT_PERIOD) == 0;
        let mut packet = self.packet(
            now_ms,
            self.rows(now_ms, is_full, has_transit, self.settings.digest_max_age_ms),
        );
        if packet.rows.is_empty() {
            packet.rows.push(crate::digest::Row {
                id: self.own_id,
                heartbeat: self.own.part.heartbeat,
                version: self.own.part.version,
            });
        }
        self.outbox.push(OutboundMessage { to_address, payload: codec::encode(packet, now_ms) });
    }

    fn exchange_within_data_centre(&mut self, now_ms: u64) {
        if now_ms < self.next_exchange_ms {
            return;
        }
        // Relays also exchange with other data centres, so they start fewer exchanges in their own
        // to stay within the byte limit.
        let interval_factor =
            if self.is_relay() && !self.is_small_cluster() { RELAY_INTERVAL_FACTOR } else { 1 };
        let interval_ms = self.settings.exchange_interval_ms * interval_factor;
        self.next_exchange_ms = (self.next_exchange_ms + interval_ms).max(now_ms + interval_ms / 2);
        if let Some(peer) = self.next_peer(now_ms) {
            self.send_digest(now_ms, peer, true);
        }
    }

    /// Returns the next peer of a shuffled round, so that no pair goes long without a direct
    /// exchange.
    fn next_peer(&mut self, now_ms: u64) -> Option<SocketAddr> {
        let live = self.live_addresses(now_ms);
        for _ in 0..2 {
            while let Some(address) = self.exchange_queue.pop() {
                if live.contains(&address) && !self.has_failed(now_ms, &address) {
                    return Some(address);
                }
            }
            self.exchange_queue = live.clone();
            self.exchange_queue.shuffle(&mut self.rng);
        }
        None
    }

    /// Contacts an address that is not a live member, to join at the start and to find lost peers.
    fn try_contact(&mut self, now_ms: u64) {
        if now_ms < self.next_contact_ms {
            return;
        }
        let live = self.live_addresses(now_ms);
        let is_isolated = live.is_empty();
        let interval_ms =
            if is_isolated { ISOLATED_CONTACT_INTERVAL_MS } else { CONTACT_INTERVAL_MS };
        self.next_contact_ms = now_ms + interval_ms + self.rng.random_range(0..interval_ms / 4);
        let own = &self.own.part.data_centre;
        let remote_addresses: BTreeSet<SocketAddr> = self
            .entries
            .values()
            .filter(|entry| entry.part.data_centre != *own && self.is_live(now_ms, entry))
            .map(|entry| entry.part.peer_address)
            .collect();
        let is_local = |contact: &&crate::view::Contact| {
            contact.data_centre.as_ref().is_none_or(|data_centre| data_centre == own)
        };
        let contacts = self.contacts.iter().filter(is_local).map(|contact| contact.address);
        let seeds = self.seeds.get(own).into_iter().flatten().copied();
        let mut candidates: Vec<SocketAddr> = contacts.chain(seeds).collect();
        candidates.retain(|address| !live.contains(address) && !remote_addresses.contains(address));
        if let Some(address) = candidates.choose(&mut self.rng).copied() {
            self.send_digest(now_ms, address, false);
        }
    }

    fn exchange_between_data_centres(&mut self, now_ms: u64) {
        if !self.is_relay() {
            return;
        }
        for data_centre in self.other_data_centres() {
            let interval_ms = self.settings.relay_interval_ms;
            let due_ms = self.next_relay_ms.get(&data_centre).copied().unwrap_or(0);
            if now_ms < due_ms {
                continue;
            }
            let jitter_ms = self.rng.random_range(0..=interval_ms / 4);
            let next_ms = now_ms + interval_ms - interval_ms / 8 + jitter_ms;
            self.next_relay_ms.insert(data_centre.clone(), next_ms);
            if let Some(address) = self.address_in(now_ms, &data_centre) {
                self.send_digest(now_ms, address, false);
            }
        }
    }

    /// Returns the address of a relay in another data centre, or else any address known there.
    fn address_in(&mut self, now_ms: u64, data_centre: &DataCentreName) -> Option<SocketAddr> {
        let relays = self.relays_of(now_ms, data_centre);
        if let Some(address) = relays.choose(&mut self.rng) {
            return Some(*address);
        }
        let contacts = self.contacts.iter();
        let matching_contacts =
            contacts.filter(|contact| contact.data_centre.as_ref() == Some(data_centre));
        let seeds = self.seeds.get(data_centre).into_iter().flatten().copied();
        let candidates: Vec<SocketAddr> =
            matching_contacts.map(|contact| contact.address).chain(seeds).collect();
        candidates.choose(&mut self.rng).copied()
    }

    fn forget_silent_members(&mut self, now_ms: u64) {
        let limit_ms = self.settings.forget_after_ms;
        let suspect_from_ms = if self.has_exchanged { self.suspect_from_ms } else { now_ms };
        let forgotten: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                now_ms.saturating_sub(entry.heartbeat_seen_ms.max(suspect_from_ms)) > limit_ms
            })
            .map(|(vm, entry)| (vm.clone(), entry.id))
            .collect();
        for (vm, id) in forgotten {
            self.entries.remove(&vm);
            self.vm_by_id.remove(&id);
        }
    }
}
