//! Order in which waiting jobs are placed.
//!
//! This answers the load of more jobs than there is room for: those that can still be in time come
//! before late ones, and organisations that have their share give way to the others.

use {
    super::{job::Job, occurrence::Occurrence, overload},
    std::{cmp::Reverse, time::Instant},
};

/// Precedence of an occurrence in placement: the lowest is placed first. The fields are compared in
/// this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Whether the job is not endless.
    pub(super) finite: bool,
    /// Whether the occurrence can no longer complete in time, or is beyond the rate of its
    /// organisation.
    pub(super) late: bool,
    /// Whether its result will be of no use any more; only told apart under shedding of load.
    useless: bool,
    /// Priority of the queue.
    priority: u32,
    /// Whether a task of the job has started.
    pub(super) started: Reverse<bool>,
    /// Whether the organisation has more than its share of what runs.
    over_share: bool,
    /// When the occurrence is due.
    due: Instant,
}

impl Rank {
    pub(super) fn of(
        job: &Job,
        occurrence: &Occurrence,
        now: Instant,
        over_share: bool,
        sheds_load: bool,
    ) -> Self {
        let endless = job.spec.endless();
        let useless = sheds_load && overload::is_useless(job, occurrence.remaining, now);
        Self {
            finite: !endless,
            late: !endless && (!job.within_rate || occurrence.is_late(now)),
            useless: !endless && useless,
            over_share,
            priority: job.priority,
            due: occurrence.due,
            started: Reverse(job.started),
        }
    }
}
