//! Bodies that are read within the memory of a node.

use std::convert::Infallible;
use std::time::Duration;

use balsam_http::BodyFailure;
use balsam_http::HeldMemory;
use balsam_http::RequestBodies;
use balsam_http::STILL_AFTER;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use rstest::rstest;

const TOTAL_BYTES: usize = 400_000;

/// Half of the total; the rest is for answers.
const REQUEST_BYTES: usize = TOTAL_BYTES / 2;

const TIME: Duration = Duration::from_secs(10);

/// Reads a body of so many parts, which does not end after the last one if `is_open`.
async fn read(
    bodies: &RequestBodies,
    count: usize,
    part_bytes: usize,
    is_open: bool,
) -> Result<Bytes, BodyFailure> {
    let part = Bytes::from(vec![b'b'; part_bytes]);
    let parts =
        stream::iter((0..count).map(move |_| Ok::<_, Infallible>(Frame::data(part.clone()))));
    let rest =
        if is_open { stream::pending().left_stream() } else { stream::empty().right_stream() };
    let mut body = StreamBody::new(parts.chain(rest));
    bodies.read(&mut body, REQUEST_BYTES, TIME, |_| true).await
}

/// Guards against a bound that refuses a single body inside the limit, however it arrives, and
/// against a reservation that outlives or leaves its body.
#[rstest]
#[case(1, REQUEST_BYTES)]
#[case(REQUEST_BYTES, 1)]
#[case(7, 20_000)]
#[tokio::test]
async fn a_body_inside_the_limit_is_read(#[case] count: usize, #[case] part_bytes: usize) {
    let memory = HeldMemory::new(TOTAL_BYTES);
    let bodies = RequestBodies::new(memory.clone());
    let bytes = read(&bodies, count, part_bytes, false).await.unwrap();
    assert_eq!(bytes.len(), count * part_bytes);
    let kept = bytes.slice(1..2);
    drop(bytes);
    assert!(memory.free_bytes() <= TOTAL_BYTES - count * part_bytes);
    drop(kept);
    assert_eq!(memory.free_bytes(), TOTAL_BYTES);
}

/// Guards against refusing the body that arrives while one stands still, and against ending one that
/// only has a pause.
#[rstest]
#[case::a_pause(STILL_AFTER / 2, Err(BodyFailure::NoMemory), BodyFailure::TimedOut)]
#[case::stands_still(STILL_AFTER * 2, Ok(150_000), BodyFailure::GaveWay)]
#[tokio::test(start_paused = true)]
async fn only_a_body_that_stands_still_gives_way(
    #[case] after: Duration,
    #[case] newer: Result<usize, BodyFailure>,
    #[case] older: BodyFailure,
) {
    let memory = HeldMemory::new(TOTAL_BYTES);
    let bodies = RequestBodies::new(memory.clone());
    let second = async {
        tokio::time::sleep(after).await;
        // A small body needs no memory.
        assert!(read(&bodies, 1, 5_000, false).await.is_ok());
        read(&bodies, 15, 10_000, false).await.map(|bytes| bytes.len())
    };
    let (first, second) = tokio::join!(read(&bodies, 15, 10_000, true), second);
    assert_eq!((first, second), (Err(older), newer));
    assert_eq!(memory.free_bytes(), TOTAL_BYTES);
}

/// Guards against memory that a refused body keeps.
#[tokio::test]
async fn a_body_over_the_limit_is_refused_and_holds_nothing() {
    let memory = HeldMemory::new(TOTAL_BYTES);
    let bodies = RequestBodies::new(memory.clone());
    let refused = read(&bodies, REQUEST_BYTES + 1, 1, true).await;
    assert_eq!(refused, Err(BodyFailure::TooLarge));
    assert_eq!(memory.free_bytes(), TOTAL_BYTES);
}
