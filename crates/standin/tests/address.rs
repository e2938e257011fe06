//! Addresses for nodes that are started side by side.

use std::collections::BTreeSet;

use balsam_standin::estate::free_address;

/// Two nodes with the same port look alive while one of them has ended: the system gives a port out
/// again as soon as it is free.
#[test]
fn an_address_is_given_out_once() {
    let given: BTreeSet<_> = (0..2_000).map(|_| free_address().unwrap()).collect();
    assert_eq!(given.len(), 2_000);
}
