//! A client of the operators' interface for examples and tests.

use std::net::SocketAddr;
use std::time::Duration;

use balsam_wire::pb::operator::v1 as pb;
use balsam_wire::pb::operator::v1::operator_client::OperatorClient;
use sha2::Digest;
use sha2::Sha256;
use tonic::Request;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// A connection to the operators' interface of one node.
#[derive(Debug, Clone)]
pub struct OperatorHandle {
    client: OperatorClient<Channel>,
    token: String,
}

impl OperatorHandle {
    /// Creates a handle that connects on first use.
    pub fn new(address: SocketAddr, token: &str) -> Self {
        let endpoint = Endpoint::from_shared(format!("http://{address}"));
        let endpoint = endpoint.expect("an IP address and port form a valid URI");
        let channel = endpoint.timeout(CALL_TIMEOUT).connect_lazy();
        Self { client: OperatorClient::new(channel), token: token.to_owned() }
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        let value = format!("Bearer {}", self.token);
        if let Ok(value) = value.parse() {
            request.metadata_mut().insert("authorization", value);
        }
        request
    }

    /// Returns the status as seen by the node.
    pub async fn status(&self) -> Result<pb::StatusResponse, BoxError> {
        let response = self.client.clone().status(self.request(pb::StatusRequest {})).await?;
        Ok(response.into_inner())
    }

    /// Makes a plan and returns its name. A refusal is an error.
    pub async fn plan(&self, intent: pb::intent::Intent, reason: &str) -> Result<String, BoxError> {
        let intent = Some(pb::Intent { intent: Some(intent) });
        let request = pb::MakePlanRequest { intent, reason: reason.to_owned() };
        let response = self.client.clone().make_plan(self.request(request)).await?.into_inner();
        match response.plan {
            Some(plan) => Ok(plan.plan),
            None => Err(response.refusals.join("; ").into()),
        }
    }

    /// Confirms a plan. A refusal is an error.
    pub async fn confirm(&self, plan: &str, reason: &str) -> Result<pb::ConfirmResponse, BoxError> {
        let request = pb::ConfirmRequest { plan: plan.to_owned(), reason: reason.to_owned() };
        let response = self.client.clone().confirm(self.request(request)).await?.into_inner();
        match response.refusal.as_str() {
            "" => Ok(response),
            refusal => Err(refusal.to_owned().into()),
        }
    }

    /// Makes a plan and confirms it.
    pub async fn plan_and_confirm(
        &self,
        intent: pb::intent::Intent,
        reason: &str,
    ) -> Result<pb::ConfirmResponse, BoxError> {
        let plan = self.plan(intent, reason).await?;
        self.confirm(&plan, reason).await
    }
}

/// Returns the SHA-256 of a token in lower-case hex, the form that
/// settings and organisations use.
pub fn sha256_hex(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}
