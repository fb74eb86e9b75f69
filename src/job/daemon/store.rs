//! Asynchronous client of the platform's store.
//!
//! A store that is slow is waited for: a call is given up only after [`MAX_ANSWER_TIME`]. A call that is
//! unanswered for long enough that its connection may be dead is sent again over a new connection, while
//! the first may still be answered. This is harmless, since reads change nothing and the store checks
//! the sequence numbers, offsets and epochs of appends; calls without such a check are sent once.

use {
    super::{
        channel::{self, Channel},
        meter::Meter,
        timeout::Timeout,
    },
    crate::{
        adapter::{
            frame::Page,
            store::{self, Error, Newest, Result, Sequence},
        },
        job::{
            call::{Call, Reply},
            claim::claim_timeout,
            latency::{Latency, Number},
            ledger::Record,
        },
    },
    log::info,
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        task::{AbortHandle, JoinSet},
        time::{sleep, sleep_until},
    },
};

/// Time after which a call is given up, added to the time for which the store is asked to wait.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(4);
/// Time after which a read is sent again, added to the time for which the store is asked to wait.
const READ_REPEAT: Duration = Duration::from_millis(1_000);
/// Bounds of the time after which an append is sent again.
const APPEND_REPEAT: (Duration, Duration) =
    (Duration::from_millis(120), Duration::from_millis(1_000));
/// Time after which a call is sent again as a multiple of the store's present delay, at least.
const REPEAT_FACTOR: f64 = 1.5;
/// Maximum number of attempts of a call that are outstanding at once; a further one ends the oldest.
const MAX_ATTEMPTS: usize = 4;
/// Maximum number of concurrent calls to the store.
const MAX_CALLS: usize = 12;
/// Change of the delay that is logged.
const LOGGED_CHANGE: Duration = Duration::from_millis(200);

/// Client of the platform's store.
pub struct Store {
    channel: Rc<Channel>,
    meter: Rc<Meter>,
    append_repeat: Timeout,
    latency: Rc<RefCell<Latency>>,
    /// Delay that was logged last.
    logged_delay: Cell<Duration>,
}

/// Registration of one attempt of a call with the estimate of the store's answer time.
struct Attempt {
    latency: Rc<RefCell<Latency>>,
    number: Number,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.latency.borrow_mut().abandoned(self.number);
    }
}

impl Store {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr, meter: Rc<Meter>) -> Self {
        Self {
            channel: Rc::new(Channel::new(address, MAX_CALLS)),
            meter,
            append_repeat: Timeout::new(APPEND_REPEAT.0, APPEND_REPEAT.1),
            latency: Rc::default(),
            logged_delay: Cell::default(),
        }
    }

    /// Returns how long answers take now; zero if the store is fast.
    pub fn delay(&self) -> Duration {
        self.latency.borrow().delay(Instant::now())
    }

    /// Returns how long recent answers have taken.
    pub fn answered_in(&self) -> Duration {
        self.latency.borrow().answered_in(Instant::now())
    }

    /// Records that a call of another entry took at least `delay`.
    pub fn observe_delay(&self, delay: Duration) {
        self.latency.borrow_mut().observed(Instant::now(), delay);
    }

    /// Appends records under the epoch of the writer; returns the offset of the first one.
    pub async fn append(&self, topic: &str, records: &[Record], at: Sequence) -> Result<u64> {
        store::appended(&self.call_append("append", store::append(topic, records, at)).await?)
    }

    /// Fences off every writer of a lower epoch.
    pub async fn fence(&self, topic: &str, epoch: u64) -> Result<u64> {
        store::appended(&self.call_read("fence", store::fence(topic, epoch), Duration::ZERO).await?)
    }

    /// Appends a record on the condition that the partition ends at `at`.
    pub async fn append_at(&self, topic: &str, record: &Record, at: u64) -> Result<u64> {
        store::appended(&self.call_append("claim", store::append_at(topic, record, at)).await?)
    }

    /// Appends a report to the operators under the epoch of the writer.
    pub async fn report(&self, topic: &str, record: &Record, at: Sequence) -> Result<u64> {
        let call = store::append(topic, std::slice::from_ref(record), at);
        store::appended(&self.call("report", call, Duration::ZERO, MAX_ANSWER_TIME).await?)
    }

    /// Reads records from an offset, waiting for the first up to `wait`.
    pub async fn read(&self, topic: &str, from: u64, wait: Duration) -> Result<Page> {
        store::page(&self.call_read("read", store::read(topic, from, wait), wait).await?)
    }

    /// Reads a page of the newest record of each key, from after the key `after`.
    pub async fn newest(&self, topic: &str, after: &str) -> Result<Newest> {
        let call = store::newest(topic, after);
        store::newest_page(&self.call_read("newest", call, Duration::ZERO).await?)
    }

    /// Reads the newest record of every key of a partition. The returned end is that of the first
    /// page, so that a reader that continues from there misses nothing.
    pub async fn all(&self, topic: &str) -> Result<Newest> {
        let mut all = self.newest(topic, "").await?;
        while let Some(after) = all.next.take() {
            let page = self.newest(topic, &after).await?;
            if page.next.as_ref() == Some(&after) {
                return Err(Error::NoAnswer(format!("the page after key {after} ends there")));
            }
            all.records.extend(page.records);
            all.next = page.next;
        }
        Ok(all)
    }

    /// Sends an append, again after a time that adapts to how long recent appends took.
    async fn call_append(&self, name: &str, call: Call) -> Result<Reply> {
        let repeat = self.append_repeat.get().max(self.answered_in().mul_f64(REPEAT_FACTOR));
        let begun = Instant::now();
        let outcome = self.call_timed(name, call, Duration::ZERO, repeat).await;
        let sent = outcome.as_ref().map_or(begun, |(_, sent)| *sent);
        self.append_repeat.record(sent, outcome.is_ok());
        outcome.map(|(reply, _)| reply)
    }

    /// Sends a call that changes nothing if it is repeated, and which the store may hold back for
    /// `wait`.
    async fn call_read(&self, name: &str, call: Call, wait: Duration) -> Result<Reply> {
        let repeat = wait + READ_REPEAT.max(self.answered_in().mul_f64(REPEAT_FACTOR));
        self.call(name, call, wait, repeat).await
    }

    /// Sends a call and waits for its reply, see [`Self::call_timed`].
    async fn call(
        &self,
        name: &str,
        call: Call,
        wait: Duration,
        repeat: Duration,
    ) -> Result<Reply> {
        self.call_timed(name, call, wait, repeat).await.map(|(reply, _)| reply)
    }

    /// Sends a call and waits for its reply; returns also when the attempt was sent that is answered.
    /// While it is unanswered, it is sent again over a new connection after `repeat`, and again after
    /// longer times; the first reply counts.
    async fn call_timed(
        &self,
        name: &str,
        call: Call,
        wait: Duration,
        mut repeat: Duration,
    ) -> Result<(Reply, Instant)> {
        let begun = Instant::now();
        let deadline = begun + wait + MAX_ANSWER_TIME;
        let mut attempts = JoinSet::new();
        let mut handles = VecDeque::from([self.spawn_attempt(&mut attempts, call.clone(), wait)]);
        let outcome = loop {
            tokio::select! {
                Some(outcome) = attempts.join_next() => match outcome {
                    Ok(Err(_)) if !attempts.is_empty() => {}
                    Ok(outcome) => break outcome.map_err(|e| e.to_string()),
                    Err(e) if e.is_cancelled() => {}
                    Err(e) => break Err(e.to_string()),
                },
                () = sleep(repeat) => {
                    self.meter.count_event("store_call_repeated");
                    self.channel.close_idle();
                    handles.push_back(self.spawn_attempt(&mut attempts, call.clone(), wait));
                    if handles.len() > MAX_ATTEMPTS && let Some(oldest) = handles.pop_front() {
                        oldest.abort();
                    }
                    // A single lost answer changes nothing.
                    if attempts.len() > 2 {
                        repeat = (repeat * 2).min(repeat.max(READ_REPEAT));
                    }
                }
                () = sleep_until(deadline.into()) => {
                    break Err(format!("gave up after {:?}", begun.elapsed()));
                }
            }
        };
        let label = outcome
            .as_ref()
            .map_or(String::from("none"), |(reply, _): &(Reply, Instant)| reply.status.to_string());
        self.meter.count_call(name, &label, begun.elapsed());
        self.show_delay();
        outcome.map_err(Error::NoAnswer)
    }

    /// Spawns one attempt of a call.
    fn spawn_attempt(
        &self,
        attempts: &mut JoinSet<channel::Result<(Reply, Instant)>>,
        call: Call,
        wait: Duration,
    ) -> AbortHandle {
        let (channel, latency) = (Rc::clone(&self.channel), Rc::clone(&self.latency));
        attempts.spawn_local(async move {
            let sent = Instant::now();
            let number = latency.borrow_mut().sent(sent, wait);
            let attempt = Attempt { latency, number };
            let outcome = channel.call(call, wait + MAX_ANSWER_TIME).await;
            let mut latency = attempt.latency.borrow_mut();
            match &outcome {
                Ok(_) => latency.answered(Instant::now(), number),
                Err(channel::Error::Connect(..)) => latency.unreachable(),
                Err(_) => {}
            }
            drop(latency);
            outcome.map(|reply| (reply, sent))
        })
    }

    /// Shows the store's delay in the metrics, and logs a large change of it.
    fn show_delay(&self) {
        let delay = self.delay();
        self.meter.show_store_delay(delay);
        let change = delay.abs_diff(self.logged_delay.get());
        if change > LOGGED_CHANGE || delay.is_zero() && !self.logged_delay.get().is_zero() {
            self.logged_delay.set(delay);
            let claim_ms = claim_timeout(delay).as_millis();
            info!("store: delay_ms={} claim_timeout_ms={claim_ms}", delay.as_millis());
        }
    }
}
