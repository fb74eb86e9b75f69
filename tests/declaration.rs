//! Declaration files: validation, merging and differences.

#![allow(clippy::unwrap_used)]

use {
    carobhitch::{
        declaration,
        diff::{self, Effect, Kind},
        fleet::{Budget, Declaration, Pool, Service, Team, Vm, Wave},
        record::{Body, Record},
        state::{State, Verdict},
    },
    indexmap::IndexMap,
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::time::Duration,
};

const VALID: &str = r#"
[pools.desk]
min_vms = 1
[vms.vm-1]
pool = "desk"
zone = "zone-a"
rack = "rack-1"
address = "10.0.0.1:80"
[services.quotes]
pool = "desk"
[services.quotes.budget]
target_ppm = 999_500
[teams.bergen]
weight = 3
[waves.spring]
pool = "desk"
max_at_once = 1
"#;

fn lines(texts: &[(&str, &str)]) -> Vec<String> {
    declaration::parse(texts).unwrap_err().iter().map(ToString::to_string).collect()
}

#[test]
fn every_fault_of_every_file_is_reported_at_once() {
    let second = r#"
        [pools.desk]
        [pools.utility]
        min_vms = 3
        [vms.vm-2]
        pool = "dsk"
        zone = "zone-a"
        rack = 4
        address = "10.0.0.1:80"
        [services.regrind]
        pool = "desk"
        slot = 8
        [services.regrind.budget]
        max_unavailable_zone = 2
        [waves.autumn]
        pool = "desk"
        max_at_once = 0
    "#;
    let expected = [
        "b.toml: vms.vm-2.rack = 4: must be 1 to 64 letters, digits, '-', '_' or '.'",
        "b.toml: services.regrind.budget.max_unavailable_zone = 2: must be at most max_unavailable, 1",
        "b.toml: services.regrind.slot is unknown: did you mean \"slots\"?",
        "b.toml: waves.autumn.max_at_once = 0: must be a whole number from 1",
        "b.toml: pools.desk stands twice: must stand in one file only; a.toml has it",
        "b.toml: vms.vm-2.pool = \"dsk\": must be a pool that is declared",
        "b.toml: vms.vm-2.address = 10.0.0.1:80: must differ from every other VM's; vm-1 has it too",
        "b.toml: pools.utility.min_vms = 3: must be at most 0, the VMs declared in the pool",
    ];
    assert_eq!(lines(&[("a.toml", VALID), ("b.toml", second)]), expected);
}

#[test]
fn a_budget_has_no_longer_window_than_the_state_machine_allows() {
    let window = |days: u64| {
        format!(
            "[services.late]\npool = \"desk\"\nslots = 8\nconnections = 64\n[services.late.budget]\nwindow_secs = {}\n",
            days * 86_400
        )
    };
    assert!(declaration::parse(&[("a.toml", VALID), ("b.toml", &window(92))]).is_ok());
    let faults = lines(&[("a.toml", VALID), ("b.toml", &window(93))]);
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert!(faults[0].contains("window_secs = 8035200"), "{faults:?}");
}

#[test]
fn objects_may_be_split_over_files() {
    let (pools, rest) = VALID.split_at(VALID.find("[services").unwrap());
    let merged = declaration::parse(&[("a.toml", pools), ("b.toml", rest)]);
    assert_eq!(merged, declaration::parse(&[("a.toml", VALID)]));
}

#[test]
fn a_difference_names_the_changed_field() {
    let old = declaration::parse(&[("a.toml", VALID)]).unwrap();
    let mut new = old.clone();
    new.services["quotes"].budget.target_ppm = 990_000;
    new.teams.clear();
    let changes = diff::between(&old, &new);
    let Effect::Changed(fields) = &changes[0].effect else { panic!("{changes:?}") };
    assert_eq!((fields[0].name.as_str(), fields.len()), ("budget.target_ppm", 1));
    assert_eq!((changes[1].kind, &changes[1].effect), (Kind::Team, &Effect::Removed));
}

fn name() -> impl Strategy<Value = String> {
    "[a-z][a-z0-9-]{0,8}"
}

prop_compose! {
    fn service(pool: String)(
        slots in 1..100u32,
        connections in 1..100u32,
        max_unavailable in 1..5u32,
        target_ppm in 1..=1_000_000u32,
        window_secs in 1..1_000_000u64,
    ) -> Service {
        let budget =
            Budget { max_unavailable, max_unavailable_zone: 1, target_ppm, window_secs };
        Service { pool: pool.clone(), slots, connections, budget }
    }
}

prop_compose! {
    fn declared(pool: String)(
        spare: bool,
        vms in vec((name(), name(), name()), 0..8),
        services in vec((name(), service(pool.clone())), 0..4),
        teams in vec((name(), 1..9u32, 0..1_000_000u64), 0..4),
        waves in vec((name(), 1..9u32, 1..9u32), 0..4),
    ) -> Declaration {
        let vms = vms.into_iter().enumerate().map(|(index, (id, zone, rack))| {
            let address = format!("10.0.0.{index}:80").parse().unwrap();
            (id, Vm { pool: pool.clone(), zone, rack, address })
        });
        let wave = |(id, max_at_once, max_failures)| {
            (id, Wave { pool: pool.clone(), max_at_once, max_failures })
        };
        Declaration {
            pools: IndexMap::from([(pool.clone(), Pool { spare, min_vms: 0 })]),
            vms: vms.collect(),
            services: services.into_iter().collect(),
            teams: teams
                .into_iter()
                .map(|(id, weight, quota_millicores)| (id, Team { weight, quota_millicores }))
                .collect(),
            waves: waves.into_iter().map(wave).collect(),
        }
    }
}

fn record(operation: &str, declaration: &Declaration, expected: Option<u64>) -> Record {
    Record {
        operation: String::from(operation),
        author: String::from("astrid"),
        at: Duration::from_secs(1),
        body: Body::Declare { declaration: Box::new(declaration.clone()), expected },
    }
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    #[test]
    fn a_declaration_survives_being_written_and_read(found in declared(String::from("desk"))) {
        let text = toml::to_string(&found).unwrap();
        let read = declaration::parse(&[("a.toml", &text)]).unwrap();
        prop_assert!(diff::between(&found, &read).is_empty());
        prop_assert_eq!(read, found);
    }

    #[test]
    fn there_is_no_difference_exactly_if_declarations_are_equal(
        old in declared(String::from("desk")),
        new in declared(String::from("desk")),
    ) {
        prop_assert!(diff::between(&new, &new).is_empty());
        prop_assert_eq!(diff::between(&old, &new).is_empty(), old == new);
        let there = diff::between(&old, &new).len();
        prop_assert_eq!(there, diff::between(&new, &old).len());
    }

    #[test]
    fn an_accepted_declaration_leaves_no_difference_and_repeats_without_effect(
        old in declared(String::from("desk")),
        new in declared(String::from("desk")),
    ) {
        let mut state = State::default();
        prop_assert_eq!(state.apply(0, &record("one", &old, None)), Verdict::Accepted);
        prop_assert!(diff::between(&state.declared(), &old).is_empty());
        let verdict = state.apply(1, &record("two", &new, Some(0)));
        let wanted = if verdict == Verdict::Accepted { &new } else { &old };
        prop_assert!(diff::between(&state.declared(), wanted).is_empty());
        let before = state.clone();
        prop_assert_eq!(state.apply(2, &record("two", &old, Some(1))), verdict);
        prop_assert_eq!(State { next: 2, ..state }, before);
    }
}
