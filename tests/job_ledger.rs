//! Records of the ledger: encoding, and division into appends.
//!
//! The store limits the size of an append, so a large batch that is not divided could never be
//! stored. Records in another order would let older progress replace newer.

#![allow(clippy::unwrap_used)]

use {
    carobhitch::job::{
        extension,
        ledger::{self, Content, Progress, Record, Task},
        suspicion::History,
    },
    proptest::prelude::*,
};

#[test]
fn progress_is_read_as_it_was_stored() {
    let task = Task { run: 3, failures: 1, failed_run: 2, runner: 1, ..Task::default() };
    let progress =
        Progress { runners: vec!["r0".into()], steps: vec![vec![task]], ..Progress::default() };
    let record = ledger::progress(7, &progress).unwrap();
    assert_eq!(ledger::read(&record).unwrap(), Content::Progress(7, progress));
}

#[test]
fn the_crashes_of_a_task_are_read_as_they_were_stored_and_ignored_by_a_former_release() {
    let steps = vec![vec![Task::default()], vec![Task { run: 2, ..Task::default() }]];
    let plain = Progress { steps, ..Progress::default() };
    let mut history = History::default();
    history.add(2, 40);
    let suspects = [(1, history)].into();
    let suspected = Progress { suspects, organisation: Some(String::new()), ..plain.clone() };
    let record = ledger::progress(7, &suspected).unwrap();
    assert_eq!(ledger::read(&record).unwrap(), Content::Progress(7, suspected));
    // A former release knows of one extension, the organisation of a settled job.
    let former: (Progress, Option<String>) = extension::decode(&record.value).unwrap();
    assert_eq!(former, (plain.clone(), Some(String::new())));
    let stored = ledger::progress(7, &plain).unwrap().value;
    assert!(record.value.starts_with(&stored), "without a history nothing is added");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_batch_is_split_in_order_into_appends_that_are_small_enough(
        sizes in prop::collection::vec(0_usize..300, 1..40),
        most in 100_usize..600,
    ) {
        let record = |size: &usize| Record { key: "k".into(), value: vec![0; *size] };
        let records: Vec<Record> = sizes.iter().map(record).collect();
        let calls = ledger::split(records.clone(), most);
        prop_assert_eq!(calls.concat(), records);
        for call in &calls {
            let bytes: usize = call.iter().map(|r| r.key.len() + r.value.len()).sum();
            prop_assert!(!call.is_empty() && (bytes <= most || call.len() == 1));
        }
    }
}
