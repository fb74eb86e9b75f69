//! Admission: whether a caller may use a queue, and whether a job that it submits is accepted.
//!
//! The owner admits every call, so all entries answer by the same manifest. A key that a newer
//! manifest withdraws is refused as soon as the owner has read it; a key that it adds is admitted
//! once the ledger has stored that manifest, so that it stays valid after a takeover. While the
//! operators' records can't be read, a key that is not known may have been added meanwhile, so its
//! caller is asked to come back instead of being turned away for good.

use {
    super::{Cell, RequestId},
    crate::job::{
        access::{Key, Name, Verdict},
        answer::Answer,
        manifest::Queue,
        spec::{self, Spec},
    },
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Age of the last read of the operators' records up to which it shows all keys. Reads follow one
/// another and wait for less than that.
const RECORDS_VALIDITY: Duration = Duration::from_secs(2);

/// A job that a caller submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Request, by which it is answered.
    pub request: RequestId,
    /// Queue.
    pub queue: Rc<str>,
    /// Organisation that the caller belongs to, if its queue is not open to everyone.
    pub organisation: Option<Name>,
    /// Name of the job.
    pub id: spec::Id,
    /// Job.
    pub spec: Spec,
    /// Time of day, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

impl Cell {
    /// Records that a read which was sent at `sent` has shown all of the operators' records.
    pub fn records_read(&mut self, sent: Instant) {
        self.records_read_at = self.records_read_at.max(Some(sent));
    }

    /// Queue that serves a host and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.manifest.queues.get(self.routes.find(host, path)?)
    }

    /// Whether a newer manifest, which the ledger has not stored yet, has a queue for a host and path.
    pub fn will_route(&self, host: &str, path: &str) -> bool {
        self.next_access.as_ref().is_some_and(|(routes, _)| routes.find(host, path).is_some())
    }

    /// Decides whether a caller with this key may use a queue; returns its organisation, or the
    /// answer that it gets instead.
    pub fn admit(
        &self,
        now: Instant,
        queue: &str,
        key: Option<&Key>,
    ) -> Result<Option<Name>, Answer> {
        let age = self.records_read_at.map(|at| now.saturating_duration_since(at));
        let older_than = |most: Duration| age.is_none_or(|age| age > most);
        let later = |why: &str| Err(Answer::refused(why, age.unwrap_or_default()));
        let next = self.next_access.as_ref().map(|(_, gate)| gate.admit(queue, key));
        match (self.gate.admit(queue, key), next) {
            (_, Some(Verdict::UnknownKey)) => Err(Answer::UnknownKey),
            (Verdict::UnknownKey, Some(Verdict::Admitted(_))) => {
                later("the key is not in force yet")
            }
            (Verdict::UnknownKey, None) if older_than(RECORDS_VALIDITY) => {
                later("the key may be too new to be known")
            }
            (Verdict::UnknownKey, None) => Err(Answer::UnknownKey),
            (Verdict::Admitted(Some(_)), _) if self.bounds.key_validity.is_some_and(older_than) => {
                later("whether the key was withdrawn can't be known")
            }
            (Verdict::Admitted(name), _) => Ok(name),
        }
    }
}
