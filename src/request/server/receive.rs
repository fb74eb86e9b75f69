//! Parses a caller's request and buffers its body before admission.

use {
    super::{LONG_BYTES, PREFETCH_BYTES},
    crate::{
        body,
        exchange::Body,
        fault::MAX_NAME_BYTES,
        intake::{self, Buffer, Error},
        request::{
            CLASS_HEADER, Class, DEADLINE_HEADER, DEFAULT_TEAM, KEY_HEADER, REPEAT_HEADER, Request,
            TEAM_HEADER,
        },
        settings::Limits,
    },
    bytes::Bytes,
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
        time::{Duration, Instant},
    },
    tokio::{select, time::timeout},
};

/// Parses the metadata of a request from its head.
pub(super) fn parse(
    uri: &Uri,
    headers: &HeaderMap,
    limits: &Limits,
    now: Instant,
) -> result::Result<Request, String> {
    let service = uri.path().split('/').nth(1).unwrap_or_default();
    if service.is_empty() {
        return Err(String::from("the path must start with a service name"));
    }
    let team = header(headers, TEAM_HEADER)?.unwrap_or(DEFAULT_TEAM);
    if team.len() > MAX_NAME_BYTES {
        return Err(format!("{TEAM_HEADER}: the name is longer than {MAX_NAME_BYTES} bytes"));
    }
    let key = header(headers, KEY_HEADER)?;
    let class = match header(headers, CLASS_HEADER)? {
        None if key.is_some() => Class::Order,
        None | Some("quick") => Class::Quick,
        Some("watch") => Class::Watch,
        Some("order") => Class::Order,
        Some(other) => return Err(format!("{CLASS_HEADER}: {other:?} is not a request class")),
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

/// Maximum deadline in milliseconds; longer ones are reduced to it.
const MAX_DEADLINE_MS: u64 = 24 * 3600 * 1000;

/// Value of a header; fails if it is not text.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> result::Result<Option<&'a str>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| format!("{name}: the value is not printable ASCII"))
}

/// A body buffered before admission, wholly or in part.
pub(super) struct Buffered {
    pub(super) bytes: Bytes,
    /// Part that has not been read from the caller.
    pub(super) rest: Option<Body>,
}

/// Buffers the beginning of a body; the rest, if any, is left unread.
///
/// A body that is buffered wholly can be sent again in a retry. A body longer than
/// [`PREFETCH_BYTES`] is buffered up to [`LONG_BYTES`] while there is memory.
pub(super) async fn prefetch(
    mut body: Body,
    idle: Duration,
    mut buffer: Buffer,
) -> intake::Result<Buffered> {
    while !body.is_end_stream() && buffer.len() < LONG_BYTES {
        let frame = select! {
            biased;
            () = buffer.giving_up() => return Err(Error::Displaced),
            frame = timeout(idle, body.frame()) => frame.map_err(|_| Error::TimedOut(idle))?,
        };
        let frame = match frame {
            None => return Ok(Buffered { bytes: buffer.freeze(), rest: None }),
            Some(frame) => frame.map_err(|e| Error::Broken(e.to_string()))?,
        };
        let Some(piece) = frame.data_ref() else { continue };
        match buffer.push(piece.clone(), usize::MAX) {
            Err(Error::Memory(_)) if buffer.len() >= PREFETCH_BYTES => {
                buffer.push_last(piece);
                break;
            }
            pushed => pushed?,
        }
    }
    let rest = (!body.is_end_stream()).then_some(body);
    Ok(Buffered { bytes: buffer.freeze(), rest })
}

/// A caller's request, from which the request of each attempt is built.
pub(super) struct Template {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Buffered,
}

impl Template {
    /// Fingerprint that tells apart different requests with the same order key.
    ///
    /// It covers at most [`PREFETCH_BYTES`] of the body, so that it does not depend on how much of
    /// the body was buffered.
    pub(super) fn fingerprint(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        self.method.hash(&mut hasher);
        self.uri.path_and_query().map(|p| p.as_str()).hash(&mut hasher);
        self.headers.get(CONTENT_LENGTH).map(HeaderValue::as_bytes).hash(&mut hasher);
        self.body.bytes[..self.body.bytes.len().min(PREFETCH_BYTES)].hash(&mut hasher);
        hasher.finish()
    }

    /// Builds the request of one attempt; the unread rest of the body can be sent only once.
    pub(super) fn request(&mut self, limit: u64, idle: Duration) -> hyper::Request<Body> {
        let body = match self.body.rest.take() {
            None => body::whole(self.body.bytes.clone()),
            Some(rest) => body::chain(self.body.bytes.clone(), rest, limit, idle),
        };
        let path = self.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut request = hyper::Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = path.parse().unwrap_or_default();
        *request.headers_mut() = self.headers.clone();
        request
    }
}
