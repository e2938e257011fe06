//! Runs an entry node as a separate process for tests.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use balsam_node::node::Addresses;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tempfile::TempDir;

use crate::address::free_address;
use crate::estate::node_settings_text;

/// Maximum number of starts, each with new ports, in case another process took a chosen port.
const MAX_START_ATTEMPTS: u32 = 5;

const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const HTTP_TIMEOUT: Duration = Duration::from_secs(1);

/// Configuration of an entry node.
#[derive(Debug, Clone)]
pub struct NodeSpec {
    /// Its VM.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// Address under which the node reaches the platform.
    pub platform: SocketAddr,
    /// Address under which other entry nodes reach it.
    pub advertised: SocketAddr,
    /// Complete tables appended to the settings file.
    pub extra_settings: String,
}

/// A running entry node; dropping it kills the process.
pub struct NodeProcess {
    child: Child,
    addresses: Addresses,
    directory: TempDir,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Both fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl NodeProcess {
    /// Starts the binary and waits until it answers on its metrics port. `on_spawn` gets the id of
    /// each process that is spawned.
    pub fn start(binary: &Path, spec: &NodeSpec, on_spawn: impl Fn(u32)) -> io::Result<Self> {
        let mut last_error = io::Error::other("no start was attempted");
        for _ in 0..MAX_START_ATTEMPTS {
            match Self::try_start(binary, spec, &on_spawn) {
                Ok(node) => return Ok(node),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    fn try_start(binary: &Path, spec: &NodeSpec, on_spawn: &impl Fn(u32)) -> io::Result<Self> {
        let directory = tempfile::tempdir()?;
        let addresses = Addresses {
            callers: free_address()?,
            peers: free_address()?,
            operators: free_address()?,
            metrics: free_address()?,
        };
        let settings = directory.path().join("settings.toml");
        fs::write(&settings, settings_text(spec, &addresses))?;
        let log = File::create(log_path(directory.path()))?;
        let child = Command::new(binary)
            .arg("run")
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        on_spawn(child.id());
        let mut node = Self { child, addresses, directory };
        let started = Instant::now();
        while !node.is_live() {
            if let Some(status) = node.child.try_wait()? {
                return Err(io::Error::other(format!(
                    "entry node exited with {status}: {}",
                    node.log()
                )));
            }
            if started.elapsed() > START_TIMEOUT {
                return Err(io::Error::other(format!(
                    "entry node does not answer: {}",
                    node.log()
                )));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(node)
    }

    /// Returns the listen addresses of the node.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the liveness check succeeds.
    pub fn is_live(&self) -> bool {
        self.http_get("/live").is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// Returns whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        self.http_get("/ready").is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// Returns the HTTP response with the metrics as text.
    pub fn metrics(&self) -> io::Result<String> {
        self.http_get("/metrics")
    }

    fn http_get(&self, path: &str) -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&self.addresses.metrics, HTTP_TIMEOUT)?;
        stream.set_read_timeout(Some(HTTP_TIMEOUT))?;
        write!(stream, "GET {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    }

    /// Returns the log output of the node.
    pub fn log(&self) -> String {
        fs::read_to_string(log_path(self.directory.path())).unwrap_or_default()
    }

    /// Kills the process, which simulates the loss of its VM.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) -> io::Result<()> {
        self.send_signal(Signal::STOP)
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) -> io::Result<()> {
        self.send_signal(Signal::CONT)
    }

    /// Asks the process to shut down with SIGTERM.
    pub fn terminate(&self) -> io::Result<()> {
        self.send_signal(Signal::TERM)
    }

    /// Waits for the process to exit.
    pub fn wait_for_exit(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if started.elapsed() > limit {
                return Err(io::Error::other(format!("entry node still runs after {limit:?}")));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends a signal. The process id cannot be reused before `wait` has returned.
    fn send_signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }
}

fn log_path(directory: &Path) -> PathBuf {
    directory.join("log.txt")
}

fn settings_text(spec: &NodeSpec, addresses: &Addresses) -> String {
    let mut text = node_settings_text(&spec.vm, &spec.data_centre, spec.platform);
    for (key, address) in [
        ("callers_address", addresses.callers),
        ("peers_address", addresses.peers),
        ("operators_address", addresses.operators),
        ("metrics_address", addresses.metrics),
    ] {
        let (any_port, chosen) =
            (format!("{key} = \"127.0.0.1:0\""), format!("{key} = \"{address}\""));
        text = text.replace(&any_port, &chosen);
    }
    let advertised = format!("[node]\npeers_advertised_address = \"{}\"", spec.advertised);
    text.replace("[node]", &advertised) + &spec.extra_settings
}
