//! Conversions between the platform's VM list and protobuf.

use std::net::SocketAddr;

use balsam_types::InvalidValue;
use balsam_types::VmInfo;
use balsam_types::VmRole;
use balsam_types::VmState;
use balsam_types::vm::VmList;
use snafu::OptionExt;
use snafu::ResultExt;

use crate::error::DecodeError;
use crate::error::InvalidSnafu;
use crate::error::MissingSnafu;
use crate::pb::platform::v1 as pb;
use crate::pb::platform::v1::vm::Role as PbRole;
use crate::record::parse_name;

const MESSAGE: &str = "Vm";

/// Converts a VM list to protobuf.
pub fn vm_list_to_pb(list: &VmList) -> pb::ListResponse {
    pb::ListResponse { as_of_ms: list.as_of_ms, vms: list.vms.iter().map(vm_to_pb).collect() }
}

/// Converts a VM list from protobuf and validates it.
pub fn vm_list_from_pb(raw: pb::ListResponse) -> Result<VmList, DecodeError> {
    let vms: Result<Vec<VmInfo>, _> = raw.vms.into_iter().map(vm_from_pb).collect();
    Ok(VmList { as_of_ms: raw.as_of_ms, vms: vms?.into() })
}

fn vm_to_pb(vm: &VmInfo) -> pb::Vm {
    let state = match vm.state {
        VmState::Live => pb::VmState::Live,
        VmState::Leaving => pb::VmState::Leaving,
    };
    let role = match &vm.role {
        VmRole::Entry { peer_address } => {
            PbRole::Entry(pb::EntryRole { peer_address: peer_address.to_string() })
        }
        VmRole::Endpoint { pool, address, accelerators } => PbRole::Endpoint(pb::EndpointRole {
            pool: pool.to_string(),
            address: address.to_string(),
            accelerators: *accelerators,
        }),
    };
    pb::Vm {
        vm: vm.vm.to_string(),
        region: vm.region.to_string(),
        data_centre: vm.data_centre.to_string(),
        fabric_domain: vm.fabric_domain.to_string(),
        state: state.into(),
        role: Some(role),
    }
}

fn vm_from_pb(raw: pb::Vm) -> Result<VmInfo, DecodeError> {
    let state = match raw.state() {
        pb::VmState::Live => VmState::Live,
        pb::VmState::Leaving => VmState::Leaving,
        pb::VmState::Unspecified => {
            return MissingSnafu { message: MESSAGE, field: "state" }.fail();
        }
    };
    let role = match raw.role.context(MissingSnafu { message: MESSAGE, field: "role" })? {
        PbRole::Entry(entry) => VmRole::Entry { peer_address: address(&entry.peer_address)? },
        PbRole::Endpoint(endpoint) => VmRole::Endpoint {
            pool: parse_name(endpoint.pool, MESSAGE)?,
            address: address(&endpoint.address)?,
            accelerators: endpoint.accelerators,
        },
    };
    Ok(VmInfo {
        vm: parse_name(raw.vm, MESSAGE)?,
        region: parse_name(raw.region, MESSAGE)?,
        data_centre: parse_name(raw.data_centre, MESSAGE)?,
        fabric_domain: parse_name(raw.fabric_domain, MESSAGE)?,
        state,
        role,
    })
}

fn address(raw: &str) -> Result<SocketAddr, DecodeError> {
    let parsed = raw.parse();
    parsed
        .map_err(|_| InvalidValue::new("address", raw, "an IP address and port"))
        .context(InvalidSnafu { message: MESSAGE })
}
