//! Runners that crash: by themselves, or because a task that they start makes them crash.
//!
//! A crashed runner forgets all that ran on it and answers nothing until it has restarted.

use {
    super::{Runner, STEP, Simulation},
    carobhitch::job::{cell::Action, runner::Exit, spec::Task},
    indexmap::{IndexMap, IndexSet},
    std::time::Duration,
};

/// Number of crashes under a task after which its starts are counted.
const COUNTED_CRASHES: usize = 3;
/// Number of such starts that are too many.
const MAX_STARTS: u32 = 3;

/// Tasks that crash runners, and the crashes so far.
#[derive(Debug)]
pub struct Crashes {
    /// Tasks that crash each runner that starts them.
    pub tasks: IndexSet<Task>,
    /// Time from the start of such a task until its runner crashes.
    pub delay: Duration,
    /// Time that a runner needs to restart.
    pub restart_time: Duration,
    /// Whether connections to a crashed runner fall silent, where others are closed at once.
    pub silent: bool,
    /// Whether a restarted runner has the name that it had.
    pub keeps_name: bool,
    /// For each of these tasks, the other tasks on the runners that crashed under it.
    pub company: IndexMap<Task, Vec<Vec<Task>>>,
    /// Starts of these tasks after [`COUNTED_CRASHES`].
    starts_after: IndexMap<Task, u32>,
    /// Runners that will crash, when, and the task that is the cause.
    due: Vec<(Duration, String, Task)>,
    /// Crashed runners, and when they have restarted.
    restarting: Vec<(Duration, String)>,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            tasks: IndexSet::new(),
            delay: Duration::ZERO,
            restart_time: Duration::from_millis(3_300),
            silent: false,
            keeps_name: false,
            company: IndexMap::new(),
            starts_after: IndexMap::new(),
            due: Vec::new(),
            restarting: Vec::new(),
        }
    }
}

impl Simulation {
    /// Crashes a runner, which restarts after some time.
    pub fn crash(&mut self, id: &str) {
        let Some(runner) = self.runners.get_mut(id).filter(|runner| !runner.crashed) else {
            return;
        };
        self.done.retain(|task| !runner.has_ended(task));
        let lost: Vec<Task> = runner.running.drain(..).map(|(task, _)| task).collect();
        runner.ended.clear();
        runner.used = 0;
        runner.crashed = true;
        runner.crashed_at = self.now;
        self.break_gangs(&lost);
        let back_at = self.now + self.crashes.restart_time;
        self.crashes.restarting.push((back_at, id.into()));
        self.late_orders.retain(|(_, action)| {
            !matches!(action, Action::Start(to, ..) | Action::Stop(to, ..) if **to == *id)
        });
    }

    /// Ends the runs of the other members of the gangs that lost one, as gangs do.
    fn break_gangs(&mut self, lost: &[Task]) {
        for task in lost {
            let step = self.cell.jobs().get(&task.job).and_then(|job| job.step(task));
            if !step.is_some_and(|step| step.gang) {
                continue;
            }
            for index in 0..step.map_or(0, |step| step.tasks) as u16 {
                let member = Task { index, ..*task };
                self.runners.values_mut().for_each(|runner| runner.end(member, Exit::Stopped));
            }
        }
    }

    /// Whether a call to a runner fails at once, as its connection was closed by a crash.
    pub(super) fn breaks_off(&self, id: &str) -> bool {
        let just_now = |runner: &Runner| runner.crashed && self.now < runner.crashed_at + 2 * STEP;
        !self.crashes.silent && self.runners.get(id).is_some_and(just_now)
    }

    /// Number of runners that have crashed under a task.
    pub fn crashes_under(&self, task: &Task) -> usize {
        self.crashes.company.get(task).map_or(0, Vec::len)
    }

    /// Notes the start of a task, which may crash its runner.
    pub(super) fn note_start(&mut self, id: &str, task: &Task) {
        if !self.crashes.tasks.contains(task) {
            return;
        }
        let before = self.crashes_under(task);
        if before >= COUNTED_CRASHES {
            let starts = self.crashes.starts_after.entry(*task).or_default();
            *starts += 1;
            assert!(
                *starts < MAX_STARTS,
                "{task} was started {starts} times after {before} crashes"
            );
        }
        self.crashes.due.push((self.now + self.crashes.delay, id.into(), *task));
    }

    /// Crashes the runners that are due, and restarts those whose time has come.
    pub(super) fn advance_crashes(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.crashes.due.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, id, task) in due {
            let running = self.runners.get(&id).filter(|runner| runner.running.contains_key(&task));
            let Some(runner) = running else { continue };
            let others = runner.running.keys().filter(|other| **other != task).copied().collect();
            self.crashes.company.entry(task).or_default().push(others);
            self.crash(&id);
        }
        let back: Vec<_> = self
            .crashes
            .restarting
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, id)| id)
            .collect();
        for id in back {
            self.finish_restart(&id);
        }
    }

    fn finish_restart(&mut self, id: &str) {
        if !self.crashes.keeps_name {
            let Some(Runner { zone, rack, service, vm, .. }) = self.runners.swap_remove(id) else {
                return;
            };
            self.next_incarnation += 1;
            let (name, incarnation) =
                (format!("{vm}.{}", self.next_incarnation), self.next_incarnation);
            self.add_runner_in(&zone, &name, &service, &vm, incarnation);
            self.runners[&name].rack = rack;
            return;
        }
        self.restart(id);
        let (now, registration) = (self.instant(), self.registration(id));
        self.cell.update_registration(now, id, Some(registration));
    }
}
