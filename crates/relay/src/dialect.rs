//! Platform-specific headers of requests and answers.

use std::sync::Arc;

use balsam_types::ModelName;
use balsam_types::SegmentName;
use http::HeaderMap;
use http::HeaderName;

/// The headers that the request path reads or sets.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Identifies a caller's attempt; endpoints echo it.
    pub request_id: HeaderName,
    /// How long the sender waits for the answer, in ms.
    pub time_budget: HeaderName,
    /// The caller's organisation; endpoints trust this header.
    pub organisation: HeaderName,
    /// The intended endpoint; a different one at its address does not run the request.
    pub expected_endpoint: HeaderName,
    /// Present if the endpoint did not run the request.
    pub not_run: HeaderName,
    /// Set to `1` by an endpoint that is about to leave.
    pub leaving: HeaderName,
    /// Marks an answer as produced by an endpoint.
    pub seal: HeaderName,
    /// The id of the last event that the caller received.
    pub last_event_id: HeaderName,
    /// The priority at the endpoint, from 0 (highest) to 9.
    pub priority: HeaderName,
    /// Parses the model, the prompt and the size of a request.
    pub work: fn(&HeaderMap) -> Work,
}

/// The model, the prompt and the size of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Work {
    /// The model, if the request is for a model engine.
    pub model: Option<ModelName>,
    /// The segments of the prompt that other requests may share.
    pub shared_segments: Arc<[SegmentName]>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Expected number of tokens in the answer.
    pub answer_tokens: u32,
    /// The caller's estimate of the tokens in the answer.
    pub answer_hint_tokens: Option<u32>,
    /// Maximum number of tokens in the answer.
    pub max_answer_tokens: u32,
}
