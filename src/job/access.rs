//! Access of organisations to queues: their keys, and how much each may submit and run.
//!
//! A manifest that names organisations closes its queues: a caller has to send a key of one of them,
//! except on queues that are open to everyone. Of a key only its SHA-256 digest is kept, stored and
//! passed on, so neither a log line nor the ledger nor a dump of memory contains a key, and comparing
//! digests does not show how much of a guessed key is right. A job belongs to the organisation that
//! submitted it; to others it does not exist.

use {
    displaydoc::Display,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{fmt, rc::Rc},
};

/// Name of an organisation.
pub type Name = Rc<str>;

/// Result of checking the organisations of a manifest.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the organisations of a manifest can't be put into force.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// organisation {0}: the name occurs twice or is empty
    Name(String),
    /// organisation {0}: key {1} is named twice
    RepeatedKey(String, Key),
    /// organisations {0} and {1}: both have key {2}
    SharedKey(String, String, Key),
    /// organisation {0}: {1} is {2}, must be a number from 0 to {3}
    Number(String, &'static str, String, u64),
}

impl std::error::Error for Error {}

/// Digest of a key. It is shown by its first digits only.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Key([u8; 32]);

impl Key {
    /// Digest of a key as a caller sends it.
    pub fn new(text: &str) -> Self {
        Self(Sha256::digest(text.as_bytes()).into())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second, third, ..] = self.0;
        write!(f, "{first:02x}{second:02x}{third:02x}")
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({self})")
    }
}

/// An organisation that may submit jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Digests of its keys; several are valid during a rotation.
    pub keys: Vec<Key>,
    /// Jobs a second that it is owed, and its share when all is full.
    pub weight: f64,
    /// What it may have running at once.
    pub limit: Limit,
}

/// Upper limit of the resources that run at once; `None` means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Thousandths of a core.
    pub millicores: Option<u64>,
    /// Memory in MiB.
    pub memory_mib: Option<u64>,
    /// Accelerators.
    pub accelerators: Option<u64>,
}

/// Organisations of a manifest, and the queues that need no key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Access {
    /// Organisations by name.
    pub organisations: IndexMap<String, Organisation>,
    /// Names of the queues that are open to everyone.
    pub open_queues: IndexSet<String>,
}

/// Verdict on a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// May call; its jobs belong to this organisation, if any.
    Admitted(Option<Name>),
    /// Its key is missing or unknown.
    UnknownKey,
}

/// Index of the keys of a manifest: a lookup costs the same with any number of keys.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    /// Organisation of each key; `None` if no key is needed.
    owners: Option<IndexMap<Key, Name>>,
    open_queues: IndexSet<String>,
}

impl Access {
    /// Checks that every key belongs to exactly one organisation.
    pub fn check(&self) -> Result<()> {
        let mut owners: IndexMap<Key, &str> = IndexMap::new();
        for (name, organisation) in &self.organisations {
            for key in &organisation.keys {
                match owners.insert(*key, name) {
                    None => {}
                    Some(other) if other == name => {
                        return Err(Error::RepeatedKey(name.clone(), *key));
                    }
                    Some(other) => {
                        return Err(Error::SharedKey(String::from(other), name.clone(), *key));
                    }
                }
            }
        }
        Ok(())
    }
}

impl Gate {
    /// Index of the keys of `access`. Without it every caller is admitted without a key.
    pub fn new(access: Option<&Access>) -> Self {
        let Some(access) = access else { return Self::default() };
        let mut owners = IndexMap::new();
        for (name, organisation) in &access.organisations {
            let name: Name = Rc::from(name.as_str());
            owners.extend(organisation.keys.iter().map(|key| (*key, Rc::clone(&name))));
        }
        Self { owners: Some(owners), open_queues: access.open_queues.clone() }
    }

    /// Decides whether a caller with this key may use a queue. A key sent to an open queue is not
    /// looked at.
    pub fn admit(&self, queue: &str, key: Option<&Key>) -> Verdict {
        let Some(owners) = &self.owners else { return Verdict::Admitted(None) };
        if self.open_queues.contains(queue) {
            return Verdict::Admitted(None);
        }
        match key.and_then(|key| owners.get(key)) {
            Some(name) => Verdict::Admitted(Some(Rc::clone(name))),
            None => Verdict::UnknownKey,
        }
    }
}
