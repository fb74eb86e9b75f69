//! Audit trail: operators' calls and the system's own actions, with their verdicts.
//!
//! The newest events are part of the state, so every entry reports the same ones. Older events are
//! found only in the platform's log, at their offsets.

use {
    crate::{
        id::{Offset, OperationId},
        record::{Body, Record},
        verdict::Verdict,
    },
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
};

/// Maximum number of events kept in the state.
pub const MAX_EVENTS: usize = 4096;

/// A call of an operator, or an action of the system on an entry, a VM or a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Offset of the record.
    pub offset: Offset,
    /// Time of the record, since the Unix epoch.
    pub at: Duration,
    /// Operator or entry that wrote the record.
    pub author: String,
    /// Operation id of the call.
    pub operation: OperationId,
    /// Short description of the requested change. Part of the stored state, so rewording it would
    /// make entries of different versions disagree.
    pub summary: String,
    /// Verdict of the state machine.
    pub verdict: Verdict,
}

/// The newest events of the audit trail.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trail {
    /// Events, oldest first; at most [`MAX_EVENTS`].
    pub events: VecDeque<Event>,
}

impl Trail {
    /// Adds an event for the record, unless it is one of the system's frequent own records.
    pub(crate) fn record(&mut self, offset: Offset, record: &Record, verdict: &Verdict) {
        let Some(summary) = summary(&record.body) else { return };
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            offset,
            at: record.at,
            author: record.author.clone(),
            operation: record.operation.clone(),
            summary,
            verdict: verdict.clone(),
        });
    }
}

/// Short description of a requested change; `None` for the system's frequent own records.
fn summary(body: &Body) -> Option<String> {
    match body {
        Body::Declare { .. } => Some("declare".into()),
        Body::Change { changes } => Some(match changes.as_slice() {
            [one] => format!("change {}", one.object()),
            many => format!("change {} objects", many.len()),
        }),
        Body::Join { entry } => Some(format!("join {}", entry.id)),
        Body::Gone { entry, .. } => Some(format!("gone {entry}")),
        Body::Drain { vm } => Some(format!("drain {vm}")),
        Body::Return { vm } => Some(format!("return {vm}")),
        Body::Moved { vm, .. } => Some(format!("moved {vm}")),
        Body::Health { lost, found, .. } => {
            Some(format!("health: {} lost, {} found", lost.len(), found.len()))
        }
        Body::Begin { wave } => Some(format!("begin wave {wave}")),
        Body::Pause { wave, .. } => Some(format!("pause wave {wave}")),
        Body::Resume { wave } => Some(format!("resume wave {wave}")),
        Body::Cancel { wave } => Some(format!("cancel wave {wave}")),
        Body::Fenced { body, .. } => summary(body),
        Body::Step { .. }
        | Body::Emptied { .. }
        | Body::Acquire { .. }
        | Body::Renew { .. }
        | Body::Release { .. } => None,
    }
}
