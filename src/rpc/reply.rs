//! Maps the state to the messages of the schema.

use {
    super::{EntryStatus, Health, proto},
    crate::{
        id::{Offset, VmId},
        state::{Drain, State, Verdict},
    },
};

/// Most changes in one answer.
const MAX_CHANGES: usize = 1_000;

pub(super) fn outcome(offset: Offset, verdict: &Verdict) -> proto::Outcome {
    proto::Outcome { offset, accepted: *verdict == Verdict::Accepted, reason: reason(verdict) }
}

fn reason(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted => String::new(),
        Verdict::Rejected(reason) => reason.to_string(),
    }
}

pub(super) fn status(state: &State, entries: Vec<EntryStatus>) -> proto::StatusReply {
    proto::StatusReply {
        version: state.version,
        next: state.next,
        entries: entries.into_iter().map(entry).collect(),
        drains: state.drains.iter().map(drain).collect(),
        moves: Vec::new(),
        waves: Vec::new(),
    }
}

fn entry(status: EntryStatus) -> proto::Entry {
    let health = match status.health {
        Health::Ready => proto::Health::Ready,
        Health::Suspected => proto::Health::Suspected,
        Health::Gone => proto::Health::Gone,
    };
    proto::Entry {
        id: status.id,
        zone: status.zone,
        incarnation: status.incarnation,
        version: status.version,
        next: status.next,
        age_millis: u64::try_from(status.age.as_millis()).unwrap_or(u64::MAX),
        health: health.into(),
    }
}

fn drain((vm, drain): (&VmId, &Drain)) -> proto::Drain {
    proto::Drain { vm: vm.clone(), since: drain.since, waiting: drain.waiting.clone() }
}

pub(super) fn history(state: &State, request: &proto::HistoryRequest) -> proto::HistoryReply {
    let max = match usize::try_from(request.max).unwrap_or(MAX_CHANGES) {
        0 => MAX_CHANGES,
        max => max.min(MAX_CHANGES),
    };
    let changes =
        state.verdicts.iter().filter(|(_, (offset, _))| *offset >= request.from).take(max);
    let changes = changes.map(|(operation, (offset, verdict))| proto::Change {
        offset: *offset,
        operation: operation.clone(),
        accepted: *verdict == Verdict::Accepted,
        reason: reason(verdict),
        ..Default::default()
    });
    proto::HistoryReply { changes: changes.collect() }
}
