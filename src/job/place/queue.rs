//! Queue of the tasks that wait for a worker of one pool, by priority and team.

use {crate::job::Priority, indexmap::IndexMap, std::collections::BTreeSet};

/// Waiting tasks of one pool; within a priority, each team has its own order.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    by_priority: [IndexMap<u32, BTreeSet<(u64, u32)>>; 3],
}

impl Queue {
    /// Adds a task at a position in the order of its team.
    pub fn push(&mut self, priority: Priority, team: u32, position: u64, task: u32) {
        self.by_priority[priority as usize].entry(team).or_default().insert((position, task));
    }

    /// Removes a task.
    pub fn remove(&mut self, priority: Priority, team: u32, position: u64, task: u32) {
        let teams = &mut self.by_priority[priority as usize];
        if let Some(waiting) = teams.get_mut(&team) {
            waiting.remove(&(position, task));
            if waiting.is_empty() {
                teams.swap_remove(&team);
            }
        }
    }

    /// Whether a task is among the first `max` of its team.
    pub fn is_head(&self, priority: Priority, team: u32, task: u32, max: usize) -> bool {
        let waiting = self.by_priority[priority as usize].get(&team);
        waiting.is_some_and(|waiting| waiting.iter().take(max).any(|(_, found)| *found == task))
    }

    /// First `max` tasks of each team in round-robin order: every team's first task comes before
    /// any team's second.
    pub fn heads(&self, priority: Priority, max: usize) -> Vec<u32> {
        let teams = &self.by_priority[priority as usize];
        let mut heads: Vec<(usize, u64, u32)> = teams
            .values()
            .flat_map(|waiting| {
                waiting
                    .iter()
                    .take(max)
                    .enumerate()
                    .map(|(i, (position, task))| (i, *position, *task))
            })
            .collect();
        heads.sort_unstable();
        heads.into_iter().map(|(_, _, task)| task).collect()
    }

    /// Number of waiting tasks.
    pub fn count(&self) -> usize {
        self.by_priority.iter().flat_map(IndexMap::values).map(BTreeSet::len).sum()
    }
}
