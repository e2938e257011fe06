//! Idempotency keys and the claims that the log stores for them.

use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;

use crate::error::InvalidValue;
use crate::name::OrganisationName;

/// Longest accepted `Idempotency-Key`.
pub const MAX_KEY_BYTES: usize = 255;

/// Largest response body kept for repeats of a completed request.
pub const MAX_STORED_BODY_BYTES: usize = 16 * 1024;

/// The identity of a keyed request: a hash of the organisation and its key.
///
/// The log and every node store the hash instead of the key, which bounds the memory per claim and
/// keeps callers' keys out of the log. See `docs/design.md`, section 9.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(pub [u8; 16]);

impl ClaimKey {
    /// Hashes an organisation's `Idempotency-Key`.
    pub fn new(organisation: &OrganisationName, key: &str) -> Result<Self, InvalidValue> {
        let is_printable = key.bytes().all(|b| b.is_ascii_graphic());
        if key.is_empty() || key.len() > MAX_KEY_BYTES || !is_printable {
            let expected = "1 to 255 printable ASCII characters without spaces";
            return Err(InvalidValue::new("Idempotency-Key", key, expected));
        }
        let mut hasher = Sha256::new();
        hasher.update(organisation.as_str().as_bytes());
        hasher.update([0]);
        hasher.update(key.as_bytes());
        Ok(Self(truncate(hasher)))
    }
}

/// A hash of the method, path and body, which distinguishes a repeat from a reuse of the key for
/// another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestHash(pub [u8; 16]);

impl RequestHash {
    /// Hashes the parts of a request that the endpoint acts on.
    pub fn new(method: &str, path_and_query: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(method.as_bytes());
        hasher.update([0]);
        hasher.update(path_and_query.as_bytes());
        hasher.update([0]);
        hasher.update(body);
        Self(truncate(hasher))
    }
}

fn truncate(hasher: Sha256) -> [u8; 16] {
    let full = hasher.finalize();
    let mut short = [0; 16];
    short.copy_from_slice(&full[..16]);
    short
}

/// The response of a completed keyed request, kept for its repeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type`, empty if there was none.
    pub content_type: Arc<str>,
    /// The body, or `None` if it exceeded [`MAX_STORED_BODY_BYTES`].
    pub body: Option<Arc<[u8]>>,
}

#[cfg(test)]
mod tests {
    use super::*;

    fn organisation(raw: &str) -> OrganisationName {
        OrganisationName::try_from(raw).unwrap()
    }

    /// Without the organisation in the hash, one organisation could get another's stored response.
    #[test]
    fn claim_keys_differ_between_organisations() {
        let a = ClaimKey::new(&organisation("club-a"), "ring-1").unwrap();
        let b = ClaimKey::new(&organisation("club-b"), "ring-1").unwrap();
        assert_ne!(a, b);
    }

    /// Without separators between the parts, two different requests could have the same hash.
    #[test]
    fn moving_a_byte_between_path_and_body_changes_the_hash() {
        let a = RequestHash::new("POST", "/a", b"b");
        let b = RequestHash::new("POST", "/", b"ab");
        assert_ne!(a, b);
    }
}
