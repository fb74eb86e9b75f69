//! Preemption of tasks for urgent and owned work: throttle, then checkpoint, then stop.
//!
//! The preempting task holds its resources on the worker at once, so that no other task is placed
//! there, and starts once every preempted task has released its part. A preempted task that doesn't
//! release it in time is escalated to the next, harsher operation. If the worker doesn't answer at
//! all, the preempting task gives it up after `PREEMPTION_TIMEOUT` and looks for another one.

use {
    super::{
        CHECKPOINT_TIMEOUT, NONE, PREEMPTION_TIMEOUT, Phase, Scheduler, THROTTLE_TIMEOUT, dispatch,
        index::Key,
        task::THROTTLED_PERCENT,
        workers::{Level, Preemption},
    },
    crate::{job::Size, quota::Charge},
    std::{cmp::Reverse, time::Instant},
};

impl Scheduler {
    /// Reserves a worker for a queued task and preempts tasks there; returns false if that can't
    /// free enough resources.
    pub(super) fn reserve(&mut self, now: Instant, slot: u32, worker: Key, level: Level) -> bool {
        let Some(need) = self.tasks[slot as usize].as_ref().map(|task| task.size) else {
            return false;
        };
        let Some(victims) = self.victims(worker, &need, level) else { return false };
        let short = self.shortfall(worker, &need);
        let throttles = self.throttling_suffices(&victims, &short);
        self.assign(slot, worker);
        let Some(task) = self.task_mut(slot) else { return false };
        task.phase = Phase::Reserved;
        task.pending_victims = victims.len() as u32;
        self.set_timer(slot, Some(now + PREEMPTION_TIMEOUT));
        let phase = if throttles { Phase::Throttling } else { Phase::Checkpointing };
        for victim in victims {
            self.preempt(now, victim, slot, phase);
        }
        self.victim_released(now, worker, NONE);
        true
    }

    /// Tasks to preempt so that `need` fits on a worker, or none if that doesn't suffice. Borrowed
    /// tasks come first, then those of lower priority, then larger ones so that few are chosen.
    pub(super) fn victims(&self, worker: Key, need: &Size, level: Level) -> Option<Vec<u32>> {
        let found = self.workers.worker(worker);
        let mut candidates: Vec<(bool, Reverse<_>, Reverse<u32>, u32)> = found
            .tasks
            .iter()
            .filter_map(|slot| Some((*slot, self.tasks[*slot as usize].as_ref()?)))
            .filter(|(_, t)| t.is_undisturbed() && t.preemption != Preemption::Never)
            .filter(|(_, t)| level == Level::Preemptible || t.preemption == Preemption::Borrowed)
            .map(|(slot, t)| {
                let owned = t.preemption != Preemption::Borrowed;
                (owned, Reverse(t.priority), Reverse(t.held.millicores), slot)
            })
            .collect();
        candidates.sort_unstable();
        let mut short = self.shortfall(worker, need);
        let mut chosen = Vec::new();
        for (_, _, _, slot) in candidates {
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
    fn shortfall(&self, worker: Key, need: &Size) -> Size {
        let found = self.workers.worker(worker);
        let tasks = found.tasks.iter().filter_map(|slot| self.tasks[*slot as usize].as_ref());
        let held = tasks.fold(Size::default(), |sum, task| sum.plus(&task.held_after_preemption()));
        held.plus(need).minus(&found.total)
    }

    /// Whether throttling alone frees the resources in `short`. A task that is already throttled
    /// frees nothing more.
    fn throttling_suffices(&self, victims: &[u32], short: &Size) -> bool {
        let tasks = victims.iter().filter_map(|slot| self.tasks[*slot as usize].as_ref());
        let freed: u32 = tasks
            .filter(|task| !task.throttled)
            .map(|task| task.size.millicores - task.size.millicores * THROTTLED_PERCENT / 100)
            .sum();
        short.memory_bytes == 0 && short.accelerators == 0 && freed >= short.millicores
    }

    /// Preempts a task for `preemptor`, beginning with the operation of `phase`.
    pub(super) fn preempt(&mut self, now: Instant, victim: u32, preemptor: u32, phase: Phase) {
        let Some(task) = self.task_mut(victim) else { return };
        task.preemptor = preemptor;
        self.set_preemption(victim, Preemption::Never);
        self.enter(now, victim, phase);
        let wait = if phase == Phase::Throttling { THROTTLE_TIMEOUT } else { CHECKPOINT_TIMEOUT };
        self.set_timer(victim, Some(now + wait));
    }

    /// Sends the next, harsher operation to a task that hasn't released its resources in time.
    pub(super) fn escalate(&mut self, now: Instant, slot: u32) {
        let Some(task) = self.task_mut(slot) else { return };
        match task.phase {
            Phase::Throttling => {
                self.enter(now, slot, Phase::Checkpointing);
                self.set_timer(slot, Some(now + CHECKPOINT_TIMEOUT));
            }
            _ => self.enter(now, slot, Phase::Stopping),
        }
    }

    /// Records that a throttle took effect: the task now holds only a part of its processors.
    pub(super) fn throttle_done(&mut self, now: Instant, slot: u32) {
        let Some(task) = self.task_mut(slot) else { return };
        task.throttled = true;
        task.phase = Phase::Running;
        let (worker, from, preemption, preemptor) =
            (task.worker, task.held, task.preemption, task.preemptor);
        task.held.millicores = task.size.millicores * THROTTLED_PERCENT / 100;
        task.preemptor = NONE;
        let to = task.held;
        self.workers.resize(worker, &from, &to, preemption);
        self.reset_preemption(slot);
        self.schedule_renewal(slot);
        self.victim_released(now, worker, preemptor);
        if preemptor == NONE {
            self.lift_throttles(now, worker);
        }
    }

    /// Detaches the tasks that are being preempted for a task that no longer needs the worker.
    pub(super) fn detach_victims(&mut self, worker: Key, preemptor: u32) {
        for slot in self.workers.worker(worker).tasks.clone() {
            if let Some(task) = self.task_mut(slot).filter(|task| task.preemptor == preemptor) {
                task.preemptor = NONE;
            }
        }
    }

    /// Records that a preempted task released its resources, and starts the tasks on the worker
    /// that no longer wait for any other.
    pub(super) fn victim_released(&mut self, now: Instant, worker: Key, preemptor: u32) {
        if let Some(task) = self.task_mut(preemptor).filter(|_| preemptor != NONE) {
            task.pending_victims = task.pending_victims.saturating_sub(1);
        }
        for slot in self.workers.worker(worker).tasks.clone() {
            let Some(task) = self.tasks[slot as usize].as_ref() else { continue };
            if task.phase != Phase::Reserved || task.pending_victims > 0 {
                continue;
            }
            let in_use = self.in_use(worker).plus(&task.held);
            if self.workers.worker(worker).total.holds(&in_use) {
                self.enter(now, slot, Phase::Starting);
            }
        }
    }

    /// Resources held by the tasks that may run on the worker; excludes reserved ones, which wait
    /// for preemptions.
    fn in_use(&self, worker: Key) -> Size {
        let tasks = self.workers.worker(worker).tasks.iter();
        tasks
            .filter_map(|slot| self.tasks[*slot as usize].as_ref())
            .filter(|task| task.phase != Phase::Reserved)
            .fold(Size::default(), |sum, task| sum.plus(&task.held))
    }

    /// Releases a task's reserved worker and queues the task again, to look for another worker.
    pub(super) fn abandon_reservation(&mut self, now: Instant, slot: u32) {
        let Some(avoided) = self.tasks[slot as usize].as_ref().map(|task| task.worker) else {
            return;
        };
        self.release(now, slot);
        if let Some(task) = self.task_mut(slot) {
            task.avoided = avoided;
            task.phase = Phase::Queued;
        }
        self.enqueue(slot);
    }

    /// Lifts the throttle of a worker's tasks while there are enough free processors.
    pub(super) fn lift_throttles(&mut self, now: Instant, worker: Key) {
        for slot in self.workers.worker(worker).tasks.clone() {
            let Some(task) = self.tasks[slot as usize].as_ref() else { continue };
            let lack = task.size.minus(&task.held);
            let room = self.workers.worker(worker).room(Level::Free);
            if task.throttled && task.phase == Phase::Running && room.holds(&lack) {
                let (from, to, preemption) = (task.held, task.size, task.preemption);
                self.workers.resize(worker, &from, &to, preemption);
                if let Some(task) = self.task_mut(slot) {
                    task.held = to;
                    task.throttled = false;
                }
                self.set_preemption(slot, Preemption::Never);
                self.enter(now, slot, Phase::Restoring);
            }
        }
    }

    /// Changes for which tasks a task may be preempted.
    pub(super) fn set_preemption(&mut self, slot: u32, to: Preemption) {
        let Some(task) = self.tasks[slot as usize].as_mut() else { return };
        let from = std::mem::replace(&mut task.preemption, to);
        let (worker, held) = (task.worker, task.held);
        self.workers.set_preemption(worker, &held, from, to);
    }

    /// Makes a running task preemptible again, according to its charge.
    pub(super) fn reset_preemption(&mut self, slot: u32) {
        let Some(task) = self.tasks[slot as usize].as_ref() else { return };
        if !task.is_undisturbed() {
            return;
        }
        let charge = match self.accounts.is_borrowed(task.team, slot) {
            true => Charge::Borrowed,
            false => Charge::Owned,
        };
        let preemption = dispatch::preemption(task, charge);
        self.set_preemption(slot, preemption);
    }
}
