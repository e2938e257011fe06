//! Tests the allocation of addresses for nodes that start concurrently.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use balsam_standin::address::free_address;

/// Guards against two nodes with the same port, which both look alive while one has exited. The
/// system hands out a port again as soon as it is free.
#[test]
fn addresses_are_not_repeated() {
    let addresses: BTreeSet<_> = (0..2_000).map(|_| free_address().unwrap()).collect();
    assert_eq!(addresses.len(), 2_000);
}

/// Guards against ephemeral ports: the system gave the port of a node to a connection or listener of
/// another test, and the node failed with "Address already in use" in the path tests of the platform.
#[test]
fn ports_lie_below_the_ephemeral_range() {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    let lowest: u16 = range.split_whitespace().next().unwrap().parse().unwrap();
    for _ in 0..100 {
        let port = free_address().unwrap().port();
        assert!(port < lowest, "port {port} is in the ephemeral range, which starts at {lowest}");
    }
}

/// Guards against an address that is still in use when its node listens: a process that another
/// thread started at the moment of the check inherited the socket of the check and held it until it
/// executed. Tests of `balsamctl` failed with "Address already in use".
#[test]
fn addresses_are_free_while_processes_are_started() {
    const ADDRESSES: usize = 1_000;
    const STARTERS: usize = 4;
    let is_done = AtomicBool::new(false);
    let failures = std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let listen = |_| TcpListener::bind(free_address().unwrap()).err();
        let failures: Vec<_> = (0..ADDRESSES).filter_map(listen).collect();
        is_done.store(true, Ordering::Relaxed);
        failures
    });
    assert!(failures.is_empty(), "{} of {ADDRESSES} failed: {failures:?}", failures.len());
}
