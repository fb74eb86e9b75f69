//! A small fleet and a log of records for the tests of the state machine.
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

/// Time of the first record since the Unix epoch.
pub const START: Duration = Duration::from_secs(1_700_000_000);
/// Term of leases.
pub const TERM: Duration = Duration::from_secs(30);

/// A state with the log that led to it.
#[derive(Clone, Default)]
pub struct Log {
    /// Records so far.
    pub records: Vec<Record>,
    /// State after them.
    pub state: State,
    /// Time of the next record after [`START`].
    pub now: Duration,
}

impl Log {
    /// A log whose fleet is declared and served by `entries`.
    pub fn new(declaration: Declaration, entries: &[&str]) -> Self {
        let mut log = Self::default();
        accepted(log.add(Body::Declare { declaration: Box::new(declaration), expected: None }));
        for entry in entries {
            accepted(log.add(Body::Join { entry: member(entry, 1) }));
        }
        log
    }

    /// Appends and applies a record with its own operation.
    pub fn add(&mut self, body: Body) -> Verdict {
        let operation = format!("op-{}", self.records.len());
        self.add_as(&operation, body)
    }

    /// Appends and applies a record of the operation.
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

    /// Appends and applies a record as it is, unless its operation is in the log already.
    pub fn push(&mut self, record: Record) {
        if self.records.iter().all(|r| r.operation != record.operation) {
            self.state.apply(self.records.len() as Offset, &record);
            self.records.push(record);
        }
    }

    /// Appends a record under the control lease in its present epoch.
    pub fn fenced(&mut self, body: Body) -> Verdict {
        let epoch = self.state.epoch(lease::CONTROL);
        self.add(Body::Fenced { lease: lease::CONTROL.into(), epoch, body: Box::new(body) })
    }

    /// Gives the control lease to an entry.
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

    /// One entry says that a VM is empty.
    pub fn emptied(&mut self, vm: &str, entry: &str) -> Verdict {
        let drain = self.state.drains.get(vm).map_or(0, |d| d.since);
        self.add(Body::Emptied { vm: vm.into(), entry: entry.into(), incarnation: 1, drain })
    }

    /// A step of the run of wave `w` in force.
    pub fn step(&mut self, vm: &str, step: Step) -> Verdict {
        let run = self.state.waves.get("w").map_or(0, |r| r.began);
        self.fenced(Body::Step { wave: "w".into(), run, vm: vm.into(), step })
    }

    /// The VM's pool changes by a declared edit from the version in force.
    pub fn edit_vm(&mut self, id: &str, value: Option<Vm>) -> Verdict {
        let expected = self.state.versions.get(&format!("vm/{id}"));
        let edit = Edit { id: id.into(), expected, value };
        self.add(Body::Change { changes: vec![Change::Vm(edit)] })
    }
}

/// A member with addresses made from its name.
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

/// VM number `index` of a pool, in zone `a` or `b` by turns of four and two to a rack.
pub fn vm(pool: &str, index: u8) -> Vm {
    let zone = if (index / 4).is_multiple_of(2) { "a" } else { "b" };
    let rack = format!("{zone}{}", index / 2);
    let address = ([10, 1, pool.len() as u8, index], 80).into();
    Vm { pool: pool.into(), zone: zone.into(), rack, address }
}

/// Pools `p` with `vms` VMs named `p0`.., and `spare` with one; service `s` and wave `w` on `p`.
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

/// Fails the test unless the record was accepted.
#[track_caller]
pub fn accepted(verdict: Verdict) {
    assert_eq!(verdict, Verdict::Accepted);
}

/// Reason of a rejected record.
#[track_caller]
pub fn rejected(verdict: Verdict) -> Reason {
    match verdict {
        Verdict::Rejected(reason) => reason,
        Verdict::Accepted => panic!("the record was accepted"),
    }
}
