//! Former queues: those that the manifest no longer has while jobs that they accepted are open.
//!
//! A job keeps the terms under which it runs (its attempts, priority and deadline, and whether it needs
//! tickets) when its queue goes, until a later manifest has the queue again. The ledger stores the terms of
//! former queues before the manifest without them, or with the first job that still came in meanwhile, so
//! a new owner knows them too.

use {
    super::Cell,
    crate::job::manifest::{Manifest, Queue},
    indexmap::{IndexMap, IndexSet},
};

/// Former queues by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Former {
    queues: IndexMap<String, Queue>,
    /// What the ledger has stored, or the batch in flight.
    stored: IndexMap<String, Queue>,
}

impl Former {
    /// Former queues as a previous owner has stored them.
    pub(super) fn restore(queues: Vec<Queue>) -> Self {
        let queues: IndexMap<String, Queue> =
            queues.into_iter().map(|queue| (queue.name.clone(), queue)).collect();
        Self { stored: queues.clone(), queues }
    }

    /// Replaces the former queues.
    pub(super) fn set(&mut self, queues: IndexMap<String, Queue>) {
        self.queues = queues;
    }

    /// Returns the former queues for the next batch, if the ledger has not stored them yet.
    pub(super) fn take_changed(&mut self) -> Option<Vec<Queue>> {
        self.take_changed_to(self.queues.clone())
    }

    /// Returns `queues` for the next batch, if the ledger has not stored just these.
    pub(super) fn take_changed_to(
        &mut self,
        queues: IndexMap<String, Queue>,
    ) -> Option<Vec<Queue>> {
        if queues == self.stored {
            return None;
        }
        self.stored = queues;
        Some(self.stored.values().cloned().collect())
    }
}

impl Cell {
    /// Terms of jobs of a queue: those of the manifest in force, or the last ones of a former queue.
    pub(super) fn terms(&self, queue: &str) -> Option<&Queue> {
        self.queue(queue).or_else(|| self.former.queues.get(queue))
    }

    /// Queues that `next` does not have and that open jobs belong to.
    pub(super) fn former_queues(&self, next: &Manifest) -> IndexMap<String, Queue> {
        let kept: IndexSet<&str> = next.queues.iter().map(|queue| queue.name.as_str()).collect();
        let used: IndexSet<&str> = self.open_jobs().map(|job| &*job.queue).collect();
        let former = used.difference(&kept).filter_map(|name| self.terms(name));
        former.map(|queue| (queue.name.clone(), queue.clone())).collect()
    }
}
