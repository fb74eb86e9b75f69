//! Buffer of spare VMs: sizes the reserve that all pools share, and plans moves of VMs between
//! pools.
//!
//! Queues have their bursts at different times, so pools share one reserve that is sized from the
//! measured demand of all pools together, not from the sum of their peaks. Each pool keeps a
//! fraction of its own peak for itself (its base) and borrows what exceeds it. A small base costs
//! moves, a large one costs idle VMs. The planner puts both on one scale, the VM time that a move
//! costs, and chooses the fraction with the lowest cost over the measured demand.
//!
//! VMs are moved only to a pool that lacks them, and stay there until another pool needs them. A
//! pool gives up VMs that exceed both its base and its current need; the pool whose burst ended
//! last gives them up first, since its next burst is the farthest away. Capacity is returned only
//! if it was not needed for as long as returning it and fetching it again would cost.

use {
    crate::id::PoolId,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Interval between two samples of demand.
pub const SAMPLE: Duration = Duration::from_secs(1);
/// Number of samples that a plan is made from.
pub const WINDOW: usize = 7_200;
/// Minimum number of samples for a plan.
pub const MIN_SAMPLES: usize = 1_800;
/// Share of the samples in which the reserve must be sufficient, in parts per ten thousand.
pub const COVERED: usize = 9_995;
/// Consecutive samples in which a pool must lack VMs before they are moved, as single samples are
/// noise.
pub const SHORTFALL_SAMPLES: u32 = 2;
/// Number of lacking VMs from which they are moved at once, since that is a burst and not noise.
pub const BURST_VMS: u32 = 2;
/// Number of samples below a level after which the next rise above it counts as a move again.
const RETURN_AFTER: usize = 20;
/// Number of equal parts into which a pool's peak is divided to try bases.
const PARTS: u32 = 20;

/// Preference between few moves and little spare capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Weighting {
    /// Few moves, at the cost of more spare capacity.
    Moves,
    /// A balance of both.
    #[default]
    Balanced,
    /// Little spare capacity, at the cost of more moves.
    Buffer,
}

impl Weighting {
    /// VM time that a move must save to be worth it.
    pub fn move_cost(self) -> Duration {
        match self {
            Self::Moves => Duration::from_secs(300),
            Self::Balanced => Duration::from_secs(60),
            Self::Buffer => Duration::from_secs(10),
        }
    }
}

/// How many VMs each pool should keep, and the size of the reserve.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// VMs that each pool keeps for itself.
    pub base: IndexMap<PoolId, u32>,
    /// VMs in the reserve that all pools share.
    pub spare: u32,
    /// Expected number of moves per hour.
    pub moves_per_hour: f64,
}

impl Plan {
    /// Total number of VMs: the bases of all pools and the reserve.
    pub fn total(&self) -> u32 {
        self.base.values().sum::<u32>() + self.spare
    }
}

/// Current VMs and current need of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// VMs that are in the pool and take work.
    pub vms: u32,
    /// VMs that are moving into the pool.
    pub arriving: u32,
    /// VMs that its current demand needs.
    pub need: u32,
}

/// VMs to move from one pool, or from the reserve, to another pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Pool that gives up the VMs; `None` for the reserve.
    pub from: Option<PoolId>,
    /// Pool that receives them.
    pub to: PoolId,
    /// Number of VMs.
    pub count: u32,
}

/// Recent demand of one pool.
#[derive(Clone, Debug, Default)]
struct Tracker {
    /// Number of the latest samples in a row in which the pool lacked VMs.
    shortfall_samples: u32,
    /// Since when the need has not exceeded the base; `None` during a burst.
    burst_ended_at: Option<Instant>,
}

/// Plans the size of the reserve, and moves of VMs.
#[derive(Clone, Debug)]
pub struct Planner {
    move_cost: Duration,
    pools: IndexMap<PoolId, Tracker>,
    samples: VecDeque<Vec<u16>>,
    recent_totals: VecDeque<(Instant, u32)>,
    plan: Plan,
}

impl Planner {
    /// Creates a planner for which a move must save the VM time `move_cost`.
    pub fn new(move_cost: Duration) -> Self {
        Self {
            move_cost,
            pools: IndexMap::new(),
            samples: VecDeque::new(),
            recent_totals: VecDeque::new(),
            plan: Plan::default(),
        }
    }

    /// Current plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Adds a sample of how many VMs each pool's demand needs.
    pub fn observe(&mut self, needs: &IndexMap<PoolId, u32>) {
        for pool in needs.keys() {
            if !self.pools.contains_key(pool) {
                self.pools.insert(pool.clone(), Tracker::default());
            }
        }
        if self.samples.len() == WINDOW {
            self.samples.pop_front();
        }
        let need = |pool| needs.get(pool).copied().unwrap_or(0).min(u32::from(u16::MAX)) as u16;
        self.samples.push_back(self.pools.keys().map(need).collect());
    }

    /// Makes a new plan from the samples; returns false if there are fewer than [`MIN_SAMPLES`].
    pub fn replan(&mut self, now: Instant) -> bool {
        if self.samples.len() < MIN_SAMPLES {
            return false;
        }
        let peaks: Vec<u32> = (0..self.pools.len()).map(|pool| self.peak(pool)).collect();
        let crossings: Vec<Vec<u32>> = (0..peaks.len()).map(|p| self.upward_crossings(p)).collect();
        let plans = (0..=PARTS).map(|part| {
            let base: Vec<u32> = peaks.iter().map(|peak| (peak * part).div_ceil(PARTS)).collect();
            self.cost_of(&base, &crossings)
        });
        let Some((_, plan)) = plans.min_by(|(a, _), (b, _)| a.total_cmp(b)) else { return false };
        self.plan = plan;
        self.keep_recent_total(now);
        true
    }

    /// Moves of VMs to pools that lack them, from a reserve of `spare` VMs and from other pools.
    pub fn moves(
        &mut self,
        now: Instant,
        allocations: &IndexMap<PoolId, Allocation>,
        spare: u32,
    ) -> Vec<Move> {
        let mut surpluses: IndexMap<&PoolId, u32> = IndexMap::new();
        let mut shortfalls = Vec::new();
        for (pool, allocation) in allocations {
            let base = self.plan.base.get(pool).copied().unwrap_or(allocation.vms);
            let surplus = allocation.vms.saturating_sub(base.max(allocation.need));
            surpluses.insert(pool, surplus);
            let shortfall = allocation.need.saturating_sub(allocation.vms + allocation.arriving);
            let shortfall_samples = self.track(now, pool, shortfall > 0, allocation.need > base);
            if shortfall_samples >= SHORTFALL_SAMPLES || shortfall >= BURST_VMS {
                shortfalls.push((pool, shortfall));
            }
        }
        let mut spare = spare;
        let mut moves = Vec::new();
        for (pool, shortfall) in shortfalls {
            let count = shortfall.min(spare);
            spare -= count;
            push_move(&mut moves, None, pool, count);
            self.borrow(pool, shortfall - count, &mut surpluses, &mut moves);
        }
        moves
    }

    /// Updates the tracker of a pool; returns for how many samples in a row the pool has lacked
    /// VMs.
    fn track(&mut self, now: Instant, pool: &PoolId, lacks_vms: bool, in_burst: bool) -> u32 {
        let Some(tracker) = self.pools.get_mut(pool) else { return 0 };
        tracker.shortfall_samples = if lacks_vms { tracker.shortfall_samples + 1 } else { 0 };
        match in_burst {
            true => tracker.burst_ended_at = None,
            false => _ = tracker.burst_ended_at.get_or_insert(now),
        }
        tracker.shortfall_samples
    }

    /// Takes VMs from the surplus of other pools, starting with the one whose burst ended last.
    fn borrow(
        &self,
        to: &PoolId,
        mut shortfall: u32,
        surpluses: &mut IndexMap<&PoolId, u32>,
        moves: &mut Vec<Move>,
    ) {
        let mut donors: Vec<&PoolId> =
            surpluses.iter().filter(|(pool, n)| **n > 0 && **pool != to).map(|(p, _)| *p).collect();
        donors.sort_by_key(|pool| {
            std::cmp::Reverse(self.pools.get(*pool).map(|tracker| tracker.burst_ended_at))
        });
        for pool in donors {
            let Some(surplus) = surpluses.get_mut(pool) else { continue };
            let count = shortfall.min(*surplus);
            *surplus -= count;
            shortfall -= count;
            push_move(moves, Some(pool.clone()), to, count);
        }
    }

    /// Peak need of a pool, which is the [`COVERED`] quantile of the samples.
    fn peak(&self, pool: usize) -> u32 {
        quantile(self.samples.iter().map(|sample| u32::from(need_of(sample, pool))).collect())
    }

    /// For each number of VMs, how often the pool's need rose above it after it had been at or
    /// below it for [`RETURN_AFTER`] samples.
    fn upward_crossings(&self, pool: usize) -> Vec<u32> {
        let (mut below, mut counts) = (Vec::new(), Vec::new());
        for sample in &self.samples {
            let need = usize::from(need_of(sample, pool));
            counts.resize(counts.len().max(need), 0);
            below.resize(counts.len(), RETURN_AFTER);
            for (level, count) in counts.iter_mut().enumerate() {
                if level >= need {
                    below[level] += 1;
                    continue;
                }
                *count += u32::from(below[level] >= RETURN_AFTER);
                below[level] = 0;
            }
        }
        counts
    }

    /// Plan with the given base of each pool, and its cost: the VMs held, plus the expected moves
    /// converted to VMs.
    fn cost_of(&self, base: &[u32], crossings: &[Vec<u32>]) -> (f64, Plan) {
        let excess = |sample: &Vec<u16>| {
            base.iter()
                .enumerate()
                .map(|(p, b)| u32::from(need_of(sample, p)).saturating_sub(*b))
                .sum()
        };
        let spare = quantile(self.samples.iter().map(excess).collect());
        let above = |(levels, base): (&Vec<u32>, &u32)| levels.iter().skip(*base as usize).sum();
        let moves: u32 = crossings.iter().zip(base).map(above).map(|n: u32| n).sum();
        let hours = (SAMPLE * self.samples.len() as u32).as_secs_f64() / 3_600.0;
        let moves_per_hour = f64::from(moves) / hours;
        let move_cost_hours = self.move_cost.as_secs_f64() / 3_600.0;
        let vms = base.iter().sum::<u32>() + spare;
        let base = self.pools.keys().cloned().zip(base.iter().copied()).collect();
        (f64::from(vms) + move_cost_hours * moves_per_hour, Plan { base, spare, moves_per_hour })
    }

    /// Raises the reserve to the largest total of the plans within twice the move cost, since VMs
    /// that are needed again sooner cost more to return and fetch than they save.
    fn keep_recent_total(&mut self, now: Instant) {
        let horizon = self.move_cost * 2;
        self.recent_totals.push_back((now, self.plan.total()));
        while self.recent_totals.front().is_some_and(|(at, _)| now.duration_since(*at) > horizon) {
            self.recent_totals.pop_front();
        }
        let largest = self.recent_totals.iter().map(|(_, total)| *total).max().unwrap_or(0);
        self.plan.spare += largest - self.plan.total();
    }
}

/// Need of a pool in a sample; 0 if the pool was not known yet.
fn need_of(sample: &[u16], pool: usize) -> u16 {
    sample.get(pool).copied().unwrap_or(0)
}

/// Adds a move unless it is empty.
fn push_move(moves: &mut Vec<Move>, from: Option<PoolId>, to: &PoolId, count: u32) {
    if count > 0 {
        moves.push(Move { from, to: to.clone(), count });
    }
}

/// Smallest value that the share [`COVERED`] of the values does not exceed.
fn quantile(mut values: Vec<u32>) -> u32 {
    values.sort_unstable();
    let index = (values.len() * COVERED).div_ceil(10_000).saturating_sub(1);
    values.get(index).copied().unwrap_or(0)
}
