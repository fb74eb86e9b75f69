//! Measures the cost of the state machine for fleets of several sizes.
//!
//! `cargo run --release --example state_cost` prints, for each number of VMs, the resident memory
//! of the state, the mean times to apply a change of one VM, a drain and its confirmation by an
//! entry, the time and size of a snapshot, and the time to derive all routes.

use {
    carobhitch::{
        change::{Change, Edit},
        fleet::{Budget, Declaration, Pool, Service, Team, Vm, Wave},
        id::VmId,
        record::{Body, Member, Record},
        snapshot,
        state::{State, Verdict},
    },
    std::{
        fs,
        time::{Duration, Instant},
    },
};

/// Numbers of VMs, pools and teams.
const SIZES: [(usize, usize, usize); 4] =
    [(50, 5, 4), (500, 20, 20), (5_000, 100, 80), (17_000, 209, 170)];
/// Number of entries.
const ENTRIES: usize = 117;
/// Number of records of a kind that are timed.
const ROUNDS: usize = 200;
/// Size of a memory page.
const PAGE_BYTES: usize = 4096;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("vms pools state_kb change_us drain_us emptied_us snapshot_ms snapshot_kb routes_us");
    for (vms, pools, teams) in SIZES {
        let before = resident_bytes()?;
        let mut state = State::default();
        let declaration = Box::new(fleet(vms, pools, teams));
        apply(&mut state, Body::Declare { declaration, expected: None })?;
        for index in 0..ENTRIES {
            apply(&mut state, Body::Join { entry: member(index) })?;
        }
        let after = resident_bytes()?;
        let change = mean_apply_time(&mut state, |state, round| change(state, vms, round))?;
        let drain = mean_apply_time(&mut state, |_, round| Body::Drain {
            vm: name(drained_vm(round, vms)),
        })?;
        let emptied =
            mean_apply_time(&mut state, |state, round| emptied(state, drained_vm(round, vms)))?;
        let begin = Instant::now();
        let chunks = snapshot::chunks(&state, Duration::ZERO)?;
        let snapshot_time = begin.elapsed();
        let snapshot_bytes: usize = chunks.iter().map(|c| c.text.len()).sum();
        let begin = Instant::now();
        let routes = state.routes().len();
        let routes_time = begin.elapsed();
        assert_eq!(routes, pools);
        println!(
            "{vms} {pools} {} {:.1} {:.1} {:.1} {:.1} {} {:.0}",
            after.saturating_sub(before) / 1024,
            micros(change),
            micros(drain),
            micros(emptied),
            micros(snapshot_time) / 1000.0,
            snapshot_bytes / 1024,
            micros(routes_time),
        );
    }
    Ok(())
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn resident_bytes() -> Result<usize, Box<dyn std::error::Error>> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).ok_or("no resident size")?;
    Ok(pages.parse::<usize>()? * PAGE_BYTES)
}

fn name(index: usize) -> VmId {
    format!("vm-{index:05}")
}

fn vm(index: usize, pools: usize) -> Vm {
    let [.., b, c, d] = (index as u32).to_be_bytes();
    Vm {
        pool: format!("pool-{}", index % pools),
        zone: format!("zone-{}", index / pools % 13),
        rack: format!("rack-{}", index / 52),
        address: ([10, b, c, d], 8080).into(),
    }
}

fn fleet(vms: usize, pools: usize, teams: usize) -> Declaration {
    let mut declaration = Declaration::default();
    let budget = Budget { max_unavailable: 1000, max_unavailable_zone: 1000, ..Budget::default() };
    for index in 0..pools {
        let pool = format!("pool-{index}");
        declaration.pools.insert(pool.clone(), Pool::default());
        let service =
            Service { pool: pool.clone(), slots: 8, connections: 64, budget: budget.clone() };
        declaration.services.insert(format!("service-{index}"), service);
        let wave = Wave { pool, max_at_once: 1, max_failures: 2 };
        declaration.waves.insert(format!("wave-{index}"), wave);
    }
    for index in 0..teams {
        declaration.teams.insert(format!("team-{index}"), Team::default());
    }
    for index in 0..vms {
        declaration.vms.insert(name(index), vm(index, pools));
    }
    declaration
}

fn member(index: usize) -> Member {
    let address = |port| ([10, 200, 0, index as u8], port).into();
    Member {
        id: format!("entry-{index}"),
        incarnation: 1,
        zone: format!("zone-{}", index % 13),
        link: address(7000),
        rpc: address(7001),
    }
}

/// Index of the VM that is drained in a round.
fn drained_vm(round: usize, vms: usize) -> usize {
    round % vms.min(ROUNDS)
}

/// Record body that changes the pool of one VM.
fn change(state: &State, vms: usize, round: usize) -> Body {
    let index = round % vms;
    let id = name(index);
    let value = Vm { pool: format!("pool-{}", (index + 1 + round / vms) % 5), ..vm(index, 5) };
    let expected = state.versions.get(&format!("vm/{id}"));
    Body::Change { changes: vec![Change::Vm(Edit { id, expected, value: Some(value) })] }
}

/// Record body by which an entry confirms the drain of a VM.
fn emptied(state: &State, index: usize) -> Body {
    let vm = name(index);
    let drain = state.drains.get(&vm).map_or(0, |d| d.since);
    Body::Emptied { vm, entry: "entry-0".into(), incarnation: 1, drain }
}

fn apply(state: &mut State, body: Body) -> Result<(), String> {
    let record = record(state, body);
    match state.apply(state.next, &record) {
        Verdict::Accepted => Ok(()),
        Verdict::Rejected(reason) => Err(reason.to_string()),
    }
}

fn record(state: &State, body: Body) -> Record {
    let at = Duration::from_secs(1_700_000_000 + state.next);
    Record { operation: format!("op-{}", state.next), author: "measure".into(), at, body }
}

/// Mean time to apply a record with a body made by `make_body`.
fn mean_apply_time(
    state: &mut State,
    make_body: impl Fn(&State, usize) -> Body,
) -> Result<Duration, Box<dyn std::error::Error>> {
    let mut total = Duration::ZERO;
    for round in 0..ROUNDS {
        let record = record(state, make_body(state, round));
        let begin = Instant::now();
        let verdict = state.apply(state.next, &record);
        total += begin.elapsed();
        if let Verdict::Rejected(reason) = verdict {
            return Err(reason.to_string().into());
        }
    }
    Ok(total / ROUNDS as u32)
}
