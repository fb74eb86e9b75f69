//! Test helpers for the state machine: a small fleet, and a log whose records are applied at once.
#![allow(dead_code)]

use {
    carobhitch::{
        change::{Change, Edit},
        fleet::{Budget, Declaration, Pool, Service, Team, Vm, Wave},
        id::{EntryId, Incarnation, Offset, VmId},
        lease,
        record::{Body, Member, Record, Step},
        state::{Reason, State, Verdict},
    },
    std::time::Duration,
};

/// Time at which the log starts, since the Unix epoch.
pub const START: Duration = Duration::from_secs(1_700_000_000);
/// Duration of leases.
pub const TERM: Duration = Duration::from_secs(30);

/// A log of records and the state after them.
#[derive(Clone, Default)]
pub struct Log {
    /// Records appended so far.
    pub records: Vec<Record>,
    /// State after these records.
    pub state: State,
    /// Time of the next record after [`START`].
    pub now: Duration,
}

impl Log {
    /// Creates a log in which the fleet is declared and `entries` have joined.
    pub fn new(declaration: Declaration, entries: &[&str]) -> Self {
        let mut log = Self::default();
        assert_accepted(
            log.add(Body::Declare { declaration: Box::new(declaration), expected: None }),
        );
        for entry in entries {
            assert_accepted(log.add(Body::Join { entry: member(entry, 1) }));
        }
        log
    }

    /// Appends and applies a record with a new operation id.
    pub fn add(&mut self, body: Body) -> Verdict {
        let operation = format!("op-{}", self.records.len());
        self.add_as(&operation, body)
    }

    /// Appends and applies a record with the given operation id.
    pub fn add_as(&mut self, operation: &str, body: Body) -> Verdict {
        self.now += Duration::from_secs(1);
        let record = Record {
            operation: operation.into(),
            author: "test".into(),
            at: START + self.now,
            body,
        };
        let offset = self.records.len() as Offset;
        self.records.push(record.clone());
        self.state.apply(offset, &record)
    }

    /// Appends and applies a record unchanged, unless its operation is already in the log.
    pub fn push(&mut self, record: Record) {
        if self.records.iter().all(|r| r.operation != record.operation) {
            self.state.apply(self.records.len() as Offset, &record);
            self.records.push(record);
        }
    }

    /// Appends a record fenced by the current epoch of the control lease.
    pub fn fenced(&mut self, body: Body) -> Verdict {
        let epoch = self.state.epoch(lease::CONTROL);
        self.add(Body::Fenced { lease: lease::CONTROL.into(), epoch, body: Box::new(body) })
    }

    /// Appends the request of an entry for the control lease.
    pub fn acquire(&mut self, entry: &str, incarnation: Incarnation) -> Verdict {
        let epoch = self.state.epoch(lease::CONTROL);
        self.add(Body::Acquire {
            lease: lease::CONTROL.into(),
            entry: entry.into(),
            incarnation,
            epoch,
            term: TERM,
        })
    }

    /// Appends the confirmation of an entry that a VM is empty.
    pub fn emptied(&mut self, vm: &str, entry: &str) -> Verdict {
        let drain = self.state.drains.get(vm).map_or(0, |d| d.since);
        self.add(Body::Emptied { vm: vm.into(), entry: entry.into(), incarnation: 1, drain })
    }

    /// Appends a step of the latest run of wave `w`.
    pub fn step(&mut self, vm: &str, step: Step) -> Verdict {
        let run = self.state.waves.get("w").map_or(0, |r| r.began);
        self.fenced(Body::Step { wave: "w".into(), run, vm: vm.into(), step })
    }

    /// Appends an edit of a VM, made from the current version.
    pub fn edit_vm(&mut self, id: &str, value: Option<Vm>) -> Verdict {
        let expected = self.state.versions.get(&format!("vm/{id}"));
        let edit = Edit { id: id.into(), expected, value };
        self.add(Body::Change { changes: vec![Change::Vm(edit)] })
    }
}

/// Member whose addresses are derived from its name.
pub fn member(entry: &str, incarnation: Incarnation) -> Member {
    let port = 1000 + entry.bytes().map(u16::from).sum::<u16>();
    Member {
        id: EntryId::from(entry),
        incarnation,
        zone: "a".into(),
        link: ([10, 0, 0, 1], port).into(),
        rpc: ([10, 0, 0, 1], port + 10_000).into(),
    }
}

/// VM number `index` of a pool. Zones `a` and `b` alternate every four VMs; two VMs share a rack.
pub fn vm(pool: &str, index: u8) -> Vm {
    let zone = if (index / 4).is_multiple_of(2) { "a" } else { "b" };
    let rack = format!("{zone}{}", index / 2);
    let address = ([10, 1, pool.len() as u8, index], 80).into();
    Vm { pool: pool.into(), zone: zone.into(), rack, address }
}

/// Declares pool `p` with the VMs `p0`, `p1` and so on, pool `spare` with one VM, team `t`, and
/// service `s` and wave `w` on pool `p`.
pub fn declaration(vms: u8, max_unavailable: u32) -> Declaration {
    let budget = Budget {
        max_unavailable,
        max_unavailable_zone: max_unavailable,
        target_ppm: 900_000,
        ..Budget::default()
    };
    let service = Service { pool: "p".into(), slots: 8, connections: 64, budget };
    let wave = Wave { pool: "p".into(), max_at_once: 2, max_failures: 2 };
    let mut declaration = Declaration::default();
    declaration.pools.insert("p".into(), Pool::default());
    declaration.pools.insert("spare".into(), Pool::default());
    declaration.services.insert("s".into(), service);
    declaration.teams.insert("t".into(), Team::default());
    declaration.waves.insert("w".into(), wave);
    for index in 0..vms {
        declaration.vms.insert(VmId::from(format!("p{index}")), vm("p", index));
    }
    declaration.vms.insert("spare0".into(), vm("spare", 200));
    declaration
}

/// Panics unless the record was accepted.
#[track_caller]
pub fn assert_accepted(verdict: Verdict) {
    assert_eq!(verdict, Verdict::Accepted);
}

/// Returns why a record was rejected; panics if it was accepted.
#[track_caller]
pub fn expect_rejected(verdict: Verdict) -> Reason {
    match verdict {
        Verdict::Rejected(reason) => reason,
        Verdict::Accepted => panic!("the record was accepted"),
    }
}
