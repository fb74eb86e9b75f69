//! The platform's stand-in keeps to its protocol, also under faults.

use {
    carobhitch::platform::{Append, Appended, Health, List, Operation, Page, Progress},
    carobhitch_standin::{
        client, fault,
        platform::{self, Config, Platform},
        stream::Retention,
        vm::Inventory,
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, thread, time::Duration},
};

const RECORDS: &str = "/streams/fleet/records";

fn spawn(records: usize) -> Platform {
    let listen: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    platform::spawn(Config {
        listen,
        control: listen,
        inventory: Inventory::default(),
        retention: Retention { records, ..Retention::default() },
        list_lag: Duration::ZERO,
        reboot_time: Duration::from_millis(100),
        faults: fault::Platform::default(),
        seed: 1,
    })
    .expect("a platform")
}

fn append(platform: &Platform, id: &str) -> client::Result<Appended> {
    let append = Append::new(String::from(id), &id).expect("encode a record");
    client::post(platform.public.address, RECORDS, &append)
}

fn read(platform: &Platform, query: &str) -> client::Result<Page> {
    client::get(platform.public.address, &format!("{RECORDS}?{query}"))
}

fn set_faults(platform: &Platform, faults: fault::Platform) {
    client::post::<Value>(platform.control.address, "/faults", &faults).expect("faults");
}

#[test]
fn an_append_is_idempotent() {
    let platform = spawn(10);
    let offsets = ["a", "b", "a"].map(|id| append(&platform, id).expect("appended").offset);
    assert_eq!(offsets, [0, 1, 0]);
    assert_eq!(read(&platform, "from=0").expect("a page").records.len(), 2);
}

#[test]
fn an_append_whose_response_was_lost_took_effect() {
    let platform = spawn(10);
    set_faults(&platform, fault::Platform { lose_next: 1, ..Default::default() });
    assert!(append(&platform, "a").is_err());
    assert_eq!(read(&platform, "from=0").expect("a page").end, 1);
}

#[test]
fn records_beyond_the_retention_are_removed() {
    let platform = spawn(2);
    ["a", "b", "c"].iter().for_each(|id| _ = append(&platform, id).expect("appended"));
    assert!(read(&platform, "from=0").is_err_and(|e| e.to_string().contains("410")));
    assert_eq!(read(&platform, "from=1").expect("a page").first, 1);
}

#[test]
fn a_read_at_the_end_waits_for_the_next_record() {
    let platform = spawn(10);
    thread::scope(|scope| {
        let reader = scope.spawn(|| read(&platform, "from=0&wait_ms=9000").expect("a page"));
        append(&platform, "a").expect("appended");
        assert_eq!(reader.join().expect("a reader").records.len(), 1);
    });
}

#[test]
fn an_outage_refuses_calls_until_it_is_ended() {
    let platform = spawn(10);
    set_faults(&platform, fault::Platform { outage_ms: 60_000, ..Default::default() });
    assert!(append(&platform, "a").is_err());
    set_faults(&platform, fault::Platform::default());
    let is_back = || append(&platform, "a").is_ok();
    assert!((0..100).any(|_| is_back() || {
        thread::sleep(Duration::from_millis(20));
        false
    }));
}

#[test]
fn a_reboot_is_done_once_for_each_operation() {
    let platform = spawn(10);
    let vm = json!({"id": "v1", "zone": "a", "rack": "r1", "address": "127.0.0.1:9", "health": "live", "boots": 0});
    client::post::<Value>(platform.control.address, "/vms", &vm).expect("a vm");
    let public = platform.public.address;
    let reboot = || client::post::<Operation>(public, "/vms/v1/reboot", &json!({"operation": "o"}));
    let progress = || client::get::<Operation>(public, "/operations/o").expect("known").progress;
    reboot().expect("begun");
    while progress() == Progress::Running {
        thread::sleep(Duration::from_millis(10));
    }
    reboot().expect("known");
    let list: List = client::get(public, "/vms").expect("a list");
    assert_eq!((list.vms[0].boots, list.vms[0].health), (1, Health::Live));
}
