//! Index of workers by free capacity, for best-fit searches.
//!
//! The index is a sparse grid of cells. A row holds the workers with the same number of free
//! accelerators and the same bucket of free processors; a cell of the row holds those with the same
//! bucket of free memory. There are four buckets to a doubling. A search starts at the cell of the
//! requested size and goes upwards, so that it visits the tightest workers first. It visits rows
//! and a bounded number of workers in each cell, so that its cost doesn't grow with the number of
//! workers. A worker in the row or column of the requested size may still be too small, so each
//! candidate is checked.

use crate::job::Size;

/// Number of a worker in the index.
pub type Key = u32;

/// Binary logarithm of the number of buckets in which a value doubles.
const STEPS_PER_DOUBLING_LOG2: u32 = 2;
/// Last bucket, which all larger values share. A column is a bit of a `u64`, and a row's key has 6
/// bits for its bucket.
const LAST_BUCKET: u64 = 63;
/// Unit of free processors, in thousandths of a core; buckets count in units.
const MILLICORES_UNIT: u64 = 64;
/// Unit of free memory.
const MEMORY_UNIT_BYTES: u64 = 64 << 20;
/// Maximum number of workers of one cell that a search checks.
const MAX_CHECKED_PER_CELL: usize = 16;

/// Position of a worker in the grid; [`Grid::remove`] needs it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    row: u16,
    column: u8,
    index: u32,
}

/// Row of the grid. Only cells with workers are stored; the set bits of `columns` are their
/// columns.
#[derive(Clone, Debug, Default)]
struct Row {
    key: u16,
    columns: u64,
    cells: Vec<Vec<Key>>,
}

impl Row {
    /// Index of a column's cell in `cells`.
    fn rank(&self, column: u8) -> usize {
        (self.columns & ((1 << column) - 1)).count_ones() as usize
    }
}

/// Grid of workers by free capacity.
#[derive(Clone, Debug, Default)]
pub struct Grid {
    rows: Vec<Row>,
    /// Rises with each search, so that searches begin at different workers of a cell.
    rotation: usize,
}

/// Bucket of a value.
fn bucket(value: u64) -> u64 {
    if value < 1 << STEPS_PER_DOUBLING_LOG2 {
        return value;
    }
    let doublings = u64::from(value.ilog2());
    let step = (value >> (value.ilog2() - STEPS_PER_DOUBLING_LOG2)) & 3;
    (4 * (doublings - 1) + step).min(LAST_BUCKET)
}

/// Key of a row: the accelerators above the bucket of the processors.
fn row_key(size: &Size) -> u16 {
    let processors = bucket(u64::from(size.millicores) / MILLICORES_UNIT);
    ((u64::from(size.accelerators.min(255)) << 6) | processors) as u16
}

fn column(size: &Size) -> u8 {
    bucket(size.memory_bytes / MEMORY_UNIT_BYTES) as u8
}

impl Grid {
    /// Adds a worker with `free` capacity and returns its position.
    pub fn insert(&mut self, worker: Key, free: &Size) -> Position {
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
        Position { row: key, column, index: (row.cells[rank].len() - 1) as u32 }
    }

    /// Removes the worker at a position; returns the worker that was moved there, if any.
    pub fn remove(&mut self, position: Position) -> Option<Key> {
        let at = self.rows.binary_search_by_key(&position.row, |row| row.key).ok()?;
        let row = &mut self.rows[at];
        let rank = row.rank(position.column);
        let cell = &mut row.cells[rank];
        cell.swap_remove(position.index as usize);
        let moved = cell.get(position.index as usize).copied();
        if cell.is_empty() {
            row.cells.remove(rank);
            row.columns &= !(1 << position.column);
        }
        if row.columns == 0 {
            self.rows.remove(at);
        }
        moved
    }

    /// Whether a worker with `free` capacity belongs to the cell of `position`.
    pub fn same_cell(position: Position, free: &Size) -> bool {
        position.row == row_key(free) && position.column == column(free)
    }

    /// Up to `max` workers that satisfy `fits`, those with the least free capacity first.
    pub fn search(&mut self, need: &Size, max: usize, fits: impl Fn(Key) -> bool) -> Vec<Key> {
        let mut found = Vec::with_capacity(max);
        let (processors, columns) = (row_key(need) & 63, u64::MAX << column(need));
        let start = self.rows.partition_point(|row| row.key < row_key(need));
        self.rotation = self.rotation.wrapping_add(1);
        for row in &self.rows[start..] {
            if row.key & 63 < processors {
                continue;
            }
            let mut left = row.columns & columns;
            while left != 0 {
                let cell = &row.cells[row.rank(left.trailing_zeros() as u8)];
                collect(cell, self.rotation, max, &fits, &mut found);
                if found.len() >= max {
                    return found;
                }
                left &= left - 1;
            }
        }
        found
    }
}

/// Adds the workers of a cell that satisfy `fits` to `found`, up to `max`.
fn collect(
    cell: &[Key],
    rotation: usize,
    max: usize,
    fits: impl Fn(Key) -> bool,
    found: &mut Vec<Key>,
) {
    for step in 0..cell.len().min(MAX_CHECKED_PER_CELL) {
        let worker = cell[(rotation + step) % cell.len()];
        if fits(worker) {
            found.push(worker);
        }
        if found.len() >= max {
            return;
        }
    }
}
