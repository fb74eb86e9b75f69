//! Asynchronous client of the platform's store.

use {
    super::{channel::Channel, meter::Meter, timeout::Timeout},
    crate::{
        adapter::{
            frame::Page,
            store::{self, Error, Newest, Result, Sequence},
        },
        job::{
            call::{Call, Reply},
            ledger::Record,
        },
    },
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Timeout of a read, added to the time for which the store is asked to wait for records.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bounds of the timeout of an append.
const APPEND_TIMEOUT: (Duration, Duration) =
    (Duration::from_millis(120), Duration::from_millis(1_000));
/// Maximum number of concurrent calls to the store.
const MAX_CALLS: usize = 8;

/// Client of the platform's store.
pub struct Store {
    channel: Channel,
    meter: Rc<Meter>,
    append_timeout: Timeout,
}

impl Store {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr, meter: Rc<Meter>) -> Self {
        let append_timeout = Timeout::new(APPEND_TIMEOUT.0, APPEND_TIMEOUT.1);
        Self { channel: Channel::new(address, MAX_CALLS), meter, append_timeout }
    }

    /// Appends records under the epoch of the writer; returns the offset of the first one.
    pub async fn append(&self, topic: &str, records: &[Record], at: Sequence) -> Result<u64> {
        store::appended(&self.call_append("append", store::append(topic, records, at)).await?)
    }

    /// Fences off every writer of a lower epoch.
    pub async fn fence(&self, topic: &str, epoch: u64) -> Result<u64> {
        store::appended(&self.call("fence", store::fence(topic, epoch), ANSWER_TIMEOUT).await?)
    }

    /// Appends a record on the condition that the partition ends at `at`.
    pub async fn append_at(&self, topic: &str, record: &Record, at: u64) -> Result<u64> {
        store::appended(&self.call_append("claim", store::append_at(topic, record, at)).await?)
    }

    /// Appends a record unconditionally.
    pub async fn append_any(&self, topic: &str, record: &Record) -> Result<u64> {
        store::appended(
            &self.call("report", store::append_any(topic, record), ANSWER_TIMEOUT).await?,
        )
    }

    /// Reads records from an offset, waiting for the first up to `wait`.
    pub async fn read(&self, topic: &str, from: u64, wait: Duration) -> Result<Page> {
        store::page(
            &self.call("read", store::read(topic, from, wait), wait + ANSWER_TIMEOUT).await?,
        )
    }

    /// Reads a page of the newest record of each key, from after the key `after`.
    pub async fn newest(&self, topic: &str, after: &str) -> Result<Newest> {
        store::newest_page(&self.call("newest", store::newest(topic, after), ANSWER_TIMEOUT).await?)
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

    /// Sends an append with a timeout that adapts to how long recent appends took. Its answer may be
    /// lost, and a retry is harmless since the store checks sequence numbers and offsets.
    async fn call_append(&self, name: &str, call: Call) -> Result<Reply> {
        let timeout = self.append_timeout.get();
        let begun = Instant::now();
        let outcome = self.call(name, call, timeout).await;
        self.append_timeout.record(begun, outcome.is_ok());
        outcome
    }

    async fn call(&self, name: &str, call: Call, timeout: Duration) -> Result<Reply> {
        let begun = Instant::now();
        let outcome = self.channel.call(call, timeout).await;
        let label = match &outcome {
            Ok(reply) => reply.status.to_string(),
            Err(_) => String::from("none"),
        };
        self.meter.count_call(name, &label, begun.elapsed());
        outcome.map_err(|e| Error::NoAnswer(e.to_string()))
    }
}
