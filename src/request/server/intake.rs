//! Reads a caller's request: its head, and its body as far as it is read before admission.

use {
    super::{LONG_BYTES, PREFETCH_BYTES},
    crate::{
        body,
        exchange::Body,
        request::{
            CLASS_HEADER, Class, DEADLINE_HEADER, DEFAULT_TEAM, KEY_HEADER, REPEAT_HEADER, Request,
            TEAM_HEADER,
        },
        settings::Limits,
    },
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::{
        HeaderMap, Method, Uri,
        body::Body as _,
        header::{CONTENT_LENGTH, HeaderValue},
    },
    siphasher::sip::SipHasher13,
    std::{
        hash::{Hash, Hasher},
        result,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore},
        time::timeout,
    },
};

/// Reads what the decisions need from a request's head.
pub(super) fn parse(
    uri: &Uri,
    headers: &HeaderMap,
    limits: &Limits,
    now: Instant,
) -> result::Result<Request, String> {
    let service = uri.path().split('/').nth(1).unwrap_or_default();
    if service.is_empty() {
        return Err(String::from("the path must begin with a service's name"));
    }
    let team = header(headers, TEAM_HEADER)?.unwrap_or(DEFAULT_TEAM);
    let key = header(headers, KEY_HEADER)?;
    let class = match header(headers, CLASS_HEADER)? {
        None if key.is_some() => Class::Order,
        None | Some("quick") => Class::Quick,
        Some("watch") => Class::Watch,
        Some("order") => Class::Order,
        Some(other) => return Err(format!("{CLASS_HEADER}: {other:?} is not a class")),
    };
    let deadline = match header(headers, DEADLINE_HEADER)? {
        None => limits.deadline_ms,
        Some(text) => text.parse().map_err(|e| format!("{DEADLINE_HEADER}: {text:?}: {e}"))?,
    };
    let deadline = now + Duration::from_millis(deadline.min(MAX_DEADLINE_MS));
    let (service, team) = (service.to_string(), team.to_string());
    let key = key.map(str::to_string);
    let repeat = headers.contains_key(REPEAT_HEADER);
    Ok(Request { service, team, class, deadline, key, repeat })
}

/// Longest deadline in milliseconds; a later one is cut to it.
const MAX_DEADLINE_MS: u64 = 24 * 3600 * 1000;

fn header<'a>(headers: &'a HeaderMap, name: &str) -> result::Result<Option<&'a str>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| format!("{name}: not plain text"))
}

/// A body as far as it was read.
pub(super) struct Held {
    pub(super) bytes: Bytes,
    /// What is still with the caller.
    pub(super) rest: Option<Body>,
    /// Room for a longer body, given back when this is dropped.
    pub(super) _room: Option<OwnedSemaphorePermit>,
}

/// Reads the beginning of a body; the rest, if any, stays with the caller.
///
/// A body that is read whole can be sent again. One longer than [`PREFETCH_BYTES`] is read on, up
/// to [`LONG_BYTES`], while there is room for it.
pub(super) async fn prefetch(
    mut body: Body,
    idle: Duration,
    room: &Arc<Semaphore>,
) -> result::Result<Held, &'static str> {
    let mut bytes = BytesMut::new();
    let mut limit = PREFETCH_BYTES;
    let mut taken = None;
    while !body.is_end_stream() {
        if bytes.len() >= PREFETCH_BYTES && taken.is_none() {
            taken = room.clone().try_acquire_owned().ok();
            limit = if taken.is_some() { LONG_BYTES } else { PREFETCH_BYTES };
        }
        if bytes.len() >= limit {
            break;
        }
        match timeout(idle, body.frame()).await {
            Err(_) => return Err("the body came too slowly"),
            Ok(Some(Err(_))) => return Err("the body broke off"),
            Ok(Some(Ok(frame))) => {
                bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()))
            }
            Ok(None) => return Ok(Held { bytes: bytes.freeze(), rest: None, _room: taken }),
        }
    }
    let rest = (!body.is_end_stream()).then_some(body);
    Ok(Held { bytes: bytes.freeze(), rest, _room: taken })
}

/// A caller's request as it is sent to endpoints.
pub(super) struct Source {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) held: Held,
}

impl Source {
    /// Tells requests with the same order key apart; the same however the body arrived.
    pub(super) fn fingerprint(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        self.method.hash(&mut hasher);
        self.uri.path_and_query().map(|p| p.as_str()).hash(&mut hasher);
        self.headers.get(CONTENT_LENGTH).map(HeaderValue::as_bytes).hash(&mut hasher);
        self.held.bytes[..self.held.bytes.len().min(PREFETCH_BYTES)].hash(&mut hasher);
        hasher.finish()
    }

    /// The request for one attempt; its body's rest can be taken only once.
    pub(super) fn take(&mut self, limit: u64, idle: Duration) -> hyper::Request<Body> {
        let body = match self.held.rest.take() {
            None => body::whole(self.held.bytes.clone()),
            Some(rest) => body::chain(self.held.bytes.clone(), rest, limit, idle),
        };
        let path = self.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut request = hyper::Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = path.parse().unwrap_or_default();
        *request.headers_mut() = self.headers.clone();
        request
    }
}
