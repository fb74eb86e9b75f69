//! Division of records that are larger than the store accepts.
//!
//! A large record is stored in parts under keys of their own, and an index of the parts under its own
//! key. The parts come before the index, and those of the former index are removed after it, so the
//! newest index always has all of its parts for a reader that has fenced off the writer, even if only the
//! first of several appends was stored. Parts of different generations have different keys. Smaller
//! records are stored as they are.
//!
//! A [`Divider`] takes what it divides for stored: a writer whose append fails ends its ownership.

use {
    super::Record,
    bincode::{config, serde as encoding},
    displaydoc::Display,
    indexmap::IndexMap,
    log::error,
    serde::{Deserialize, Serialize},
};

/// First byte of an index. No record begins with it, as the encoding of records does not use it.
const MARK: u8 = 0xff;
/// Character in the keys of parts that is in no other key.
const SEPARATOR: char = '~';
/// Largest value of a part in bytes, so that a part is stored soon also over a slow link.
const MAX_PART_BYTES: usize = 64 << 10;
/// Bytes by which the value of a part is smaller than the limit at least, for its key.
const KEY_BYTES: usize = 64;

/// Result of joining the parts of a record.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the parts of a record can't be joined.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the index of record {0} can't be decoded
    Index(String),
    /// part {0} is missing
    Part(String),
}

impl std::error::Error for Error {}

/// Index of the parts of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Index {
    /// Number that is higher than those of all former indices of the record.
    generation: u32,
    /// Number of parts.
    parts: u32,
}

impl Index {
    /// Keys of the parts of the record `key`.
    fn keys(self, key: &str) -> impl Iterator<Item = String> {
        let key = String::from(key);
        let generation = self.generation;
        (0..self.parts).map(move |part| format!("{key}{SEPARATOR}{generation}{SEPARATOR}{part}"))
    }

    fn encode(self) -> Option<Vec<u8>> {
        let encoded = encoding::encode_to_vec(self, config::standard()).ok()?;
        Some([vec![MARK], encoded].concat())
    }

    /// Decodes a value; `None` if it is no index.
    fn decode(key: &str, value: &[u8]) -> Option<Result<Self>> {
        let encoded = value.strip_prefix(&[MARK])?;
        let decoded = encoding::decode_from_slice(encoded, config::standard());
        Some(decoded.map(|(index, _)| index).map_err(|_| Error::Index(String::from(key))))
    }
}

/// Divides records that are to be stored, and joins those that were read. It knows which parts the ledger
/// holds.
#[derive(Clone, Debug)]
pub struct Divider {
    /// Largest record in bytes, with its key.
    max_bytes: usize,
    /// Newest index of each record that is stored in parts.
    stored: IndexMap<String, Index>,
    /// Keys of parts that belong to no index.
    unused: Vec<String>,
    /// Highest generation in use.
    generation: u32,
}

impl Divider {
    /// Divider for an empty ledger that accepts records of up to `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        let max_bytes = max_bytes.max(2 * KEY_BYTES);
        Self { max_bytes, stored: IndexMap::new(), unused: Vec::new(), generation: 0 }
    }

    /// Returns what has to be stored for `records`, in order: the same records, with large ones in parts,
    /// and removals of parts that are not used any more.
    pub fn divide(&mut self, records: Vec<Record>) -> Vec<Record> {
        let mut divided = Vec::with_capacity(records.len());
        for record in records {
            let former = self.stored.swap_remove(&record.key);
            let key = record.key.clone();
            if record.stored_bytes() > self.max_bytes {
                self.push_parts(&mut divided, record);
            } else {
                divided.push(record);
            }
            divided.extend(former.iter().flat_map(|index| index.keys(&key)).map(removal));
        }
        divided.extend(self.unused.drain(..).map(removal));
        divided
    }

    /// Adds the parts of a large record and their index.
    fn push_parts(&mut self, divided: &mut Vec<Record>, record: Record) {
        let Record { key, value } = record;
        let parts = value.chunks((self.max_bytes - KEY_BYTES).min(MAX_PART_BYTES));
        self.generation += 1;
        let index = Index { generation: self.generation, parts: parts.len() as u32 };
        let Some(encoded) = index.encode() else {
            return error!("ledger: encode the index of record {key}");
        };
        let stored = index.keys(&key).zip(parts);
        divided.extend(stored.map(|(key, part)| Record { key, value: part.to_vec() }));
        divided.push(Record { key: key.clone(), value: encoded });
        self.stored.insert(key, index);
    }

    /// Joins the records that were read from the ledger, and notes which parts it holds. A record that can't
    /// be joined is logged and left out.
    pub fn join(&mut self, records: Vec<Record>) -> Vec<Record> {
        let is_part = |record: &Record| record.key.contains(SEPARATOR);
        let (parts, whole): (Vec<Record>, Vec<Record>) = records.into_iter().partition(is_part);
        let mut parts = by_key(parts);
        self.generation = parts.keys().filter_map(|key| generation(key)).max().unwrap_or_default();
        let mut joined = Vec::with_capacity(whole.len());
        for (key, value) in by_key(whole) {
            match self.join_parts(&key, value, &mut parts) {
                Ok(value) => joined.push(Record { key, value }),
                Err(e) => error!("ledger: {e}"),
            }
        }
        self.unused = parts.into_keys().collect();
        joined
    }

    /// Returns the content of a record: its value, or what the parts hold that the value is the index of.
    /// These are taken from `parts` if none is missing.
    fn join_parts(
        &mut self,
        key: &str,
        value: Vec<u8>,
        parts: &mut IndexMap<String, Vec<u8>>,
    ) -> Result<Vec<u8>> {
        let Some(index) = Index::decode(key, &value) else { return Ok(value) };
        let index = index?;
        let mut content = Vec::new();
        for part in index.keys(key) {
            content.extend(parts.get(&part).ok_or(Error::Part(part))?);
        }
        for part in index.keys(key) {
            parts.swap_remove(&part);
        }
        self.stored.insert(String::from(key), index);
        Ok(content)
    }
}

/// Values by key. Pages of the store may repeat a record.
fn by_key(records: Vec<Record>) -> IndexMap<String, Vec<u8>> {
    records.into_iter().map(|record| (record.key, record.value)).collect()
}

/// Generation in the key of a part.
fn generation(key: &str) -> Option<u32> {
    key.split(SEPARATOR).nth(1)?.parse().ok()
}

/// Record that removes a key.
fn removal(key: String) -> Record {
    Record { key, value: Vec::new() }
}
