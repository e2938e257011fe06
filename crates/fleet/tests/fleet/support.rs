//! Helpers shared by several suites.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use balsam_fleet::Arrival;
use balsam_fleet::Configuration;
use balsam_fleet::Effect;
use balsam_fleet::Endpoint;
use balsam_fleet::Fleet;
use balsam_fleet::FleetSettings;
use balsam_fleet::LoadPolicy;
use balsam_fleet::configuration::Access;
use balsam_fleet::configuration::CallerLimits;
use balsam_fleet::configuration::Engine;
use balsam_fleet::configuration::Model;
use balsam_fleet::configuration::PoolConfig;
use balsam_fleet::endpoint::MemberState;
use balsam_fleet::endpoint::Membership;
use balsam_fleet::priority::Priority;
use balsam_types::DataCentreName;
use balsam_types::FabricDomainName;
use balsam_types::GroupName;
use balsam_types::ModelName;
use balsam_types::PoolName;
use balsam_types::RouteName;
use balsam_types::VmName;

pub const POOL: &str = "reports";
pub const LARGE: &str = "large";
pub const SMALL: &str = "small";

/// Maximum age of a node's knowledge of the operators' orders.
pub const OPERATORS_MAX_AGE_MS: u64 = 4_000;

pub fn vm(name: &str) -> VmName {
    VmName::try_from(name).unwrap()
}

pub fn model(name: &str) -> ModelName {
    ModelName::try_from(name).unwrap()
}

pub fn group(name: &str) -> GroupName {
    GroupName::try_from(name).unwrap()
}

pub fn data_centre(name: &str) -> DataCentreName {
    DataCentreName::try_from(name).unwrap()
}

/// The engine settings of both users' sites: groups of four and of two.
pub fn engine() -> Engine {
    let model = |name: &str, size, pace, load_ms, warm_ms| Model {
        name: model(name),
        size,
        pace,
        share: 0.5,
        load_ms,
        warm_ms,
    };
    Engine {
        slots: 17,
        step_ms: 7.8,
        per_sequence_ms: 0.0947,
        read_per_ms: 45.9,
        chunk_tokens: 2048,
        stride: 5,
        form_ms: 300,
        loads_per_s: 5.0,
        models: vec![model(LARGE, 4, 1.0, 16_000, 1_600), model(SMALL, 2, 0.6, 12_000, 1_100)],
        usual: None,
    }
}

pub fn configuration(version: u64) -> Configuration {
    configuration_of(version, engine())
}

pub fn configuration_of(version: u64, engine: Engine) -> Configuration {
    let name = PoolName::try_from(POOL).unwrap();
    let pool = PoolConfig {
        name: name.clone(),
        max_connections: 428,
        cold_per_s: 36.0,
        engine: Some(engine),
    };
    let plain = PoolName::try_from("ledger").unwrap();
    let ledger =
        PoolConfig { name: plain.clone(), max_connections: 96, cold_per_s: 0.0, engine: None };
    Configuration {
        version,
        routes: HashMap::new(),
        pools: BTreeMap::from([(name, Arc::new(pool)), (plain, Arc::new(ledger))]),
        access: Access::Open,
        limits: CallerLimits::default(),
        faults: Vec::new(),
    }
}

pub fn fleet(node: &str) -> Fleet {
    Fleet::new(FleetSettings {
        node: Arc::from(node),
        data_centre: data_centre("a"),
        retry_ratio: 0.2,
        retry_slack: 100.0,
        operators_max_age_ms: OPERATORS_MAX_AGE_MS,
        load_policy: LoadPolicy::default(),
    })
}

pub fn endpoint(name: &str, port: u16) -> Endpoint {
    Endpoint {
        vm: vm(name),
        pool: PoolName::try_from(POOL).unwrap(),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: data_centre("a"),
        domain: Some(FabricDomainName::try_from("a0").unwrap()),
        slots: 17,
        is_draining: false,
        cold_until_ms: 0,
        staged: Vec::new(),
        membership: None,
        started_unix_ms: 0,
        sequence: 0,
    }
}

/// Creates the head of an open group of the larger model.
pub fn head(name: &str, port: u16) -> Endpoint {
    let membership = Membership {
        group: group(&format!("{LARGE}.{port}")),
        epoch: u64::from(port),
        rank: 0,
        state: MemberState::Open,
    };
    Endpoint { membership: Some(membership), ..endpoint(name, port) }
}

pub fn arrival(attempt_id: u64, now_ms: u64) -> Arrival {
    Arrival {
        attempt_id,
        route: RouteName::from_foreign("reports"),
        pool: PoolName::try_from(POOL).unwrap(),
        model: Some(model(LARGE)),
        organisation: None,
        segments: Arc::default(),
        prompt_tokens: 1_400,
        answer_tokens: 170,
        answer_hint_tokens: Some(170),
        max_answer_tokens: 400,
        priority: Priority::from(1),
        arrived_ms: now_ms,
        first_event_by_ms: now_ms + 2_400,
        deadline_at_ms: now_ms + 8_000,
        tried: Vec::new(),
        is_retry: false,
        has_partial_answer: false,
        is_optional: false,
    }
}

/// Returns the endpoint that an attempt was sent to.
pub fn dispatched(effects: &[Effect], attempt_id: u64) -> Option<VmName> {
    effects.iter().find_map(|effect| match effect {
        Effect::Dispatch { attempt_id: sent, target, .. } if *sent == attempt_id => {
            Some(target.vm.clone())
        }
        _ => None,
    })
}
