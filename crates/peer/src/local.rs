//! The part that this node publishes.

use std::collections::BTreeMap;
use std::sync::Arc;

use balsam_types::VmName;

use crate::codec::MAX_OBSERVATIONS;
use crate::entry::HEARTBEAT_MS;
use crate::entry::Part;
use crate::entry::PublishedObservation;
use crate::entry::next_version;
use crate::settings::PeerSettings;
use crate::view::CapacitySummary;
use crate::view::LocalObservation;
use crate::view::LocalState;

/// This node's part with the times of its probes.
#[derive(Debug)]
pub(crate) struct OwnPart {
    pub(crate) part: Part,
    started_ms: u64,
    probes: BTreeMap<VmName, LocalObservation>,
    latest: LocalState,
    load_published_ms: u64,
}

impl OwnPart {
    pub(crate) fn new(now_ms: u64, part: Part) -> Self {
        Self {
            part,
            started_ms: now_ms,
            probes: BTreeMap::new(),
            latest: LocalState::default(),
            load_published_ms: now_ms,
        }
    }

    pub(crate) fn set(&mut self, state: LocalState) {
        self.probes = state.observations.iter().map(|o| (o.vm.clone(), o.clone())).collect();
        self.part.folded_offset = self.part.folded_offset.max(state.folded_offset);
        self.latest = LocalState { observations: Vec::new(), ..state };
    }

    /// Returns the age of the published heartbeat.
    pub(crate) fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_ms + self.part.heartbeat * HEARTBEAT_MS)
    }

    pub(crate) fn discard_probes(&mut self) {
        self.probes.clear();
    }

    /// Updates the part; returns whether anything other than load changed.
    pub(crate) fn refresh(&mut self, now_ms: u64, is_relay: bool, settings: &PeerSettings) -> bool {
        let heartbeat_time_ms = self.started_ms + self.part.heartbeat * HEARTBEAT_MS;
        let oldest_ms = now_ms.saturating_sub(settings.observation_max_age_ms);
        self.probes.retain(|_, probe| {
            probe.observed_at_ms >= oldest_ms && probe.observed_at_ms >= heartbeat_time_ms
        });
        let observations: Vec<PublishedObservation> =
            self.probes.values().take(MAX_OBSERVATIONS).map(to_published).collect();
        let as_of_ms = self.probes.values().map(|probe| probe.observed_at_ms).min();
        let as_of_ms = as_of_ms.unwrap_or(now_ms).min(now_ms);
        let heartbeat = as_of_ms.saturating_sub(self.started_ms) / HEARTBEAT_MS;
        self.part.heartbeat = self.part.heartbeat.max(heartbeat);
        self.part.age_ms = self.age_ms(now_ms);
        let next = Part {
            leaving: self.latest.leaving,
            platform_reachable: self.latest.platform_reachable,
            observations: Arc::from(observations),
            summary: is_relay.then(|| self.latest.summary.clone()),
            ..self.part.clone()
        };
        let is_urgent = without_load(&next) != without_load(&self.part);
        let is_load_due = now_ms >= self.load_published_ms + settings.load_interval_ms;
        let has_changed = is_urgent || (is_load_due && next != self.part);
        if !has_changed {
            return false;
        }
        self.load_published_ms = now_ms;
        self.part = Part { version: next_version(self.part.version, !is_urgent), ..next };
        is_urgent
    }
}

fn to_published(probe: &LocalObservation) -> PublishedObservation {
    PublishedObservation {
        vm: probe.vm.clone(),
        presence: probe.presence,
        instance: probe.instance.clone(),
        temperature: probe.temperature,
        // Rounded up to a power of two, so that small changes do not cause a new version.
        in_flight: probe.in_flight.checked_next_power_of_two().unwrap_or(probe.in_flight),
        fence: probe.fence,
        ready: probe.ready,
    }
}

/// Returns the part without the values that may be published less often.
fn without_load(part: &Part) -> Part {
    let clear_load = |observation: &PublishedObservation| PublishedObservation {
        in_flight: 0,
        ..observation.clone()
    };
    let summary = part
        .summary
        .as_ref()
        .map(|summary| CapacitySummary { drained: summary.drained, ..CapacitySummary::default() });
    Part {
        observations: part.observations.iter().map(clear_load).collect(),
        summary,
        ..part.clone()
    }
}
