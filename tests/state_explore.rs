//! Exhaustive search: the state machine under every order of a bounded number of events. The first
//! search looks for work on a VM that belongs to another pool, the second for planned drains that
//! exceed a budget.

use {
    carobhitch::{
        change::{Change, Edit},
        fleet::Vm,
        id::Offset,
        record::{Body, Record, Step},
        state::{State, Verdict},
    },
    fleet::{Log, START, assert_accepted, declaration, member, vm},
    std::{
        collections::{HashMap, HashSet},
        hash::{DefaultHasher, Hash, Hasher},
        rc::Rc,
        time::Duration,
    },
};

mod fleet;

/// Number of records appended after the initial ones in the search over moves and over budgets.
const MOVE_RECORDS: usize = 5;
const BUDGET_RECORDS: usize = 5;
/// The VM that moves between pools.
const VM: &str = "p0";

/// Process of an entry: what it has applied and what work it holds.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Process {
    name: &'static str,
    incarnation: u64,
    applied: usize,
    /// Pool of the VM, as the process saw it when it started the work that it holds.
    work: Option<String>,
    alive: bool,
}

/// Node of the search: the log with the state after each record, and the processes reading it.
#[derive(Clone)]
struct Node {
    bodies: Vec<Rc<Body>>,
    /// Hash of `bodies`.
    log: u64,
    states: Vec<Rc<State>>,
    processes: Vec<Process>,
}

impl Node {
    fn new() -> Self {
        let mut log = Log::new(declaration(2, 2), &["e", "f"]);
        assert_accepted(log.add(edit(&log.state, "spare")));
        let process = |name| Process { name, incarnation: 1, applied: 0, work: None, alive: true };
        Self {
            bodies: Vec::new(),
            log: 0,
            states: vec![Rc::new(log.state)],
            processes: vec![process("e"), process("f")],
        }
    }

    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.log, &self.processes).hash(&mut hasher);
        hasher.finish()
    }

    fn head(&self) -> &State {
        &self.states[self.bodies.len()]
    }

    /// Appends a record, unless it would be rejected or change nothing.
    fn append(&self, memo: &mut Memo, body: Body) -> Option<Self> {
        if self.bodies.len() == MOVE_RECORDS {
            return None;
        }
        let mut hasher = DefaultHasher::new();
        (self.log, format!("{body:?}")).hash(&mut hasher);
        let log = hasher.finish();
        let state = memo.entry(log).or_insert_with(|| applied(self.head(), &body)).clone()?;
        let mut next = self.clone();
        next.log = log;
        next.bodies.push(Rc::new(body));
        next.states.push(state);
        Some(next)
    }

    fn with(&self, index: usize, change: impl FnOnce(&mut Process)) -> Self {
        let mut next = self.clone();
        change(&mut next.processes[index]);
        next
    }

    /// Next steps of a process: apply a record, start or finish work, append a record that follows
    /// from what it has applied, end, or restart.
    fn steps_of(&self, memo: &mut Memo, index: usize, steps: &mut Vec<Self>) {
        let process = &self.processes[index];
        if !process.alive {
            return;
        }
        let seen = &self.states[process.applied];
        if process.applied < self.bodies.len() {
            steps.push(self.with(index, |p| p.applied += 1));
        }
        if process.work.is_some() {
            steps.push(self.with(index, |p| p.work = None));
        } else if seen.check_member(process.name, process.incarnation).is_ok() {
            let routed = (!seen.drains.contains_key(VM)).then(|| seen.declaration.vms.get(VM));
            if let Some(vm) = routed.flatten() {
                steps.push(self.with(index, |p| p.work = Some(vm.pool.clone())));
            }
        }
        let holds = process.work.is_some();
        let bodies = appends(seen, process.name, process.incarnation, holds);
        steps.extend(bodies.into_iter().filter_map(|body| self.append(memo, body)));
        let gone = Body::Gone { entry: process.name.into(), incarnation: process.incarnation };
        let ended = self.with(index, |p| {
            p.alive = false;
            p.work = None;
        });
        steps.extend(ended.append(memo, gone));
        let restarted = self.with(index, |p| {
            p.work = None;
            p.incarnation += 1;
            p.applied = self.bodies.len();
        });
        if process.incarnation == 1 {
            steps.extend(restarted.append(memo, Body::Join { entry: member(process.name, 2) }));
        }
    }

    fn steps(&self, memo: &mut Memo) -> Vec<Self> {
        let mut steps = Vec::new();
        (0..self.processes.len()).for_each(|index| self.steps_of(memo, index, &mut steps));
        let mut bodies = vec![Body::Drain { vm: VM.into() }, Body::Return { vm: VM.into() }];
        for seen in &self.states {
            bodies.extend(["spare", "p"].map(|pool| edit(seen, pool)));
        }
        let mut tried = HashSet::new();
        bodies.retain(|body| tried.insert(format!("{body:?}")));
        steps.extend(bodies.into_iter().filter_map(|body| self.append(memo, body)));
        steps
    }

    /// Checks that work held on the VM was started for the pool that the VM belongs to.
    fn check(&self) {
        let pool = self.head().declaration.vms.get(VM).map(|vm| &vm.pool);
        for process in self.processes.iter().filter(|p| p.work.is_some()) {
            let holds = process.work.as_ref();
            assert_eq!(holds, pool, "{} holds work after: {:#?}", process.name, self.bodies);
        }
    }
}

/// States by the hash of the log that leads to them; none if its last record has no effect.
type Memo = HashMap<u64, Option<Rc<State>>>;

fn applied(head: &State, body: &Body) -> Option<Rc<State>> {
    let mut state = head.clone();
    let record = Record {
        operation: format!("explored-{}", state.next),
        author: "test".into(),
        at: START + Duration::from_secs(state.next),
        body: body.clone(),
    };
    let verdict = state.apply(state.next, &record);
    (verdict == Verdict::Accepted && !same(&state, head)).then(|| Rc::new(state))
}

/// Whether two states agree in everything that the search depends on.
fn same(one: &State, other: &State) -> bool {
    one.drains == other.drains
        && one.moves == other.moves
        && one.members == other.members
        && one.versions == other.versions
        && one.declaration.vms == other.declaration.vms
}

fn edit(seen: &State, pool: &str) -> Body {
    let to = Vm { pool: pool.into(), ..vm("p", 0) };
    let expected = seen.versions.get(&format!("vm/{VM}"));
    let edit = Edit { id: VM.into(), expected, value: Some(to) };
    Body::Change { changes: vec![Change::Vm(edit)] }
}

/// Records that follow from what an entry has applied.
fn appends(seen: &State, name: &str, incarnation: u64, holds: bool) -> Vec<Body> {
    let Some(drain) = seen.drains.get(VM) else { return Vec::new() };
    let mut bodies = Vec::new();
    if !holds && drain.waiting.iter().any(|e| e == name) {
        let (vm, entry, drain) = (VM.into(), name.into(), drain.since);
        bodies.push(Body::Emptied { vm, entry, incarnation, drain });
    }
    if seen.moves.contains_key(VM) {
        bodies.push(Body::Moved { vm: VM.into(), drain: drain.since });
    }
    bodies
}

#[test]
fn no_entry_holds_work_on_a_vm_of_another_pool_in_any_order_of_events() {
    let first = Node::new();
    let mut seen = HashSet::from([first.key()]);
    let mut open = vec![first];
    let (mut moved, mut memo) = (0_u64, Memo::new());
    while let Some(node) = open.pop() {
        node.check();
        moved += u64::from(node.head().declaration.vms[VM].pool == "spare");
        open.extend(node.steps(&mut memo).into_iter().filter(|next| seen.insert(next.key())));
    }
    println!("{} states, {moved} after a move", seen.len());
    assert!(moved > 0, "the search is too short to see a move");
}

/// Records on two VMs of a service that allows one unavailable endpoint.
fn alphabet(run: Offset) -> Vec<Body> {
    let fenced = |body| Body::Fenced { lease: "control".into(), epoch: 1, body: Box::new(body) };
    let step =
        |vm: &str, step: Step| fenced(Body::Step { wave: "w".into(), run, vm: vm.into(), step });
    let health = |at, lost: &[&str], found: &[&str]| {
        let names = |vms: &[&str]| vms.iter().map(|vm| (*vm).to_owned()).collect();
        let as_of = START + Duration::from_secs(at);
        fenced(Body::Health { as_of, lost: names(lost), found: names(found) })
    };
    let mut bodies = vec![
        health(1, &["p0"], &[]),
        health(2, &["p0", "p1"], &[]),
        health(3, &[], &["p0", "p1"]),
        Body::Resume { wave: "w".into() },
    ];
    for vm in ["p0", "p1"] {
        bodies.push(Body::Drain { vm: vm.into() });
        bodies.push(Body::Return { vm: vm.into() });
        bodies.push(step(vm, Step::Take { boots: 1 }));
        bodies.push(step(vm, Step::Done));
        bodies.push(step(vm, Step::Failed { why: "it broke".into() }));
    }
    bodies
}

/// Applies every sequence of up to `left` accepted bodies; returns the number of sequences.
fn explore(state: &State, bodies: &[Body], left: usize) -> u64 {
    let mut count = 1;
    if left == 0 {
        return count;
    }
    for body in bodies {
        let mut next = state.clone();
        let record = Record {
            operation: format!("explored-{}", state.next),
            author: "test".into(),
            at: START + Duration::from_secs(state.next),
            body: body.clone(),
        };
        let verdict = next.apply(state.next, &record);
        if verdict == Verdict::Accepted {
            check_budget(state, &next, body);
            count += explore(&next, bodies, left - 1);
        }
    }
    count
}

/// Checks that a planned record does not raise the number of unavailable endpoints above the
/// budget, and that every unavailable VM has an open span.
fn check_budget(before: &State, after: &State, body: &Body) {
    let down = |state: &State| state.unavailable("p").count();
    let lost = matches!(body, Body::Fenced { body, .. } if matches!(**body, Body::Health { .. }));
    let allowed = after.declaration.services["s"].budget.max_unavailable as usize;
    assert!(lost || down(after) <= allowed.max(down(before)), "{body:?} exceeds the budget");
    assert_eq!(after.ledger.open.len(), down(after), "{body:?} is not accounted for");
}

#[test]
fn no_order_of_planned_and_unplanned_records_exceeds_a_budget_by_plan() {
    let mut apart = declaration(2, 1);
    apart.vms["p1"] = vm("p", 4);
    let mut log = Log::new(apart, &[]);
    assert_accepted(log.add(Body::Join { entry: member("e", 1) }));
    assert_accepted(log.acquire("e", 1));
    assert_accepted(log.add(Body::Gone { entry: "e".into(), incarnation: 1 }));
    assert_accepted(log.add(Body::Begin { wave: "w".into() }));
    let run = log.state.waves["w"].began;
    let count = explore(&log.state, &alphabet(run), BUDGET_RECORDS);
    println!("{count} sequences of accepted records");
    assert!(count > 1000);
}
