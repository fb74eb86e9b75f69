//! Calls to runners, each in a task of its own.

use {
    super::{
        channel::{self, Channel},
        event::Event,
        meter::Meter,
    },
    crate::{
        adapter,
        job::{
            call::{Call, Reply},
            cell::Action,
            runner::{Answer, Fence, Reason},
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

/// Time for a runner's answer beside the time for which it is asked to wait.
const ANSWER: Duration = Duration::from_millis(700);
/// Most calls to one runner at once.
const CALLS: usize = 6;

/// Runners that the owner calls.
pub struct Runners {
    fence: Fence,
    meter: Rc<Meter>,
    channels: IndexMap<SocketAddr, Rc<Channel>>,
}

impl Runners {
    /// No connections yet.
    pub fn new(fence: Fence, meter: Rc<Meter>) -> Self {
        Self { fence, meter, channels: IndexMap::new() }
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
        let (meter, events) = (Rc::clone(&self.meter), events.clone());
        tasks.spawn_local(async move {
            let Some(event) = call(&channel, &meter, fence, action).await else { return };
            if events.send(event).is_err() {
                log::debug!("runner: an answer came after the cell was lost");
            }
        });
    }
}

/// Carries out an action; its answer, if the owner waits for one.
async fn call(channel: &Channel, meter: &Meter, fence: Fence, action: Action) -> Option<Event> {
    match action {
        Action::Start(id, start) => {
            let call = adapter::runner::start(&id, &start);
            let answer = order(channel, meter, "start", call).await;
            Some(Event::Started(id, start.task, start.run, answer))
        }
        Action::Stop(id, task, run) => {
            let call = adapter::runner::stop(&id, task, run, fence);
            let answer = order(channel, meter, "stop", call).await;
            Some(Event::Stopped(id, task, run, answer))
        }
        Action::Look(id, hold) => {
            let call = adapter::runner::hold(&id, &hold);
            let answer = match send(channel, meter, "hold", call, hold.wait + ANSWER).await {
                Ok(reply) => adapter::runner::report(&reply),
                Err(e) => Answer::Unknown(e.to_string()),
            };
            Some(Event::Looked(id, hold.seen, answer))
        }
        Action::Pace(id, task, run, percent) => {
            let call = adapter::runner::pace(&id, task, run, percent, fence);
            let answer = order(channel, meter, "pace", call).await;
            log::debug!("pace: task={task} percent={percent} answer={answer:?}");
            None
        }
        Action::Answer(..) | Action::Vm(_) | Action::Report(..) => None,
    }
}

async fn order(channel: &Channel, meter: &Meter, name: &str, call: Call) -> Answer<u64> {
    match send(channel, meter, name, call, ANSWER).await {
        Ok(reply) => adapter::runner::order(&reply),
        Err(e) if e.not_sent() => Answer::Rejected(Reason::Unhealthy),
        Err(e) => Answer::Unknown(e.to_string()),
    }
}

async fn send(
    channel: &Channel,
    meter: &Meter,
    name: &str,
    call: Call,
    limit: Duration,
) -> channel::Result<Reply> {
    let begun = Instant::now();
    let outcome = channel.call(call, limit).await;
    let label = match &outcome {
        Ok(reply) => reply.status.to_string(),
        Err(e) => {
            warn!("runner: {name}: {e}");
            String::from("none")
        }
    };
    meter.called(name, &label, begun.elapsed());
    outcome
}
