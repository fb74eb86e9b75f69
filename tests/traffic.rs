//! Counters of control traffic.

use carobhitch::traffic::{Traffic, Volume};

#[test]
fn the_account_sums_links_and_platform_calls() {
    let traffic = Traffic::default();
    traffic.links.send(3);
    traffic.links.receive(5);
    traffic.platform.send(7);
    traffic.platform.receive(11);
    traffic.platform.receive(13);
    let account = traffic.account();
    assert_eq!(account.links, Volume { sent_bytes: 3, received_bytes: 5 });
    assert_eq!(account.platform, Volume { sent_bytes: 7, received_bytes: 24 });
    assert_eq!(account.total(), Volume { sent_bytes: 10, received_bytes: 29 });
}
