//! Preemption of tasks for urgent and owned work: throttle, then checkpoint, then stop.
//!
//! The preempting task holds its resources on the worker at once, so that no other task is placed
//! there, and starts once every preempted task has released its part. A preempted task that doesn't
//! release it in time is escalated to the next, harsher operation. If the worker doesn't answer at
//! all, the preempting task gives it up after `RECLAIM_WAIT` and looks for another one.

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
    /// Reserves a worker for a queued task and preempts tasks there; returns false if that can't
    /// free enough resources.
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

    /// Tasks to preempt so that `need` fits on a worker, or none if that doesn't suffice. Borrowed
    /// tasks come first, then those of lower priority, then larger ones so that few are chosen.
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

    /// Resources that `need` lacks on a worker once the preemptions in progress have completed.
    fn short(&self, worker: Key, need: &Size) -> Size {
        let found = self.roster.worker(worker);
        let tasks = found.tasks.iter().filter_map(|slot| self.tasks[*slot as usize].as_ref());
        let held = tasks.fold(Size::default(), |sum, task| sum.plus(&task.held_soon()));
        held.plus(need).minus(&found.total)
    }

    /// Whether throttling alone frees the resources in `short`. A task that is already throttled
    /// frees nothing more.
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

    /// Sends the next, harsher operation to a task that hasn't released its resources in time.
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

    /// Records that a throttle took effect: the task now holds only a part of its processors.
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

    /// Detaches the tasks that are being preempted for a task that no longer needs the worker.
    pub(super) fn disclaim(&mut self, worker: Key, claimant: u32) {
        for slot in self.roster.worker(worker).tasks.clone() {
            if let Some(task) = self.task_mut(slot).filter(|task| task.claimant == claimant) {
                task.claimant = NONE;
            }
        }
    }

    /// Records that a preempted task released its resources, and starts the tasks on the worker
    /// that no longer wait for any other.
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

    /// Resources held by the tasks that may run on the worker; excludes reserved ones, which wait
    /// for preemptions.
    fn in_use(&self, worker: Key) -> Size {
        let tasks = self.roster.worker(worker).tasks.iter();
        tasks
            .filter_map(|slot| self.tasks[*slot as usize].as_ref())
            .filter(|task| task.phase != Phase::Reserved)
            .fold(Size::default(), |sum, task| sum.plus(&task.held))
    }

    /// Releases a task's reserved worker and queues the task again, to look for another worker.
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

    /// Lifts the throttle of a worker's tasks while there are enough free processors.
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

    /// Makes a running task preemptible again, according to its charge.
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
