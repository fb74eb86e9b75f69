//! What the owner's loop hears of.

use {
    super::peer::Ask,
    crate::{
        adapter::store::Error,
        job::{
            answer::Answer,
            cell::{RunnerId, Tickets},
            manifest::Manifest,
            runner::{self, Registration, Report},
            spec::Task,
            upkeep::{self, Vm},
        },
    },
    tokio::sync::oneshot,
};

/// What the owner hears of.
pub enum Event {
    /// A caller's request.
    Ask(Ask, oneshot::Sender<Answer>),
    /// A runner's answer to a start.
    Started(RunnerId, Task, u32, runner::Answer<u64>),
    /// A runner's answer to a stop.
    Stopped(RunnerId, Task, u32, runner::Answer<u64>),
    /// A runner's answer to a look, with the last end it was told to forget.
    Looked(RunnerId, u64, runner::Answer<Report>),
    /// The advisor's answer about a step and the runners that it was asked about.
    Advised(Task, Vec<RunnerId>, Result<Tickets, String>),
    /// The batch on its way is stored, or a newer owner has written.
    Appended(Result<(), Error>),
    /// Runners that the store lists, or no longer.
    Listed(Vec<(String, Option<Registration>)>),
    /// The operators' manifest.
    Manifest(Manifest),
    /// A wave that the operators ask for.
    Wave(upkeep::Request),
    /// The platform's list of VMs.
    Vms(Vec<Vm>),
    /// What came of an action on a VM.
    Acted(upkeep::Action, Result<(), upkeep::Refusal>),
}
