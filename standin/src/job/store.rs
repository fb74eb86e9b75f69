//! Stand-in for the platform's store: topics, each a log of keyed records.

use {
    crate::{
        payload::Payload,
        server::{self, Call, Handle, Reply, lock},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    indexmap::{IndexMap, IndexSet},
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 1_024;
/// Largest record in bytes, with the length of its key and the key, unless a test sets another limit.
const MAX_RECORD_BYTES: usize = 262_144;
/// Largest total of the records of one append in bytes, unless a test sets another limit.
const MAX_CALL_BYTES: usize = 2_097_152;
/// Size in bytes that a page of a read does not exceed, unless by its only record.
const MAX_PAGE_BYTES: usize = 1_024 << 10;
/// Time between two checks for new records while a read waits.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The store; clones share its state.
#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<State>>);

struct State {
    topics: IndexMap<String, Topic>,
    outage_until: Option<Instant>,
    /// How long an answer takes, and until when.
    delay: Option<(Duration, Instant)>,
    responses_to_lose: u32,
    /// Topics whose next append is carried out without a response.
    topics_to_lose: IndexSet<String>,
    max_record_bytes: usize,
    max_call_bytes: usize,
}

impl Default for State {
    fn default() -> Self {
        Self {
            topics: IndexMap::new(),
            outage_until: None,
            responses_to_lose: 0,
            topics_to_lose: IndexSet::new(),
            max_record_bytes: MAX_RECORD_BYTES,
            delay: None,
            max_call_bytes: MAX_CALL_BYTES,
        }
    }
}

#[derive(Default)]
struct Topic {
    /// Each record is one byte for the key's length, the key and the value.
    records: Vec<Vec<u8>>,
    /// Offset of the first record that is kept.
    first: u64,
    producers: IndexMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    /// Highest epoch so far; appends of lower epochs are rejected.
    epoch: u64,
    /// Sequence number of the next append.
    next: Option<u64>,
    /// Sequence number and offset of each append, for idempotent retries.
    appended: Vec<(u64, u64)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

impl Store {
    /// Starts the store's server.
    pub fn serve(&self, listen: SocketAddr) -> server::Result<Handle> {
        let store = self.clone();
        server::spawn(listen, MAX_CONNECTIONS, move |call| {
            let store = store.clone();
            async move { store.handle(call).await }
        })
    }

    /// Responds to every call with status 503 for `duration`.
    pub fn start_outage(&self, duration: Duration) {
        lock(&self.0).outage_until = Some(Instant::now() + duration);
    }

    /// Answers every call late by `delay` for `duration`: half of it passes before the call is carried out.
    pub fn delay_answers(&self, delay: Duration, duration: Duration) {
        lock(&self.0).delay = Some((delay, Instant::now() + duration));
    }

    /// Half of the present delay of answers.
    fn half_delay(&self) -> Duration {
        let delay = lock(&self.0).delay.filter(|(_, until)| Instant::now() < *until);
        delay.map_or(Duration::ZERO, |(delay, _)| delay / 2)
    }

    /// Carries out the next `count` appends without a response.
    pub fn lose_responses(&self, count: u32) {
        lock(&self.0).responses_to_lose = count;
    }

    /// Carries out the next append to a topic without a response.
    pub fn lose_response_of(&self, topic: &str) {
        lock(&self.0).topics_to_lose.insert(String::from(topic));
    }

    /// Sets the size in bytes up to which records are accepted in appends.
    pub fn limit_records(&self, max_bytes: usize) {
        lock(&self.0).max_record_bytes = max_bytes;
    }

    /// Sets the total in bytes up to which the records of one append are accepted.
    pub fn limit_calls(&self, max_bytes: usize) {
        lock(&self.0).max_call_bytes = max_bytes;
    }

    /// Removes the records before the oldest that is still the latest of its key, as if their retention
    /// time had passed.
    pub fn drop_history(&self, topic: &str) {
        let mut state = lock(&self.0);
        let Some(topic) = state.topics.get_mut(topic) else { return };
        let oldest_latest = latest_values(topic).into_iter().map(|(_, offset, _)| offset).min();
        let keep = oldest_latest.unwrap_or(topic.end());
        let drop = (keep - topic.first) as usize;
        topic.records.drain(..drop.min(topic.records.len()));
        topic.first = keep;
    }

    /// Appends a keyed record, as the operator and the runners do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = lock(&self.0);
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value);
        state.topics.entry(String::from(topic)).or_default().records.push(record);
    }

    /// Latest value of a key.
    pub fn get(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = lock(&self.0);
        let found = latest_values(state.topics.get(topic)?);
        found.into_iter().find(|(name, ..)| name == key).map(|(_, _, value)| value)
    }

    async fn handle(&self, call: Call) -> Reply {
        if lock(&self.0).outage_until.is_some_and(|until| Instant::now() < until) {
            return Reply::text(503, "away");
        }
        sleep(self.half_delay()).await;
        let reply = match call.uri.path() {
            "/v1/log-append" => self.append(&call),
            "/v1/log-read" => self.read(&call).await,
            "/v1/log-newest" => self.newest(&call),
            _ => Reply::text(404, "no such call"),
        };
        sleep(self.half_delay()).await;
        reply
    }

    fn append(&self, call: &Call) -> Reply {
        let Some(records) = decode_frames(&call.body) else { return Reply::text(400, "frames") };
        let mut state = lock(&self.0);
        let largest = records.iter().map(Vec::len).max().unwrap_or_default();
        let bytes: usize = records.iter().map(Vec::len).sum();
        if largest > state.max_record_bytes || bytes > state.max_call_bytes {
            return Reply::text(400, "too large");
        }
        let name = call.param::<String>("topic").unwrap_or_default();
        let lose_any = state.responses_to_lose > 0;
        let lose_response = state.topics_to_lose.swap_remove(&name) || lose_any;
        let topic = state.topics.entry(name).or_default();
        let end = topic.end();
        if call.param::<u64>("at").is_some_and(|at| at != end) {
            return Reply::json(412, &json!({ "end": end }));
        }
        if let (Some(producer), Some(epoch)) =
            (call.param::<String>("producer"), call.param("epoch"))
        {
            let sequence = call.param::<u64>("seq").unwrap_or_default();
            let known = topic.producers.entry(producer).or_default();
            if epoch < known.epoch {
                return Reply::json(409, &json!({ "reason": "fenced" }));
            }
            if epoch > known.epoch {
                *known = Producer { epoch, ..Producer::default() };
            }
            if !records.is_empty() {
                if let Some((_, offset)) = known.appended.iter().find(|(s, _)| *s == sequence) {
                    let last = *offset + records.len() as u64;
                    return Reply::json(200, &json!({ "offset": offset, "end": last }));
                }
                if known.next.is_some_and(|next| next != sequence) {
                    return Reply::json(409, &json!({ "reason": "seq", "seq": known.next }));
                }
                known.next = Some(sequence + 1);
                known.appended.push((sequence, end));
            }
        }
        topic.records.extend(records);
        let last = topic.end();
        if lose_response {
            state.responses_to_lose -= u32::from(lose_any);
            return Reply::Close;
        }
        Reply::json(200, &json!({ "offset": end, "end": last }))
    }

    async fn read(&self, call: &Call) -> Reply {
        let name = call.param::<String>("topic").unwrap_or_default();
        let from = call.param::<u64>("from").unwrap_or_default();
        let wait = Duration::from_millis(call.param("waitMs").unwrap_or_default());
        let started = Instant::now();
        loop {
            if let Some(reply) = self.page(&name, from, started.elapsed() >= wait) {
                return reply;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn page(&self, name: &str, from: u64, even_if_empty: bool) -> Option<Reply> {
        let mut state = lock(&self.0);
        let topic = state.topics.entry(String::from(name)).or_default();
        if from < topic.first {
            return Some(Reply::json(410, &json!({ "first": topic.first })));
        }
        let records = topic.records.iter().skip((from - topic.first) as usize);
        let mut body = [topic.end().to_be_bytes(), topic.first.to_be_bytes()].concat();
        let header_bytes = body.len();
        for record in records {
            if body.len() > header_bytes && body.len() + record.len() > MAX_PAGE_BYTES {
                break;
            }
            body.extend((record.len() as u32).to_be_bytes());
            body.extend(record);
        }
        (even_if_empty || body.len() > header_bytes)
            .then(|| Reply::new(200, Payload::complete(body)))
    }

    fn newest(&self, call: &Call) -> Reply {
        let name = call.param::<String>("topic").unwrap_or_default();
        let after = call.param::<String>("dependsOn").unwrap_or_default();
        let mut state = lock(&self.0);
        let topic = state.topics.entry(name).or_default();
        let mut found = latest_values(topic);
        found.sort();
        let page: Vec<_> = found.into_iter().filter(|(key, ..)| *key > after).take(501).collect();
        let items: Vec<_> = page
            .iter()
            .take(500)
            .map(|(key, offset, value)| {
                json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
            })
            .collect();
        Reply::json(
            200,
            &json!({ "items": items, "hasMore": page.len() > 500, "end": topic.end() }),
        )
    }
}

/// Key, offset and value of the latest record of each key whose latest value isn't empty.
fn latest_values(topic: &Topic) -> Vec<(String, u64, Vec<u8>)> {
    let mut found: IndexMap<String, (u64, Vec<u8>)> = IndexMap::new();
    for (offset, record) in (topic.first..).zip(&topic.records) {
        let Some((&length, rest)) = record.split_first() else { continue };
        let Some((key, value)) = rest.split_at_checked(usize::from(length)) else { continue };
        let key = String::from_utf8_lossy(key).into_owned();
        if value.is_empty() {
            found.swap_remove(&key);
        } else {
            found.insert(key, (offset, value.to_vec()));
        }
    }
    found.into_iter().map(|(key, (offset, value))| (key, offset, value)).collect()
}

/// Decodes the records of an append's body, each after its length; `None` if the body is malformed.
fn decode_frames(body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    let mut rest = body;
    while !rest.is_empty() {
        let (length, tail) = rest.split_first_chunk::<4>()?;
        let (record, tail) = tail.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        records.push(record.to_vec());
        rest = tail;
    }
    Some(records)
}
