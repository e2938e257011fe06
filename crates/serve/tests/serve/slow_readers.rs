//! Callers that read nothing of their answers.

use std::time::Duration;

use balsam_serve::ServeOptions;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::time::sleep;

use crate::support::CHAT;
use crate::support::Harness;
use crate::support::engine;
use crate::support::eventually;

/// Tokens of an answer that no socket of a slow caller takes.
const TOKENS: u64 = 20_000;

/// Guards against a caller that reads nothing and holds its connection, the memory of its answer and a
/// place at an endpoint for good.
#[tokio::test]
async fn a_caller_that_reads_nothing_loses_its_connection() {
    let engine = engine().await;
    let options = ServeOptions { write_timeout_ms: 400, ..ServeOptions::default() };
    let harness = Harness::start_with(options, &[&engine], &[]).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut caller = socket.connect(harness.address).await.unwrap();
    let body = format!(
        "{{\"model\": \"m\", \"stream\": true, \"max_tokens\": {TOKENS}, \"messages\": \
         [{{\"role\": \"user\", \"content\": \"q\"}}]}}"
    );
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer test-token\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    caller.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
    sleep(Duration::from_millis(300)).await;
    eventually("the connection is closed", || {
        harness.count("balsam_serve_unread_answers", &[]) == 1
    })
    .await;
    eventually("the answer is cancelled", || harness.count("balsam_serve_cancelled", &[]) == 1)
        .await;
}
