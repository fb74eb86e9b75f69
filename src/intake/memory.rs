//! Memory for callers' bodies: which incomplete body is given up when there is too little.

use {
    super::{Error, Result},
    indexmap::IndexMap,
    std::time::Instant,
};

/// Number of a body in memory.
pub type Id = u64;

/// Memory for callers' bodies.
#[derive(Clone, Debug)]
pub struct Memory {
    max_bytes: usize,
    used_bytes: usize,
    next_id: Id,
    bodies: IndexMap<Id, Body>,
}

/// A body in memory.
#[derive(Clone, Copy, Debug)]
struct Body {
    bytes: usize,
    /// Since when it has been arriving; `None` once it is whole.
    arriving_since: Option<Instant>,
}

impl Memory {
    /// Begins without bodies; they may use `max_bytes` in all.
    pub fn new(max_bytes: usize) -> Self {
        Self { max_bytes, used_bytes: 0, next_id: 0, bodies: IndexMap::new() }
    }

    /// Registers a body that begins to arrive and uses no memory yet.
    pub fn begin(&mut self, now: Instant) -> Id {
        self.next_id += 1;
        self.bodies.insert(self.next_id, Body { bytes: 0, arriving_since: Some(now) });
        self.next_id
    }

    /// Reserves memory, so that a body has `bytes` in all; returns the bodies to be given up for it. Fails
    /// if the body itself was given up, or if the memory of the other incomplete bodies is not enough.
    pub fn reserve(&mut self, id: Id, bytes: usize) -> Result<Vec<Id>> {
        let reserved = self.bodies.get(&id).ok_or(Error::Displaced)?.bytes;
        let more = bytes.saturating_sub(reserved);
        let free = self.max_bytes.saturating_sub(self.used_bytes);
        let given_up = self.choose(id, more.saturating_sub(free))?;
        given_up.iter().for_each(|&other| self.end(other));
        if let Some(body) = self.bodies.get_mut(&id) {
            body.bytes += more;
            self.used_bytes += more;
        }
        Ok(given_up)
    }

    /// Records that a body is whole. It is not given up any more.
    pub fn complete(&mut self, id: Id) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.arriving_since = None;
        }
    }

    /// Frees the memory of a body.
    pub fn end(&mut self, id: Id) {
        if let Some(body) = self.bodies.swap_remove(&id) {
            self.used_bytes -= body.bytes;
        }
    }

    /// Memory in use, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Chooses incomplete bodies other than `id` that use `bytes`, those that have been arriving for longest
    /// first.
    fn choose(&self, id: Id, bytes: usize) -> Result<Vec<Id>> {
        if bytes == 0 {
            return Ok(Vec::new());
        }
        let arriving = self.bodies.iter().filter(|(other, body)| **other != id && body.bytes > 0);
        let arriving = arriving.filter_map(|(&other, body)| Some((body.arriving_since?, other)));
        let mut arriving: Vec<_> = arriving.collect();
        arriving.sort_unstable();
        let (mut chosen, mut freed) = (Vec::new(), 0);
        for (_, other) in arriving {
            if freed >= bytes {
                break;
            }
            freed += self.bodies[&other].bytes;
            chosen.push(other);
        }
        if freed >= bytes { Ok(chosen) } else { Err(Error::Memory(self.max_bytes)) }
    }
}
