//! State machine: validation, versions, concurrent and repeated changes of the declaration.

use {
    carobhitch::{
        change::{self, Change, Edit},
        check::Fault,
        fleet::{Declaration, Pool, Team},
        record::Body,
        state::{MIN_VERDICTS, Reason, Verdict},
    },
    fleet::{Log, assert_accepted, declaration, expect_rejected, member, vm},
};

mod fleet;

fn declare(declaration: Declaration, expected: Option<u64>) -> Body {
    Body::Declare { declaration: Box::new(declaration), expected }
}

fn team(id: &str, expected: Option<u64>, weight: u32) -> Change {
    let value = Some(Team { weight, quota_millicores: 0 });
    Change::Team(Edit { id: id.into(), expected, value })
}

#[test]
fn every_fault_of_a_declaration_is_reported() {
    let mut wrong = declaration(4, 1);
    wrong.vms["p1"].address = wrong.vms["p0"].address;
    wrong.vms["p2"].pool = "nowhere".into();
    wrong.services["s"].budget.max_unavailable = 0;
    wrong.services["s"].slots = 0;
    wrong.teams["t"].weight = 0;
    wrong.waves["w"].max_at_once = 0;
    wrong.pools["p"].min_vms = 4;
    let mut log = Log::default();
    let Reason::Faults(faults) = expect_rejected(log.add(declare(wrong, None))) else { panic!() };
    let has = |name: &str| faults.0.iter().any(|f| format!("{f:?}").starts_with(name));
    for name in ["Address", "UnknownPool", "Budget", "NoSlots", "NoWeight", "Wave", "FewVms"] {
        assert!(has(name), "{name} is missing in: {faults}");
    }
    assert_eq!(log.state.version, None);
    assert!(log.state.declaration.vms.is_empty());
}

#[test]
fn of_two_declarations_from_the_same_version_the_first_is_in_force() {
    let mut log = Log::new(declaration(2, 1), &[]);
    let mut first = declaration(2, 1);
    first.teams.insert("first".into(), Team::default());
    let mut second = declaration(2, 1);
    second.teams.insert("second".into(), Team::default());
    assert_accepted(log.add(declare(first.clone(), Some(0))));
    let stale = Reason::Stale { expected: Some(0), found: Some(1) };
    assert_eq!(expect_rejected(log.add(declare(second, Some(0)))), stale);
    assert_eq!(log.state.declaration, first);
}

#[test]
fn changes_of_different_objects_from_one_version_are_both_in_force() {
    let mut log = Log::new(declaration(2, 1), &[]);
    assert_accepted(log.add(Body::Change { changes: vec![team("t", Some(0), 2)] }));
    assert_accepted(log.add(Body::Change { changes: vec![team("u", None, 3)] }));
    let conflict = expect_rejected(log.add(Body::Change { changes: vec![team("t", Some(0), 9)] }));
    assert!(matches!(conflict, Reason::Conflict(_)));
    assert_eq!(log.state.declaration.teams["t"].weight, 2);
    assert_eq!(log.state.declaration.teams["u"].weight, 3);
    assert_eq!(log.state.version, Some(2));
}

#[test]
fn a_change_is_in_force_as_a_whole_or_not_at_all() {
    let mut log = Log::new(declaration(2, 1), &[]);
    let before = log.state.declaration.clone();
    let changes = vec![team("t", Some(0), 5), team("u", Some(7), 1), team("t", Some(0), 6)];
    let Reason::Conflict(faults) = expect_rejected(log.add(Body::Change { changes })) else {
        panic!()
    };
    assert_eq!(faults.0.len(), 2);
    assert_eq!(faults.0[1], Fault::Twice("team/t".into()));
    assert_eq!(log.state.declaration, before);
}

#[test]
fn edits_between_two_declarations_lead_from_one_to_the_other() {
    let mut log = Log::new(declaration(3, 1), &[]);
    let mut wanted = declaration(2, 2);
    wanted.pools.insert("new".into(), Pool::default());
    wanted.vms["p1"].pool = "new".into();
    wanted.teams.shift_remove("t");
    let changes = change::between(&log.state, &wanted);
    assert_eq!(changes.len(), 5);
    assert_accepted(log.add(Body::Change { changes }));
    assert_eq!(log.state.declared(), wanted);
    assert!(change::between(&log.state, &wanted).is_empty());
}

#[test]
fn a_pool_in_use_is_not_removed() {
    let mut log = Log::new(declaration(2, 1), &[]);
    let remove = Edit { id: "p".into(), expected: Some(0), value: None };
    let faults = expect_rejected(log.add(Body::Change { changes: vec![Change::Pool(remove)] }));
    assert!(matches!(faults, Reason::Faults(_)));
}

#[test]
fn an_address_can_be_reused_only_after_its_vm_has_left() {
    let mut log = Log::new(declaration(2, 1), &["e"]);
    let successor = vm("p", 0);
    assert_accepted(log.edit_vm("p0", None));
    assert!(matches!(
        expect_rejected(log.edit_vm("successor", Some(successor.clone()))),
        Reason::Faults(_)
    ));
    assert_accepted(log.add(Body::Drain { vm: "p0".into() }));
    assert_accepted(log.emptied("p0", "e"));
    let drain = log.state.drains["p0"].since;
    assert_accepted(log.add(Body::Moved { vm: "p0".into(), drain }));
    assert_accepted(log.edit_vm("successor", Some(successor)));
}

#[test]
fn a_repeated_operation_gets_its_first_verdict_and_has_no_second_effect() {
    let mut log = Log::new(declaration(2, 1), &[]);
    assert_accepted(log.add_as("call", Body::Drain { vm: "p0".into() }));
    let refused = log.add_as("other", Body::Drain { vm: "p1".into() });
    assert_accepted(log.add(Body::Return { vm: "p0".into() }));
    assert_accepted(log.add_as("call", Body::Drain { vm: "p0".into() }));
    assert!(log.state.drains.is_empty());
    assert_eq!(log.add_as("other", Body::Drain { vm: "p1".into() }), refused);
}

#[test]
fn a_record_is_applied_once_and_never_past_a_gap() {
    let mut log = Log::new(declaration(2, 1), &["e"]);
    let before = log.state.clone();
    for (offset, record) in log.records.clone().iter().enumerate() {
        assert_eq!(log.state.apply(offset as u64, record), Verdict::Accepted);
    }
    let mut next = log.records[1].clone();
    next.operation = "later".into();
    assert_eq!(expect_rejected(log.state.apply(7, &next)), Reason::Gap { offset: 7, next: 2 });
    assert_eq!(log.state, before);
}

#[test]
fn verdicts_are_bounded() {
    let mut log = Log::default();
    for index in 0..3 * MIN_VERDICTS as u64 {
        assert_accepted(log.add(Body::Join { entry: member("e", index) }));
    }
    assert!(log.state.verdicts.len() <= 2 * MIN_VERDICTS);
    let newest = format!("op-{}", 3 * MIN_VERDICTS - 1);
    assert!(log.state.verdicts.contains_key(&newest));
}

#[test]
fn a_record_from_a_broken_clock_is_rejected_and_changes_nothing() {
    let mut log = Log::new(declaration(2, 1), &["e"]);
    let clock = log.state.clock;
    let mut record = log.records[1].clone();
    record.operation = "broken".into();
    record.at = std::time::Duration::MAX;
    record.body = Body::Drain { vm: "p0".into() };
    assert!(matches!(expect_rejected(log.state.apply(2, &record)), Reason::Invalid(_)));
    assert_eq!(log.state.clock, clock);
    assert!(log.state.drains.is_empty());
    record.operation = "lease".into();
    record.at = clock;
    let (lease, entry, term) = ("control".into(), "e".into(), std::time::Duration::MAX);
    record.body = Body::Acquire { lease, entry, incarnation: 1, epoch: 0, term };
    assert_accepted(log.state.apply(3, &record));
}
