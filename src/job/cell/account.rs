//! Accounts of organisations: what each has running, and how many jobs it may still submit within
//! its rate.
//!
//! This answers two kinds of load. An organisation that asks for more than its limit waits for its
//! own tasks to end, so that it never takes more of the fleet than its operators agreed on. One that
//! submits more jobs a second than it is owed gets room that the others leave, and they lose nothing
//! by it.
//!
//! Every task that may be on a runner is charged: from its placement until its runner has reported
//! the end or has certainly ended it. A new owner charges what the ledger has placed before it
//! starts anything, so what an organisation has running is never counted too low.

use {
    super::{Cell, overload::Refusal},
    crate::job::{
        access::{Access, Limit, Name},
        spec::{Resources, Step, Task},
    },
    indexmap::{IndexMap, IndexSet},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time over which an organisation may average its rate: one that was quiet for so long may submit
/// that many seconds' worth of jobs at once.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// Resources that run at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Amount {
    /// Thousandths of a core.
    pub millicores: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u64,
    /// Number of tasks.
    pub tasks: u64,
}

impl Amount {
    /// What `tasks` tasks take that need `need` each.
    pub fn of_tasks(need: &Resources, tasks: usize) -> Self {
        let tasks = tasks as u64;
        Self {
            millicores: u64::from(need.millicores) * tasks,
            memory_mib: u64::from(need.memory_mib) * tasks,
            accelerators: u64::from(need.accelerators) * tasks,
            tasks,
        }
    }

    /// Sum of two amounts.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores + other.millicores,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
            tasks: self.tasks + other.tasks,
        }
    }

    /// This amount less `other`.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            tasks: self.tasks.saturating_sub(other.tasks),
        }
    }

    /// Whether it is within a limit.
    pub fn is_within(&self, limit: &Limit) -> bool {
        let within = |used: u64, most: Option<u64>| most.is_none_or(|most| used <= most);
        within(self.millicores, limit.millicores)
            && within(self.memory_mib, limit.memory_mib)
            && within(self.accelerators, limit.accelerators)
    }
}

/// Number of jobs of an organisation by what became of them, since this owner took over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Accepted.
    pub accepted: u64,
    /// Refused, as they were beyond its rate and would have been late.
    pub over_rate: u64,
    /// Refused, as their results would have been of no use.
    pub useless: u64,
    /// Completed in time.
    pub in_time: u64,
    /// Completed late.
    pub late: u64,
}

/// Account of one organisation.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Jobs a second that it is owed.
    pub weight: f64,
    /// What it may have running at once.
    pub limit: Limit,
    /// What it has running or may have.
    pub running: Amount,
    /// What became of its jobs.
    pub counts: Counts,
    /// Jobs that it may submit now within its rate, and since when; `None` before its first job.
    tokens: Option<(Instant, f64)>,
}

impl Account {
    /// Whether tasks that take `amount` may start together. What exceeds the limit even alone may
    /// start while nothing else of the organisation runs, as it would wait forever otherwise.
    fn allows(&self, amount: &Amount) -> bool {
        self.running.tasks == 0 || self.running.plus(amount).is_within(&self.limit)
    }

    fn capacity(&self) -> f64 {
        (self.weight * RATE_WINDOW.as_secs_f64()).max(1.0)
    }

    /// Jobs that it may submit at `now` within its rate.
    fn tokens(&self, now: Instant) -> f64 {
        let Some((at, tokens)) = self.tokens else { return self.capacity() };
        let passed = now.saturating_duration_since(at).as_secs_f64();
        (tokens + passed * self.weight).min(self.capacity())
    }

    /// Takes the token of one job, if there is one.
    fn take_token(&mut self, now: Instant) {
        let tokens = self.tokens(now);
        self.tokens = Some((now, if tokens < 1.0 { tokens } else { tokens - 1.0 }));
    }
}

/// Accounts of all organisations.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    by_name: IndexMap<Name, Account>,
}

impl Accounts {
    /// Sets the weights and limits. An organisation that is no longer named keeps its limit, for the
    /// jobs that were accepted from it.
    pub fn set_terms(&mut self, access: Option<&Access>) {
        for (name, organisation) in access.iter().flat_map(|access| &access.organisations) {
            let account = self.entry(name);
            account.weight = organisation.weight;
            account.limit = organisation.limit;
        }
    }

    fn entry(&mut self, name: &str) -> &mut Account {
        self.by_name.entry(Name::from(name)).or_default()
    }

    /// Accounts by name.
    pub fn all(&self) -> &IndexMap<Name, Account> {
        &self.by_name
    }

    /// Whether another job of an organisation is within its rate.
    pub fn is_within_rate(&self, now: Instant, name: &str) -> bool {
        self.by_name.get(name).is_none_or(|account| account.tokens(now) >= 1.0)
    }

    /// Counts a job that was accepted. A refused one isn't counted, so its return costs nothing.
    pub fn count_job(&mut self, now: Instant, name: &str) {
        let account = self.entry(name);
        account.take_token(now);
        account.counts.accepted += 1;
    }

    /// Counts a job that was refused for load.
    pub fn count_refusal(&mut self, name: &str, refusal: &Refusal) {
        let counts = &mut self.entry(name).counts;
        match refusal {
            Refusal::OverRate(_) => counts.over_rate += 1,
            Refusal::Useless(_) => counts.useless += 1,
            Refusal::Memory => {}
        }
    }

    /// Counts a job that is complete.
    pub fn count_completion(&mut self, name: &str, in_time: bool) {
        let counts = &mut self.entry(name).counts;
        if in_time {
            counts.in_time += 1;
        } else {
            counts.late += 1;
        }
    }

    /// Counts a job that a former owner accepted within its organisation's rate `age` before `now`.
    pub fn restore_job(&mut self, now: Instant, name: &str, age: Duration) {
        let account = self.entry(name);
        let left = account.tokens(now) - 1.0;
        if age < RATE_WINDOW {
            account.tokens = Some((now, left.max(0.0)));
        }
    }

    /// Organisations that have more running than their share by weight of all that runs.
    pub fn over_share(&self) -> IndexSet<Name> {
        let active = || self.by_name.iter().filter(|(_, account)| account.running.tasks > 0);
        let weights: f64 = active().map(|(_, account)| account.weight).sum();
        let running: u64 = active().map(|(_, account)| account.running.millicores).sum();
        let over = |account: &Account| {
            account.running.millicores as f64 * weights > running as f64 * account.weight
        };
        active().filter(|(_, account)| over(account)).map(|(name, _)| Rc::clone(name)).collect()
    }

    /// Whether tasks of an organisation that take `amount` may start together.
    pub fn allows(&self, name: &str, amount: &Amount) -> bool {
        self.by_name.get(name).is_none_or(|account| account.allows(amount))
    }

    /// Charges tasks that may be on a runner from now on.
    pub fn charge(&mut self, name: &str, amount: &Amount) {
        let account = self.entry(name);
        account.running = account.running.plus(amount);
    }

    /// Ends the charge of tasks that are on no runner any more.
    pub fn release(&mut self, name: &str, amount: &Amount) {
        if let Some(account) = self.by_name.get_mut(name) {
            account.running = account.running.minus(amount);
        }
    }
}

impl Cell {
    /// Takes room on a runner for a task, and charges it to the organisation of its job.
    pub(super) fn take_room(&mut self, runner: &str, task: Task, step: &Step) {
        let isolated = self.is_suspect(&task);
        let job = self.jobs.get(&task.job);
        let charge = job
            .and_then(|job| job.organisation.clone())
            .map(|name| (name, Amount::of_tasks(&step.need, 1)));
        let Some(worker) = self.workers.get_mut(runner) else { return };
        if let Some((name, amount)) = &charge {
            self.accounts.charge(name, amount);
        }
        worker.add(task, step, isolated, charge);
    }

    /// Frees the room that a task takes on a runner.
    pub(super) fn release_room(&mut self, now: Instant, runner: &str, task: &Task) {
        let Some(worker) = self.workers.get_mut(runner) else { return };
        if let Some((name, amount)) = worker.remove(now, task) {
            self.accounts.release(&name, &amount);
        }
    }

    /// Whether the limit of its organisation allows `tasks` more tasks of a step.
    pub(super) fn limit_allows(&self, task: &Task, step: &Step, tasks: usize) -> bool {
        let organisation = self.jobs.get(&task.job).and_then(|job| job.organisation.as_ref());
        let amount = Amount::of_tasks(&step.need, tasks);
        organisation.is_none_or(|name| self.accounts.allows(name, &amount))
    }
}
