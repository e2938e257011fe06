//! A shutdown while the process has no file descriptor left to accept with.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use balsam_serve::ServeOptions;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::getrlimit;
use rustix::process::setrlimit;
use tokio::io::AsyncReadExt;

use crate::support::Harness;

const CALLERS: usize = 24;

/// Descriptors that the node has left for connections.
const LEFT_DESCRIPTORS: usize = 6;

/// Number of descriptors of the node's process.
const MAX_DESCRIPTORS: u64 = 256;

/// Set in the process that lowers its limit of descriptors.
const NODE_VARIABLE: &str = "BALSAM_TEST_SCARCE_DESCRIPTORS";

const ADDRESS_PREFIX: &str = "listening on ";

/// Guards against connections in the accept queue that are reset at the shutdown because the accept
/// call fails until others have closed.
#[test]
fn requests_that_wait_for_a_descriptor_are_answered_in_a_shutdown() {
    if std::env::var_os(NODE_VARIABLE).is_some() {
        return run_node();
    }
    let mut node = Command::new(std::env::current_exe().unwrap())
        .args([
            "--exact",
            "--nocapture",
            concat!(
                "scarce_descriptors::",
                "requests_that_wait_for_a_descriptor_are_answered_in_a_shutdown"
            ),
        ])
        .env(NODE_VARIABLE, "1")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(node.stdout.take().unwrap()).lines();
    let address = lines
        .find_map(|line| Some(line.unwrap().split_once(ADDRESS_PREFIX)?.1.to_owned()))
        .expect("the node did not start");
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let mut caller = TcpStream::connect(&address).unwrap();
            caller.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
            let request = "POST /elsewhere HTTP/1.1\r\nhost: x\r\n\
                           authorization: Bearer test-token\r\ncontent-length: 6\r\n\r\nbook 1";
            caller.write_all(request.as_bytes()).unwrap();
            std::thread::spawn(move || {
                let mut answer = String::new();
                caller.read_to_string(&mut answer).map(|_| answer)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(200));
    drop(node.stdin.take());
    let answers: Vec<io::Result<String>> =
        callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    assert!(node.wait().unwrap().success(), "{:?}", lines.collect::<Vec<_>>());
    let count = |status: &str| {
        let has_status = |answer: &&io::Result<String>| {
            answer.as_ref().is_ok_and(|answer| answer.starts_with(&format!("HTTP/1.1 {status}")))
        };
        answers.iter().filter(has_status).count()
    };
    assert!(count("404") < CALLERS, "descriptors were not short");
    assert_eq!(count("404") + count("503"), CALLERS, "{answers:?}");
}

/// Runs a node that shuts down at the end of the standard input.
#[tokio::main(flavor = "current_thread")]
async fn run_node() {
    let harness = Harness::start_with(ServeOptions::default(), &[], &[]).await;
    let maximum = getrlimit(Resource::Nofile).maximum;
    setrlimit(Resource::Nofile, Rlimit { current: Some(MAX_DESCRIPTORS), maximum }).unwrap();
    let open = || std::fs::File::open("/dev/null").ok();
    let mut others: Vec<_> = std::iter::from_fn(open).collect();
    others.truncate(others.len() - LEFT_DESCRIPTORS);
    let line = format!("{ADDRESS_PREFIX}{}\n", harness.address);
    io::stdout().write_all(line.as_bytes()).unwrap();
    let mut input = Vec::new();
    tokio::io::stdin().read_to_end(&mut input).await.unwrap();
    assert_eq!(harness.front.shutdown(Duration::from_secs(10)).await, 0);
}
