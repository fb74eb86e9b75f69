//! Records of the ledger: encoding, and division into appends.
//!
//! The store limits the size of an append, so a large batch that is not divided could never be
//! stored. Records in another order would let older progress replace newer.

#![allow(clippy::unwrap_used)]

use {
    carobhitch::job::{
        extension,
        ledger::{self, Content, Progress, Record, Task, Upkeep, fragment::Divider},
        suspicion::History,
    },
    indexmap::IndexMap,
    proptest::{prelude::*, test_runner::RngSeed},
};

#[test]
fn progress_is_read_as_it_was_stored() {
    let task = Task { run: 3, failures: 1, failed_run: 2, runner: 1, ..Task::default() };
    let progress =
        Progress { runners: vec!["r0".into()], steps: vec![vec![task]], ..Progress::default() };
    let record = ledger::progress(7, &progress).unwrap();
    assert_eq!(ledger::read(&record).unwrap(), Content::Progress(7, progress));
}

/// Guards against a record of waves that a former release can't read, or that it takes for another one.
#[test]
fn vms_that_the_platform_does_not_have_are_read_as_they_were_stored_and_ignored_by_a_former_release()
 {
    let vms = |id: &str| [(1, [String::from(id)].into())].into();
    let plain = Upkeep { waves: vms("m0"), ..Upkeep::default() };
    let upkeep = Upkeep { gone: vms("m9"), ..plain.clone() };
    let record = ledger::upkeep(&upkeep).unwrap();
    assert_eq!(ledger::read(&record).unwrap(), Content::Upkeep(upkeep.clone()));
    let former: (Upkeep, Option<()>) = extension::decode(&record.value).unwrap();
    assert_eq!(former.0, plain);
    let ordered = Upkeep { ordered_ms: [(1, 1_000)].into(), ..upkeep.clone() };
    let record = ledger::upkeep(&ordered).unwrap();
    assert_eq!(ledger::read(&record).unwrap(), Content::Upkeep(ordered));
    let former: (Upkeep, Option<()>) = extension::decode(&record.value).unwrap();
    assert_eq!(former.0, plain);
    let stored = ledger::upkeep(&plain).unwrap();
    assert_eq!(stored.value, extension::encode(&plain, None::<&()>).unwrap());
    assert_eq!(ledger::read(&stored).unwrap(), Content::Upkeep(plain));
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
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

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
            let bytes: usize = call.iter().map(Record::stored_bytes).sum();
            prop_assert!(!call.is_empty() && (bytes <= most || call.len() == 1));
        }
    }

    #[test]
    fn large_records_are_old_or_new_wherever_their_owners_end_and_no_part_stays_behind(
        owners in prop::collection::vec((batches(), 0_usize..25), 1..7),
    ) {
        let (mut stored, mut expected, mut stamp) = (Stored::new(), Stored::new(), 0_u8);
        for (batches, cut) in owners {
            let mut divider = Divider::new(LIMIT);
            prop_assert_eq!(&join(&mut divider, &stored), &expected);
            for (number, batch) in batches.iter().enumerate() {
                stamp = stamp.wrapping_add(1);
                let record = |&(key, size)| Record { key: format!("k{key}"), value: vec![stamp; size] };
                let records: Vec<Record> = batch.iter().map(record).collect();
                let mut divided = divider.divide(records.clone());
                prop_assert!(divided.iter().all(|record| record.stored_bytes() <= LIMIT));
                if number + 1 == batches.len() {
                    divided.truncate(cut);
                }
                store(&mut stored, &divided);
                // The content is new once the record itself, or its index, is stored.
                let is_content = |record: &&Record| !record.key.contains('~');
                store(&mut expected, &records[..divided.iter().filter(is_content).count()]);
            }
        }
        let mut divider = Divider::new(LIMIT);
        join(&mut divider, &stored);
        let removal = |key: usize| Record { key: format!("k{key}"), value: Vec::new() };
        store(&mut stored, &divider.divide((0..3).map(removal).collect()));
        prop_assert!(stored.is_empty(), "parts stay behind: {:?}", stored.keys());
    }
}

#[test]
fn the_parts_of_a_record_that_lacks_one_are_removed() {
    let mut stored = Stored::new();
    let record = |size| Record { key: "k0".into(), value: vec![7; size] };
    store(&mut stored, &Divider::new(LIMIT).divide(vec![record(400)]));
    stored.swap_remove("k0~1~1").unwrap();
    let mut divider = Divider::new(LIMIT);
    assert!(join(&mut divider, &stored).is_empty());
    store(&mut stored, &divider.divide(vec![record(10)]));
    assert_eq!(stored.keys().collect::<Vec<_>>(), ["k0"]);
}

/// Largest record in bytes.
const LIMIT: usize = 200;

/// Batches of records, by the number of the key and the size.
fn batches() -> impl Strategy<Value = Vec<Vec<(usize, usize)>>> {
    prop::collection::vec(prop::collection::vec((0_usize..3, 0_usize..900), 1..4), 1..4)
}

/// Values by key, as the ledger keeps them.
type Stored = IndexMap<String, Vec<u8>>;

fn store(stored: &mut Stored, records: &[Record]) {
    for record in records {
        if record.value.is_empty() {
            stored.swap_remove(&record.key);
        } else {
            stored.insert(record.key.clone(), record.value.clone());
        }
    }
}

fn join(divider: &mut Divider, stored: &Stored) -> Stored {
    let record =
        |(key, value): (&String, &Vec<u8>)| Record { key: key.clone(), value: value.clone() };
    let joined = divider.join(stored.iter().map(record).collect());
    joined.into_iter().map(|record| (record.key, record.value)).collect()
}
