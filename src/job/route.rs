//! Routes from callers' hosts and paths to queues.
//!
//! A lookup visits only prefixes that share their beginning with the path, so its cost does not
//! depend on the number of other queues of the host.

use {
    super::manifest::Queue,
    indexmap::IndexMap,
    std::{collections::BTreeMap, ops::Bound},
};

/// Index of queues by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Positions of queues in the manifest by prefix, for each host.
    hosts: IndexMap<String, BTreeMap<String, usize>>,
}

impl Table {
    /// Index of `queues`. Of two queues with the same host and prefix the later one counts.
    pub fn new(queues: &[Queue]) -> Self {
        let mut hosts: IndexMap<String, BTreeMap<String, usize>> = IndexMap::new();
        for (position, queue) in queues.iter().enumerate() {
            hosts.entry(queue.host.clone()).or_default().insert(queue.prefix.clone(), position);
        }
        Self { hosts }
    }

    /// Position of the queue with the longest prefix of `path` at `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = self.hosts.get(host)?;
        let mut end = path;
        loop {
            let range = (Bound::Unbounded, Bound::Included(end));
            let (prefix, position) = prefixes.range::<str, _>(range).next_back()?;
            if path.starts_with(prefix.as_str()) {
                return Some(*position);
            }
            // Any longer prefix of the path would lie between `prefix` and `end`.
            end = common_prefix(end, prefix);
        }
    }
}

fn common_prefix<'a>(one: &'a str, other: &str) -> &'a str {
    let same = one.chars().zip(other.chars()).take_while(|(a, b)| a == b);
    let length = same.map(|(a, _)| a.len_utf8()).sum();
    one.get(..length).unwrap_or_default()
}
