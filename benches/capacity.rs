//! Measures the cost of the state machine for fleets of several sizes: memory, time to apply a
//! record, snapshots, and the sizes of messages.
//!
//! `cargo bench --bench capacity` prints the tables. The size of a fleet is its number of VMs; the
//! numbers of other objects are in proportion, up to 209 pools, 170 teams, 13 availability zones
//! and 39 entries for the 17,000 VMs that the product is designed for. With a size as argument, it
//! prints the row of that size only.

use {
    carobhitch::{
        buffer::{Planner, WINDOW},
        change::{Change, Edit},
        fleet::{Declaration, Pool, Service, Team, Vm},
        id::{EntryId, Offset},
        platform::{self, Append, Health, Task, Usage},
        record::{Body, Member, Record},
        snapshot,
        state::{State, Verdict},
        wire::{self, Frame, Heartbeat, Message},
    },
    serde::Serialize,
    std::{
        env, fs, io,
        process::Command,
        time::{Duration, Instant},
    },
};

/// Numbers of VMs.
const SIZES: [usize; 4] = [500, 2_000, 8_000, 17_000];
/// Number of VMs that the product is designed for, with the numbers of other objects at that size.
const TARGET: usize = 17_000;
const POOLS: usize = 209;
const TEAMS: usize = 170;
const ZONES: usize = 13;
const ENTRIES: usize = 39;
/// Number of records of a kind that are timed.
const RECORDS: usize = 2_000;
const PAGE_BYTES: u64 = 4_096;
const HEADER: &str = "\
| VMs | pools | teams | entries | resident bytes | per VM | JSON bytes | bincode bytes | declare | \
edit VM p50 | p99 | edit team p50 | move (42 records) p50 | p99 | heartbeat record | snapshot | chunks | routes |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|";

fn main() -> io::Result<()> {
    let size: Option<usize> = env::args().find_map(|word| word.parse().ok());
    if let Some(size) = size {
        measure_row(size);
        return Ok(());
    }
    println!("{HEADER}");
    for size in SIZES {
        // Each row is measured by its own process, since memory that one row has freed would be
        // reused by the next and not be counted.
        Command::new(env::current_exe()?).arg(size.to_string()).status()?;
    }
    print_frame_sizes();
    Ok(())
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}

/// Scales a number of objects at the target size to a number of VMs.
fn scaled(target: usize, vms: usize) -> usize {
    (target * vms / TARGET).max(2)
}

fn declaration(vms: usize) -> Declaration {
    let (pools, zones) = (scaled(POOLS, vms), scaled(ZONES, vms));
    let mut declaration = Declaration::default();
    for i in 0..pools {
        declaration.pools.insert(format!("pool-{i}"), Pool::default());
        let service = Service { pool: format!("pool-{i}"), ..service() };
        declaration.services.insert(format!("service-{i}"), service);
    }
    for i in 0..scaled(TEAMS, vms) {
        let team = Team { quota_millicores: 100_000, ..Team::default() };
        declaration.teams.insert(format!("team-{i}"), team);
    }
    for i in 0..vms {
        declaration.vms.insert(format!("vm-{i:05}"), vm(i, i % pools, zones));
    }
    declaration
}

fn service() -> Service {
    Service { pool: String::new(), slots: 8, connections: 64, budget: Default::default() }
}

fn vm(i: usize, pool: usize, zones: usize) -> Vm {
    Vm {
        pool: format!("pool-{pool}"),
        zone: format!("zone-{}", i % zones),
        rack: format!("rack-{}", i / 4),
        address: ([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 7_000).into(),
    }
}

fn entry(i: usize) -> Member {
    Member {
        id: format!("entry-{i}"),
        incarnation: 1,
        zone: format!("zone-{}", i % ZONES),
        link: ([10, 200, 0, i as u8], 7_100).into(),
        rpc: ([10, 200, 0, i as u8], 7_200).into(),
    }
}

/// Applies records to a state and times each.
struct Bench {
    state: State,
    /// Time of the last record.
    at: Duration,
    rejected: usize,
}

impl Bench {
    fn apply(&mut self, body: Body) -> (Offset, Duration) {
        self.at += Duration::from_millis(100);
        let offset = self.state.next;
        let record = Record {
            operation: format!("operation-{offset}"),
            author: "operator".into(),
            at: self.at,
            body,
        };
        let begin = Instant::now();
        let verdict = self.state.apply(offset, &record);
        let time = begin.elapsed();
        self.rejected += usize::from(verdict != Verdict::Accepted);
        (offset, time)
    }

    fn edit_vm(&mut self, i: usize, pool: usize, zones: usize) -> Duration {
        let id = format!("vm-{i:05}");
        let expected = self.state.versions.get(&format!("vm/{id}"));
        let edit = Edit { id, expected, value: Some(vm(i, pool, zones)) };
        self.apply(Body::Change { changes: vec![Change::Vm(edit)] }).1
    }

    fn edit_team(&mut self, i: usize) -> Duration {
        let id = format!("team-{i}");
        let expected = self.state.versions.get(&format!("team/{id}"));
        let value = Some(Team { quota_millicores: self.at.as_secs(), ..Team::default() });
        self.apply(Body::Change { changes: vec![Change::Team(Edit { id, expected, value })] }).1
    }

    /// Completes and times a pending move of a VM: the drain, the confirmation of every entry, the
    /// change of pool and the end of the drain.
    fn finish_move(&mut self, i: usize) -> Duration {
        let vm = format!("vm-{i:05}");
        let (drain, mut time) = self.apply(Body::Drain { vm: vm.clone() });
        let entries: Vec<EntryId> = self.state.members.keys().cloned().collect();
        for entry in entries {
            time += self.apply(Body::Emptied { vm: vm.clone(), entry, incarnation: 1, drain }).1;
        }
        time += self.apply(Body::Moved { vm: vm.clone(), drain }).1;
        time + self.apply(Body::Return { vm }).1
    }
}

fn percentile(times: &mut [Duration], percent: usize) -> Duration {
    times.sort_unstable();
    times[times.len() * percent / 100]
}

fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let begin = Instant::now();
    let result = work();
    (result, begin.elapsed())
}

/// Measures a fleet of this size and prints its row of the table.
fn measure_row(vms: usize) {
    let (pools, zones) = (scaled(POOLS, vms), scaled(ZONES, vms));
    let (teams, entries) = (scaled(TEAMS, vms), scaled(ENTRIES, vms));
    let before = resident_bytes();
    let declaration = declaration(vms);
    let mut bench = Bench { state: State::default(), at: Duration::from_secs(1), rejected: 0 };
    for i in 0..entries {
        bench.apply(Body::Join { entry: entry(i) });
    }
    let body = Body::Declare { declaration: Box::new(declaration), expected: None };
    let (_, declare_time) = bench.apply(body);
    let mut vm_edits: Vec<Duration> =
        (0..RECORDS).map(|i| bench.edit_vm(i % vms, i % pools, zones)).collect();
    let mut team_edits: Vec<Duration> = (0..RECORDS).map(|i| bench.edit_team(i % teams)).collect();
    let mut moves: Vec<Duration> = (0..200)
        .map(|i| {
            bench.edit_vm(i, (i + 1) % pools, zones);
            bench.finish_move(i)
        })
        .collect();
    let term = Duration::from_secs(10);
    let acquisition = Body::Acquire {
        lease: "control".into(),
        entry: "entry-0".into(),
        incarnation: 1,
        epoch: 0,
        term,
    };
    bench.apply(acquisition);
    let rejected_before = bench.rejected;
    let (_, renew_time) = bench.apply(Body::Renew { lease: "control".into(), epoch: 1, term });
    assert_eq!(bench.rejected, rejected_before, "the renewal was rejected");
    let resident = resident_bytes() - before;
    let json_bytes = json_bytes(&bench.state);
    let config = bincode::config::standard();
    let bincode_bytes = bincode::serde::encode_to_vec(&bench.state, config).map_or(0, |b| b.len());
    let (chunks, snapshot_time) = timed(|| snapshot::chunks(&bench.state, bench.at));
    let (_, routes_time) = timed(|| bench.state.routes().len());
    println!(
        "| {vms} | {pools} | {teams} | {entries} | {resident} | {} | {json_bytes} | {bincode_bytes} | {declare_time:.1?} | {:.1?} | {:.1?} | {:.1?} | {:.1?} | {:.1?} | {renew_time:.1?} | {snapshot_time:.1?} | {} | {routes_time:.1?} |",
        resident / vms as u64,
        percentile(&mut vm_edits, 50),
        percentile(&mut vm_edits, 99),
        percentile(&mut team_edits, 50),
        percentile(&mut moves, 50),
        percentile(&mut moves, 99),
        chunks.map_or(0, |chunks| chunks.len()),
    );
    eprintln!("{vms} VMs: {} records refused", bench.rejected);
}

/// Prints the sizes of heartbeats and records, from which the traffic per second can be derived.
fn print_frame_sizes() {
    let heartbeat = Heartbeat {
        sequence: 1 << 20,
        zone: "zone-12".into(),
        next: 10_000_000,
        version: Some(10_000_000),
        ready: true,
    };
    let frame = |message| Frame { from: "entry-38".into(), incarnation: u64::MAX, message };
    let bytes = |message| wire::encode(&frame(message)).map_or(0, |bytes| bytes.len());
    let change = Change::Vm(Edit {
        id: "vm-00001".into(),
        expected: Some(10_000_000),
        value: Some(vm(1, 1, ZONES)),
    });
    let emptied = Body::Emptied {
        vm: "vm-00001".into(),
        entry: "entry-38".into(),
        incarnation: u64::MAX,
        drain: 10_000_000,
    };
    println!("\n| message | bytes |\n|---|---|");
    println!("| heartbeat frame | {} |", bytes(Message::Heartbeat(heartbeat)));
    println!("| its answer | {} |", bytes(Message::Ack { sequence: 1 << 20 }));
    println!(
        "| change of one VM, append | {} |",
        append_bytes(Body::Change { changes: vec![change] })
    );
    println!("| emptied, append | {} |", append_bytes(emptied));
    let usage = Usage {
        task: "job-100000.0".into(),
        worker: "vm-00001".into(),
        millicores: 1_500,
        memory_bytes: 3 << 30,
        ended: None,
    };
    let renew = Task {
        operation: "job-100000.0.12.renew".into(),
        worker: "vm-00001".into(),
        lease_ms: 300_000,
        millicores: 2_000,
    };
    let listed = platform::Vm {
        id: "vm-00001".into(),
        zone: "zone-12".into(),
        rack: "rack-4249".into(),
        address: ([10, 0, 66, 103], 7_000).into(),
        health: Health::Live,
        boots: 3,
    };
    println!("| one VM in the platform's list | {} |", json_bytes(&listed));
    println!("| usage of one task | {} |", json_bytes(&usage));
    println!("| renewal of one task's lease, body | {} |", json_bytes(&renew));
    measure_planner();
}

/// Measures the time and memory to plan the reserve of several numbers of pools.
fn measure_planner() {
    println!("\n| pools | replan | resident bytes |\n|---|---|---|");
    for pools in [5, 50, POOLS] {
        let before = resident_bytes();
        let mut planner = Planner::new(Duration::from_secs(60));
        for second in 0..WINDOW {
            let need = |pool: usize| if (second / 20 + pool).is_multiple_of(5) { 20 } else { 1 };
            planner.observe(&(0..pools).map(|p| (format!("pool-{p}"), need(p))).collect());
        }
        let (_, time) = timed(|| planner.replan(Instant::now()));
        println!("| {pools} | {time:.1?} | {} |", resident_bytes() - before);
    }
}

fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}

fn append_bytes(body: Body) -> usize {
    let at = Duration::from_millis(1_796_000_000_123);
    let record =
        Record { operation: "operation-10000000".into(), author: "entry-38".into(), at, body };
    Append::new(record.operation.clone(), &record).map_or(0, |append| json_bytes(&append))
}
