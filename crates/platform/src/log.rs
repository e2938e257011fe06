//! Client of the platform's append-only log.

use std::net::SocketAddr;
use std::time::Duration;

use balsam_wire::pb::platform::v1::AppendRequest;
use balsam_wire::pb::platform::v1::ReadRequest;
use balsam_wire::pb::platform::v1::log_client;
use snafu::ResultExt;
use tokio::time::timeout;
use tonic::transport::Channel;

use crate::channel;
use crate::error::CallSnafu;
use crate::error::PlatformError;
use crate::error::TimedOutSnafu;

/// Maximum size of a message to or from the log; a read of many batches stays below it.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Time added to the wait time of a read to get its timeout.
const READ_MARGIN_MS: u64 = 1_000;

/// A client of the log service; clones share one connection.
#[derive(Debug, Clone)]
pub struct LogClient {
    client: log_client::LogClient<Channel>,
    address: SocketAddr,
}

/// Numbers appends from 1, because the zero [`balsam_types::Offset`] means "no record".
const fn append_from_log_offset(offset: u64) -> u64 {
    offset + 1
}

const fn log_offset_from_append(append: u64) -> u64 {
    append.saturating_sub(1)
}

/// The offset and time of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// The offset of the append.
    pub append: u64,
    /// The platform's time of the append.
    pub appended_at_ms: u64,
}

/// An append read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// The offset of the append.
    pub append: u64,
    /// The platform's time of the append.
    pub appended_at_ms: u64,
    /// The encoded batch of records.
    pub batch: Vec<u8>,
}

/// The result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadResponse {
    /// The entries in the order of the log.
    pub entries: Vec<LogEntry>,
    /// The offset of the oldest append that the log retains.
    pub first_append: u64,
    /// The offset that the next append will get.
    pub next_append: u64,
}

impl LogClient {
    /// Creates a client that connects on first use.
    pub fn new(address: SocketAddr) -> Self {
        let client = log_client::LogClient::new(channel(address))
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        Self { client, address }
    }

    /// Appends one batch.
    pub async fn append(&self, batch: Vec<u8>, timeout_ms: u64) -> Result<Appended, PlatformError> {
        const STEP: &str = "appending to the log";
        let mut client = self.client.clone();
        let call = client.append(AppendRequest { payload: batch });
        let Ok(response) = timeout(Duration::from_millis(timeout_ms), call).await else {
            return TimedOutSnafu { step: STEP, peer: self.address, timeout_ms }.fail();
        };
        let response = response.context(CallSnafu { step: STEP, peer: self.address })?.into_inner();
        let append = append_from_log_offset(response.offset);
        Ok(Appended { append, appended_at_ms: response.appended_at_ms })
    }

    /// Reads entries starting at an offset, waiting up to `wait_ms` for the first one.
    pub async fn read(
        &self,
        from_append: u64,
        max_entries: u32,
        wait_ms: u64,
    ) -> Result<ReadResponse, PlatformError> {
        const STEP: &str = "reading the log";
        let mut client = self.client.clone();
        let clamped_wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
        let call = client.read(ReadRequest {
            from_offset: log_offset_from_append(from_append),
            max_entries,
            wait_ms: clamped_wait_ms,
        });
        let timeout_ms = wait_ms + READ_MARGIN_MS;
        let Ok(response) = timeout(Duration::from_millis(timeout_ms), call).await else {
            return TimedOutSnafu { step: STEP, peer: self.address, timeout_ms }.fail();
        };
        let response = response.context(CallSnafu { step: STEP, peer: self.address })?.into_inner();
        let entries = response.entries.into_iter().map(|entry| LogEntry {
            append: append_from_log_offset(entry.offset),
            appended_at_ms: entry.appended_at_ms,
            batch: entry.payload,
        });
        Ok(ReadResponse {
            entries: entries.collect(),
            first_append: append_from_log_offset(response.first_offset),
            next_append: append_from_log_offset(response.next_offset),
        })
    }
}
