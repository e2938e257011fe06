//! Addresses for nodes that are started side by side.

use std::collections::BTreeSet;

use balsam_standin::address::free_address;

/// Two nodes with the same port look alive while one of them has ended: the system gives a port out
/// again as soon as it is free.
#[test]
fn an_address_is_given_out_once() {
    let given: BTreeSet<_> = (0..2_000).map(|_| free_address().unwrap()).collect();
    assert_eq!(given.len(), 2_000);
}

/// The system gave a port that a node was to listen on to a connection or a listener of another
/// test, and the node did not start: "Address already in use" in the path tests of the platform.
#[test]
fn the_system_gives_no_such_port_to_connections() {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    let lowest: u16 = range.split_whitespace().next().unwrap().parse().unwrap();
    for _ in 0..100 {
        let port = free_address().unwrap().port();
        assert!(port < lowest, "port {port}; connections get ports from {lowest} on");
    }
}
