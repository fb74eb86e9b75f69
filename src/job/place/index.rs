//! Index of workers by free capacity.
//!
//! Workers lie in cells of a grid: a row for each number of free accelerators and each range of
//! free processors, and in a row a cell for each range of free memory. Ranges grow by a quarter of
//! a power of two. A search starts at the cell of the need and goes upwards, so it visits the
//! tightest workers first; it touches at most the rows and not the workers, whatever their number.
//! A worker in the need's own row or column may still be too small and is checked.

use crate::job::Size;

/// Worker as the index names it.
pub type Key = u32;

const STEPS_PER_DOUBLING_LOG2: u32 = 2;
const LAST_BUCKET: u64 = 63;
const MILLICORES_UNIT: u64 = 64;
const MEMORY_UNIT_BYTES: u64 = 64 << 20;
/// Workers of one cell that a search checks at most.
const MAX_PROBES: usize = 16;

/// Where a worker lies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spot {
    row: u16,
    column: u8,
    position: u32,
}

#[derive(Clone, Debug, Default)]
struct Row {
    key: u16,
    columns: u64,
    cells: Vec<Vec<Key>>,
}

impl Row {
    fn rank(&self, column: u8) -> usize {
        (self.columns & ((1 << column) - 1)).count_ones() as usize
    }
}

/// Workers by free capacity.
#[derive(Clone, Debug, Default)]
pub struct Grid {
    rows: Vec<Row>,
    turn: usize,
}

fn bucket(value: u64) -> u64 {
    if value < 1 << STEPS_PER_DOUBLING_LOG2 {
        return value;
    }
    let doublings = u64::from(value.ilog2());
    let step = (value >> (value.ilog2() - STEPS_PER_DOUBLING_LOG2)) & 3;
    (4 * (doublings - 1) + step).min(LAST_BUCKET)
}

fn row_key(size: &Size) -> u16 {
    let processors = bucket(u64::from(size.millicores) / MILLICORES_UNIT);
    ((u64::from(size.accelerators.min(255)) << 6) | processors) as u16
}

fn column(size: &Size) -> u8 {
    bucket(size.memory_bytes / MEMORY_UNIT_BYTES) as u8
}

impl Grid {
    /// Puts a worker where its free size belongs.
    pub fn insert(&mut self, worker: Key, free: &Size) -> Spot {
        let (key, column) = (row_key(free), column(free));
        let at = match self.rows.binary_search_by_key(&key, |row| row.key) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, Row { key, ..Row::default() });
                at
            }
        };
        let row = &mut self.rows[at];
        let rank = row.rank(column);
        if row.columns & (1 << column) == 0 {
            row.columns |= 1 << column;
            row.cells.insert(rank, Vec::new());
        }
        row.cells[rank].push(worker);
        Spot { row: key, column, position: (row.cells[rank].len() - 1) as u32 }
    }

    /// Takes a worker out; returns the worker that now lies at its spot, if any.
    pub fn remove(&mut self, spot: Spot) -> Option<Key> {
        let at = self.rows.binary_search_by_key(&spot.row, |row| row.key).ok()?;
        let row = &mut self.rows[at];
        let rank = row.rank(spot.column);
        let cell = &mut row.cells[rank];
        cell.swap_remove(spot.position as usize);
        let moved = cell.get(spot.position as usize).copied();
        if cell.is_empty() {
            row.cells.remove(rank);
            row.columns &= !(1 << spot.column);
        }
        if row.columns == 0 {
            self.rows.remove(at);
        }
        moved
    }

    /// Whether a worker of this free size lies where `spot` says.
    pub fn same_cell(spot: Spot, free: &Size) -> bool {
        spot.row == row_key(free) && spot.column == column(free)
    }

    /// Up to `max` workers, tightest first, for which `fits` holds.
    pub fn search(&mut self, need: &Size, max: usize, fits: impl Fn(Key) -> bool) -> Vec<Key> {
        let mut found = Vec::with_capacity(max);
        let (processors, columns) = (row_key(need) & 63, u64::MAX << column(need));
        let start = self.rows.partition_point(|row| row.key < row_key(need));
        self.turn = self.turn.wrapping_add(1);
        for row in &self.rows[start..] {
            if row.key & 63 < processors {
                continue;
            }
            let mut left = row.columns & columns;
            while left != 0 {
                let cell = &row.cells[row.rank(left.trailing_zeros() as u8)];
                probe(cell, self.turn, max, &fits, &mut found);
                if found.len() >= max {
                    return found;
                }
                left &= left - 1;
            }
        }
        found
    }
}

fn probe(cell: &[Key], turn: usize, max: usize, fits: impl Fn(Key) -> bool, found: &mut Vec<Key>) {
    for step in 0..cell.len().min(MAX_PROBES) {
        let worker = cell[(turn + step) % cell.len()];
        if fits(worker) {
            found.push(worker);
        }
        if found.len() >= max {
            return;
        }
    }
}
