//! Calls to the operators' port of the entry nodes.

use std::net::SocketAddr;
use std::time::Duration;

use balsam_wire::pb::operator::v1::operator_client::OperatorClient;
use tonic::Code;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::error::CallSnafu;
use crate::error::CtlError;
use crate::error::UnknownSnafu;
use crate::error::UnreachableSnafu;
use crate::error::cause_of;

/// Timeout of opening a connection, after which the next node is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a read; the node answers from memory.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a change; the node waits up to 5 s for the log and 8 s for the data centres.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(16);

/// The client of one node.
pub type Client = OperatorClient<Channel>;

/// The entry nodes and the operator's token.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The nodes in the order in which they are tried.
    pub nodes: Vec<SocketAddr>,
    /// The operator's token.
    pub token: String,
}

impl Caller {
    /// Creates a request that carries the token.
    pub fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        // Parsing fails for no token: the options only accept printable ASCII.
        if let Ok(value) = format!("Bearer {}", self.token).parse() {
            request.metadata_mut().insert("authorization", value);
        }
        request
    }

    /// Calls the nodes in order and returns the first answer; a definite refusal ends the search.
    pub async fn read<T>(
        &self,
        step: &'static str,
        call: impl AsyncFn(Client) -> Result<Response<T>, Status>,
    ) -> Result<(SocketAddr, T), CtlError> {
        let mut failures = Vec::new();
        for peer in &self.nodes {
            let client = match connect(*peer, Some(READ_TIMEOUT)).await {
                Ok(client) => client,
                Err(cause) => {
                    failures.push(cause);
                    continue;
                }
            };
            match call(client).await {
                Ok(answer) => return Ok((*peer, answer.into_inner())),
                Err(status) if is_definite(status.code()) => {
                    return CallSnafu { step, peer: *peer, status }.fail();
                }
                Err(status) => failures.push(format!("  {peer}: {}", cause_of(&status))),
            }
        }
        UnreachableSnafu { step, failures }.fail()
    }

    /// Connects to the first reachable node without a timeout, for a stream that may be silent for
    /// long.
    pub async fn connect_stream(
        &self,
        step: &'static str,
    ) -> Result<(SocketAddr, Client), CtlError> {
        self.connect_first(step, None).await
    }

    /// Sends a change to the first node that can be reached; it is never sent a second time.
    pub async fn change<T>(
        &self,
        step: &'static str,
        call: impl AsyncFnOnce(Client) -> Result<Response<T>, Status>,
    ) -> Result<(SocketAddr, T), CtlError> {
        let (peer, client) = self.connect_first(step, Some(CHANGE_TIMEOUT)).await?;
        match call(client).await {
            Ok(answer) => Ok((peer, answer.into_inner())),
            Err(status) if is_definite(status.code()) => CallSnafu { step, peer, status }.fail(),
            Err(status) => UnknownSnafu { step, peer, status }.fail(),
        }
    }

    async fn connect_first(
        &self,
        step: &'static str,
        timeout: Option<Duration>,
    ) -> Result<(SocketAddr, Client), CtlError> {
        let mut failures = Vec::new();
        for peer in &self.nodes {
            match connect(*peer, timeout).await {
                Ok(client) => return Ok((*peer, client)),
                Err(cause) => failures.push(cause),
            }
        }
        UnreachableSnafu { step, failures }.fail()
    }
}

/// Returns whether the status code means that the node refused the call without any change.
fn is_definite(code: Code) -> bool {
    matches!(
        code,
        Code::Unauthenticated
            | Code::PermissionDenied
            | Code::InvalidArgument
            | Code::NotFound
            | Code::FailedPrecondition
            | Code::Unimplemented
    )
}

async fn connect(peer: SocketAddr, timeout: Option<Duration>) -> Result<Client, String> {
    let cause = |error| format!("  {peer}: {}", cause_of(&Status::from_error(Box::new(error))));
    let mut endpoint = Endpoint::from_shared(format!("http://{peer}")).map_err(cause)?;
    endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT);
    if let Some(timeout) = timeout {
        endpoint = endpoint.timeout(timeout);
    }
    endpoint.connect().await.map(OperatorClient::new).map_err(cause)
}
