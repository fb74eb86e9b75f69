//! Tests of the validation of an entry's settings file.

#![allow(clippy::unwrap_used)]

use {
    carobhitch::{
        fault::{Fault, Found},
        settings::{Limits, Settings},
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
};

const VALID: &str = r#"
id = "entry-a"
zone = "zone-a"
callers = "127.0.0.1:7000"
link = "127.0.0.1:7001"
rpc = "127.0.0.1:7002"
platform = "127.0.0.1:7003"
"#;

fn faults(text: &str) -> Vec<Fault> {
    Settings::parse("entry.toml", text).unwrap_err()
}

fn lines(text: &str) -> Vec<String> {
    faults(text).iter().map(ToString::to_string).collect()
}

#[test]
fn a_settings_file_with_five_faults_reports_five() {
    let text = r#"
        zone = "zone-a"
        callers = "127.0.0.1:7000"
        link = "127.0.0.1:70001"
        rpc = "127.0.0.1:7000"
        platform = "127.0.0.1:7003"
        log = "loud"
        [limits]
        conections = 5
    "#;
    let address = "an IP number and a port, such as 127.0.0.1:7000";
    let expected = [
        String::from("entry.toml: id is missing: must be 1 to 64 letters, digits, '-', '_' or '.'"),
        format!("entry.toml: link = \"127.0.0.1:70001\": must be {address}"),
        String::from(
            "entry.toml: rpc = 127.0.0.1:7000: must differ from every other address; callers has it too",
        ),
        String::from("entry.toml: log = \"loud\": must be one of error, warn, info, debug, trace"),
        String::from("entry.toml: limits.conections is unknown: did you mean \"connections\"?"),
    ];
    assert_eq!(lines(text), expected);
}

#[test]
fn limits_on_callers_follow_from_memory_and_descriptors() {
    let intake = |limits: &str| {
        Settings::parse("entry.toml", &format!("{VALID}[limits]\n{limits}"))
            .unwrap()
            .limits
            .intake()
    };
    assert_eq!(intake("").connections, 1_024);
    assert_eq!(intake("memory_mb = 64").connections, 81);
    assert_eq!(intake("memory_mb = 64").body_memory, 4_000_000);
    assert_eq!(intake("descriptors = 400").connections, 100);
    assert_eq!(intake("connections = 20").connections, 20);
    assert_eq!(intake("memory_mb = 64\nbody_memory_mb = 9").body_memory, 9_000_000);
    let text = format!("{VALID}[limits]\nmemory_mb = 1\ndescriptors = 5\nhead_bytes = 1\n");
    let lines = lines(&text);
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines[0].contains("limits.memory_mb = 1: must be a whole number from 32"), "{lines:?}");
}

#[test]
fn missing_keys_get_their_defaults() {
    let settings = Settings::parse("entry.toml", VALID).unwrap();
    assert_eq!(settings.limits, Limits::default());
    assert_eq!((settings.log.as_str(), settings.metrics), ("info", None));
}

#[test]
fn a_syntax_error_names_its_line() {
    let fault = faults("id = \"a\"\nzone = [").remove(0);
    assert_eq!((fault.key.as_str(), fault.found), ("line 2", Found::Unreadable));
}

#[test]
fn a_missing_file_is_reported_as_one_fault() {
    let path = std::path::Path::new("no-such-directory/entry.toml");
    assert_eq!(Settings::load(path).unwrap_err().len(), 1);
}

#[test]
fn a_limit_out_of_range_names_the_range() {
    let text = format!("{VALID}[limits]\nconnections = 0");
    let expected = "entry.toml: limits.connections = 0: must be a whole number from 1 to 65536";
    assert_eq!(lines(&text), [expected]);
}

#[test]
fn a_wildcard_link_is_rejected() {
    let text = VALID.replace("127.0.0.1:7001", "0.0.0.0:7001");
    assert_eq!(faults(&text).len(), 1);
}

#[test]
fn the_own_link_may_be_among_the_seeds_but_no_other_own_address() {
    let seeds = "seeds = [\"127.0.0.1:7001\", \"127.0.0.1:7011\"]";
    assert!(Settings::parse("entry.toml", &format!("{VALID}{seeds}")).is_ok());
    let seeds = "seeds = [\"127.0.0.1:7000\"]";
    assert_eq!(faults(&format!("{VALID}{seeds}")).len(), 1);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    #[test]
    fn valid_settings_are_read_back_as_written(
        port in 1024..60_000u16,
        body_bytes in 1..1u64 << 30,
        deadline_ms in 1..86_400_000u64,
        level in 0..5usize,
    ) {
        let mut settings = Settings::parse("entry.toml", VALID).unwrap();
        settings.callers.set_port(port);
        settings.link.set_port(port + 1);
        settings.rpc.set_port(port + 2);
        settings.platform.set_port(port + 3);
        settings.log = String::from(carobhitch::settings::LEVELS[level]);
        settings.limits.body_bytes = body_bytes;
        settings.limits.deadline_ms = deadline_ms;
        let text = toml::to_string(&settings).unwrap();
        prop_assert_eq!(Settings::parse("entry.toml", &text), Ok(settings));
    }

    #[test]
    fn arbitrary_text_does_not_panic(text in ".{0,200}") {
        let _ = Settings::parse("entry.toml", &text);
    }
}
