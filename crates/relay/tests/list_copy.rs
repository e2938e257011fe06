//! The list of endpoints that one node hands to another.

use std::sync::Arc;

use balsam_relay::ListNews;
use balsam_relay::list_copy;
use balsam_relay::list_copy::ListCopy;
use balsam_relay::list_copy::ListRecord;
use tokio::net::TcpListener;

fn record(key: &str, value: Option<&str>) -> ListRecord {
    ListRecord { key: key.to_owned(), record: value.map(|value| value.as_bytes().to_vec()) }
}

/// A node that takes over a list without an entry, or with one that ended, would send requests to
/// the wrong endpoints until its next read of the whole list.
#[tokio::test]
async fn another_node_gets_the_list_as_it_stands() {
    let copy = Arc::new(ListCopy::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(list_copy::serve(copy.clone(), listener));
    assert_eq!(list_copy::fetch(address).await, None, "no list was read yet");
    copy.replace(10, [record("one", Some("1")), record("two", Some("2"))]);
    copy.advance(12, [record("two", None), record("three", Some("3"))]);
    copy.advance(11, []);
    let records = vec![b"1".to_vec(), b"3".to_vec()];
    assert_eq!(list_copy::fetch(address).await, Some(ListNews { from: 0, to: 12, records }));
}
