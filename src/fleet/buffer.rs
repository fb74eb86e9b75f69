//! Sizes the shared spare capacity and decides which moves of VMs between pools are worth it.
//!
//! Queues burst at different times, so pools share one reserve that is sized from the demand that
//! was measured for all of them together, not from the sum of their peaks. Each pool keeps a part
//! of its own peak for itself (its base); what exceeds it is borrowed. A small base costs moves, a
//! large one costs VMs that idle: the planner weighs both by one price, the VM time that a move is
//! worth, and takes the part with the lowest cost over the measured demand.
//!
//! VMs are moved only for a pool that lacks them, and stay until another pool needs them; a pool
//! gives up VMs above its base and its need, first the one whose burst ended last, since its next
//! one is farthest. Capacity is given back only if it was not needed for as long as giving it back
//! and fetching it again would cost.

use {
    crate::id::PoolId,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Time between two samples of demand.
pub const SAMPLE: Duration = Duration::from_secs(1);
/// Samples from which plans are made.
pub const WINDOW: usize = 7_200;
/// Samples below which no plan is made.
pub const MIN_SAMPLES: usize = 1_800;
/// Part of the time in which the reserve is enough, in parts per ten thousand.
pub const COVERED: usize = 9_995;
/// Samples in a row with a small lack before VMs are moved.
pub const LACK_SAMPLES: u32 = 2;
/// VMs lacking from which they are moved at once: it is a burst and no noise.
pub const BURST_VMS: u32 = 2;
/// Time below a level after which the next rise above it costs a move again.
const RETURN_AFTER: usize = 20;
/// Parts of a pool's peak that are tried as its base.
const PARTS: u32 = 20;

/// Which cost weighs most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Weighting {
    /// Few moves, at the price of more spare capacity.
    Moves,
    /// Between both.
    #[default]
    Balanced,
    /// Little spare capacity, at the price of more moves.
    Buffer,
}

impl Weighting {
    /// VM time that a move has to save at least.
    pub fn price(self) -> Duration {
        match self {
            Self::Moves => Duration::from_secs(300),
            Self::Balanced => Duration::from_secs(60),
            Self::Buffer => Duration::from_secs(10),
        }
    }
}

/// VMs that pools should hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// VMs that each pool keeps for itself.
    pub base: IndexMap<PoolId, u32>,
    /// VMs that all pools share.
    pub spare: u32,
    /// Moves an hour to expect.
    pub moves_per_hour: f64,
}

impl Plan {
    /// VMs of all pools and the reserve.
    pub fn total(&self) -> u32 {
        self.base.values().sum::<u32>() + self.spare
    }
}

/// What a pool has and needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// VMs that belong to the pool and take work.
    pub vms: u32,
    /// VMs on their way into the pool.
    pub arriving: u32,
    /// VMs that its demand needs now.
    pub need: u32,
}

/// VMs to move from one pool to another; no pool stands for the reserve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Pool that gives up VMs.
    pub from: Option<PoolId>,
    /// Pool that gets them.
    pub to: PoolId,
    /// VMs.
    pub count: u32,
}

#[derive(Clone, Debug, Default)]
struct Watch {
    lacking: u32,
    calm_since: Option<Instant>,
}

/// Plans the reserve and moves of VMs.
#[derive(Clone, Debug)]
pub struct Planner {
    price: Duration,
    pools: IndexMap<PoolId, Watch>,
    samples: VecDeque<Vec<u16>>,
    totals: VecDeque<(Instant, u32)>,
    plan: Plan,
}

impl Planner {
    /// Creates a planner for which a move has to save this VM time.
    pub fn new(price: Duration) -> Self {
        Self {
            price,
            pools: IndexMap::new(),
            samples: VecDeque::new(),
            totals: VecDeque::new(),
            plan: Plan::default(),
        }
    }

    /// Plan in force.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Takes a sample of the VMs that each pool's demand needs.
    pub fn observe(&mut self, needs: &IndexMap<PoolId, u32>) {
        for pool in needs.keys() {
            if !self.pools.contains_key(pool) {
                self.pools.insert(pool.clone(), Watch::default());
            }
        }
        if self.samples.len() == WINDOW {
            self.samples.pop_front();
        }
        let need = |pool| needs.get(pool).copied().unwrap_or(0).min(u32::from(u16::MAX)) as u16;
        self.samples.push_back(self.pools.keys().map(need).collect());
    }

    /// Makes a plan from the window and puts it in force; false if too little was measured.
    pub fn replan(&mut self, now: Instant) -> bool {
        if self.samples.len() < MIN_SAMPLES {
            return false;
        }
        let peaks: Vec<u32> = (0..self.pools.len()).map(|pool| self.peak(pool)).collect();
        let crossings: Vec<Vec<u32>> = (0..peaks.len()).map(|p| self.crossings(p)).collect();
        let plans = (0..=PARTS).map(|part| {
            let base: Vec<u32> = peaks.iter().map(|peak| (peak * part).div_ceil(PARTS)).collect();
            self.price_of(&base, &crossings)
        });
        let Some((_, plan)) = plans.min_by(|(a, _), (b, _)| a.total_cmp(b)) else { return false };
        self.plan = plan;
        self.hold_total(now);
        true
    }

    /// Moves that help pools which lack VMs, from a reserve of `spare` VMs and from each other.
    pub fn moves(
        &mut self,
        now: Instant,
        standings: &IndexMap<PoolId, Standing>,
        spare: u32,
    ) -> Vec<Move> {
        let mut left: IndexMap<&PoolId, u32> = IndexMap::new();
        let mut lacks = Vec::new();
        for (pool, standing) in standings {
            let base = self.plan.base.get(pool).copied().unwrap_or(standing.vms);
            let surplus = standing.vms.saturating_sub(base.max(standing.need));
            left.insert(pool, surplus);
            let lack = standing.need.saturating_sub(standing.vms + standing.arriving);
            let lacking = self.watch(now, pool, lack > 0, standing.need > base);
            if lacking >= LACK_SAMPLES || lack >= BURST_VMS {
                lacks.push((pool, lack));
            }
        }
        let mut spare = spare;
        let mut moves = Vec::new();
        for (pool, lack) in lacks {
            let count = lack.min(spare);
            spare -= count;
            push(&mut moves, None, pool, count);
            self.borrow(pool, lack - count, &mut left, &mut moves);
        }
        moves
    }

    fn watch(&mut self, now: Instant, pool: &PoolId, lacks: bool, busy: bool) -> u32 {
        let Some(watch) = self.pools.get_mut(pool) else { return 0 };
        watch.lacking = if lacks { watch.lacking + 1 } else { 0 };
        match busy {
            true => watch.calm_since = None,
            false => _ = watch.calm_since.get_or_insert(now),
        }
        watch.lacking
    }

    /// Takes VMs from other pools, first from the one whose burst ended last.
    fn borrow(
        &self,
        to: &PoolId,
        mut lack: u32,
        left: &mut IndexMap<&PoolId, u32>,
        moves: &mut Vec<Move>,
    ) {
        let mut givers: Vec<&PoolId> =
            left.iter().filter(|(pool, n)| **n > 0 && **pool != to).map(|(p, _)| *p).collect();
        givers.sort_by_key(|pool| std::cmp::Reverse(self.pools.get(*pool).map(|w| w.calm_since)));
        for pool in givers {
            let Some(surplus) = left.get_mut(pool) else { continue };
            let count = lack.min(*surplus);
            *surplus -= count;
            lack -= count;
            push(moves, Some(pool.clone()), to, count);
        }
    }

    fn peak(&self, pool: usize) -> u32 {
        quantile(self.samples.iter().map(|sample| u32::from(at(sample, pool))).collect())
    }

    /// For each level, the rises of a pool's need above it after a time below.
    fn crossings(&self, pool: usize) -> Vec<u32> {
        let (mut below, mut counts) = (Vec::new(), Vec::new());
        for sample in &self.samples {
            let need = usize::from(at(sample, pool));
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

    /// Cost in VMs held all the time of a base for each pool, and the plan.
    fn price_of(&self, base: &[u32], crossings: &[Vec<u32>]) -> (f64, Plan) {
        let excess = |sample: &Vec<u16>| {
            base.iter().enumerate().map(|(p, b)| u32::from(at(sample, p)).saturating_sub(*b)).sum()
        };
        let spare = quantile(self.samples.iter().map(excess).collect());
        let above = |(levels, base): (&Vec<u32>, &u32)| levels.iter().skip(*base as usize).sum();
        let moves: u32 = crossings.iter().zip(base).map(above).map(|n: u32| n).sum();
        let hours = (SAMPLE * self.samples.len() as u32).as_secs_f64() / 3_600.0;
        let moves_per_hour = f64::from(moves) / hours;
        let price_hours = self.price.as_secs_f64() / 3_600.0;
        let vms = base.iter().sum::<u32>() + spare;
        let base = self.pools.keys().cloned().zip(base.iter().copied()).collect();
        (f64::from(vms) + price_hours * moves_per_hour, Plan { base, spare, moves_per_hour })
    }

    /// Keeps capacity that would have to be fetched again sooner than giving it back pays.
    fn hold_total(&mut self, now: Instant) {
        let horizon = self.price * 2;
        self.totals.push_back((now, self.plan.total()));
        while self.totals.front().is_some_and(|(at, _)| now.duration_since(*at) > horizon) {
            self.totals.pop_front();
        }
        let most = self.totals.iter().map(|(_, total)| *total).max().unwrap_or(0);
        self.plan.spare += most - self.plan.total();
    }
}

fn at(sample: &[u16], pool: usize) -> u16 {
    sample.get(pool).copied().unwrap_or(0)
}

fn push(moves: &mut Vec<Move>, from: Option<PoolId>, to: &PoolId, count: u32) {
    if count > 0 {
        moves.push(Move { from, to: to.clone(), count });
    }
}

/// Value that `COVERED` of the samples do not exceed.
fn quantile(mut values: Vec<u32>) -> u32 {
    values.sort_unstable();
    let at = (values.len() * COVERED).div_ceil(10_000).saturating_sub(1);
    values.get(at).copied().unwrap_or(0)
}
