//! Reading callers' request bodies within bounded memory.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use balsam_types::OrganisationName;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::caller::not_run;
use crate::options::ServeOptions;
use crate::ports::AttemptFailure;
use crate::problem::ProblemKind;

/// One organisation gets at most this part of the bytes, so that its flood leaves room for others.
const ORGANISATION_DIVISOR: usize = 4;

/// The bytes of request bodies that the node holds.
pub(crate) struct BodyBytes {
    all: Arc<Semaphore>,
    per_organisation: usize,
    organisations: Mutex<HashMap<OrganisationName, Arc<Semaphore>>>,
}

/// Accounts for the bytes of one body until it is dropped.
#[derive(Default)]
pub(crate) struct HeldBytes {
    all: Option<OwnedSemaphorePermit>,
    organisation: Option<OwnedSemaphorePermit>,
}

impl BodyBytes {
    pub fn new(total: usize) -> Self {
        Self {
            all: Arc::new(Semaphore::new(total)),
            per_organisation: total / ORGANISATION_DIVISOR,
            organisations: Mutex::default(),
        }
    }

    fn organisation(&self, name: &OrganisationName) -> Arc<Semaphore> {
        let mut organisations = self.organisations.lock().unwrap_or_else(PoisonError::into_inner);
        let limit = self.per_organisation;
        let fresh = || Arc::new(Semaphore::new(limit));
        organisations.entry(name.clone()).or_insert_with(fresh).clone()
    }
}

impl HeldBytes {
    /// Accounts for more bytes; false if there is no room for them.
    fn add(&mut self, all: &Arc<Semaphore>, organisation: &Arc<Semaphore>, bytes: usize) -> bool {
        let Ok(count) = u32::try_from(bytes) else {
            return false;
        };
        merge(&mut self.organisation, organisation, count) && merge(&mut self.all, all, count)
    }
}

fn merge(held: &mut Option<OwnedSemaphorePermit>, from: &Arc<Semaphore>, count: u32) -> bool {
    let Ok(more) = from.clone().try_acquire_many_owned(count) else {
        return false;
    };
    match held {
        Some(held) => held.merge(more),
        None => *held = Some(more),
    }
    true
}

/// Reads a whole body. Its bytes are accounted for as they arrive, because a caller that only
/// announces a large body must not take the room of others.
pub(crate) async fn read_body(
    options: &ServeOptions,
    body_bytes: &BodyBytes,
    organisation: &OrganisationName,
    mut body: viz::Body,
) -> Result<(Bytes, HeldBytes), AttemptFailure> {
    let limit = options.max_body_bytes;
    let too_large =
        || not_run(ProblemKind::BodyTooLarge, format!("the body exceeds {limit} bytes"));
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let organisation = body_bytes.organisation(organisation);
    let read = async {
        let mut held = HeldBytes::default();
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| {
                not_run(ProblemKind::InvalidRequest, format!("the body broke off: {e}"))
            })?;
            let Ok(data) = frame.into_data() else { continue };
            if whole.len() + data.len() > limit {
                return Err(too_large());
            }
            if !held.add(&body_bytes.all, &organisation, data.len()) {
                let detail = "the node holds too many request bodies";
                return Err(not_run(ProblemKind::Overloaded, detail));
            }
            whole.extend_from_slice(&data);
        }
        Ok((whole.freeze(), held))
    };
    let timeout = Duration::from_millis(options.body_read_timeout_ms);
    match tokio::time::timeout(timeout, read).await {
        Ok(read) => read,
        Err(_) => {
            let detail = format!("the body was not whole after {} ms", timeout.as_millis());
            Err(not_run(ProblemKind::BodyTimeout, detail))
        }
    }
}
