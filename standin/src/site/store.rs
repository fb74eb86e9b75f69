//! The platform's store: a log of topics with keyed records.

use {
    crate::server::{self, Call, Handle, Reply, lock},
    base64::{Engine, engine::general_purpose::STANDARD},
    indexmap::IndexMap,
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Connections that the store lets be open.
const CONNECTIONS: usize = 1_024;
/// Time between two looks whether a record has come.
const PAUSE: Duration = Duration::from_millis(5);

/// The store.
#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<Inner>>);

#[derive(Default)]
struct Inner {
    topics: IndexMap<String, Topic>,
    away_until: Option<Instant>,
    losing: u32,
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    first: u64,
    epochs: IndexMap<String, Writer>,
}

#[derive(Default)]
struct Writer {
    epoch: u64,
    next: Option<u64>,
    answers: Vec<(u64, u64)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

impl Store {
    /// Starts serving.
    pub fn serve(&self, listen: SocketAddr) -> server::Result<Handle> {
        let store = self.clone();
        server::spawn(listen, CONNECTIONS, move |call| {
            let store = store.clone();
            async move { store.answer(call).await }
        })
    }

    /// Refuses every call for `time`.
    pub fn take_away(&self, time: Duration) {
        lock(&self.0).away_until = Some(Instant::now() + time);
    }

    /// Carries out the next `count` appends without an answer.
    pub fn lose_answers(&self, count: u32) {
        lock(&self.0).losing = count;
    }

    /// Drops the oldest records of a topic, as if their retention time had passed.
    pub fn drop_history(&self, topic: &str) {
        let mut inner = lock(&self.0);
        let Some(topic) = inner.topics.get_mut(topic) else { return };
        let newest = newest(topic).into_iter().map(|(_, offset, _)| offset).min();
        let keep = newest.unwrap_or(topic.end());
        let drop = (keep - topic.first) as usize;
        topic.records.drain(..drop.min(topic.records.len()));
        topic.first = keep;
    }

    /// Writes a keyed record, as the operator and the runners do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut inner = lock(&self.0);
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value);
        inner.topics.entry(String::from(topic)).or_default().records.push(record);
    }

    /// Newest value of a key.
    pub fn get(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let inner = lock(&self.0);
        let found = newest(inner.topics.get(topic)?);
        found.into_iter().find(|(name, ..)| name == key).map(|(_, _, value)| value)
    }

    async fn answer(&self, call: Call) -> Reply {
        if lock(&self.0).away_until.is_some_and(|until| Instant::now() < until) {
            return Reply::text(503, "away");
        }
        match call.uri.path() {
            "/v1/log-append" => self.append(&call),
            "/v1/log-read" => self.read(&call).await,
            "/v1/log-newest" => self.newest(&call),
            _ => Reply::text(404, "no such call"),
        }
    }

    fn append(&self, call: &Call) -> Reply {
        let Some(records) = frames(&call.body) else { return Reply::text(400, "frames") };
        let mut inner = lock(&self.0);
        let losing = inner.losing > 0;
        let name = call.param::<String>("topic").unwrap_or_default();
        let topic = inner.topics.entry(name).or_default();
        let end = topic.end();
        if call.param::<u64>("at").is_some_and(|at| at != end) {
            return Reply::json(412, &json!({ "end": end }));
        }
        if let (Some(producer), Some(epoch)) =
            (call.param::<String>("producer"), call.param("epoch"))
        {
            let sequence = call.param::<u64>("seq").unwrap_or_default();
            let writer = topic.epochs.entry(producer).or_default();
            if epoch < writer.epoch {
                return Reply::json(409, &json!({ "reason": "fenced" }));
            }
            if epoch > writer.epoch {
                *writer = Writer { epoch, ..Writer::default() };
            }
            if !records.is_empty() {
                if let Some((_, offset)) = writer.answers.iter().find(|(s, _)| *s == sequence) {
                    let last = *offset + records.len() as u64;
                    return Reply::json(200, &json!({ "offset": offset, "end": last }));
                }
                if writer.next.is_some_and(|next| next != sequence) {
                    return Reply::json(409, &json!({ "reason": "seq", "seq": writer.next }));
                }
                writer.next = Some(sequence + 1);
                writer.answers.push((sequence, end));
            }
        }
        topic.records.extend(records);
        let last = topic.end();
        if losing {
            inner.losing -= 1;
            return Reply::Close;
        }
        Reply::json(200, &json!({ "offset": end, "end": last }))
    }

    async fn read(&self, call: &Call) -> Reply {
        let name = call.param::<String>("topic").unwrap_or_default();
        let from = call.param::<u64>("from").unwrap_or_default();
        let wait = Duration::from_millis(call.param("waitMs").unwrap_or_default());
        let begun = Instant::now();
        loop {
            if let Some(reply) = self.page(&name, from, begun.elapsed() >= wait) {
                return reply;
            }
            sleep(PAUSE).await;
        }
    }

    fn page(&self, name: &str, from: u64, now: bool) -> Option<Reply> {
        let mut inner = lock(&self.0);
        let topic = inner.topics.entry(String::from(name)).or_default();
        if from < topic.first {
            return Some(Reply::json(410, &json!({ "first": topic.first })));
        }
        let records = topic.records.iter().skip((from - topic.first) as usize);
        let mut body = [topic.end().to_be_bytes(), topic.first.to_be_bytes()].concat();
        let empty = body.len();
        for record in records {
            body.extend((record.len() as u32).to_be_bytes());
            body.extend(record);
        }
        (now || body.len() > empty)
            .then(|| Reply::new(200, crate::payload::Payload::complete(body)))
    }

    fn newest(&self, call: &Call) -> Reply {
        let name = call.param::<String>("topic").unwrap_or_default();
        let after = call.param::<String>("dependsOn").unwrap_or_default();
        let mut inner = lock(&self.0);
        let topic = inner.topics.entry(name).or_default();
        let mut found = newest(topic);
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

/// Newest record of each key with a value: key, offset, value.
fn newest(topic: &Topic) -> Vec<(String, u64, Vec<u8>)> {
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

/// Records of an append's body.
fn frames(body: &[u8]) -> Option<Vec<Vec<u8>>> {
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
