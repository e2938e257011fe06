//! Failing accept calls while the accept queue of a closing listener is emptied.

use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::io::ErrorKind;
use std::time::Duration;

use balsam_http::AcceptQueue;
use rstest::rstest;
use tokio::time::Instant;

/// `EMFILE` of Linux; `ErrorKind` has no stable name for it.
const TOO_MANY_OPEN_FILES: i32 = 24;

/// `EPROTO` of Linux: a pending error of the connection.
const PROTOCOL_ERROR: i32 = 71;

async fn take_all(accept: impl FnMut() -> io::Result<u32>) -> (Vec<u32>, io::Result<Option<u32>>) {
    let mut queue = AcceptQueue::new(accept);
    let mut taken = Vec::new();
    loop {
        match queue.next().await {
            Ok(Some(connection)) => taken.push(connection),
            ended => return (taken, ended),
        }
    }
}

/// Guards against connections that are reset because the accept of one before them failed.
#[rstest]
#[case::aborted(|| ErrorKind::ConnectionAborted.into())]
#[case::interrupted(|| ErrorKind::Interrupted.into())]
#[case::protocol(|| io::Error::from_raw_os_error(PROTOCOL_ERROR))]
#[tokio::test]
async fn an_error_of_one_connection_does_not_end_the_queue(#[case] error: fn() -> io::Error) {
    let mut results = VecDeque::from([Err(error()), Ok(1), Err(error()), Err(error()), Ok(2)]);
    let (taken, ended) =
        take_all(|| results.pop_front().unwrap_or(Err(ErrorKind::WouldBlock.into()))).await;
    assert_eq!(taken, [1, 2]);
    assert!(matches!(ended, Ok(None)), "{ended:?}");
}

/// Guards against connections that are reset because descriptors are short for a moment.
#[tokio::test]
async fn a_shortage_of_descriptors_is_waited_for() {
    let started = Instant::now();
    let left = Cell::new(3);
    let (taken, ended) = take_all(|| {
        if left.get() == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        if left.get() < 3 && started.elapsed() < Duration::from_millis(700) {
            return Err(io::Error::from_raw_os_error(TOO_MANY_OPEN_FILES));
        }
        left.set(left.get() - 1);
        Ok(left.get())
    })
    .await;
    assert_eq!(taken, [2, 1, 0]);
    assert!(matches!(ended, Ok(None)), "{ended:?}");
}

/// Guards against a shutdown that waits without end for descriptors, also if one becomes free now
/// and then.
#[tokio::test]
async fn a_lasting_shortage_of_descriptors_ends_the_queue() {
    let started = Instant::now();
    let mut calls = 0;
    let (_, ended) = take_all(|| {
        calls += 1;
        match calls % 10 {
            0 => Ok(calls),
            _ => Err(io::Error::from_raw_os_error(TOO_MANY_OPEN_FILES)),
        }
    })
    .await;
    assert_eq!(ended.unwrap_err().raw_os_error(), Some(TOO_MANY_OPEN_FILES));
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}
