//! Stand-in for the platform's store, a log of keyed records, and for its list of machines.
//!
//! Topics have one partition. Epochs and sequence numbers of producers, conditional appends, the newest
//! record of each key and waiting reads are as PROTOCOL.md says. Nothing expires.

use {
    crate::wire::{self, Json, Reply, Request, base64},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// Time that an append takes, with the way there and back.
const APPEND_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Topic {
    /// Records: the length of the key, the key and the value.
    records: Vec<Vec<u8>>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    /// Sequence number, offset and end of the last appends.
    appended: Vec<(u64, u64, u64)>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    /// Calls that change machines: path and body.
    changes: Vec<String>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

fn key_and_value(record: &[u8]) -> Option<(&[u8], &[u8])> {
    let (&length, rest) = record.split_first()?;
    rest.split_at_checked(usize::from(length))
}

fn newest(topic: &Topic) -> BTreeMap<Vec<u8>, (usize, Vec<u8>)> {
    let mut found = BTreeMap::new();
    for (offset, record) in topic.records.iter().enumerate() {
        let Some((key, value)) = key_and_value(record) else { continue };
        if value.is_empty() {
            found.remove(key);
        } else {
            found.insert(key.to_vec(), (offset, value.to_vec()));
        }
    }
    found
}

/// Decodes the body of an append.
fn frames(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_at_checked(4)?;
        let length = length.iter().fold(0, |sum, &byte| sum << 8 | usize::from(byte));
        let (record, rest) = rest.split_at_checked(length)?;
        records.push(record.to_vec());
        body = rest;
    }
    Some(records)
}

/// Encodes one keyed record as the body of an append.
pub fn frame(key: &str, value: &[u8]) -> Vec<u8> {
    let length = 1 + key.len() + value.len();
    let mut body = (length as u32).to_be_bytes().to_vec();
    body.push(key.len() as u8);
    body.extend(key.as_bytes());
    body.extend(value);
    body
}

fn json(status: u16, text: String) -> Reply {
    (status, text.into_bytes())
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, request: Request) -> Option<Reply> {
        let topic = String::from(request.param("topic").unwrap_or_default());
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/log-append") => {
                thread::sleep(APPEND_TIME);
                Some(self.append(&request, &topic))
            }
            ("GET", "/v1/log-read") => Some(self.read(&request, &topic)),
            ("GET", "/v1/log-newest") => Some(self.newest(&request, &topic)),
            // Not of the protocol: the driver of a case asks for this.
            ("GET", "/control/changes") => Some(json(200, self.lock().changes.join("\n"))),
            _ => Some(json(404, String::from("{}"))),
        }
    }

    fn append(&self, request: &Request, name: &str) -> Reply {
        let Some(records) = frames(&request.body) else { return json(400, String::from("{}")) };
        let mut state = self.lock();
        let topic = state.topics.entry(String::from(name)).or_default();
        let end = topic.records.len() as u64;
        if request.number("at").is_some_and(|at| at != end) {
            return json(412, format!("{{\"end\":{end}}}"));
        }
        let last = end + records.len() as u64;
        if let (Some(producer), Some(epoch)) = (request.param("producer"), request.number("epoch")) {
            let sequence = request.number("seq").unwrap_or_default();
            let known = topic.producers.entry(String::from(producer)).or_default();
            if epoch < known.epoch {
                return json(409, String::from("{\"reason\":\"fenced\"}"));
            }
            if epoch > known.epoch {
                *known = Producer { epoch, ..Producer::default() };
            }
            if !records.is_empty() {
                if let Some((_, offset, end)) = known.appended.iter().find(|row| row.0 == sequence) {
                    return json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"));
                }
                if let Some(next) = known.next.filter(|next| *next != sequence) {
                    return json(409, format!("{{\"reason\":\"seq\",\"seq\":{next}}}"));
                }
                known.next = Some(sequence + 1);
                known.appended.push((sequence, end, last));
                if known.appended.len() > 5 {
                    known.appended.remove(0);
                }
            }
        }
        topic.records.extend(records);
        self.0.1.notify_all();
        json(200, format!("{{\"offset\":{end},\"end\":{last}}}"))
    }

    fn read(&self, request: &Request, name: &str) -> Reply {
        let from = request.number("from").unwrap_or_default() as usize;
        let wait = Duration::from_millis(request.number("waitMs").unwrap_or_default());
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let records = state.topics.get(name).map_or(&[][..], |topic| &topic.records);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from).take(1_000) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return (200, body);
            }
            let waited = self.0.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn newest(&self, request: &Request, name: &str) -> Reply {
        let after = request.param("dependsOn").unwrap_or_default().as_bytes().to_vec();
        let state = self.lock();
        let (found, end) = match state.topics.get(name) {
            Some(topic) => (newest(topic), topic.records.len()),
            None => (BTreeMap::new(), 0),
        };
        let page: Vec<_> = found.into_iter().filter(|(key, _)| *key > after).take(501).collect();
        let item = |(key, (offset, value)): &(Vec<u8>, (usize, Vec<u8>))| {
            let key = String::from_utf8_lossy(key);
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        };
        let items: Vec<String> = page.iter().take(500).map(item).collect();
        let (items, more) = (items.join(","), page.len() > 500);
        json(200, format!("{{\"items\":[{items}],\"hasMore\":{more},\"end\":{end}}}"))
    }

    /// Machines of the runners that are registered, all of them up.
    fn machines(&self, spare: bool) -> Reply {
        let state = self.lock();
        let found = state.topics.get("keyed.servers").map(newest).unwrap_or_default();
        let machine = |(id, (_, value)): (Vec<u8>, (usize, Vec<u8>))| {
            let entry = Json::parse(&value)?;
            let Some(Json::List(labels)) = entry.get("labels") else { return None };
            let labels: Vec<String> = labels
                .iter()
                .filter_map(|label| match label {
                    Json::Text(text) => Some(format!("\"{text}\"")),
                    _ => None,
                })
                .collect();
            Some(format!(
                "{{\"machine\":\"{}\",\"pool\":\"{}\",\"state\":\"up\",\"zone\":\"{}\",\
                 \"labels\":[{}],\"id\":\"{}\"}}",
                entry.text("machine"),
                entry.text("service"),
                entry.text("zone"),
                labels.join(","),
                String::from_utf8_lossy(&id)
            ))
        };
        let mut rows: Vec<String> = found.into_iter().filter_map(machine).collect();
        // The spare pool: its machines are off, and have no runner.
        let names: &[&str] = if spare { &["m-spare-1", "m-spare-2"] } else { &[] };
        rows.extend(names.iter().map(|machine| {
            format!(
                "{{\"machine\":\"{machine}\",\"pool\":\"spare-svc\",\"state\":\"up\",\"zone\":\"zone-a\",\
                 \"labels\":[\"a\",\"r1-2\"]}}"
            )
        }));
        json(200, format!("{{\"machines\":[{}],\"nextToken\":null}}", rows.join(",")))
    }
}

/// Serves the store at `listen` and the list of machines, with spare ones if there are any, at `cloud`.
pub fn run(listen: SocketAddr, cloud: SocketAddr, spare: bool) {
    let store = Store::default();
    let list = store.clone();
    thread::spawn(move || {
        wire::serve(cloud, move |request| match request.path.as_str() {
            "/v1/machines" => Some(list.machines(spare)),
            // The driver of a case tells that there was a change.
            path => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                list.lock().changes.push(format!("{path} {body}"));
                Some(json(200, String::from("{}")))
            }
        });
    });
    wire::serve(listen, move |request| store.handle(request));
}
