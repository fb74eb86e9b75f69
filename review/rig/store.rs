//! Stand-in of the platform's store, by PROTOCOL.md, "The platform's metadata store".

use crate::{
    http::{Reply, Request},
    json::Json,
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<HashMap<String, Topic>>, Condvar)>);

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    /// Sequence number, offset and end of the last five appends.
    answers: Vec<(u64, u64, u64)>,
}

impl Store {
    /// Appends a keyed record, as the operator and the runners do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.0.0.lock().unwrap();
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value);
        topics.entry(String::from(topic)).or_default().records.push(record);
        self.0.1.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Reply {
        match request.path.as_str() {
            "/v1/log-append" => self.append(request),
            "/v1/log-read" => self.read(request),
            "/v1/log-newest" => self.newest(request),
            _ => Reply::json(404, "{}"),
        }
    }

    fn append(&self, request: &Request) -> Reply {
        let Some(records) = frames(&request.body) else { return Reply::json(400, "{}") };
        let number = |name: &str| request.query.get(name).and_then(|n| n.parse::<u64>().ok());
        let name = request.query.get("topic").cloned().unwrap_or_default();
        let mut topics = self.0.0.lock().unwrap();
        let topic = topics.entry(name).or_default();
        let end = topic.records.len() as u64;
        let mut sequence = None;
        if let (Some(producer), Some(epoch), Some(seq)) =
            (request.query.get("producer"), number("epoch"), number("seq"))
        {
            let producer = topic.producers.entry(producer.clone()).or_default();
            if epoch < producer.epoch {
                return Reply::json(409, "{\"reason\":\"fenced\"}");
            }
            if epoch > producer.epoch {
                *producer = Producer { epoch, ..Producer::default() };
            }
            if records.is_empty() {
                return Reply::json(200, format!("{{\"offset\":{end},\"end\":{end}}}"));
            }
            if let Some((_, at, last)) = producer.answers.iter().find(|(s, ..)| *s == seq) {
                return Reply::json(200, format!("{{\"offset\":{at},\"end\":{last}}}"));
            }
            if let Some(expected) = producer.last.map(|last| last + 1).filter(|e| *e != seq) {
                return Reply::json(409, format!("{{\"reason\":\"seq\",\"seq\":{expected}}}"));
            }
            sequence = Some((request.query["producer"].clone(), seq));
        }
        if number("at").is_some_and(|at| at != end) {
            return Reply::json(412, format!("{{\"end\":{end}}}"));
        }
        topic.records.extend(records);
        let last = topic.records.len() as u64;
        if let Some((producer, seq)) = sequence {
            let producer = topic.producers.entry(producer).or_default();
            producer.last = Some(seq);
            producer.answers.push((seq, end, last));
            if producer.answers.len() > 5 {
                producer.answers.remove(0);
            }
        }
        self.0.1.notify_all();
        Reply::json(200, format!("{{\"offset\":{end},\"end\":{last}}}"))
    }

    fn read(&self, request: &Request) -> Reply {
        let number =
            |name: &str| request.query.get(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let name = request.query.get("topic").cloned().unwrap_or_default();
        let (from, max) = (number("from"), (number("maxKb").max(1)) << 10);
        let max = if request.query.contains_key("maxKb") { max } else { 1 << 20 };
        let until = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
        let mut topics = self.0.0.lock().unwrap();
        loop {
            let topic = topics.entry(name.clone()).or_default();
            let end = topic.records.len() as u64;
            let now = Instant::now();
            if end > from || now >= until {
                let mut body = [end.to_be_bytes(), 0u64.to_be_bytes()].concat();
                for (count, record) in topic.records.iter().skip(from as usize).enumerate() {
                    if count > 0 && (body.len() + record.len()) as u64 > max {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Reply::Full(200, body);
            }
            topics = self.0.1.wait_timeout(topics, until - now).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Reply {
        let name = request.query.get("topic").cloned().unwrap_or_default();
        let after = request.query.get("dependsOn").cloned().unwrap_or_default();
        let mut topics = self.0.0.lock().unwrap();
        let topic = topics.entry(name).or_default();
        let mut newest: BTreeMap<String, (u64, &[u8])> = BTreeMap::new();
        for (offset, record) in topic.records.iter().enumerate() {
            let length = record[0] as usize;
            let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
            let value = &record[1 + length..];
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset as u64, value));
            }
        }
        let page: Vec<_> = newest.iter().filter(|(key, _)| **key > after).take(501).collect();
        let item = |(key, (offset, value)): &(&String, &(u64, &[u8]))| {
            Json::Map(vec![
                (String::from("key"), Json::Str((*key).clone())),
                (String::from("value"), Json::Str(base64(value))),
                (String::from("offset"), Json::Num(*offset as f64)),
            ])
        };
        let body = Json::Map(vec![
            (String::from("items"), Json::List(page.iter().take(500).map(item).collect())),
            (String::from("hasMore"), Json::Bool(page.len() > 500)),
            (String::from("end"), Json::Num(topic.records.len() as f64)),
        ]);
        Reply::json(200, body)
    }
}

fn frames(mut rest: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !rest.is_empty() {
        let (length, tail) = rest.split_first_chunk::<4>()?;
        let (record, tail) = tail.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        records.push(record.to_vec());
        rest = tail;
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |w, b| w << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(SET[(word >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
