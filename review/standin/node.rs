//! Entry nodes as separate processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

const FRONT_PORT: u16 = 8_227;
const READY_PORT: u16 = 8_220;
const PEER_PORT: u16 = 7_340;

/// A node, which is killed when it is dropped.
pub struct Node {
    pub name: String,
    ip: String,
    pub child: Child,
}

impl Drop for Node {
    fn drop(&mut self) {
        // Both fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Where the settings and logs of a run are.
pub struct Place {
    pub directory: PathBuf,
}

impl Place {
    pub fn create() -> Self {
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        Self { directory }
    }

    /// Returns the address of a node of this run; concurrent runs use different ones.
    pub fn ip(number: usize) -> String {
        let run = std::process::id();
        format!("127.{}.{}.{}", 20 + run % 200, run / 200 % 250, number + 1)
    }

    /// Writes the settings file of a node, like the example in DEPLOY.md.
    pub fn write_settings(&self, number: usize, nodes: usize, store: SocketAddr) -> PathBuf {
        let ip = Self::ip(number);
        let seeds: Vec<String> =
            (0..nodes.min(3)).map(|seed| format!("\"{}:8229\"", Self::ip(seed))).collect();
        let seeds = seeds.join(",");
        let text = format!(
            "node_name = \"front-a-{number}\"\nrole = \"entry\"\nmachine_class = \"front\"\n\
             serves = [\"front\"]\nip = \"{ip}\"\nzone = \"a\"\nregion = \"r\"\n\
             port_range = [{PEER_PORT},{}]\nseeds = [{seeds}]\nbootstrap = true\n\
             heartbeat_ms = 1200\n[zones]\na = \"r\"\n[listen]\nfront = \"{ip}:{FRONT_PORT}\"\n\
             ready = \"{ip}:{READY_PORT}\"\n[limits]\ncores = 1\nmemory_mb = 260\nmax_fds = 1024\n\
             [bounds]\nstable_window_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\nevacuate_ms = 5000\n\
             config_apply_ms = 2000\nretry_budget_ratio = 0.2\nbudget_slack = 103\nstall_ms = 5000\n\
             require_fence = false\n[platform]\naddress = \"{store}\"\nform = \"log\"\n",
            PEER_PORT + 15
        );
        let path = self.directory.join(format!("front-a-{number}.toml"));
        fs::write(&path, text).unwrap();
        path
    }

    /// Starts a node.
    pub fn start(&self, number: usize, nodes: usize, store: SocketAddr) -> Result<Node, String> {
        let settings = self.write_settings(number, nodes, store);
        let name = format!("front-a-{number}");
        let log_path = self.directory.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log_path).unwrap();
        let child = Command::new("target/release/balsamturn")
            .arg("platform")
            .env("BALSAMTURN_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("target/release/balsamturn: {error}"))?;
        Ok(Node { name, ip: Self::ip(number), child })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

impl Node {
    pub fn front(&self) -> SocketAddr {
        format!("{}:{FRONT_PORT}", self.ip).parse().unwrap()
    }

    pub fn is_ready(&self) -> bool {
        let address = format!("{}:{READY_PORT}", self.ip).parse().unwrap();
        let request = "GET /readiness HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
        http::call(address, request, Duration::from_secs(1)).is_some_and(|a| a.status == 200)
    }

    pub fn wait_until_ready(&self) -> Result<(), String> {
        let started = Instant::now();
        while !self.is_ready() {
            if started.elapsed() >= Duration::from_secs(20) {
                return Err(format!("{} is not ready within 20 s", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}
