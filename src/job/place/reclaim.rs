//! Makes room for urgent and owned work: throttle, then checkpoint, then stop.
//!
//! The claimant holds its size at once, so nobody else takes the room, and starts once every task
//! that was asked has given way. A task that does not answer in time is asked the next, harder
//! thing; a worker that does not answer at all is left for another one after `RECLAIM_WAIT`.

use {
    super::{
        CHECKPOINT_WAIT, NONE, Phase, RECLAIM_WAIT, Scheduler, THROTTLE_WAIT,
        index::Key,
        roster::{Class, Level},
        start,
        task::THROTTLED_PERCENT,
    },
    crate::{job::Size, quota::Charge},
    std::{cmp::Reverse, time::Instant},
};

impl Scheduler {
    /// Takes a worker for a task, asking others there to give way.
    pub(super) fn reclaim(&mut self, now: Instant, slot: u32, worker: Key, level: Level) -> bool {
        let Some(need) = self.tasks[slot as usize].as_ref().map(|task| task.size) else {
            return false;
        };
        let Some(victims) = self.victims(worker, &need, level) else { return false };
        let short = self.short(worker, &need);
        let throttles = self.throttles_suffice(&victims, &short);
        self.occupy(slot, worker);
        let Some(task) = self.task_mut(slot) else { return false };
        task.phase = Phase::Reserved;
        task.waiting = victims.len() as u32;
        self.set_timer(slot, Some(now + RECLAIM_WAIT));
        let phase = if throttles { Phase::Throttling } else { Phase::Checkpointing };
        for victim in victims {
            self.give_way(now, victim, slot, phase);
        }
        self.gave_way(now, worker, NONE);
        true
    }

    /// Fewest tasks, borrowed and low ones first, whose sizes cover the need.
    pub(super) fn victims(&self, worker: Key, need: &Size, level: Level) -> Option<Vec<u32>> {
        let found = self.roster.worker(worker);
        let mut order: Vec<(bool, Reverse<_>, Reverse<u32>, u32)> = found
            .tasks
            .iter()
            .filter_map(|slot| Some((*slot, self.tasks[*slot as usize].as_ref()?)))
            .filter(|(_, t)| t.settled_in() && t.class != Class::Firm)
            .filter(|(_, t)| level == Level::Lower || t.class == Class::Borrowed)
            .map(|(slot, t)| {
                let owned = t.class != Class::Borrowed;
                (owned, Reverse(t.priority), Reverse(t.held.millicores), slot)
            })
            .collect();
        order.sort_unstable();
        let mut short = self.short(worker, need);
        let mut chosen = Vec::new();
        for (_, _, _, slot) in order {
            let Some(task) = self.tasks[slot as usize].as_ref() else { continue };
            let left = short.minus(&task.held);
            if left != short {
                chosen.push(slot);
            }
            short = left;
        }
        (short == Size::default()).then_some(chosen)
    }

    /// What a need lacks on a worker once the tasks asked before have given way.
    fn short(&self, worker: Key, need: &Size) -> Size {
        let found = self.roster.worker(worker);
        let tasks = found.tasks.iter().filter_map(|slot| self.tasks[*slot as usize].as_ref());
        let held = tasks.fold(Size::default(), |sum, task| sum.plus(&task.held_soon()));
        held.plus(need).minus(&found.total)
    }

    /// Whether throttling alone frees what is short; a throttled task gives no more.
    fn throttles_suffice(&self, victims: &[u32], short: &Size) -> bool {
        let tasks = victims.iter().filter_map(|slot| self.tasks[*slot as usize].as_ref());
        let freed: u32 = tasks
            .filter(|task| !task.throttled)
            .map(|task| task.size.millicores - task.size.millicores * THROTTLED_PERCENT / 100)
            .sum();
        short.memory_bytes == 0 && short.accelerators == 0 && freed >= short.millicores
    }

    pub(super) fn give_way(&mut self, now: Instant, victim: u32, claimant: u32, phase: Phase) {
        let Some(task) = self.task_mut(victim) else { return };
        task.claimant = claimant;
        self.reclass(victim, Class::Firm);
        self.ask(now, victim, phase);
        let wait = if phase == Phase::Throttling { THROTTLE_WAIT } else { CHECKPOINT_WAIT };
        self.set_timer(victim, Some(now + wait));
    }

    /// Asks the next, harder thing of a task that has not given way.
    pub(super) fn escalate(&mut self, now: Instant, slot: u32) {
        let Some(task) = self.task_mut(slot) else { return };
        match task.phase {
            Phase::Throttling => {
                self.ask(now, slot, Phase::Checkpointing);
                self.set_timer(slot, Some(now + CHECKPOINT_WAIT));
            }
            _ => self.ask(now, slot, Phase::Stopping),
        }
    }

    /// Takes note that a throttled task keeps only a part of its processors.
    pub(super) fn throttled(&mut self, now: Instant, slot: u32) {
        let Some(task) = self.task_mut(slot) else { return };
        task.throttled = true;
        task.phase = Phase::Running;
        let (worker, from, class, claimant) = (task.worker, task.held, task.class, task.claimant);
        task.held.millicores = task.size.millicores * THROTTLED_PERCENT / 100;
        task.claimant = NONE;
        let to = task.held;
        self.roster.resize(worker, &from, &to, class);
        self.restore_class(slot);
        self.renew_later(slot);
        self.gave_way(now, worker, claimant);
        if claimant == NONE {
            self.restore(now, worker);
        }
    }

    /// Lets the tasks that give way to a claimant do so for nobody.
    pub(super) fn disclaim(&mut self, worker: Key, claimant: u32) {
        for slot in self.roster.worker(worker).tasks.clone() {
            if let Some(task) = self.task_mut(slot).filter(|task| task.claimant == claimant) {
                task.claimant = NONE;
            }
        }
    }

    /// Takes note that a task gave way, and starts the tasks for which that was the last.
    pub(super) fn gave_way(&mut self, now: Instant, worker: Key, claimant: u32) {
        if let Some(task) = self.task_mut(claimant).filter(|_| claimant != NONE) {
            task.waiting = task.waiting.saturating_sub(1);
        }
        for slot in self.roster.worker(worker).tasks.clone() {
            let Some(task) = self.tasks[slot as usize].as_ref() else { continue };
            if task.phase != Phase::Reserved || task.waiting > 0 {
                continue;
            }
            let in_use = self.in_use(worker).plus(&task.held);
            if self.roster.worker(worker).total.holds(&in_use) {
                self.ask(now, slot, Phase::Starting);
            }
        }
    }

    /// Held by tasks that may run on the worker, without those that wait for others to give way.
    fn in_use(&self, worker: Key) -> Size {
        let tasks = self.roster.worker(worker).tasks.iter();
        tasks
            .filter_map(|slot| self.tasks[*slot as usize].as_ref())
            .filter(|task| task.phase != Phase::Reserved)
            .fold(Size::default(), |sum, task| sum.plus(&task.held))
    }

    /// Gives up a reserved worker and queues the task again, to look elsewhere.
    pub(super) fn retreat(&mut self, now: Instant, slot: u32) {
        let Some(shunned) = self.tasks[slot as usize].as_ref().map(|task| task.worker) else {
            return;
        };
        self.withdraw(now, slot);
        if let Some(task) = self.task_mut(slot) {
            task.shunned = shunned;
            task.phase = Phase::Queued;
        }
        self.enqueue(slot);
    }

    /// Gives throttled tasks of a worker their processors back while there is room.
    pub(super) fn restore(&mut self, now: Instant, worker: Key) {
        for slot in self.roster.worker(worker).tasks.clone() {
            let Some(task) = self.tasks[slot as usize].as_ref() else { continue };
            let lack = task.size.minus(&task.held);
            let room = self.roster.worker(worker).room(Level::Free);
            if task.throttled && task.phase == Phase::Running && room.holds(&lack) {
                let (from, to, class) = (task.held, task.size, task.class);
                self.roster.resize(worker, &from, &to, class);
                if let Some(task) = self.task_mut(slot) {
                    task.held = to;
                    task.throttled = false;
                }
                self.reclass(slot, Class::Firm);
                self.ask(now, slot, Phase::Restoring);
            }
        }
    }

    pub(super) fn reclass(&mut self, slot: u32, to: Class) {
        let Some(task) = self.tasks[slot as usize].as_mut() else { return };
        let from = std::mem::replace(&mut task.class, to);
        let (worker, held) = (task.worker, task.held);
        self.roster.reclass(worker, &held, from, to);
    }

    /// Makes a running task reclaimable as its charge says.
    pub(super) fn restore_class(&mut self, slot: u32) {
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        if !task.settled_in() {
            return;
        }
        let charge = match self.ledger.is_loan(task.team, slot) {
            true => Charge::Borrowed,
            false => Charge::Owned,
        };
        let class = start::class(task, charge);
        self.reclass(slot, class);
    }
}
