//! Stand-in for the platform's store: a log of keyed records for each topic. It loses nothing that it has
//! acknowledged, fences producers by epoch, checks conditional appends and answers a repeated append like
//! the first one.

use crate::{
    http::{Request, Response, json},
    json::base64,
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard},
    thread::sleep,
    time::{Duration, Instant},
};

/// Half of the time that an answer takes.
const HALF_ANSWER: Duration = Duration::from_millis(2);
/// Most records in a page of the newest ones.
const PAGE: usize = 500;

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    appended: Vec<(u64, u64, u64)>,
}

/// The store.
#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
}

impl Store {
    fn topics(&self) -> MutexGuard<'_, HashMap<String, Topic>> {
        self.topics.lock().expect("store")
    }

    /// Writes a record as the operator and the runners do; one with an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = [&[key.len() as u8], key.as_bytes(), value.as_bytes()].concat();
        self.topics().entry(String::from(topic)).or_default().records.push(record);
    }

    /// Records of a topic from an offset.
    pub fn records(&self, topic: &str, from: usize) -> Vec<Vec<u8>> {
        let topics = self.topics();
        let records = topics.get(topic).map(|topic| topic.records.as_slice()).unwrap_or_default();
        records.iter().skip(from).cloned().collect()
    }

    /// Newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let records = self.records(topic, 0);
        let mut found = records.iter().rev().map(|record| split(record));
        let (_, value) = found.find(|(other, _)| other == key)?;
        Some(String::from_utf8_lossy(&value).into_owned())
    }

    /// Answers a call.
    pub fn handle(&self, request: &Request) -> Response {
        sleep(HALF_ANSWER);
        let response = match request.path.as_str() {
            "/v1/log-append" => self.append(request),
            "/v1/log-read" => self.read(request),
            "/v1/log-newest" => self.newest_page(request),
            _ => json(404, "{}"),
        };
        sleep(HALF_ANSWER);
        response
    }

    fn append(&self, request: &Request) -> Response {
        let Some(records) = frames(&request.body) else { return json(400, "{}") };
        let mut topics = self.topics();
        let topic = topics.entry(request.query["topic"].clone()).or_default();
        let end = topic.records.len() as u64;
        if request.number("at").is_some_and(|at| at != end) {
            return json(412, format!("{{\"end\":{end}}}"));
        }
        let last = end + records.len() as u64;
        let producer = request.query.get("producer").zip(request.number("epoch"));
        if let Some((name, epoch)) = producer {
            let known = topic.producers.entry(name.clone()).or_default();
            if epoch < known.epoch {
                return json(409, "{\"reason\":\"fenced\"}");
            }
            if epoch > known.epoch {
                *known = Producer { epoch, ..Producer::default() };
            }
            let number = request.number("seq").unwrap_or(0);
            if !records.is_empty() {
                let before = known.appended.iter().find(|(other, ..)| *other == number);
                if let Some((_, offset, end)) = before {
                    return json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"));
                }
                if let Some(next) = known.next.filter(|next| *next != number) {
                    return json(409, format!("{{\"reason\":\"seq\",\"seq\":{next}}}"));
                }
                known.next = Some(number + 1);
                known.appended.push((number, end, last));
            }
        }
        topic.records.extend(records);
        json(200, format!("{{\"offset\":{end},\"end\":{last}}}"))
    }

    fn read(&self, request: &Request) -> Response {
        let from = request.number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(request.number("waitMs").unwrap_or(0));
        let begun = Instant::now();
        loop {
            let found = self.records(&request.query["topic"], from);
            if !found.is_empty() || begun.elapsed() >= wait {
                let end = (from + found.len()) as u64;
                let mut body = [end.to_be_bytes(), 0u64.to_be_bytes()].concat();
                for record in found {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Response::Answer(200, body);
            }
            sleep(Duration::from_millis(3));
        }
    }

    fn newest_page(&self, request: &Request) -> Response {
        let after = request.query.get("dependsOn").cloned().unwrap_or_default();
        let records = self.records(&request.query["topic"], 0);
        let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = split(record);
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let later: Vec<_> = newest.into_iter().filter(|(key, _)| *key > after).collect();
        let items: Vec<String> = later
            .iter()
            .take(PAGE)
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, more, end) = (items.join(","), later.len() > PAGE, records.len());
        json(200, format!("{{\"items\":[{items}],\"hasMore\":{more},\"end\":{end}}}"))
    }
}

/// Key and value of a record.
pub fn split(record: &[u8]) -> (String, Vec<u8>) {
    let length = usize::from(record[0]);
    let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
    (key, record[1 + length..].to_vec())
}

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
