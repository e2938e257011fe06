//! Client of the platform's VM list.

use std::net::SocketAddr;
use std::time::Duration;

use balsam_types::vm::VmList;
use balsam_wire::pb::platform::v1::ListRequest;
use balsam_wire::pb::platform::v1::vms_client::VmsClient;
use balsam_wire::platform::vm_list_from_pb;
use snafu::ResultExt;
use tokio::time::timeout;
use tonic::transport::Channel;

use crate::channel;
use crate::error::CallSnafu;
use crate::error::DecodeSnafu;
use crate::error::PlatformError;
use crate::error::TimedOutSnafu;

const LIST_TIMEOUT_MS: u64 = 2_000;

/// A client of the VM list; clones share one connection.
#[derive(Debug, Clone)]
pub struct VmListClient {
    client: VmsClient<Channel>,
    address: SocketAddr,
}

impl VmListClient {
    /// Creates a client that connects on first use.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: VmsClient::new(channel(address)), address }
    }

    /// Reads the list.
    pub async fn list(&self) -> Result<VmList, PlatformError> {
        const STEP: &str = "reading the VM list";
        let mut client = self.client.clone();
        let call = client.list(ListRequest {});
        let Ok(response) = timeout(Duration::from_millis(LIST_TIMEOUT_MS), call).await else {
            let timeout_ms = LIST_TIMEOUT_MS;
            return TimedOutSnafu { step: STEP, peer: self.address, timeout_ms }.fail();
        };
        let response = response.context(CallSnafu { step: STEP, peer: self.address })?;
        vm_list_from_pb(response.into_inner())
            .context(DecodeSnafu { step: STEP, peer: self.address })
    }
}
