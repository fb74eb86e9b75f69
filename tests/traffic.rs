//! Counters of control traffic.

use carobhitch::traffic::{Traffic, Volume};

#[test]
fn the_totals_sum_links_and_platform_calls() {
    let traffic = Traffic::default();
    traffic.links.add_sent(3);
    traffic.links.add_received(5);
    traffic.platform.add_sent(7);
    traffic.platform.add_received(11);
    traffic.platform.add_received(13);
    let totals = traffic.totals();
    assert_eq!(totals.links, Volume { sent_bytes: 3, received_bytes: 5 });
    assert_eq!(totals.platform, Volume { sent_bytes: 7, received_bytes: 24 });
    assert_eq!(totals.total(), Volume { sent_bytes: 10, received_bytes: 29 });
}
