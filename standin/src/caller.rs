//! One request as a caller sees it: tries through several entries until one answer is final.
//!
//! A try that found no entry, or whose connection broke, is repeated through another entry, with
//! the same key for an order. So is one that was answered `not-run`, after the time asked for, and
//! an order whose outcome is unknown.

use {
    crate::identity::Work,
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
        model::{Body, Method, Request, Response},
    },
    serde::{Deserialize, Serialize},
    std::{
        io::{Error, ErrorKind},
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

/// Time that a caller waits for an answer past its deadline.
const GRACE: Duration = Duration::from_secs(3);
/// Time between two tries, if the answer names none.
const PAUSE: Duration = Duration::from_millis(50);
/// Time between two tries, at most.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// A request to make.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Team that asks.
    pub team: TeamId,
    /// Kind.
    pub class: Class,
    /// What is asked.
    pub work: Work,
    /// Key of an order.
    pub key: Option<OrderKey>,
    /// Time from arrival until the answer is of no use.
    pub deadline: Duration,
    /// The key was sent before.
    pub is_repeat: bool,
    /// Time after which the first try is given up as if its answer was lost.
    pub impatience: Option<Duration>,
}

/// What one try came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Try {
    /// The whole answer to this request.
    Whole,
    /// Another body than this request's.
    Wrong,
    /// The entry says what became of it, and it is not done.
    Told(Outcome, Duration),
    /// The caller gave up by itself.
    Abandoned,
    /// No answer within the deadline.
    Late,
    /// No connection; nothing was sent.
    Unreached,
    /// The connection broke after the request was sent.
    Broken,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Got its whole answer.
    Answered,
    /// Ran and failed.
    Failed,
    /// Was refused as not run.
    Refused,
    /// May have run.
    Unknown,
    /// Got no answer at all.
    Lost,
    /// Got another answer than its own, or part of it.
    Cut,
}

/// A request that ended.
#[derive(Clone, Debug)]
pub struct Story {
    /// How it ended.
    pub end: End,
    /// Tries, with the entry of each.
    pub tries: Vec<(SocketAddr, Try)>,
    /// Time from the first try to the end.
    pub latency: Duration,
}

impl Story {
    /// The last answer was that it had not run; a repetition's answer speaks for every try.
    pub fn never_ran(&self) -> bool {
        self.end == End::Refused
    }
}

/// Makes a request through `entries` in turn, with up to `tries` tries.
pub fn ask(ask: &Ask, entries: impl Iterator<Item = SocketAddr>, tries: usize) -> Story {
    let begun = Instant::now();
    let mut story = Story { end: End::Lost, tries: Vec::new(), latency: Duration::ZERO };
    for entry in entries.take(tries) {
        let outcome = attempt(ask, entry, story.tries.is_empty());
        story.tries.push((entry, outcome));
        if is_final(ask, outcome) {
            break;
        }
        thread::sleep(pause(outcome));
    }
    story.latency = begun.elapsed();
    story.end = conclude(&story.tries);
    story
}

fn is_final(ask: &Ask, outcome: Try) -> bool {
    match outcome {
        Try::Whole | Try::Wrong | Try::Told(Outcome::Done | Outcome::Failed, _) => true,
        Try::Told(Outcome::Unknown, _) => ask.class != Class::Order,
        _ => false,
    }
}

fn pause(outcome: Try) -> Duration {
    match outcome {
        Try::Told(_, wait) => wait.clamp(PAUSE, MAX_PAUSE),
        _ => PAUSE,
    }
}

/// The last try that was sent counts.
fn conclude(tries: &[(SocketAddr, Try)]) -> End {
    let sent = tries.iter().rev().map(|(_, outcome)| *outcome).find(|t| *t != Try::Unreached);
    match sent {
        Some(Try::Whole) => End::Answered,
        Some(Try::Wrong) => End::Cut,
        Some(Try::Told(Outcome::Failed, _)) => End::Failed,
        Some(Try::Told(Outcome::NotRun, _)) => End::Refused,
        Some(Try::Told(Outcome::Done | Outcome::Unknown, _)) => End::Unknown,
        Some(Try::Abandoned | Try::Late | Try::Unreached | Try::Broken) | None => End::Lost,
    }
}

fn attempt(ask: &Ask, entry: SocketAddr, first: bool) -> Try {
    let impatience = ask.impatience.filter(|_| first);
    let patience = impatience.unwrap_or(ask.deadline + GRACE);
    let Ok(request) = request(ask, entry, first && !ask.is_repeat) else { return Try::Unreached };
    let result = Client::new().with_global_timeout(patience).request(request);
    match result.and_then(|response| judge(ask, response)) {
        Ok(outcome) => outcome,
        Err(error) => match error.kind() {
            ErrorKind::ConnectionRefused => Try::Unreached,
            ErrorKind::TimedOut | ErrorKind::WouldBlock if impatience.is_some() => Try::Abandoned,
            ErrorKind::TimedOut | ErrorKind::WouldBlock => Try::Late,
            _ => Try::Broken,
        },
    }
}

fn request(ask: &Ask, entry: SocketAddr, first: bool) -> Result<Request<Body>, Error> {
    let class = match ask.class {
        Class::Quick => "quick",
        Class::Watch => "watch",
        Class::Order => "order",
    };
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}{}", ask.work.path()))
        .header(TEAM_HEADER, &ask.team)
        .header(CLASS_HEADER, class)
        .header(DEADLINE_HEADER, ask.deadline.as_millis().to_string());
    if let Some(key) = &ask.key {
        request = request.header(KEY_HEADER, key);
    }
    if !first {
        request = request.header(REPEAT_HEADER, "1");
    }
    request.body(Body::from(ask.work.request_body())).map_err(Error::other)
}

fn judge(ask: &Ask, response: Response<Body>) -> Result<Try, Error> {
    let header = |name| response.headers().get(name).and_then(|v| v.to_str().ok());
    let outcome = match header(OUTCOME_HEADER) {
        Some("done") => Outcome::Done,
        Some("failed") => Outcome::Failed,
        Some("not-run") => Outcome::NotRun,
        None if response.status().is_success() => Outcome::Done,
        Some(_) | None => Outcome::Unknown,
    };
    let kept = header(ANSWER_HEADER) != Some("not-kept");
    let wait = header("retry-after").and_then(|v| v.parse().ok()).unwrap_or(0);
    if outcome != Outcome::Done || !kept {
        return Ok(Try::Told(outcome, Duration::from_secs(wait)));
    }
    let body = response.into_body().to_vec()?;
    let expected = ask.work.answer_body();
    if body == expected {
        Ok(Try::Whole)
    } else if expected.starts_with(&body) {
        Ok(Try::Broken)
    } else {
        let beginning = String::from_utf8_lossy(&body[..body.len().min(80)]);
        warn!("caller: Expected the answer to {}, got {beginning:?}.", ask.work.path());
        Ok(Try::Wrong)
    }
}
