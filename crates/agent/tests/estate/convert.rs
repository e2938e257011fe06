//! Converts the state of the simulation to the events and reports that nodes receive.

use balsam_agent::AgentSettings;
use balsam_agent::effect::ClaimAnswer;
use balsam_agent::event::LoadReport;
use balsam_agent::event::Observation;
use balsam_agent::event::ProbeResult;
use balsam_route::Temperature;
use balsam_state::Limits;
use balsam_types::*;

use crate::simulation::Endpoint;
use crate::simulation::FRESH_MS;
use crate::simulation::data_centre;
use crate::simulation::name;

pub fn info(vm: VmName, dc: usize, role: VmRole) -> VmInfo {
    VmInfo {
        vm,
        region: name("region"),
        data_centre: data_centre(dc),
        fabric_domain: name(&format!("fabric-{dc}")),
        state: VmState::Live,
        role,
    }
}

pub fn report(endpoint: &Endpoint, now_ms: u64) -> ProbeResult {
    if endpoint.is_dead {
        return ProbeResult::NoAnswer;
    }
    ProbeResult::Report(LoadReport {
        instance: endpoint.instance.to_string().into(),
        fence: endpoint.fence,
        ready: endpoint.ready_ms <= now_ms,
        leaving: endpoint.leaving_since_ms.is_some(),
        temperature: Temperature::Warm,
        in_flight: 0,
        age_ms: 0,
    })
}

pub fn observation(seen: &balsam_peer::LocalObservation) -> Observation {
    Observation {
        vm: seen.vm.clone(),
        observed_ms: seen.observed_at_ms,
        present: seen.presence != balsam_peer::Presence::Missing,
        slow: seen.presence == balsam_peer::Presence::Slow,
        report: LoadReport {
            instance: seen.instance.clone(),
            fence: seen.fence,
            ready: seen.ready,
            leaving: seen.presence == balsam_peer::Presence::Leaving,
            temperature: Temperature::Warm,
            in_flight: seen.in_flight,
            age_ms: 0,
        },
    }
}

pub fn label(answer: &ClaimAnswer) -> &'static str {
    match answer {
        ClaimAnswer::Granted { .. } => "granted",
        ClaimAnswer::Completed(_) => "completed",
        ClaimAnswer::KeyReused => "key reused",
        ClaimAnswer::StillRunning => "still running",
        ClaimAnswer::HolderGone => "holder gone",
        ClaimAnswer::Unconfirmed => "unconfirmed",
        ClaimAnswer::KeyExpired => "key expired",
    }
}

pub fn settings() -> AgentSettings {
    let limits = Limits::default();
    AgentSettings {
        claim_dispatch_ms: 3_000,
        claim_wait_ms: 2_000,
        key_window_ms: limits.key_window_ms,
        probe_interval_ms: 500,
        probers: 2,
        evidence_fresh_ms: FRESH_MS,
        settle_ms: 3_000,
        order_quarantine_ms: 5_000,
        longest_deadline_ms: 60_000,
        store_bytes_per_s: 1_000_000_000,
        snapshot_every_records: 60,
        limits,
    }
}
