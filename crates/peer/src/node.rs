//! The state of one node and the queries on it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use balsam_types::DataCentreName;
use balsam_types::Incarnation;
use balsam_types::Offset;
use balsam_types::RegionName;
use balsam_types::VmName;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::digest::short_id;
use crate::entry::Entry;
use crate::entry::Part;
use crate::local::OwnPart;
use crate::relay::GATEWAYS;
use crate::relay::RELAYS;
use crate::relay::highest_ranked;
use crate::settings::PeerSettings;
use crate::stops::Stops;
use crate::view::Contact;
use crate::view::DataCentreSummary;
use crate::view::Evidence;
use crate::view::LocalState;
use crate::view::Member;
use crate::view::MemberState;
use crate::view::OutboundMessage;
use crate::view::StopNotice;
use crate::view::StopSubject;

/// Maximum number of addresses remembered per data centre to reconnect after a long partition.
const MAX_SEEDS: usize = 8;

/// Maximum time between two choices of gateways.
const GATEWAY_INTERVAL_MS: u64 = 500;

/// Upper limit of the health score, which lengthens the suspicion timeout while this node's own
/// calls fail.
pub(crate) const MAX_HEALTH_SCORE: u64 = 4;

/// Dissemination at one entry node.
///
/// Call [`tick`](Self::tick) every 100 ms or so, and after [`receive`](Self::receive) and
/// [`receive_reply`](Self::receive_reply), which queue messages that the next tick returns.
#[derive(Debug)]
pub struct PeerNode {
    pub(crate) settings: PeerSettings,
    pub(crate) rng: StdRng,
    pub(crate) own_id: u32,
    pub(crate) own: OwnPart,
    pub(crate) entries: BTreeMap<VmName, Entry>,
    pub(crate) vm_by_id: BTreeMap<u32, VmName>,
    pub(crate) contacts: Vec<Contact>,
    pub(crate) seeds: BTreeMap<DataCentreName, VecDeque<SocketAddr>>,
    pub(crate) stops: Stops,
    pub(crate) highest_offset: Offset,
    /// Addresses that are skipped for a while after a failed call.
    pub(crate) failed_until_ms: BTreeMap<SocketAddr, u64>,
    pub(crate) outbox: Vec<OutboundMessage>,
    /// Nodes of the own data centre that other data centres know, relays first.
    pub(crate) gateways: Vec<VmName>,
    pub(crate) gateways_chosen_ms: Option<u64>,
    pub(crate) exchange_queue: Vec<SocketAddr>,
    pub(crate) next_exchange_ms: u64,
    pub(crate) next_contact_ms: u64,
    pub(crate) next_relay_ms: BTreeMap<DataCentreName, u64>,
    pub(crate) last_clock_ms: u64,
    /// Evidence confirmed before this time is not used.
    pub(crate) evidence_from_ms: u64,
    /// Silence before this time does not make a member suspect.
    pub(crate) suspect_from_ms: u64,
    /// Whether the node has completed an exchange since it started or was last paused.
    pub(crate) has_exchanged: bool,
    pub(crate) health_score: u64,
    /// Messages that could not be decoded.
    pub(crate) rejected: u64,
}

impl PeerNode {
    /// Creates the state of a node that knows no other node yet.
    pub fn new(
        settings: PeerSettings,
        node: Incarnation,
        data_centre: DataCentreName,
        region: RegionName,
        peer_address: SocketAddr,
        seed: u64,
        now_ms: u64,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let next_exchange_ms = now_ms + rng.random_range(0..=settings.exchange_interval_ms);
        let own_id = short_id(&node);
        let part = Part {
            node,
            data_centre,
            region,
            peer_address,
            leaving: false,
            heartbeat: 0,
            version: 1,
            age_ms: 0,
            platform_reachable: false,
            folded_offset: Offset::default(),
            observations: Vec::new().into(),
            summary: None,
        };
        Self {
            settings,
            rng,
            own_id,
            own: OwnPart::new(now_ms, part),
            entries: BTreeMap::new(),
            vm_by_id: BTreeMap::new(),
            contacts: Vec::new(),
            seeds: BTreeMap::new(),
            stops: Stops::default(),
            highest_offset: Offset::default(),
            failed_until_ms: BTreeMap::new(),
            outbox: Vec::new(),
            gateways: Vec::new(),
            gateways_chosen_ms: None,
            exchange_queue: Vec::new(),
            next_exchange_ms,
            next_contact_ms: now_ms,
            next_relay_ms: BTreeMap::new(),
            last_clock_ms: now_ms,
            evidence_from_ms: 0,
            suspect_from_ms: now_ms,
            has_exchanged: false,
            health_score: 0,
            rejected: 0,
        }
    }

    /// Replaces the initial contact addresses; this node's own address is ignored.
    pub fn set_contacts(&mut self, contacts: Vec<Contact>) {
        self.contacts = contacts;
        let own_address = self.own.part.peer_address;
        self.contacts.retain(|contact| contact.address != own_address);
    }

    /// Replaces what this node publishes, which must include unanswered probes.
    pub fn set_local(&mut self, now_ms: u64, state: LocalState) {
        self.detect_pause(now_ms);
        self.highest_offset = self.highest_offset.max(state.folded_offset);
        self.own.set(state);
        self.refresh_own_part(now_ms);
    }

    /// Raises a stop notice and returns it; the next tick sends it.
    pub fn raise_stop(&mut self, now_ms: u64, subject: StopSubject) -> StopNotice {
        let notice = StopNotice {
            id: self.rng.random(),
            origin: self.own.part.node.clone(),
            subject,
            expires_at_ms: now_ms + self.settings.stop_expiry_ms,
            cleared_at: None,
        };
        self.stops.merge(notice.clone(), usize::MAX);
        self.push_stops(now_ms, std::slice::from_ref(&notice));
        notice
    }

    /// Clears a notice that the accepted record at `offset` withdraws or confirms.
    ///
    /// Each node keeps applying the notice until it has folded that offset.
    pub fn clear_stop(&mut self, now_ms: u64, id: u128, offset: Offset) {
        if let Some(cleared) = self.stops.clear(id, offset) {
            self.push_stops(now_ms, std::slice::from_ref(&cleared));
        }
    }

    /// Returns the stop notices in force at the offset this node has folded.
    pub fn stops(&self) -> Vec<StopNotice> {
        self.stops.in_force(self.own.part.folded_offset)
    }

    /// Returns every known entry node but this one.
    ///
    /// The list holds all nodes of this data centre, but only some of each other one. A silent node
    /// of another data centre is left out instead of being reported as gone, because its data
    /// centre may just have chosen other gateways.
    pub fn members(&self, now_ms: u64) -> Vec<Member> {
        let listed = self.entries.values().filter_map(|entry| {
            let state = self.state_of(now_ms, entry);
            let is_silent = matches!(state, MemberState::Suspect | MemberState::Gone);
            let is_remote = entry.part.data_centre != self.own.part.data_centre;
            let member = || Member {
                incarnation: entry.part.node.clone(),
                data_centre: entry.part.data_centre.clone(),
                region: entry.part.region.clone(),
                peer_address: entry.part.peer_address,
                state,
                folded_offset: entry.part.folded_offset,
                platform_reachable: entry.part.platform_reachable,
                heartbeat: entry.heartbeat,
                age_ms: entry.age_ms(now_ms),
            };
            (!(is_silent && is_remote)).then(member)
        });
        listed.collect()
    }

    /// Returns all usable evidence on the endpoint VMs of this data centre, including this node's.
    pub fn observations(&self, now_ms: u64) -> Vec<Evidence> {
        let mut found = Vec::new();
        self.for_each_part(now_ms, |part, age_ms| {
            found.extend(part.observations.iter().map(|published| Evidence {
                vm: published.vm.clone(),
                observer: part.node.clone(),
                age_ms,
                presence: published.presence,
                instance: published.instance.clone(),
                temperature: published.temperature,
                in_flight: published.in_flight,
                fence: published.fence,
                ready: published.ready,
            }));
        });
        found
    }

    /// Returns the freshest evidence on each endpoint VM of this data centre.
    pub fn freshest(&self, now_ms: u64) -> BTreeMap<VmName, Evidence> {
        let mut freshest: BTreeMap<VmName, Evidence> = BTreeMap::new();
        for evidence in self.observations(now_ms) {
            let known = freshest.get(&evidence.vm);
            if known.is_none_or(|known| evidence.age_ms < known.age_ms) {
                freshest.insert(evidence.vm.clone(), evidence);
            }
        }
        freshest
    }

    /// Returns the newest summary of each other data centre, however old it is.
    pub fn summaries(&self, now_ms: u64) -> Vec<DataCentreSummary> {
        let mut newest: BTreeMap<DataCentreName, DataCentreSummary> = BTreeMap::new();
        for entry in self.entries.values() {
            let Some(summary) = &entry.part.summary else { continue };
            if entry.part.data_centre == self.own.part.data_centre {
                continue;
            }
            let age_ms = entry.evidence_age_ms(now_ms);
            let data_centre = entry.part.data_centre.clone();
            if newest.get(&data_centre).is_none_or(|known| age_ms < known.age_ms) {
                let summary = summary.clone();
                newest.insert(
                    data_centre.clone(),
                    DataCentreSummary { data_centre, summary, age_ms },
                );
            }
        }
        newest.into_values().collect()
    }

    /// Returns the highest log offset that this node has learned of.
    pub fn highest_offset(&self) -> Offset {
        self.highest_offset
    }

    /// Returns the members that have folded a higher offset, except suspect ones, the highest
    /// first.
    pub fn ahead_of(&self, now_ms: u64, offset: Offset) -> Vec<Member> {
        let mut ahead = self.members(now_ms);
        ahead
            .retain(|member| member.folded_offset > offset && member.state != MemberState::Suspect);
        ahead.sort_by_key(|member| std::cmp::Reverse(member.folded_offset));
        ahead
    }

    /// Returns the number of payloads that could not be decoded.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    pub(crate) fn state_of(&self, now_ms: u64, entry: &Entry) -> MemberState {
        let silent_since_ms = entry.heartbeat_seen_ms.max(self.suspect_from_ms);
        let silent_ms = if self.has_exchanged { now_ms.saturating_sub(silent_since_ms) } else { 0 };
        let timeout_factor = 1 + self.health_score;
        if silent_ms > self.settings.gone_after_ms * timeout_factor {
            MemberState::Gone
        } else if silent_ms > self.settings.suspect_after_ms * timeout_factor {
            MemberState::Suspect
        } else if entry.part.leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        }
    }

    pub(crate) fn is_live(&self, now_ms: u64, entry: &Entry) -> bool {
        matches!(self.state_of(now_ms, entry), MemberState::Alive | MemberState::Leaving)
    }

    /// Detects that this node was paused. Its view is then stale, so it must not suspect members or
    /// use its evidence until it has completed an exchange.
    pub(crate) fn detect_pause(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.last_clock_ms) > self.settings.pause_threshold_ms {
            self.evidence_from_ms = now_ms;
            self.has_exchanged = false;
            self.own.discard_probes();
            self.outbox.clear();
        }
        self.last_clock_ms = self.last_clock_ms.max(now_ms);
    }

    /// Chooses the gateways again after a node joined, and twice a second to replace silent
    /// members.
    pub(crate) fn choose_gateways(&mut self, now_ms: u64) {
        let is_current = |at_ms: u64| now_ms.saturating_sub(at_ms) < GATEWAY_INTERVAL_MS;
        if self.gateways_chosen_ms.is_some_and(is_current) {
            return;
        }
        let own = &self.own.part;
        let live = self.entries.iter().filter(|(_, entry)| {
            entry.part.data_centre == own.data_centre && self.is_live(now_ms, entry)
        });
        let vms = live.map(|(vm, _)| vm).chain(std::iter::once(&own.node.vm));
        self.gateways = highest_ranked(vms, GATEWAYS).into_iter().cloned().collect();
        self.gateways_chosen_ms = Some(now_ms);
    }

    pub(crate) fn is_relay(&self) -> bool {
        self.gateways.iter().take(RELAYS).any(|vm| *vm == self.own.part.node.vm)
    }

    pub(crate) fn refresh_own_part(&mut self, now_ms: u64) {
        self.choose_gateways(now_ms);
        let is_relay = self.is_relay();
        if self.own.refresh(now_ms, is_relay, &self.settings) {
            self.push_own_part(now_ms);
        }
    }

    pub(crate) fn remember_seed(&mut self, data_centre: DataCentreName, address: SocketAddr) {
        let seeds = self.seeds.entry(data_centre).or_default();
        if !seeds.contains(&address) {
            seeds.push_back(address);
        }
        if seeds.len() > MAX_SEEDS {
            seeds.pop_front();
        }
    }

    fn for_each_part(&self, now_ms: u64, mut visit: impl FnMut(&Part, u64)) {
        visit(&self.own.part, self.own.age_ms(now_ms));
        for entry in self.entries.values() {
            let is_usable = entry.confirmed_ms >= self.evidence_from_ms;
            if is_usable && entry.part.data_centre == self.own.part.data_centre {
                visit(&entry.part, entry.evidence_age_ms(now_ms));
            }
        }
    }
}
