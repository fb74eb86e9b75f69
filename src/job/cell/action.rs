//! What the owner's process is to do for the cell.

use {
    super::{RequestId, RunnerId},
    crate::job::{
        answer::Answer,
        runner::{Poll, Start},
        spec::Task,
        upkeep,
    },
};

/// Call or answer that the owner's process sends for the cell.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answers a caller.
    Answer(RequestId, Answer),
    /// Starts a run of a task.
    Start(RunnerId, Start),
    /// Stops a run.
    Stop(RunnerId, Task, u32),
    /// Sets the CPU share of a run, in percent.
    Pace(RunnerId, Task, u32, u32),
    /// Polls a runner: renews its lease, and asks which tasks run and which have ended.
    Poll(RunnerId, Poll),
    /// Asks the advisor which of these runners may run a step. The step is named by its first task.
    AskAdvisor(Task, Vec<RunnerId>),
    /// Has the platform act on a VM.
    ChangeVm(upkeep::Action),
    /// Publishes whether a maintenance wave is complete.
    ReportWave(upkeep::Number, bool),
}

impl Action {
    /// Label under which metrics count the action.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answer(..) => "answer",
            Self::Start(..) => "start",
            Self::Stop(..) => "stop",
            Self::Pace(..) => "pace",
            Self::Poll(..) => "look",
            Self::AskAdvisor(..) => "advise",
            Self::ChangeVm(_) => "vm",
            Self::ReportWave(..) => "report",
        }
    }
}
