//! The state is the same whether it is built from the first record, from a snapshot and the records
//! after it, or with repeated records. Also: when snapshots are written and used.

use {
    carobhitch::{
        change::{Change, Edit},
        lease::CONTROL,
        record::{Body, Record, Step},
        snapshot::{self, Chunk, Collector, Latest, MAX_AGE, MAX_TAIL, MIN_TAIL, Retained, Start},
        state::State,
    },
    fleet::{Log, START, TERM, assert_accepted, declaration, member, vm},
    proptest::{
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    std::time::Duration,
};

mod fleet;

const CASES: u32 = 400;
/// Offset of the record that starts the wave.
const RUN: u64 = 4;

fn name(prefix: &'static str, count: u8) -> impl Strategy<Value = String> {
    (0..count).prop_map(move |index| format!("{prefix}{index}"))
}

fn entry() -> impl Strategy<Value = String> {
    prop::sample::select(vec!["e".to_owned(), "f".to_owned()])
}

fn edit() -> impl Strategy<Value = Change> {
    let pool = prop::sample::select(vec!["p", "spare"]);
    let expected = prop::option::weighted(0.9, 0..12_u64);
    let value = (any::<bool>(), pool, 0..4_u8);
    (name("p", 4), expected, value).prop_map(|(id, expected, (kept, pool, index))| {
        let mut to = vm("p", index);
        to.pool = pool.into();
        Change::Vm(Edit { id, expected, value: kept.then_some(to) })
    })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Take { boots: 1 }),
        Just(Step::Done),
        Just(Step::Failed { why: "it broke".into() }),
    ]
}

fn plain() -> impl Strategy<Value = Body> {
    let lease = || CONTROL.to_owned();
    prop_oneof![
        prop::collection::vec(edit(), 1..3).prop_map(|changes| Body::Change { changes }),
        (entry(), 1..3_u64).prop_map(|(e, i)| Body::Join { entry: member(&e, i) }),
        (entry(), 1..3_u64).prop_map(|(entry, incarnation)| Body::Gone { entry, incarnation }),
        name("p", 5).prop_map(|vm| Body::Drain { vm }),
        name("p", 5).prop_map(|vm| Body::Return { vm }),
        (name("p", 4), entry(), 1..3_u64, 0..20_u64).prop_map(|(vm, entry, incarnation, drain)| {
            Body::Emptied { vm, entry, incarnation, drain }
        }),
        (name("p", 4), 0..20_u64).prop_map(|(vm, drain)| Body::Moved { vm, drain }),
        (entry(), 0..3_u64).prop_map(move |(entry, epoch)| Body::Acquire {
            lease: lease(),
            entry,
            incarnation: 1,
            epoch,
            term: TERM,
        }),
        prop_oneof![
            Just(Body::Begin { wave: "w".into() }),
            Just(Body::Pause { wave: "w".into(), why: "asked".into() }),
            Just(Body::Resume { wave: "w".into() }),
            Just(Body::Cancel { wave: "w".into() }),
        ],
    ]
}

fn fenced() -> impl Strategy<Value = Body> {
    let health = (0..9_u64, name("p", 4), name("p", 4)).prop_map(|(at, lost, found)| {
        let as_of = START + Duration::from_secs(at);
        Body::Health { as_of, lost: vec![lost], found: vec![found] }
    });
    let run = prop_oneof![4 => Just(RUN), 1 => 0..20_u64];
    let step = (run, name("p", 4), step()).prop_map(|(run, vm, step)| Body::Step {
        wave: "w".into(),
        run,
        vm,
        step,
    });
    let drain = name("p", 4).prop_map(|vm| Body::Drain { vm });
    let epoch = prop_oneof![4 => Just(1_u64), 1 => 0..3_u64];
    (epoch, prop_oneof![1 => health, 2 => step, 1 => drain]).prop_map(|(epoch, body)| {
        Body::Fenced { lease: CONTROL.into(), epoch, body: Box::new(body) }
    })
}

/// Records of a fleet that allows two unavailable endpoints, with some operations repeated.
fn records() -> impl Strategy<Value = Vec<Record>> {
    let body = prop_oneof![plain(), fenced()];
    let record = (0..40_u32, body).prop_map(|(operation, body)| Record {
        operation: operation.to_string(),
        author: "test".into(),
        at: START,
        body,
    });
    prop::collection::vec(record, 1..40).prop_map(|mut tail| {
        let mut log = Log::new(declaration(4, 2), &["e", "f"]);
        assert_accepted(log.acquire("e", 1));
        assert_accepted(log.add(Body::Begin { wave: "w".into() }));
        let mut all = log.records;
        for (index, record) in tail.iter_mut().enumerate() {
            record.at += Duration::from_secs(10 * index as u64);
        }
        all.append(&mut tail);
        all
    })
}

fn applied(mut state: State, records: &[Record]) -> State {
    for (offset, record) in records.iter().enumerate().skip(state.next as usize) {
        state.apply(offset as u64, record);
    }
    state
}

fn restored(state: &State) -> snapshot::Result<Option<State>> {
    let mut collector = Collector::default();
    for chunk in snapshot::chunks(state, START)?.into_iter().rev() {
        collector.push(chunk)?;
    }
    Ok(collector.newest())
}

fn runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[test]
fn a_state_is_the_same_from_the_start_from_a_snapshot_and_with_repeats() {
    let case = (records(), any::<prop::sample::Index>());
    let check = |(records, cut): (Vec<Record>, prop::sample::Index)| {
        let cut = cut.index(records.len());
        let whole = applied(State::default(), &records);
        let start = restored(&applied(State::default(), &records[..cut])).unwrap().unwrap();
        let resumed = applied(start, &records);
        prop_assert_eq!(&resumed, &whole);
        prop_assert_eq!(snapshot::checksum(&resumed).unwrap(), snapshot::checksum(&whole).unwrap());
        let mut repeated = State::default();
        for (offset, record) in records.iter().enumerate() {
            repeated.apply(offset as u64, record);
            let earlier = records.iter().enumerate().take(offset + 1);
            for (offset, record) in earlier.skip(offset.saturating_sub(3)) {
                repeated.apply(offset as u64, record);
            }
        }
        prop_assert_eq!(&repeated, &whole);
        Ok(())
    };
    runner().run(&case, check).unwrap();
}

#[test]
fn spans_of_unavailability_last_exactly_while_a_vm_is_unavailable() {
    let check = |records: Vec<Record>| {
        let mut state = State::default();
        for (offset, record) in records.iter().enumerate() {
            state.apply(offset as u64, record);
            let down: Vec<_> = state.unavailable("p").map(|(vm, _)| vm.clone()).collect();
            let mut open: Vec<_> = state.ledger.open.keys().cloned().collect();
            open.sort();
            let mut down = down;
            down.sort();
            prop_assert_eq!(open, down);
        }
        Ok(())
    };
    runner().run(&records(), check).unwrap();
}

#[test]
fn a_rejected_record_changes_only_history_and_verdicts() {
    let check = |records: Vec<Record>| {
        let mut state = State::default();
        for (offset, record) in records.iter().enumerate() {
            let before = state.clone();
            let verdict = state.apply(offset as u64, record);
            if verdict == carobhitch::state::Verdict::Accepted {
                continue;
            }
            let mut after = state.clone();
            after.next = before.next;
            after.clock = before.clock;
            after.history = before.history.clone();
            after.verdicts = before.verdicts.clone();
            prop_assert_eq!(after, before);
        }
        Ok(())
    };
    runner().run(&records(), check).unwrap();
}

#[test]
fn an_incomplete_or_damaged_snapshot_is_not_used() {
    let mut log = Log::new(declaration(200, 1), &["e"]);
    let mut join =
        |incarnation| assert_accepted(log.add(Body::Join { entry: member("e", incarnation) }));
    (2..300).for_each(&mut join);
    let older = snapshot::chunks(&log.state, START).unwrap();
    let mut join =
        |incarnation| assert_accepted(log.add(Body::Join { entry: member("e", incarnation) }));
    (300..600).for_each(&mut join);
    let newer = snapshot::chunks(&log.state, START).unwrap();
    assert!(older.len() > 1 && newer.len() > 1);
    let collect = |chunks: &[Chunk]| {
        let mut collector = Collector::default();
        let pushed: Vec<_> = chunks.iter().map(|c| collector.push(c.clone()).is_ok()).collect();
        (collector.newest().map(|s| s.next), pushed.into_iter().all(|ok| ok))
    };
    let cut = [&older[..], &newer[1..]].concat();
    assert_eq!(collect(&cut), (Some(older[0].at), true));
    assert_eq!(collect(&[&newer[..], &older[..]].concat()), (Some(newer[0].at), true));
    let mut damaged = [&older[..], &newer[..]].concat();
    let last = damaged.len() - 1;
    damaged[last].text = damaged[last].text.replacen('1', "2", 1);
    assert_eq!(collect(&damaged), (Some(older[0].at), false));
}

#[test]
fn a_starting_entry_uses_the_newest_source_and_never_skips_records() {
    let log = |first, end| Some(Retained { first, end });
    assert_eq!(snapshot::choose_start(&[], log(0, 9)), Start::From { from: 0, until: 9 });
    assert_eq!(snapshot::choose_start(&[5, 7], log(6, 9)), Start::From { from: 7, until: 9 });
    assert_eq!(snapshot::choose_start(&[5], log(6, 9)), Start::NotReady);
    assert_eq!(snapshot::choose_start(&[], log(6, 9)), Start::NotReady);
    assert_eq!(snapshot::choose_start(&[5, 7], None), Start::From { from: 7, until: 7 });
    assert_eq!(snapshot::choose_start(&[], None), Start::NotReady);
}

#[test]
fn the_holder_of_the_lease_writes_a_snapshot_before_the_log_drops_its_tail() {
    let mut log = Log::new(declaration(2, 1), &["e"]);
    assert_accepted(log.acquire("e", 1));
    let now = START + log.now;
    let mut state = log.state.clone();
    let due = |state: &State, entry, first, last| snapshot::due(state, entry, first, last, now);
    assert!(due(&state, ("e", 1), 0, None));
    assert!(!due(&state, ("e", 2), 0, None));
    assert!(!due(&state, ("f", 1), 0, None));
    let last = |at, age| Some(Latest { at, taken: now - age });
    let none = Duration::ZERO;
    state.next = 100_000;
    assert!(due(&state, ("e", 1), 0, last(state.next - MAX_TAIL, none)));
    assert!(!due(&state, ("e", 1), 0, last(state.next - MAX_TAIL + 1, none)));
    assert!(due(&state, ("e", 1), state.next - 2 * MIN_TAIL, last(state.next - MIN_TAIL, none)));
    assert!(due(&state, ("e", 1), 0, last(state.next, MAX_AGE)));
}
