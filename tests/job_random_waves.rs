//! Random sequences of what can be wrong in an owner's knowledge of VMs while waves maintain them.
//!
//! VMs are added and removed, lists leave some out or are late, actions on VMs are refused or answered
//! late, runners restart under other names or can't be reached, the ledger is away, and the owner is
//! paused or replaced, at any moment. The simulation checks at each action that nothing runs on its VM and
//! that its wave has fewer VMs down than it may, and at each report that no VM of a complete wave was
//! left out. In the end every wave is complete.

#![allow(clippy::unwrap_used)]

mod simulation;

use {
    carobhitch::job::{spec::Step, upkeep::Request},
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    simulation::{Simulation, spec, step},
    std::time::Duration,
};

/// Names that VMs have in a sequence; half of them are there at its beginning.
const NAMES: usize = 8;

/// What happens next.
#[derive(Clone, Debug)]
enum Event {
    /// Time passes, in milliseconds, and then the list of VMs is read or not.
    Pass(u64, bool),
    /// A VM is added, with its runner, unless it is there.
    Add(usize),
    /// A VM is removed for good.
    Remove(usize),
    /// Lists leave a VM out, or no longer do.
    Hide(usize, bool),
    /// The runner of a VM crashes and comes back under another name.
    Rename(usize),
    /// Calls to the runner of a VM are lost, or no longer are.
    Partition(usize, bool),
    /// The platform refuses all actions on VMs, or no longer does.
    VmActions(bool),
    /// Actions on VMs are answered after this time, in milliseconds.
    VmAnswers(u64),
    /// The operators order a wave of the VMs whose bits are set, with as many down at once.
    Wave(u8, usize),
    /// A caller submits a job with an endless step of as many tasks.
    SubmitEndless(u32),
    /// A caller submits a job with a finite step of as many tasks.
    Submit(u32),
    /// The ledger goes away or comes back.
    Ledger(bool),
    /// The owner is paused, in milliseconds.
    Pause(u64),
    /// Another owner takes over, and the batch in flight was stored or not. It does not read the registration
    /// of a VM's runner at first, if there is one.
    Takeover(bool, Option<usize>),
}

fn event() -> impl Strategy<Value = Event> {
    let name = || 0..NAMES;
    prop_oneof![
        10 => (20u64..1_500, any::<bool>()).prop_map(|(ms, list)| Event::Pass(ms, list)),
        2 => name().prop_map(Event::Add),
        2 => name().prop_map(Event::Remove),
        3 => (name(), any::<bool>()).prop_map(|(name, hidden)| Event::Hide(name, hidden)),
        1 => name().prop_map(Event::Rename),
        1 => (name(), any::<bool>()).prop_map(|(name, lost)| Event::Partition(name, lost)),
        1 => any::<bool>().prop_map(Event::VmActions),
        1 => prop_oneof![Just(0), Just(400), Just(5_000)].prop_map(Event::VmAnswers),
        2 => (any::<u8>(), 1usize..3).prop_map(|(vms, most)| Event::Wave(vms, most)),
        1 => (1u32..4).prop_map(Event::SubmitEndless),
        1 => (1u32..9).prop_map(Event::Submit),
        1 => any::<bool>().prop_map(Event::Ledger),
        1 => (500u64..8_000).prop_map(Event::Pause),
        2 => (any::<bool>(), prop::option::of(name()))
            .prop_map(|(stored, unread)| Event::Takeover(stored, unread)),
    ]
}

/// A simulation with its waves and jobs.
struct Play {
    sim: Simulation,
    waves: u64,
    jobs: u64,
    runners: u64,
}

fn vm(name: usize) -> String {
    format!("m{name}")
}

impl Play {
    fn new(missing_vms_busy: bool) -> Self {
        let mut sim = Simulation::new(NAMES / 2);
        sim.move_time = Some(Duration::from_millis(1_500));
        sim.missing_vms_busy = missing_vms_busy;
        sim.update_vms();
        Self { sim, waves: 0, jobs: 0, runners: 0 }
    }

    /// Adds a runner to a VM, and the VM if it is not there.
    fn add(&mut self, name: usize) {
        self.runners += 1;
        let (id, incarnation) = (format!("n{}", self.runners), 1_000 + self.runners);
        self.sim.add_runner(&id, "desk", &vm(name), incarnation);
    }

    /// Runner of a VM that is up.
    fn runner(&self, name: usize) -> Option<String> {
        self.sim.vms.get(&vm(name)).and_then(|vm| vm.runner.clone())
    }

    fn happen(&mut self, event: &Event) {
        match event {
            Event::Pass(ms, list) => {
                self.sim.run(Duration::from_millis(*ms));
                self.register();
                if *list {
                    self.sim.update_vms();
                }
            }
            Event::Add(name) if !self.sim.vms.contains_key(&vm(*name)) => self.add(*name),
            Event::Add(_) => {}
            Event::Remove(name) => self.remove(*name),
            Event::Hide(name, true) => {
                self.sim.unlisted_vms.insert(vm(*name));
            }
            Event::Hide(name, false) => {
                self.sim.unlisted_vms.swap_remove(&vm(*name));
            }
            Event::Rename(name) => self.rename(*name),
            Event::Partition(name, lost) => {
                let id = self.runner(*name);
                if let Some(runner) = id.and_then(|id| self.sim.runners.get_mut(&id)) {
                    runner.partitioned = *lost;
                }
            }
            Event::VmActions(down) => self.sim.vm_actions_down = *down,
            Event::VmAnswers(ms) => self.sim.vm_answer_delay = Duration::from_millis(*ms),
            Event::Wave(vms, most) => self.order(*vms, *most),
            Event::SubmitEndless(tasks) => {
                self.submit(Step { endless: true, per_runner: 1, ..step(*tasks, 1_000) });
            }
            Event::Submit(tasks) => self.submit(step(*tasks, 2_000)),
            Event::Ledger(away) => self.sim.store_down = *away,
            Event::Pause(ms) => self.sim.pause_owner(Duration::from_millis(*ms)),
            Event::Takeover(stored, unread) => self.take_over(*stored, *unread),
        }
    }

    /// Removes a VM unless it is one of the last two, which the endless tasks need.
    fn remove(&mut self, name: usize) {
        if self.sim.vms.len() > 2 {
            self.sim.remove_vm(&vm(name));
        }
    }

    fn rename(&mut self, name: usize) {
        let Some(id) = self.runner(name) else { return };
        self.sim.remove_runner(&id);
        self.add(name);
    }

    fn order(&mut self, vms: u8, max_at_once: usize) {
        self.waves += 1;
        let is_named = |name: &usize| vms & (1 << name) != 0;
        let vms = (0..NAMES).filter(is_named).map(vm).collect();
        let within = Duration::from_secs(10);
        self.sim.order_wave(Request { number: self.waves, vms, within, max_at_once });
    }

    fn submit(&mut self, step: Step) {
        self.jobs += 1;
        self.sim.submit(self.jobs, spec(vec![step]));
    }

    fn take_over(&mut self, stored: bool, unread: Option<usize>) {
        if stored && let Some(batch) = self.sim.pending_batch.take() {
            let records = batch.into_iter().map(|record| (record.key, record.value));
            self.sim.ledger.extend(records);
        }
        let unread = unread.and_then(|name| self.runner(name));
        self.sim.unregistered = unread.into_iter().collect();
        self.sim.take_over();
    }

    /// Has the owner read the registrations that it has not read yet.
    fn register(&mut self) {
        for id in std::mem::take(&mut self.sim.unregistered) {
            if self.sim.runners.contains_key(&id) {
                let (now, own) = (self.sim.instant(), self.sim.registration(&id));
                self.sim.cell.update_registration(now, &id, Some(own));
            }
        }
    }

    /// Ends all faults, adds a VM as room for endless tasks, and lets the waves end.
    fn calm_down(&mut self) {
        self.sim.store_down = false;
        self.sim.vm_actions_down = false;
        self.sim.vm_answer_delay = Duration::ZERO;
        self.sim.unlisted_vms.clear();
        self.register();
        for runner in self.sim.runners.values_mut() {
            runner.partitioned = false;
        }
        for spare in NAMES..NAMES + 3 {
            self.add(spare);
        }
        for _ in 0..12 {
            self.sim.run_with_lists(Duration::from_secs(10));
        }
    }
}

/// Plays the events, ends all faults, and checks that every wave is complete.
fn check(events: &[Event], missing_vms_busy: bool) {
    let mut play = Play::new(missing_vms_busy);
    events.iter().for_each(|event| play.happen(event));
    play.calm_down();
    for number in 1..=play.waves {
        assert_eq!(play.sim.wave_reports.get(&number), Some(&true), "wave {number} never ends");
        assert!(play.sim.is_maintained(number), "wave {number} has left a VM out");
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn every_wave_maintains_its_vms_and_ends(
        events in prop::collection::vec(event(), 1..60),
        missing_vms_busy in any::<bool>(),
    ) {
        check(&events, missing_vms_busy);
    }
}
