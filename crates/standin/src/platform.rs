//! A stand-in for the log service and the VM list of the platform, with fault injection.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use balsam_types::vm::VmList;
use balsam_wire::pb::platform::v1::AppendRequest;
use balsam_wire::pb::platform::v1::AppendResponse;
use balsam_wire::pb::platform::v1::Entry;
use balsam_wire::pb::platform::v1::ListRequest;
use balsam_wire::pb::platform::v1::ListResponse;
use balsam_wire::pb::platform::v1::ReadRequest;
use balsam_wire::pb::platform::v1::ReadResponse;
use balsam_wire::pb::platform::v1::log_server::Log;
use balsam_wire::pb::platform::v1::log_server::LogServer;
use balsam_wire::pb::platform::v1::vms_server::Vms;
use balsam_wire::pb::platform::v1::vms_server::VmsServer;
use balsam_wire::platform::vm_list_to_pb;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;

/// Faults of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformFaults {
    /// Every call fails.
    pub down: bool,
    /// Delay added to every call.
    pub delay_ms: u64,
    /// Every n-th append takes effect, but the call fails as if the answer was lost; zero for none.
    pub lose_answer_every: u64,
    /// Delay after which an append with a lost answer takes effect.
    pub late_effect_ms: u64,
    /// Maximum number of appends per second; zero for no limit.
    pub appends_per_s: u32,
}

#[derive(Debug, Default)]
struct Inner {
    entries: VecDeque<Entry>,
    next_offset: u64,
    appends: u64,
    appends_in_window: u32,
    rate_window_s: u64,
    faults: PlatformFaults,
    vms: ListResponse,
}

/// Handle of a running stand-in; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct PlatformHandle {
    inner: Arc<Mutex<Inner>>,
    appended: Arc<Notify>,
}

impl PlatformHandle {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
    }

    /// Replaces the VM list.
    pub fn set_vms(&self, list: &VmList) {
        self.lock().vms = vm_list_to_pb(list);
    }

    /// Removes entries before an offset, as the retention of the log does.
    pub fn forget_before(&self, offset: u64) {
        self.lock().entries.retain(|entry| entry.offset >= offset);
    }

    /// Returns offset and payload of every retained append.
    pub fn batches(&self) -> Vec<(u64, Vec<u8>)> {
        let inner = self.lock();
        inner.entries.iter().map(|entry| (entry.offset, entry.payload.clone())).collect()
    }

    /// Returns the number of append calls so far.
    pub fn append_count(&self) -> u64 {
        self.lock().appends
    }

    /// Serves on a listener until the returned task is aborted.
    pub fn serve(&self, listener: TcpListener) -> JoinHandle<()> {
        let log = LogServer::new(self.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let vms = VmsServer::new(self.clone());
        let incoming = TcpListenerStream::new(listener);
        tokio::spawn(async move {
            let server = Server::builder().add_service(log).add_service(vms);
            // The server runs until the test ends; a transport error only stops it earlier.
            let _ = server.serve_with_incoming(incoming).await;
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    async fn begin_call(&self) -> Result<PlatformFaults, Status> {
        let faults = self.lock().faults;
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if self.lock().faults.down {
            return Err(Status::unavailable("the platform is down"));
        }
        Ok(faults)
    }

    fn append_entry(&self, payload: Vec<u8>) -> AppendResponse {
        let mut inner = self.lock();
        let offset = inner.next_offset;
        let appended_at_ms = unix_time_ms();
        inner.next_offset += 1;
        inner.entries.push_back(Entry { offset, appended_at_ms, payload });
        drop(inner);
        self.appended.notify_waiters();
        AppendResponse { offset, appended_at_ms }
    }

    fn is_within_rate(&self, appends_per_s: u32) -> bool {
        let mut inner = self.lock();
        let now_s = unix_time_ms() / 1_000;
        if inner.rate_window_s != now_s {
            inner.rate_window_s = now_s;
            inner.appends_in_window = 0;
        }
        inner.appends_in_window += 1;
        appends_per_s == 0 || inner.appends_in_window <= appends_per_s
    }

    fn read_entries(&self, from_offset: u64, max_entries: u32) -> ReadResponse {
        let inner = self.lock();
        let first_offset = inner.entries.front().map_or(inner.next_offset, |entry| entry.offset);
        let skip = usize::try_from(from_offset.saturating_sub(first_offset)).unwrap_or(usize::MAX);
        let entries = inner.entries.iter().skip(skip).take(max_entries as usize).cloned();
        ReadResponse { entries: entries.collect(), first_offset, next_offset: inner.next_offset }
    }
}

const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

#[tonic::async_trait]
impl Log for PlatformHandle {
    async fn append(
        &self,
        request: Request<AppendRequest>,
    ) -> Result<Response<AppendResponse>, Status> {
        let faults = self.begin_call().await?;
        if !self.is_within_rate(faults.appends_per_s) {
            return Err(Status::resource_exhausted("too many appends per second"));
        }
        let count = {
            let mut inner = self.lock();
            inner.appends += 1;
            inner.appends
        };
        let payload = request.into_inner().payload;
        let is_answer_lost =
            faults.lose_answer_every > 0 && count.is_multiple_of(faults.lose_answer_every);
        if !is_answer_lost {
            return Ok(Response::new(self.append_entry(payload)));
        }
        let platform = self.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(faults.late_effect_ms)).await;
            platform.append_entry(payload);
        });
        Err(Status::unavailable("the answer was lost"))
    }

    async fn read(&self, request: Request<ReadRequest>) -> Result<Response<ReadResponse>, Status> {
        self.begin_call().await?;
        let request = request.into_inner();
        let deadline = Instant::now() + Duration::from_millis(request.wait_ms.into());
        loop {
            let appended = self.appended.notified();
            let response = self.read_entries(request.from_offset, request.max_entries);
            if !response.entries.is_empty() || timeout_at(deadline, appended).await.is_err() {
                self.begin_call().await?;
                return Ok(Response::new(response));
            }
        }
    }
}

#[tonic::async_trait]
impl Vms for PlatformHandle {
    async fn list(&self, _: Request<ListRequest>) -> Result<Response<ListResponse>, Status> {
        self.begin_call().await?;
        Ok(Response::new(self.lock().vms.clone()))
    }
}

/// Starts a platform stand-in on a free loopback port.
pub async fn start_platform() -> io::Result<(PlatformHandle, SocketAddr, JoinHandle<()>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let handle = PlatformHandle::default();
    let task = handle.serve(listener);
    Ok((handle, address, task))
}
