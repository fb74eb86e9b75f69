//! Processor quotas of teams, and borrowing of unused quota.
//!
//! A team's tasks are charged to its own quota first. Tasks beyond it are borrowed, so that no
//! capacity is idle while another team doesn't use its quota. Borrowed tasks can be preempted by
//! teams within their quota. When an owned task ends, the team's oldest borrowed task becomes owned
//! if the quota allows.
//!
//! Invariant: `owned <= quota` for every team at any time, unless an operator lowered the quota.
//! Then the tasks already charged stay owned, and new tasks are borrowed until the team is below
//! its quota again.

use {
    crate::{fleet::Team, id::TeamId},
    indexmap::{IndexMap, IndexSet},
};

/// Number of a task: its slot in the scheduler.
pub type TaskKey = u32;

/// Whose quota a task uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// The quota of its own team.
    Owned,
    /// Unused quota of other teams.
    Borrowed,
}

/// Quota of one team and its use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Quota in thousandths of a core.
    pub quota_millicores: u64,
    /// Use within the quota.
    pub owned_millicores: u64,
    /// Use beyond the quota.
    pub borrowed_millicores: u64,
    borrowed: IndexSet<TaskKey>,
}

/// Accounts of all teams.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    by_team: IndexMap<TeamId, Account>,
}

impl Accounts {
    /// Sets the quotas; an account whose team isn't declared any more gets a quota of 0.
    pub fn set_quotas(&mut self, teams: &IndexMap<TeamId, Team>) {
        for (id, account) in &mut self.by_team {
            account.quota_millicores = teams.get(id).map_or(0, |team| team.quota_millicores);
        }
        for (id, team) in teams {
            self.by_team.entry(id.clone()).or_default().quota_millicores = team.quota_millicores;
        }
    }

    /// Number of a team's account, which is opened if there is none.
    pub fn account_index(&mut self, team: &TeamId) -> u32 {
        let index = match self.by_team.get_index_of(team) {
            Some(index) => index,
            None => self.by_team.insert_full(team.clone(), Account::default()).0,
        };
        index as u32
    }

    /// Account of a team.
    pub fn account(&self, team: &TeamId) -> Option<&Account> {
        self.by_team.get(team)
    }

    /// How a task of this size would be charged now, without charging it.
    pub fn charge_for(&self, team: u32, millicores: u32) -> Charge {
        match self.by_team.get_index(team as usize) {
            Some((_, a)) if a.owned_millicores + u64::from(millicores) <= a.quota_millicores => {
                Charge::Owned
            }
            _ => Charge::Borrowed,
        }
    }

    /// Charges a task.
    pub fn charge(&mut self, team: u32, task: TaskKey, millicores: u32) -> Charge {
        let charge = self.charge_for(team, millicores);
        if let Some((_, account)) = self.by_team.get_index_mut(team as usize) {
            match charge {
                Charge::Owned => account.owned_millicores += u64::from(millicores),
                Charge::Borrowed => {
                    account.borrowed_millicores += u64::from(millicores);
                    account.borrowed.insert(task);
                }
            }
        }
        charge
    }

    /// Removes a task from its team's account.
    pub fn release(&mut self, team: u32, task: TaskKey, millicores: u32) {
        if let Some((_, account)) = self.by_team.get_index_mut(team as usize) {
            let used = match account.borrowed.shift_remove(&task) {
                true => &mut account.borrowed_millicores,
                false => &mut account.owned_millicores,
            };
            *used = used.saturating_sub(u64::from(millicores));
        }
    }

    /// Oldest borrowed task of a team.
    pub fn oldest_borrowed(&self, team: u32) -> Option<TaskKey> {
        self.by_team.get_index(team as usize)?.1.borrowed.first().copied()
    }

    /// Whether a task is charged as borrowed.
    pub fn is_borrowed(&self, team: u32, task: TaskKey) -> bool {
        self.by_team.get_index(team as usize).is_some_and(|(_, a)| a.borrowed.contains(&task))
    }

    /// Makes a borrowed task owned if it fits in the quota; returns whether it did.
    pub fn promote(&mut self, team: u32, task: TaskKey, millicores: u32) -> bool {
        if self.charge_for(team, millicores) == Charge::Borrowed {
            return false;
        }
        let Some((_, account)) = self.by_team.get_index_mut(team as usize) else { return false };
        if !account.borrowed.shift_remove(&task) {
            return false;
        }
        account.borrowed_millicores -= u64::from(millicores);
        account.owned_millicores += u64::from(millicores);
        true
    }
}
