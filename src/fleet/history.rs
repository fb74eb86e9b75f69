//! What operators asked for and what became of it, for the audit trail.
//!
//! The newest events are kept in the state, so that every entry answers the same; older ones are in
//! the log, under the offsets that the events name.

use {
    crate::{
        id::{Offset, OperationId},
        record::{Body, Record},
        verdict::Verdict,
    },
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
};

/// Events kept in the state.
pub const MAX_EVENTS: usize = 4096;

/// A call of an operator or an action of the system on a VM or a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Offset of the record.
    pub offset: Offset,
    /// When it was written, since the Unix epoch.
    pub at: Duration,
    /// Who asked.
    pub author: String,
    /// Name of the call.
    pub operation: OperationId,
    /// What was asked, in a few words.
    pub summary: String,
    /// What became of it.
    pub verdict: Verdict,
}

/// The newest events, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trail {
    /// Events.
    pub events: VecDeque<Event>,
}

impl Trail {
    /// Keeps the record, if it is one that operators want to see.
    pub(crate) fn keep(&mut self, offset: Offset, record: &Record, verdict: &Verdict) {
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

/// What a record asks, in a few words; none for the system's frequent own records.
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
