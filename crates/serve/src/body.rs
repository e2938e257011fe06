//! Reads callers' request bodies within a memory limit.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use balsam_http::BodyFailure;
use balsam_http::HeldMemory;
use balsam_http::RequestBodies;
use balsam_types::OrganisationName;
use bytes::Bytes;
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
    bodies: RequestBodies,
    per_organisation_bytes: usize,
    organisations: Mutex<HashMap<OrganisationName, Arc<Semaphore>>>,
}

/// Reserves the organisation's share for the bytes of one body until it is dropped.
#[derive(Default)]
pub(crate) struct ShareReservation(Option<OwnedSemaphorePermit>);

impl BodyMemory {
    pub fn new(memory: HeldMemory, total_bytes: usize) -> Self {
        Self {
            bodies: RequestBodies::new(memory),
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

impl ShareReservation {
    /// Reserves more bytes; false if the share would be exceeded.
    fn reserve(&mut self, share: &Arc<Semaphore>, bytes: usize) -> bool {
        let permit = u32::try_from(bytes).ok();
        let permit = permit.and_then(|count| share.clone().try_acquire_many_owned(count).ok());
        let Some(permit) = permit else {
            return false;
        };
        match &mut self.0 {
            Some(held) => held.merge(permit),
            None => self.0 = Some(permit),
        }
        true
    }
}

/// Reads a complete body, which reserves memory of the node and of its organisation.
pub(crate) async fn read_body(
    options: &ServeOptions,
    body_memory: &BodyMemory,
    organisation: &OrganisationName,
    mut body: viz::Body,
) -> Result<(Bytes, ShareReservation), AttemptFailure> {
    let share = body_memory.organisation(organisation);
    let mut reservation = ShareReservation::default();
    let limit = options.max_body_bytes;
    let time = Duration::from_millis(options.body_read_timeout_ms);
    let reserve_share = |bytes| reservation.reserve(&share, bytes);
    let read = body_memory.bodies.read(&mut body, limit, time, reserve_share).await;
    match read {
        Ok(bytes) => Ok((bytes, reservation)),
        Err(failure) => Err(refusal(failure, options)),
    }
}

fn refusal(failure: BodyFailure, options: &ServeOptions) -> AttemptFailure {
    let (kind, detail) = match failure {
        BodyFailure::TooLarge => (
            ProblemKind::BodyTooLarge,
            format!("the body exceeds {} bytes", options.max_body_bytes),
        ),
        BodyFailure::Unreadable(error) => {
            (ProblemKind::InvalidRequest, format!("reading the body failed: {error}"))
        }
        BodyFailure::NoMemory => {
            (ProblemKind::Overloaded, "the memory for request bodies is used up".to_owned())
        }
        BodyFailure::GaveWay => (
            ProblemKind::Overloaded,
            "the body stood still, and another one needed its memory".to_owned(),
        ),
        BodyFailure::TimedOut => (
            ProblemKind::BodyTimeout,
            format!("the body was not complete after {} ms", options.body_read_timeout_ms),
        ),
    };
    not_run(kind, detail)
}
