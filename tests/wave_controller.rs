//! Controllers drive waves against a small fake platform.

use {
    carobhitch::{
        controller::{Action, Controller, LEASE_TERM, Observation, View},
        fleet::{Declaration, Vm},
        id::{OperationId, VmId},
        lease::CONTROL,
        platform::{self, Health, List, Progress},
        record::{Body, Record},
        state::State,
        wave::{self, Pause},
    },
    fleet::{Log, START, assert_accepted, declaration, vm},
    indexmap::IndexMap,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

mod fleet;

const SEED: u64 = 5;
const REBOOT: Duration = Duration::from_secs(20);
const LIST_LAG: Duration = Duration::from_secs(5);

/// Controller of an entry, with what the entry knows about platform actions.
struct Driver {
    controller: Controller,
    operations: IndexMap<OperationId, Observation>,
    /// Whether the process is paused; it then sees and does nothing.
    paused: bool,
    /// Actions decided before the pause and executed after it.
    delayed: Vec<Action>,
}

/// Simulated fleet: a fake platform, and the entries with their controllers.
struct Simulation {
    log: Log,
    now: Duration,
    drivers: IndexMap<String, Driver>,
    /// VM and start of each reboot, by its idempotency key.
    reboots: IndexMap<OperationId, (VmId, Duration)>,
    /// VMs whose reboots fail.
    broken: Vec<VmId>,
    /// VMs that the platform lists as dead.
    dead: Vec<VmId>,
    /// Probability that a request, and that its answer, is lost.
    loss: f64,
    /// Age of the platform's list.
    lag: Duration,
    random: SmallRng,
}

impl Simulation {
    fn new(declaration: Declaration) -> Self {
        let mut log = Log::new(declaration, &["e", "f"]);
        assert_accepted(log.add(Body::Begin { wave: "w".into() }));
        let driver = |entry: &str| Driver {
            controller: Controller::new(entry.into(), 1),
            operations: IndexMap::new(),
            paused: false,
            delayed: Vec::new(),
        };
        Self {
            now: START + log.now,
            log,
            drivers: ["e", "f"].map(|e| (e.to_owned(), driver(e))).into_iter().collect(),
            reboots: IndexMap::new(),
            broken: Vec::new(),
            dead: Vec::new(),
            loss: 0.0,
            lag: LIST_LAG,
            random: SmallRng::seed_from_u64(SEED),
        }
    }

    /// Boot count of a VM at time `at`.
    fn boots(&self, vm: &str, at: Duration) -> u64 {
        let ended = |(id, begun): &&(VmId, Duration)| id == vm && *begun + REBOOT <= at;
        1 + self.reboots.values().filter(ended).count() as u64
    }

    fn list(&self) -> List {
        let at = self.now - self.lag;
        let listed = |(id, vm): (&VmId, &Vm)| {
            let begun = self.reboots.values().any(|(v, t)| v == id && *t <= at && at < *t + REBOOT);
            let health = match (self.dead.contains(id), begun) {
                (true, _) => Health::Dead,
                (_, true) => Health::Rebooting,
                _ => Health::Live,
            };
            let boots = self.boots(id, at);
            let (zone, rack, address) = (vm.zone.clone(), vm.rack.clone(), vm.address);
            platform::Vm { id: id.clone(), zone, rack, address, health, boots }
        };
        let vms = self.log.state.declaration.vms.iter().map(listed).collect();
        List { as_of_ms: at.as_millis() as u64, since_ms: None, vms }
    }

    fn progress(&self, operation: &str) -> Option<Progress> {
        let (vm, begun) = self.reboots.get(operation)?;
        Some(match (self.broken.contains(vm), self.now >= *begun + REBOOT) {
            (true, _) => Progress::Failed,
            (_, true) => Progress::Done,
            (_, false) => Progress::Running,
        })
    }

    /// Starts a reboot unless it was already requested; the VM must be drained and empty.
    fn reboot(&mut self, vm: VmId, operation: OperationId) {
        if self.reboots.contains_key(&operation) {
            return;
        }
        let drain = self.log.state.drains.get(&vm);
        assert!(drain.is_some_and(|d| d.waiting.is_empty()), "{vm} is rebooted with work on it");
        self.reboots.insert(operation, (vm, self.now));
    }

    fn act(&mut self, entry: &str, action: Action) {
        let lost_before = self.random.random_bool(self.loss);
        let lost_after = self.random.random_bool(self.loss);
        let operation = match action {
            Action::Append(record) => {
                if !lost_before {
                    self.log.push(*record);
                }
                return;
            }
            Action::Reboot { vm, operation } => {
                if !lost_before {
                    self.reboot(vm, operation.clone());
                }
                operation
            }
            Action::Read { operation } => operation,
        };
        if !lost_before && !lost_after {
            let known = Observation { progress: self.progress(&operation), at: self.now };
            self.drivers[entry].operations.insert(operation, known);
        }
    }

    /// Lets each running entry confirm the drains that wait for it.
    fn empty(&mut self) {
        let waiting: Vec<_> = self
            .log
            .state
            .drains
            .iter()
            .flat_map(|(vm, d)| d.waiting.iter().map(|e| (vm.clone(), e.clone(), d.since)))
            .filter(|(_, entry, _)| !self.drivers[entry].paused)
            .collect();
        for (vm, entry, drain) in waiting {
            let operation = format!("emptied/{vm}/{entry}/{drain}");
            let body = Body::Emptied { vm, entry: entry.clone(), incarnation: 1, drain };
            self.log.push(Record { operation, author: entry, at: self.now, body });
        }
    }

    fn tick(&mut self) {
        self.now += Duration::from_secs(1);
        let (list, state) = (self.list(), self.log.state.clone());
        for entry in self.drivers.keys().cloned().collect::<Vec<_>>() {
            let driver = &mut self.drivers[&entry];
            if driver.paused {
                continue;
            }
            let view = View {
                state: &state,
                list: Some(&list),
                operations: &driver.operations,
                now: self.now,
            };
            let mut actions = std::mem::take(&mut driver.delayed);
            actions.extend(driver.controller.tick(view));
            actions.into_iter().for_each(|action| self.act(&entry, action));
        }
        self.empty();
        let budget = &self.log.state.declaration.services["s"].budget;
        let down = self.log.state.unavailable("p").count();
        assert!(down <= budget.max_unavailable as usize + self.dead.len(), "{down} unavailable");
    }

    /// Ticks until the condition holds; returns the number of ticks.
    fn until(&mut self, condition: impl Fn(&State) -> bool) -> u32 {
        for tick in 0..5000 {
            if condition(&self.log.state) {
                return tick;
            }
            self.tick();
        }
        panic!("not reached: {:?}", self.log.state.waves);
    }

    /// Checks that every VM of the wave's pool was rebooted exactly once.
    fn check_once(&self) {
        for vm in self.log.state.declaration.vms.keys().filter(|vm| vm.starts_with('p')) {
            let times = self.reboots.values().filter(|(v, _)| v == vm).count();
            assert_eq!(times, 1, "{vm} was rebooted {times} times");
        }
    }
}

fn ended(state: &State) -> bool {
    state.waves["w"].ended.is_some()
}

fn holder(state: &State) -> Option<String> {
    state.leases.get(CONTROL)?.holder.clone()
}

#[test]
fn a_wave_reboots_every_vm_once_within_the_budget() {
    let mut sim = Simulation::new(declaration(10, 2));
    sim.until(ended);
    sim.check_once();
    assert!(sim.log.state.drains.is_empty());
    let run = &sim.log.state.waves["w"];
    assert_eq!(run.count, 10);
}

#[test]
fn lost_messages_do_not_repeat_a_reboot() {
    let mut sim = Simulation::new(declaration(10, 2));
    sim.loss = 0.3;
    sim.until(ended);
    sim.check_once();
}

#[test]
fn a_wave_takes_zone_by_zone_rack_by_rack_and_empty_vms_first() {
    let mut sim = Simulation::new(declaration(8, 1));
    assert_accepted(sim.log.add(Body::Drain { vm: "p5".into() }));
    sim.now = START + sim.log.now;
    sim.empty();
    sim.until(|s| s.waves["w"].done.contains("p5"));
    assert_accepted(sim.log.add(Body::Return { vm: "p5".into() }));
    sim.until(ended);
    let order: Vec<_> = sim.reboots.values().map(|(vm, _)| vm.as_str()).collect();
    assert_eq!(order, ["p5", "p0", "p1", "p2", "p3", "p4", "p6", "p7"]);
}

#[test]
fn a_wave_continues_after_a_takeover_without_repeating_a_reboot() {
    for pause in 1..60 {
        let mut sim = Simulation::new(declaration(6, 2));
        for _ in 0..pause {
            sim.tick();
        }
        let first = holder(&sim.log.state).unwrap_or("e".into());
        let incarnation = 1;
        sim.drivers[&first].paused = true;
        sim.tick();
        let gone = Body::Gone { entry: first.clone(), incarnation };
        sim.log.now = sim.now - START;
        assert_accepted(sim.log.add(gone));
        sim.until(ended);
        assert_ne!(holder(&sim.log.state), Some(first));
        sim.check_once();
    }
}

#[test]
fn a_controller_paused_before_its_actions_does_no_harm_when_it_resumes() {
    for pause in 1..60 {
        let mut sim = Simulation::new(declaration(6, 2));
        for _ in 0..pause {
            sim.tick();
        }
        let Some(first) = holder(&sim.log.state) else { continue };
        let (list, state) = (sim.list(), sim.log.state.clone());
        let driver = &mut sim.drivers[&first];
        let view = View {
            state: &state,
            list: Some(&list),
            operations: &driver.operations,
            now: sim.now + Duration::from_secs(1),
        };
        driver.delayed = driver.controller.tick(view);
        driver.paused = true;
        for _ in 0..2 * LEASE_TERM.as_secs() {
            sim.tick();
        }
        sim.drivers[&first].paused = false;
        sim.until(ended);
        sim.check_once();
    }
}

#[test]
fn a_vm_is_done_only_when_a_list_from_after_its_reboot_shows_it_live() {
    let mut sim = Simulation::new(declaration(2, 1));
    sim.lag = 2 * REBOOT;
    sim.until(|s| !s.waves["w"].done.is_empty());
    let (_, begun) = &sim.reboots[0];
    assert!(sim.now >= *begun + REBOOT + sim.lag);
}

#[test]
fn a_controller_only_tries_to_acquire_the_lease_after_it_expired() {
    let mut sim = Simulation::new(declaration(6, 2));
    sim.until(|s| holder(s).is_some());
    sim.tick();
    let first = holder(&sim.log.state).unwrap();
    let (list, state) = (sim.list(), sim.log.state.clone());
    let driver = &mut sim.drivers[&first];
    let now = sim.now + 2 * LEASE_TERM;
    let view = View { state: &state, list: Some(&list), operations: &driver.operations, now };
    let actions = driver.controller.tick(view);
    let only_acquires =
        |a: &Action| matches!(a, Action::Append(r) if matches!(r.body, Body::Acquire { .. }));
    assert!(actions.iter().all(only_acquires), "{actions:?}");
}

#[test]
fn reboots_that_fail_in_one_rack_pause_the_wave_and_it_can_be_resumed() {
    let mut sim = Simulation::new(declaration(8, 3));
    sim.broken = vec!["p0".into(), "p1".into()];
    sim.until(|s| s.waves["w"].paused.is_some());
    let pause = sim.log.state.waves["w"].paused.clone().unwrap();
    assert_eq!(pause.to_string(), r#"2 VMs failed in rack "a0" of availability zone "a""#);
    for _ in 0..100 {
        sim.tick();
    }
    let held = sim.log.state.waves["w"].active.len() + sim.log.state.waves["w"].count as usize;
    sim.log.now = sim.now - START;
    assert_accepted(sim.log.add(Body::Resume { wave: "w".into() }));
    sim.until(ended);
    let run = &sim.log.state.waves["w"];
    assert!(held < 8 && run.count == 6 && run.failures.len() == 2);
    assert!(sim.log.state.drains.contains_key("p0"), "a failed vm stays drained");
}

#[test]
fn vms_lost_during_a_wave_pause_it_and_spend_its_budget() {
    let mut sim = Simulation::new(declaration(8, 2));
    for _ in 0..8 {
        sim.tick();
    }
    sim.dead = vec!["p4".into(), "p6".into()];
    sim.until(|s| s.lost.len() == 2);
    let pause = sim.log.state.waves["w"].paused.clone();
    assert!(matches!(pause, Some(Pause::Service { failed: 2, .. })), "{pause:?}");
    sim.log.now = sim.now - START;
    assert_accepted(sim.log.add(Body::Resume { wave: "w".into() }));
    sim.until(|s| s.waves["w"].active.is_empty());
    let before = sim.reboots.len();
    for _ in 0..100 {
        sim.tick();
    }
    assert_eq!(sim.reboots.len(), before, "the lost VMs have spent the budget");
    sim.dead.clear();
    sim.until(ended);
    sim.check_once();
}

#[test]
fn declared_moves_are_carried_out_within_the_budget() {
    let mut sim = Simulation::new(declaration(6, 2));
    assert_accepted(sim.log.add(Body::Cancel { wave: "w".into() }));
    for index in 0..3 {
        let mut to = vm("p", index);
        to.pool = "spare".into();
        assert_accepted(sim.log.edit_vm(&format!("p{index}"), Some(to)));
    }
    sim.now = START + sim.log.now;
    sim.until(|s| s.moves.is_empty());
    let inside = |v: &&Vm| v.pool == "spare";
    assert_eq!(sim.log.state.declaration.vms.values().filter(inside).count(), 4);
    assert!(sim.log.state.drains.is_empty());
}

#[test]
fn a_wave_continues_in_another_zone_when_the_budget_of_one_is_spent() {
    let mut zones = declaration(8, 2);
    zones.services["s"].budget.max_unavailable_zone = 1;
    let mut sim = Simulation::new(zones);
    assert_accepted(sim.log.add(Body::Drain { vm: "p0".into() }));
    sim.now = START + sim.log.now;
    sim.drivers["f"].paused = true;
    sim.until(|s| s.waves["w"].active.keys().any(|vm| s.declaration.vms[vm].zone == "b"));
}

#[test]
fn every_vm_is_maintained_within_six_weeks_at_full_size() {
    let (vms, pools, six_weeks) = (17_000_u32, 209, Duration::from_secs(6 * 7 * 24 * 3600));
    let pool = wave::duration(vms.div_ceil(pools), 1, wave::STEP_ESTIMATE);
    assert_eq!(pool, Duration::from_secs(82 * 600));
    assert!(pool < six_weeks);
    let longest_step = six_weeks / vms.div_ceil(pools);
    assert_eq!(longest_step.as_secs(), 44_253);
}
