//! Calls to runners, each in a task of its own.

use {
    super::{
        channel::{self, Channel},
        event::Event,
        limit::Limit,
        meter::Meter,
    },
    crate::{
        adapter,
        job::{
            call::{Call, Reply},
            cell::Action,
            runner::{Answer, Fence, Rejection},
        },
    },
    indexmap::IndexMap,
    log::warn,
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc::UnboundedSender, task::JoinSet},
};

/// Bounds of the time for a runner's answer, beside the time for which it is asked to wait.
const ANSWER: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(700));
/// Most calls to one runner at once.
const CALLS: usize = 6;

/// Runners that the owner calls.
pub struct Runners {
    fence: Fence,
    tools: Rc<Tools>,
    channels: IndexMap<SocketAddr, Rc<Channel>>,
}

/// What all calls to runners share.
struct Tools {
    meter: Rc<Meter>,
    limit: Limit,
}

impl Runners {
    /// No connections yet.
    pub fn new(fence: Fence, meter: Rc<Meter>) -> Self {
        let tools = Rc::new(Tools { meter, limit: Limit::new(ANSWER.0, ANSWER.1) });
        Self { fence, tools, channels: IndexMap::new() }
    }

    /// Calls the runner at `address`; its answer becomes an event.
    pub fn carry_out(
        &mut self,
        tasks: &mut JoinSet<()>,
        events: &UnboundedSender<Event>,
        address: SocketAddr,
        action: Action,
    ) {
        let fence = self.fence;
        let new = || Rc::new(Channel::new(address, CALLS));
        let channel = Rc::clone(self.channels.entry(address).or_insert_with(new));
        let (tools, events) = (Rc::clone(&self.tools), events.clone());
        tasks.spawn_local(async move {
            let Some(event) = call(&channel, &tools, fence, action).await else { return };
            if events.send(event).is_err() {
                log::debug!("runner: an answer came after the cell was lost");
            }
        });
    }
}

/// Carries out an action; its answer, if the owner waits for one.
async fn call(channel: &Channel, tools: &Tools, fence: Fence, action: Action) -> Option<Event> {
    match action {
        Action::Start(id, start) => {
            let call = adapter::runner::start(&id, &start);
            let answer = order(channel, tools, "start", call).await;
            Some(Event::Started(id, start.task, start.run, answer))
        }
        Action::Stop(id, task, run) => {
            let call = adapter::runner::stop(&id, task, run, fence);
            let answer = order(channel, tools, "stop", call).await;
            Some(Event::Stopped(id, task, run, answer))
        }
        Action::Poll(id, hold) => {
            let call = adapter::runner::hold(&id, &hold);
            let answer = match send(channel, tools, "hold", call, hold.wait).await {
                Ok(reply) => adapter::runner::report(&reply),
                Err(e) => Answer::Unknown(e.to_string()),
            };
            Some(Event::Looked(id, hold.acknowledged, answer))
        }
        Action::Pace(id, task, run, percent) => {
            let call = adapter::runner::pace(&id, task, run, percent, fence);
            let answer = order(channel, tools, "pace", call).await;
            log::debug!("pace: task={task} percent={percent} answer={answer:?}");
            None
        }
        Action::Answer(..)
        | Action::AskAdvisor(..)
        | Action::ChangeVm(_)
        | Action::ReportWave(..) => None,
    }
}

async fn order(channel: &Channel, tools: &Tools, name: &str, call: Call) -> Answer<u64> {
    match send(channel, tools, name, call, Duration::ZERO).await {
        Ok(reply) => adapter::runner::order(&reply),
        Err(e) if e.not_sent() => Answer::Rejected(Rejection::Unhealthy),
        Err(e) => Answer::Unknown(e.to_string()),
    }
}

/// Sends a call that the runner answers after `wait`, or sooner.
async fn send(
    channel: &Channel,
    tools: &Tools,
    name: &str,
    call: Call,
    wait: Duration,
) -> channel::Result<Reply> {
    let begun = Instant::now();
    let limit = tools.limit.get();
    let outcome = channel.call(call, wait + limit).await;
    if wait.is_zero() {
        tools.limit.note(begun, limit, outcome.is_ok());
    }
    let label = match &outcome {
        Ok(reply) => reply.status.to_string(),
        Err(e) => {
            warn!("runner: {name}: {e}");
            String::from("none")
        }
    };
    tools.meter.called(name, &label, begun.elapsed());
    outcome
}
