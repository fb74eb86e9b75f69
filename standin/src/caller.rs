//! A caller's request: attempts through several entries until one response is final.
//!
//! An attempt that reached no entry, or whose connection broke, is repeated through another entry,
//! with the same key for an order. So is one that the entry reported as `not-run`, after the delay that
//! the response asks for, and an order whose outcome is unknown.

use {
    crate::work::Work,
    carobhitch::{
        id::{OrderKey, TeamId},
        request::{
            ANSWER_HEADER, CLASS_HEADER, Class, DEADLINE_HEADER, KEY_HEADER, OUTCOME_HEADER,
            Outcome, REPEAT_HEADER, TEAM_HEADER,
        },
    },
    log::warn,
    oxhttp::{
        Client,
        model::{self, Body, Method, Response},
    },
    serde::{Deserialize, Serialize},
    std::{
        io::{Error, ErrorKind},
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

/// Time that a caller waits for a response past the request's deadline.
const RESPONSE_GRACE: Duration = Duration::from_secs(3);
/// Minimum delay between two attempts.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A request to make.
#[derive(Clone, Debug)]
pub struct Request {
    /// Team that makes the request.
    pub team: TeamId,
    /// Class of the request.
    pub class: Class,
    /// Work that the endpoint does, and the identity of the request.
    pub work: Work,
    /// Key of an order.
    pub key: Option<OrderKey>,
    /// Time from arrival after which the response is of no use.
    pub deadline: Duration,
    /// Whether the key was sent before.
    pub is_repeat: bool,
    /// Time after which the caller gives up the first attempt, as if its response were lost.
    pub abandon_after: Option<Duration>,
}

/// Result of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The complete response to this request.
    Whole,
    /// The body of a response to another request.
    Wrong,
    /// The response reports an outcome other than done, or a result that was not kept; with the
    /// delay before a retry.
    Told(Outcome, Duration),
    /// The caller gave up early, after [`Request::abandon_after`].
    Abandoned,
    /// No response within the deadline.
    Late,
    /// The connection was refused; nothing was sent.
    Unreached,
    /// The connection broke after the request was sent.
    Broken,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Got its complete response.
    Answered,
    /// Ran and failed.
    Failed,
    /// Was refused without having run.
    Refused,
    /// May have run.
    Unknown,
    /// Got no response at all.
    Lost,
    /// Got a response to another request.
    Cut,
}

/// History of a request that ended.
#[derive(Clone, Debug)]
pub struct Trace {
    /// How it ended.
    pub end: End,
    /// Attempts, with the entry of each.
    pub attempts: Vec<(SocketAddr, Attempt)>,
    /// Time from the start of the first attempt to the end of the last.
    pub latency: Duration,
}

impl Trace {
    /// Whether the last response reported that the request has not run. The response to a repetition
    /// holds for every earlier attempt.
    pub fn never_ran(&self) -> bool {
        self.end == End::Refused
    }
}

/// Sends a request through `entries` in turn, with up to `max_attempts` attempts.
pub fn send(
    request: &Request,
    entries: impl Iterator<Item = SocketAddr>,
    max_attempts: usize,
) -> Trace {
    let started = Instant::now();
    let mut trace = Trace { end: End::Lost, attempts: Vec::new(), latency: Duration::ZERO };
    for entry in entries.take(max_attempts) {
        let outcome = attempt(request, entry, trace.attempts.is_empty());
        trace.attempts.push((entry, outcome));
        if is_final(request, outcome) {
            break;
        }
        thread::sleep(retry_delay(outcome));
    }
    trace.latency = started.elapsed();
    trace.end = end_of(&trace.attempts);
    trace
}

fn is_final(request: &Request, outcome: Attempt) -> bool {
    match outcome {
        Attempt::Whole | Attempt::Wrong | Attempt::Told(Outcome::Done | Outcome::Failed, _) => true,
        Attempt::Told(Outcome::Unknown, _) => request.class != Class::Order,
        _ => false,
    }
}

fn retry_delay(outcome: Attempt) -> Duration {
    match outcome {
        Attempt::Told(_, delay) => delay.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
        _ => MIN_RETRY_DELAY,
    }
}

/// How a request ended: by the last attempt that reached an entry.
fn end_of(attempts: &[(SocketAddr, Attempt)]) -> End {
    let sent =
        attempts.iter().rev().map(|(_, outcome)| *outcome).find(|a| *a != Attempt::Unreached);
    match sent {
        Some(Attempt::Whole) => End::Answered,
        Some(Attempt::Wrong) => End::Cut,
        Some(Attempt::Told(Outcome::Failed, _)) => End::Failed,
        Some(Attempt::Told(Outcome::NotRun, _)) => End::Refused,
        Some(Attempt::Told(Outcome::Done | Outcome::Unknown, _)) => End::Unknown,
        Some(Attempt::Abandoned | Attempt::Late | Attempt::Unreached | Attempt::Broken) | None => {
            End::Lost
        }
    }
}

fn attempt(request: &Request, entry: SocketAddr, first: bool) -> Attempt {
    let abandon_after = request.abandon_after.filter(|_| first);
    let timeout = abandon_after.unwrap_or(request.deadline + RESPONSE_GRACE);
    let Ok(message) = encode(request, entry, first && !request.is_repeat) else {
        return Attempt::Unreached;
    };
    let result = Client::new().with_global_timeout(timeout).request(message);
    match result.and_then(|response| classify(request, response)) {
        Ok(outcome) => outcome,
        Err(error) => match error.kind() {
            ErrorKind::ConnectionRefused => Attempt::Unreached,
            ErrorKind::TimedOut | ErrorKind::WouldBlock if abandon_after.is_some() => {
                Attempt::Abandoned
            }
            ErrorKind::TimedOut | ErrorKind::WouldBlock => Attempt::Late,
            _ => Attempt::Broken,
        },
    }
}

fn encode(
    request: &Request,
    entry: SocketAddr,
    first: bool,
) -> Result<model::Request<Body>, Error> {
    let class = match request.class {
        Class::Quick => "quick",
        Class::Watch => "watch",
        Class::Order => "order",
    };
    let mut message = model::Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}{}", request.work.path()))
        .header(TEAM_HEADER, &request.team)
        .header(CLASS_HEADER, class)
        .header(DEADLINE_HEADER, request.deadline.as_millis().to_string());
    if let Some(key) = &request.key {
        message = message.header(KEY_HEADER, key);
    }
    if !first {
        message = message.header(REPEAT_HEADER, "1");
    }
    message.body(Body::from(request.work.request_body())).map_err(Error::other)
}

fn classify(request: &Request, response: Response<Body>) -> Result<Attempt, Error> {
    let header = |name| response.headers().get(name).and_then(|v| v.to_str().ok());
    let outcome = match header(OUTCOME_HEADER) {
        Some("done") => Outcome::Done,
        Some("failed") => Outcome::Failed,
        Some("not-run") => Outcome::NotRun,
        None if response.status().is_success() => Outcome::Done,
        Some(_) | None => Outcome::Unknown,
    };
    let kept = header(ANSWER_HEADER) != Some("not-kept");
    let delay = header("retry-after").and_then(|v| v.parse().ok()).unwrap_or(0);
    if outcome != Outcome::Done || !kept {
        return Ok(Attempt::Told(outcome, Duration::from_secs(delay)));
    }
    let body = response.into_body().to_vec()?;
    let expected = request.work.response_body();
    if body == expected {
        Ok(Attempt::Whole)
    } else if expected.starts_with(&body) {
        Ok(Attempt::Broken)
    } else {
        let beginning = String::from_utf8_lossy(&body[..body.len().min(80)]);
        warn!("caller: Expected the response to {}, got {beginning:?}.", request.work.path());
        Ok(Attempt::Wrong)
    }
}
