//! What differs between platforms in the heads of requests and answers.

use balsam_types::ModelName;
use http::HeaderMap;
use http::HeaderName;

/// The names of the headers that the request path reads or sets.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Names an attempt of a caller; endpoints echo it.
    pub request_id: HeaderName,
    /// The time in ms that the sender waits for the answer.
    pub time_budget: HeaderName,
    /// The organisation of the caller, which endpoints trust.
    pub organisation: HeaderName,
    /// The endpoint that is meant; another one at its address does not run the request.
    pub expected_endpoint: HeaderName,
    /// Says that an endpoint did not run the request.
    pub not_run: HeaderName,
    /// Says with the value `1` that the endpoint which answers is about to leave.
    pub leaving: HeaderName,
    /// Marks an endpoint's own answer.
    pub seal: HeaderName,
    /// The last event that the caller has.
    pub last_event_id: HeaderName,
    /// The rank at the endpoint, from 0, served first, to 9.
    pub priority: HeaderName,
    /// Reads the model and the size of a request.
    pub work: fn(&HeaderMap) -> Work,
}

/// The model and the size of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Work {
    /// The model, for a model engine.
    pub model: Option<ModelName>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer is expected to have.
    pub answer_tokens: u32,
}
