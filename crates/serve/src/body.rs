//! Reads callers' request bodies within a memory limit.

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

/// One organisation may use at most this fraction of the bytes, so that it cannot crowd out others.
const ORGANISATION_DIVISOR: usize = 4;

/// Limits the bytes of request bodies that the node holds, in total and per organisation.
pub(crate) struct BodyMemory {
    node: Arc<Semaphore>,
    per_organisation_bytes: usize,
    organisations: Mutex<HashMap<OrganisationName, Arc<Semaphore>>>,
}

/// Reserves memory for the bytes of one body until it is dropped.
#[derive(Default)]
pub(crate) struct BodyReservation {
    node: Option<OwnedSemaphorePermit>,
    organisation: Option<OwnedSemaphorePermit>,
}

impl BodyMemory {
    pub fn new(total_bytes: usize) -> Self {
        Self {
            node: Arc::new(Semaphore::new(total_bytes)),
            per_organisation_bytes: total_bytes / ORGANISATION_DIVISOR,
            organisations: Mutex::default(),
        }
    }

    fn organisation(&self, name: &OrganisationName) -> Arc<Semaphore> {
        let mut organisations = self.organisations.lock().unwrap_or_else(PoisonError::into_inner);
        let limit = self.per_organisation_bytes;
        let new_semaphore = || Arc::new(Semaphore::new(limit));
        organisations.entry(name.clone()).or_insert_with(new_semaphore).clone()
    }
}

impl BodyReservation {
    /// Reserves more bytes; false if a limit would be exceeded.
    fn reserve(
        &mut self,
        node: &Arc<Semaphore>,
        organisation: &Arc<Semaphore>,
        bytes: usize,
    ) -> bool {
        let Ok(count) = u32::try_from(bytes) else {
            return false;
        };
        acquire_more(&mut self.organisation, organisation, count)
            && acquire_more(&mut self.node, node, count)
    }
}

fn acquire_more(
    held: &mut Option<OwnedSemaphorePermit>,
    from: &Arc<Semaphore>,
    count: u32,
) -> bool {
    let Ok(permit) = from.clone().try_acquire_many_owned(count) else {
        return false;
    };
    match held {
        Some(held) => held.merge(permit),
        None => *held = Some(permit),
    }
    true
}

/// Reads a complete body. Memory is reserved as the bytes arrive, because a caller that only
/// announces a large body must not use up the memory for others.
pub(crate) async fn read_body(
    options: &ServeOptions,
    body_memory: &BodyMemory,
    organisation: &OrganisationName,
    mut body: viz::Body,
) -> Result<(Bytes, BodyReservation), AttemptFailure> {
    let limit = options.max_body_bytes;
    let too_large =
        || not_run(ProblemKind::BodyTooLarge, format!("the body exceeds {limit} bytes"));
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let organisation = body_memory.organisation(organisation);
    let read = async {
        let mut reservation = BodyReservation::default();
        let mut buffer = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| {
                not_run(ProblemKind::InvalidRequest, format!("reading the body failed: {e}"))
            })?;
            let Ok(data) = frame.into_data() else { continue };
            if buffer.len() + data.len() > limit {
                return Err(too_large());
            }
            if !reservation.reserve(&body_memory.node, &organisation, data.len()) {
                let detail = "the memory for request bodies is used up";
                return Err(not_run(ProblemKind::Overloaded, detail));
            }
            buffer.extend_from_slice(&data);
        }
        Ok((buffer.freeze(), reservation))
    };
    let timeout = Duration::from_millis(options.body_read_timeout_ms);
    match tokio::time::timeout(timeout, read).await {
        Ok(read) => read,
        Err(_) => {
            let detail = format!("the body was not complete after {} ms", timeout.as_millis());
            Err(not_run(ProblemKind::BodyTimeout, detail))
        }
    }
}
