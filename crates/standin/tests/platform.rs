//! Tests the platform clients against the stand-in.

use balsam_platform::LogClient;
use balsam_standin::platform::PlatformFaults;
use balsam_standin::platform::start_platform;

const TIMEOUT_MS: u64 = 1_000;

/// Guards against the assumption that a failed append has no effect.
#[tokio::test]
async fn an_append_whose_answer_was_lost_can_be_read_back() {
    let (platform, address, _task) = start_platform().await.unwrap();
    let log = LogClient::new(address);
    log.append(b"first".to_vec(), TIMEOUT_MS).await.unwrap();
    platform.set_faults(PlatformFaults { lose_answer_every: 2, ..PlatformFaults::default() });
    log.append(b"second".to_vec(), TIMEOUT_MS).await.unwrap_err();
    let answer = log.read(2, 10, 500).await.unwrap();
    assert_eq!(answer.entries[0].batch, b"second");
}

/// Guards against a reader that mistakes entries removed by retention for an empty log.
#[tokio::test]
async fn a_read_before_retention_reports_the_first_retained_append() {
    let (platform, address, _task) = start_platform().await.unwrap();
    let log = LogClient::new(address);
    for _ in 0..4 {
        log.append(b"batch".to_vec(), TIMEOUT_MS).await.unwrap();
    }
    platform.forget_before(3);
    let answer = log.read(0, 10, 100).await.unwrap();
    assert_eq!((answer.first_append, answer.next_append), (4, 5));
    assert_eq!(answer.entries[0].append, 4);
}

/// Guards against callers that wait forever for a platform that is down.
#[tokio::test]
async fn a_failed_call_names_the_step_and_the_peer() {
    let (platform, address, _task) = start_platform().await.unwrap();
    platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let error = LogClient::new(address).append(Vec::new(), TIMEOUT_MS).await.unwrap_err();
    assert!(error.to_string().starts_with(&format!("appending to the log at {address}")));
}
