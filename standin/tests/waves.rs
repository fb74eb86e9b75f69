//! Maintenance waves of real entry processes, while the platform's calls about VMs and its store fail.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod site;

use {
    serde_json::{Value, json},
    site::{Site, scrape, wait},
    std::{thread::sleep, time::Duration},
};

/// Topic of the reports on waves.
const STATUS_TOPIC: &str = "keyed.status";

/// Has the operators order a wave.
fn order(site: &Site, number: u64, vms: &[&str]) {
    let wave = json!({ "wave": number, "machines": vms, "durationS": 20, "maxCount": 1 });
    site.store.put("keyed.op", &format!("wave/{number}"), wave.to_string().as_bytes());
}

/// State of a wave as the operators read it, or empty.
fn state(site: &Site, number: u64) -> String {
    let value = site.store.get(STATUS_TOPIC, &format!("wave/{number}")).unwrap_or_default();
    let status: Value = serde_json::from_slice(&value).unwrap_or_default();
    String::from(status["state"].as_str().unwrap_or_default())
}

/// Waits until a wave is complete, when its VMs must have had their maintenance.
fn wait_complete(site: &Site, number: u64, maintained: &[&str]) {
    wait("the wave to be complete", || state(site, number) == "complete");
    for vm in maintained {
        assert!(site.vms.is_maintained(vm, number), "{vm} had no maintenance in wave {number}");
    }
}

/// Guards against a wave that is complete as the owner has not read the list with its VM (review 14).
#[test]
fn a_wave_of_a_vm_added_while_the_list_is_away_waits_for_it() {
    let site = Site::start("added", 3, 1);
    site.vms.add("m-8");
    sleep(Duration::from_secs(1));
    site.vms.start_outage(Duration::from_secs(3));
    site.vms.add("m-9");
    order(&site, 1, &["m-8", "m-9"]);
    sleep(Duration::from_secs(2));
    assert_eq!(state(&site, 1), "running");
    wait_complete(&site, 1, &["m-8", "m-9"]);
}

/// Guards against a wave that never ends as VMs of it are removed, or never listed; also under a new owner.
#[test]
fn a_wave_of_removed_and_unlisted_vms_ends() {
    let mut site = Site::start("removed", 3, 1);
    ["m-7", "m-8", "m-9"].iter().for_each(|vm| site.vms.add(vm));
    sleep(Duration::from_secs(1));
    site.vms.call_removed_busy();
    site.vms.set_unlisted("m-8", true);
    site.vms.remove("m-9");
    order(&site, 1, &["m-7", "m-8", "m-9", "m-none"]);
    wait_complete(&site, 1, &["m-7", "m-8"]);
    let metrics = site.entries[site.owner()].metrics();
    wait("the metrics to show what has gone", || {
        let text = scrape(metrics);
        let shows = |line: &str| text.contains(&format!("carobhitch_waves{{value={line}"));
        shows("\"gone\"} 2") && shows("\"open\"} 0") && shows("\"due\"} 0")
    });
    site.vms.start_outage(Duration::from_secs(60));
    let owner = site.owner();
    site.kill(owner);
    order(&site, 2, &[]);
    wait_complete(&site, 2, &[]);
    assert_eq!(state(&site, 1), "complete", "the next owner knows what the platform answered");
}

/// Guards against a report that is repeated after a newer one, so that a complete wave is shown as running.
#[test]
fn a_repeated_report_replaces_no_newer_one() {
    let site = Site::start("reports", 3, 1);
    site.vms.add("m-9");
    sleep(Duration::from_secs(1));
    site.store.lose_response_of(STATUS_TOPIC);
    order(&site, 1, &["m-9"]);
    wait_complete(&site, 1, &["m-9"]);
    sleep(Duration::from_secs(1));
    assert_eq!(state(&site, 1), "complete");
}

/// Guards against a list whose pages never end, of which an owner would read more and more.
#[test]
fn a_list_whose_pages_never_end_is_given_up() {
    let site = Site::start("pages", 3, 1);
    site.vms.add("m-9");
    site.vms.repeat_page(true);
    let given_up =
        |number: usize| site.log(&format!("front-{number}")).contains("fleet: answers=false");
    wait("the list to be given up", || (0..3).any(given_up));
    order(&site, 1, &["m-9"]);
    sleep(Duration::from_secs(1));
    assert_eq!(state(&site, 1), "running");
    site.vms.repeat_page(false);
    wait_complete(&site, 1, &["m-9"]);
}
