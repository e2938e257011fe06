//! All problem types returned to callers. `docs/api.md` says how a caller may react to each.

use balsam_types::Outcome;
use http::StatusCode;

macro_rules! problems {
    ($($(#[$doc:meta])* $kind:ident = $slug:literal, $status:ident, $title:literal, $retry:expr;)*) => {
        /// A problem type.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum ProblemKind {
            $($(#[$doc])* $kind,)*
        }

        impl ProblemKind {
            /// Every problem type.
            pub const ALL: &'static [Self] = &[$(Self::$kind),*];

            /// Returns the last part of the type URI, which is also the metrics label.
            pub const fn slug(self) -> &'static str {
                match self { $(Self::$kind => $slug,)* }
            }

            /// Returns the type URI.
            pub const fn type_uri(self) -> &'static str {
                match self { $(Self::$kind => concat!("urn:balsamturn:problem:", $slug),)* }
            }

            /// Returns the HTTP status.
            pub const fn status(self) -> StatusCode {
                match self { $(Self::$kind => StatusCode::$status,)* }
            }

            /// Returns the title.
            pub const fn title(self) -> &'static str {
                match self { $(Self::$kind => $title,)* }
            }

            /// Returns the delay before a caller may retry if no more exact one is known.
            pub const fn default_retry_after_ms(self) -> Option<u64> {
                match self { $(Self::$kind => $retry,)* }
            }
        }
    };
}

problems! {
    /// The bearer token is missing or not known.
    Unauthenticated = "unauthenticated", UNAUTHORIZED, "The credential is missing or not known", None;
    /// A header or the body is invalid.
    InvalidRequest = "invalid-request", BAD_REQUEST, "The request is invalid", None;
    /// The body exceeds the limit.
    BodyTooLarge = "body-too-large", PAYLOAD_TOO_LARGE, "The request body is too large", None;
    /// The body did not arrive in time.
    BodyTimeout = "body-timeout", REQUEST_TIMEOUT, "The request body did not arrive in time", None;
    /// No route matches the request.
    NoRoute = "no-route", NOT_FOUND, "No route takes this request", None;
    /// No endpoint of the pool can take the request now.
    NoEndpoint = "no-endpoint", SERVICE_UNAVAILABLE, "No endpoint can take the request now", Some(1_000);
    /// The organisation exceeds its rate limit.
    RateLimited = "rate-limited", TOO_MANY_REQUESTS, "The organisation sends too many requests", Some(1_000);
    /// The organisation or the node has too many requests in flight.
    Overloaded = "overloaded", TOO_MANY_REQUESTS, "Too many requests", Some(1_000);
    /// The deadline passed.
    DeadlineExceeded = "deadline-exceeded", GATEWAY_TIMEOUT, "The deadline passed", None;
    /// The endpoint could not be reached or refused the request.
    EndpointRefused = "endpoint-refused", SERVICE_UNAVAILABLE, "The endpoint did not take the request", Some(1_000);
    /// The endpoint declared that it did not run the request.
    EndpointBusy = "endpoint-busy", SERVICE_UNAVAILABLE, "The endpoint declined the request", Some(1_000);
    /// The connection to the endpoint failed after the request was written.
    EndpointFailed = "endpoint-failed", BAD_GATEWAY, "The endpoint failed while it had the request", None;
    /// The answer was truncated.
    AnswerTruncated = "answer-truncated", BAD_GATEWAY, "The answer was cut off", None;
    /// The key was used for another request.
    KeyReused = "key-reused", UNPROCESSABLE_ENTITY, "The Idempotency-Key was used for another request", None;
    /// Another process runs the request.
    RequestInProgress = "request-in-progress", CONFLICT, "The first request with this key still runs", Some(1_000);
    /// The result of an earlier run is not known.
    EarlierOutcomeUnknown = "earlier-outcome-unknown", CONFLICT, "What came of the earlier request is not known", None;
    /// The log cannot confirm the claim.
    ClaimUnavailable = "claim-unavailable", SERVICE_UNAVAILABLE, "The key cannot be checked now", Some(5_000);
    /// The key is older than its retention window.
    KeyExpired = "key-expired", CONFLICT, "The Idempotency-Key is older than keys are kept", None;
    /// The request completed, but its response was too large to be stored.
    ResponseNotKept = "response-not-kept", CONFLICT, "The request completed; its response was not kept", None;
}

impl ProblemKind {
    /// Returns the problem of a type URI, as carried by the peer protocol.
    pub fn from_type_uri(uri: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|kind| kind.type_uri() == uri)
    }
}

/// Returns the problem as JSON.
pub(crate) fn to_json(kind: ProblemKind, outcome: Outcome, detail: &str) -> String {
    serde_json::json!({
        "type": kind.type_uri(),
        "title": kind.title(),
        "status": kind.status().as_u16(),
        "detail": detail,
        "outcome": outcome.as_str(),
    })
    .to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against two problem types with the same URI.
    #[test]
    fn type_uri_identifies_one_problem() {
        for kind in ProblemKind::ALL {
            assert_eq!(ProblemKind::from_type_uri(kind.type_uri()), Some(*kind));
        }
    }
}
