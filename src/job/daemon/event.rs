//! Events that the owner's event loop handles.

use {
    super::peer::Relay,
    crate::{
        adapter::store::Error,
        job::{
            answer::Answer,
            cell::{NoAdvice, RunnerId, Tickets},
            manifest::Manifest,
            runner::{self, Registration, Report},
            spec::Task,
            upkeep::{self, Listing},
        },
    },
    std::time::Instant,
    tokio::sync::oneshot,
};

/// Input of the owner's event loop.
pub enum Event {
    /// A caller's request, and where its answer goes.
    Request(Relay, oneshot::Sender<Answer>),
    /// A runner's answer to the start of a run.
    Started(RunnerId, Task, u32, runner::Answer<u64>),
    /// A runner's answer to the stop of a run.
    Stopped(RunnerId, Task, u32, runner::Answer<u64>),
    /// A runner's answer to a poll, with the number of the last ended run that the poll
    /// acknowledged.
    Polled(RunnerId, u64, runner::Answer<Report>),
    /// The advisor's answer about a step and the runners that it was asked about.
    Advised(Task, Vec<RunnerId>, Result<Tickets, NoAdvice>),
    /// Outcome of the append in progress: the batch is stored, or a newer owner has written.
    Appended(Result<(), Error>),
    /// Registrations of runners that have changed; `None` for a runner that the store no longer
    /// lists or whose registration can't be read.
    Registrations(Vec<(String, Option<Registration>)>),
    /// A manifest that the operators have written.
    Manifest(Manifest),
    /// A read that was sent at this time has shown all of the operators' records.
    RecordsRead(Instant),
    /// A wave that the operators ask for.
    Wave(upkeep::Request),
    /// The platform's list of VMs.
    Vms(Listing),
    /// Outcome of an action on a VM.
    VmChanged(upkeep::Action, Result<(), upkeep::Refusal>),
}
