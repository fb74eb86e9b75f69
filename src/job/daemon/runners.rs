//! Calls of the owner to runners, each in its own task.

use {
    super::{
        channel::{self, Channel},
        event::Event,
        meter::Meter,
        timeout::Timeout,
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

/// Bounds of the timeout of an order. An order that was carried out without an answer is sent again,
/// which is harmless, so the shortest timeout is little more than a round trip.
const ORDER_TIMEOUT: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(700));
/// Shortest timeout of a poll, added to the time for which the runner is asked to wait. A runner whose
/// poll has failed gets no lease renewed, so this leaves room for a busy entry.
const MIN_POLL_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of concurrent calls to one runner.
const MAX_CALLS: usize = 6;

/// Connections to the runners that the owner calls, by address.
pub struct Runners {
    context: Rc<CallContext>,
    channels: IndexMap<SocketAddr, Rc<Channel>>,
}

/// Metrics and timeout shared by all calls to runners.
struct CallContext {
    meter: Rc<Meter>,
    timeout: Timeout,
}

impl Runners {
    /// Begins without connections.
    pub fn new(meter: Rc<Meter>) -> Self {
        let context =
            Rc::new(CallContext { meter, timeout: Timeout::new(ORDER_TIMEOUT.0, ORDER_TIMEOUT.1) });
        Self { context, channels: IndexMap::new() }
    }

    /// Spawns a call to the runner at `address`, under `fence`; the answer is sent as an event.
    pub fn spawn_call(
        &mut self,
        tasks: &mut JoinSet<()>,
        events: &UnboundedSender<Event>,
        address: SocketAddr,
        fence: Fence,
        action: Action,
    ) {
        let new = || Rc::new(Channel::new(address, MAX_CALLS));
        let channel = Rc::clone(self.channels.entry(address).or_insert_with(new));
        let (context, events) = (Rc::clone(&self.context), events.clone());
        tasks.spawn_local(async move {
            let Some(event) = call(&channel, &context, fence, action).await else { return };
            if events.send(event).is_err() {
                log::debug!("runner: dropped an answer that arrived after ownership was lost");
            }
        });
    }
}

/// Carries out an action on a runner; returns its answer if the owner needs it.
async fn call(
    channel: &Channel,
    context: &CallContext,
    fence: Fence,
    action: Action,
) -> Option<Event> {
    match action {
        Action::Start(id, start) => {
            let call = adapter::runner::start(&id, &start);
            let answer = order(channel, context, "start", call).await;
            Some(Event::Started(id, start.task, start.run, answer))
        }
        Action::Stop(id, task, run) => {
            let call = adapter::runner::stop(&id, task, run, fence);
            let answer = order(channel, context, "stop", call).await;
            Some(Event::Stopped(id, task, run, answer))
        }
        Action::Poll(id, poll) => {
            let call = adapter::runner::poll(&id, &poll);
            let limit = poll.wait + context.timeout.get().max(MIN_POLL_TIMEOUT);
            let answer = match send(channel, context, "hold", call, limit).await {
                Ok(reply) => adapter::runner::report(&reply),
                Err(e) => Answer::Unknown(e.to_string()),
            };
            Some(Event::Polled(id, poll.acknowledged, answer))
        }
        Action::Pace(id, task, run, percent) => {
            let call = adapter::runner::pace(&id, task, run, percent, fence);
            let answer = order(channel, context, "pace", call).await;
            log::debug!("pace: task={task} percent={percent} answer={answer:?}");
            None
        }
        Action::Answer(..)
        | Action::AskAdvisor(..)
        | Action::ChangeVm(_)
        | Action::ReportWave(..) => None,
    }
}

/// Sends an order: a start, a stop or a change of pace. One that certainly did not reach the runner
/// counts as rejected.
async fn order(channel: &Channel, context: &CallContext, name: &str, call: Call) -> Answer<u64> {
    let begun = Instant::now();
    let outcome = send(channel, context, name, call, context.timeout.get()).await;
    context.timeout.record(begun, outcome.is_ok());
    match outcome {
        Ok(reply) => adapter::runner::order(&reply),
        Err(e) if e.not_sent() => Answer::Rejected(Rejection::Unhealthy),
        Err(e) => Answer::Unknown(e.to_string()),
    }
}

/// Sends a call with the timeout `limit`, and counts it.
async fn send(
    channel: &Channel,
    context: &CallContext,
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
    context.meter.count_call(name, &label, begun.elapsed());
    outcome
}
