//! Workers, the resources that their tasks hold, and the search for a worker with enough room.
//!
//! Each worker is in three grids: by its free capacity, by the capacity that would be free without
//! borrowed tasks, and by that without any preemptible task. A search for a worker whose tasks can
//! be preempted therefore costs the same as a search for a free one.

use {
    super::index::{Grid, Key, Position},
    crate::{
        diagnose::Location,
        fleet::Vm,
        id::{PoolId, VmId},
        job::Size,
    },
    indexmap::{IndexMap, IndexSet},
};

/// Candidates of a zone, of which the one whose rack runs the fewest tasks of the kind is chosen.
const MAX_CANDIDATES: usize = 8;
/// Set in the number of a zone, to distinguish it from the number of a rack.
const ZONE_BIT: u32 = 1 << 31;

/// Which capacity a search counts as free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Capacity that no task holds.
    Free,
    /// Also the capacity held by borrowed tasks.
    Borrowed,
    /// Also the capacity held by any preemptible task.
    Preemptible,
}

/// For which tasks a task may be preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preemption {
    /// For none.
    Never,
    /// For urgent tasks within their quota.
    Owned,
    /// For urgent and normal tasks within their quota.
    Borrowed,
}

/// Whether a worker takes new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Takes tasks.
    Healthy,
    /// Takes one repeatable task, which shows whether the worker has recovered.
    Probing,
    /// Takes no tasks because it drains or is quarantined.
    Closed,
    /// Declared dead by the platform.
    Dead,
}

impl Status {
    fn takes_tasks(self) -> bool {
        matches!(self, Self::Healthy | Self::Probing)
    }
}

/// Requirements of a search for a worker.
#[derive(Clone, Copy, Debug)]
pub struct Search<'a> {
    /// Pool whose workers are searched.
    pub pool: u32,
    /// Kind of the task.
    pub kind: u32,
    /// Size of the task.
    pub need: Size,
    /// Whether the task is repeatable and may be used to probe a worker.
    pub repeatable: bool,
    /// Workers that are chosen only if there is no other.
    pub avoided: &'a [Key],
}

/// A worker and the resources that its tasks hold.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Name.
    pub vm: VmId,
    /// All resources of the worker.
    pub total: Size,
    /// Resources held by tasks.
    pub held: Size,
    /// Part of `held` that urgent tasks may preempt.
    pub preemptible: Size,
    /// Part of `held` that normal tasks within their quota may preempt as well.
    pub borrowed: Size,
    /// Tasks on the worker.
    pub tasks: Vec<u32>,
    /// Whether it takes new tasks.
    pub status: Status,
    pool: u32,
    zone: u32,
    rack: u32,
    positions: [Position; 3],
}

impl Worker {
    /// Capacity that a search at this level counts as free.
    pub fn room(&self, level: Level) -> Size {
        let held = match level {
            Level::Free => self.held,
            Level::Borrowed => self.held.minus(&self.borrowed),
            Level::Preemptible => self.held.minus(&self.preemptible),
        };
        self.total.minus(&held)
    }
}

/// Workers of one pool in one zone, with a grid for each [`Level`].
#[derive(Clone, Debug, Default)]
struct ZoneIndex {
    zone: u32,
    grids: [Grid; 3],
}

/// All workers, with indices for searches.
#[derive(Clone, Debug, Default)]
pub struct Workers {
    workers: Vec<Worker>,
    names: IndexMap<VmId, Key>,
    /// Zones of each pool.
    pools: IndexMap<PoolId, Vec<ZoneIndex>>,
    /// Largest total of each pool's workers in each dimension.
    largest: IndexMap<u32, Size>,
    /// Zones and racks by zone and rack name; a zone has an empty rack name.
    locations: IndexSet<(String, String)>,
    /// Number of tasks by kind and by zone or rack.
    kind_counts: IndexMap<(u32, u32), u32>,
}

/// All levels, in the order of the grids.
const LEVELS: [Level; 3] = [Level::Free, Level::Borrowed, Level::Preemptible];

impl Workers {
    /// Adds a worker and returns its number; a known worker keeps its number, and takes tasks again
    /// if it was dead.
    pub fn add(&mut self, id: &VmId, vm: &Vm, total: Size) -> Key {
        if let Some(&key) = self.names.get(id) {
            if self.worker(key).status == Status::Dead {
                self.set_status(key, Status::Healthy);
            }
            return key;
        }
        let key = self.workers.len() as Key;
        let zone = self.locations.insert_full((vm.zone.clone(), String::new())).0 as u32;
        let rack = self.locations.insert_full((vm.zone.clone(), vm.rack.clone())).0 as u32;
        let pool = self.pool(&vm.pool);
        let zones = &mut self.pools[pool as usize];
        if !zones.iter().any(|zone_index| zone_index.zone == zone) {
            zones.push(ZoneIndex { zone, ..ZoneIndex::default() });
        }
        let empty = Size::default();
        self.workers.push(Worker {
            vm: id.clone(),
            total,
            held: empty,
            preemptible: empty,
            borrowed: empty,
            tasks: Vec::new(),
            status: Status::Closed,
            pool,
            zone,
            rack,
            positions: [Position::default(); 3],
        });
        self.names.insert(id.clone(), key);
        let largest = self.largest.entry(pool).or_default();
        *largest = largest.max(&total);
        self.set_status(key, Status::Healthy);
        key
    }

    /// Number of a pool, which is added if it has no workers yet.
    pub fn pool(&mut self, id: &PoolId) -> u32 {
        match self.pools.get_index_of(id) {
            Some(index) => index as u32,
            None => self.pools.insert_full(id.clone(), Vec::new()).0 as u32,
        }
    }

    /// Number of a worker.
    pub fn key(&self, id: &VmId) -> Option<Key> {
        self.names.get(id).copied()
    }

    /// A worker by number.
    pub fn worker(&self, key: Key) -> &Worker {
        &self.workers[key as usize]
    }

    /// All workers.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Pool, rack and zone of a worker.
    pub fn location(&self, key: Key) -> Location {
        let worker = &self.workers[key as usize];
        Location { pool: worker.pool, rack: worker.rack, zone: worker.zone }
    }

    /// Largest total of a pool's workers in each dimension.
    pub fn largest(&self, pool: u32) -> Size {
        self.largest.get(&pool).copied().unwrap_or_default()
    }

    /// Sets whether a worker takes new tasks.
    pub fn set_status(&mut self, key: Key, status: Status) {
        let before = std::mem::replace(&mut self.workers[key as usize].status, status);
        match (before.takes_tasks(), status.takes_tasks()) {
            (false, true) => LEVELS.iter().for_each(|level| self.insert(key, *level)),
            (true, false) => LEVELS.iter().for_each(|level| self.remove(key, *level)),
            _ => {}
        }
    }

    /// Allocates a worker's resources to a task.
    pub fn allocate(&mut self, key: Key, kind: u32, size: &Size, preemption: Preemption) {
        self.count_kind(key, kind, 1);
        self.update(key, |worker| {
            worker.held = worker.held.plus(size);
            add_preemptible(worker, size, preemption);
        });
    }

    /// Undoes [`Workers::allocate`].
    pub fn release(&mut self, key: Key, kind: u32, size: &Size, preemption: Preemption) {
        self.count_kind(key, kind, -1);
        self.update(key, |worker| {
            worker.held = worker.held.minus(size);
            remove_preemptible(worker, size, preemption);
        });
    }

    /// Changes for which tasks held resources may be preempted.
    pub fn set_preemption(&mut self, key: Key, size: &Size, from: Preemption, to: Preemption) {
        self.update(key, |worker| {
            remove_preemptible(worker, size, from);
            add_preemptible(worker, size, to);
        });
    }

    /// Changes the resources that a task holds.
    pub fn resize(&mut self, key: Key, from: &Size, to: &Size, preemption: Preemption) {
        self.update(key, |worker| {
            worker.held = worker.held.minus(from).plus(to);
            remove_preemptible(worker, from, preemption);
            add_preemptible(worker, to, preemption);
        });
    }

    /// Adds a task to a worker's list.
    pub fn attach(&mut self, key: Key, task: u32) {
        self.workers[key as usize].tasks.push(task);
    }

    /// Removes a task from a worker's list.
    pub fn detach(&mut self, key: Key, task: u32) {
        let tasks = &mut self.workers[key as usize].tasks;
        if let Some(at) = tasks.iter().position(|found| *found == task) {
            tasks.swap_remove(at);
        }
    }

    /// Finds a worker with enough room, preferably in the zone and rack with the fewest tasks of
    /// the same kind. An avoided worker is returned only if there is no other.
    pub fn find(&mut self, search: &Search, level: Level) -> Option<Key> {
        self.search(search, level, search.avoided).or_else(|| match search.avoided {
            [] => None,
            _ => self.search(search, level, &[]),
        })
    }

    fn search(&mut self, search: &Search, level: Level, avoided: &[Key]) -> Option<Key> {
        let zones = &mut self.pools[search.pool as usize];
        let kind_counts = &self.kind_counts;
        let count = |domain: u32| kind_counts.get(&(search.kind, domain)).copied().unwrap_or(0);
        let mut order: Vec<(u32, usize)> =
            zones.iter().enumerate().map(|(i, z)| (count(z.zone | ZONE_BIT), i)).collect();
        order.sort_unstable();
        let workers = &self.workers;
        let fits = |key: Key| {
            let worker = &workers[key as usize];
            worker.room(level).holds(&search.need)
                && (search.repeatable || worker.status == Status::Healthy)
                && !avoided.contains(&key)
        };
        order.iter().find_map(|(_, at)| {
            let found = zones[*at].grids[level as usize].search(&search.need, MAX_CANDIDATES, fits);
            found.into_iter().min_by_key(|key| count(workers[*key as usize].rack))
        })
    }

    /// Changes the number of tasks of a kind in a worker's zone and rack.
    fn count_kind(&mut self, key: Key, kind: u32, change: i32) {
        let worker = &self.workers[key as usize];
        for domain in [worker.rack, worker.zone | ZONE_BIT] {
            let entry = self.kind_counts.entry((kind, domain)).or_insert(0);
            *entry = entry.saturating_add_signed(change);
            if *entry == 0 {
                self.kind_counts.swap_remove(&(kind, domain));
            }
        }
    }

    /// Edits a worker, and moves it to other cells of the grids if its room has changed enough.
    fn update(&mut self, key: Key, edit: impl Fn(&mut Worker)) {
        edit(&mut self.workers[key as usize]);
        let worker = &self.workers[key as usize];
        if !worker.status.takes_tasks() {
            return;
        }
        for level in LEVELS {
            let worker = &self.workers[key as usize];
            if !Grid::same_cell(worker.positions[level as usize], &worker.room(level)) {
                self.remove(key, level);
                self.insert(key, level);
            }
        }
    }

    /// Adds a worker to the grid of a level.
    fn insert(&mut self, key: Key, level: Level) {
        let room = self.workers[key as usize].room(level);
        let position = self.zone_index(key).grids[level as usize].insert(key, &room);
        self.workers[key as usize].positions[level as usize] = position;
    }

    /// Removes a worker from the grid of a level, and updates the position of the worker that was
    /// moved in its place.
    fn remove(&mut self, key: Key, level: Level) {
        let position = self.workers[key as usize].positions[level as usize];
        if let Some(moved) = self.zone_index(key).grids[level as usize].remove(position) {
            self.workers[moved as usize].positions[level as usize] = position;
        }
    }

    fn zone_index(&mut self, key: Key) -> &mut ZoneIndex {
        let worker = &self.workers[key as usize];
        let (pool, zone) = (worker.pool as usize, worker.zone);
        let zones = &mut self.pools[pool];
        let at = zones.iter().position(|zone_index| zone_index.zone == zone).unwrap_or(0);
        &mut zones[at]
    }
}

fn add_preemptible(worker: &mut Worker, size: &Size, preemption: Preemption) {
    if preemption != Preemption::Never {
        worker.preemptible = worker.preemptible.plus(size);
    }
    if preemption == Preemption::Borrowed {
        worker.borrowed = worker.borrowed.plus(size);
    }
}

fn remove_preemptible(worker: &mut Worker, size: &Size, preemption: Preemption) {
    if preemption != Preemption::Never {
        worker.preemptible = worker.preemptible.minus(size);
    }
    if preemption == Preemption::Borrowed {
        worker.borrowed = worker.borrowed.minus(size);
    }
}
