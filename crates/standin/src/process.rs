//! An entry node in a process of its own, for tests.

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

/// How often new ports are tried when another process took one of the chosen ones.
const START_TRIES: u32 = 5;

const START_LIMIT: Duration = Duration::from_secs(20);
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
const MONITOR_TIMEOUT: Duration = Duration::from_secs(1);

/// What an entry node is told about itself.
#[derive(Debug, Clone)]
pub struct NodeSpec {
    /// Its VM.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// The platform's address as the node sees it.
    pub platform: SocketAddr,
    /// Where other entry nodes reach it.
    pub advertised: SocketAddr,
    /// Lines added to the settings file, as whole tables.
    pub more_settings: String,
}

/// A running entry node; dropping it kills the process.
pub struct NodeProcess {
    child: Child,
    addresses: Addresses,
    folder: TempDir,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Both fail only when the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl NodeProcess {
    /// Starts the binary, tells its process id, and waits until it answers on its metrics port.
    pub fn start(binary: &Path, spec: &NodeSpec, started: impl Fn(u32)) -> io::Result<Self> {
        let mut last = io::Error::other("not tried");
        for _ in 0..START_TRIES {
            match Self::try_start(binary, spec, &started) {
                Ok(node) => return Ok(node),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    fn try_start(binary: &Path, spec: &NodeSpec, tell: &impl Fn(u32)) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let addresses = Addresses {
            callers: free_address()?,
            peers: free_address()?,
            operators: free_address()?,
            metrics: free_address()?,
        };
        let settings = folder.path().join("settings.toml");
        fs::write(&settings, settings_text(spec, &addresses))?;
        let log = File::create(log_path(folder.path()))?;
        let child = Command::new(binary)
            .arg("run")
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        tell(child.id());
        let mut node = Self { child, addresses, folder };
        let started = Instant::now();
        while !node.is_live() {
            if let Some(status) = node.child.try_wait()? {
                return Err(io::Error::other(format!("ended with {status}: {}", node.log())));
            }
            if started.elapsed() > START_LIMIT {
                return Err(io::Error::other(format!("does not answer: {}", node.log())));
            }
            std::thread::sleep(LOOK_INTERVAL);
        }
        Ok(node)
    }

    /// Returns where the node listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process answers.
    pub fn is_live(&self) -> bool {
        self.monitor("/live").is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// Returns whether the node takes requests.
    pub fn is_ready(&self) -> bool {
        self.monitor("/ready").is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// Returns the metrics as text.
    pub fn metrics(&self) -> io::Result<String> {
        self.monitor("/metrics")
    }

    fn monitor(&self, path: &str) -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&self.addresses.metrics, MONITOR_TIMEOUT)?;
        stream.set_read_timeout(Some(MONITOR_TIMEOUT))?;
        write!(stream, "GET {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    }

    /// Returns what the node has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(log_path(self.folder.path())).unwrap_or_default()
    }

    /// Ends the process at once, as the loss of its VM does.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Pauses the process.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Continues a paused process.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to leave.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits for the process to end.
    pub fn wait_end(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if started.elapsed() > limit {
                return Err(io::Error::other(format!("still runs after {limit:?}")));
            }
            std::thread::sleep(LOOK_INTERVAL);
        }
    }

    /// Signals the process; its id is its own until `wait` has returned.
    fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }
}

fn log_path(folder: &Path) -> PathBuf {
    folder.join("log.txt")
}

fn settings_text(spec: &NodeSpec, addresses: &Addresses) -> String {
    let mut text = node_settings_text(&spec.vm, &spec.data_centre, spec.platform);
    for (key, address) in [
        ("callers_address", addresses.callers),
        ("peers_address", addresses.peers),
        ("operators_address", addresses.operators),
        ("metrics_address", addresses.metrics),
    ] {
        let (free, chosen) = (format!("{key} = \"127.0.0.1:0\""), format!("{key} = \"{address}\""));
        text = text.replace(&free, &chosen);
    }
    let advertised = format!("[node]\npeers_advertised_address = \"{}\"", spec.advertised);
    text.replace("[node]", &advertised) + &spec.more_settings
}
