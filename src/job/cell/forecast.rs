//! Turns of demand: which service is busiest, and which follows it when.
//!
//! Services whose callers come by turns show it in what they submit: one after the other asks for far
//! more than its pool has, for about the same time each. A turn begins when a service that was quiet
//! asks for a good part of its pool. Once two turns have taken about as long, the start of the next one is
//! known; whose it is follows from the order seen before, or from being the last that has not had one. A
//! turn that does not come ends the forecast until turns agree again. What a turn asks for at its peak, as
//! a multiple of its pool, is learned from the turns seen, of whichever service.

use {
    indexmap::IndexMap,
    log::info,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Part of a pool's cores that submitted work asks for in a turn.
const TURN_LOAD: f64 = 0.5;
/// Part of a pool's cores below which a service is quiet between its turns.
const QUIET_LOAD: f64 = 0.25;
/// Jobs submitted lately from which on the load is more than chance.
const LEAST_JOBS: f64 = 4.0;
/// Part of its peak below which a turn's load falls.
const FALLING: f64 = 0.7;
/// Multiple of its pool's cores that a turn asks for at its peak, where none was seen.
const FIRST_PEAK: f64 = 1.5;
/// Bounds of what is learned of it.
const PEAKS: (f64, f64) = (0.5, 4.0);
/// Times between turns that are kept.
const KEPT: usize = 4;
/// Times between turns that must agree.
const AGREEING: usize = 2;
/// Difference of times between turns that still agree, as a part of them.
const SPREAD: f64 = 0.35;
/// Shortest time between two turns.
const SHORTEST: Duration = Duration::from_millis(1_500);
/// Longest time between two turns.
const LONGEST: Duration = Duration::from_secs(60);
/// Time by which a forecast turn may be late.
const LATENESS: Duration = Duration::from_millis(1_500);

/// Learned turns.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    current: Option<Turn>,
    times: VecDeque<Duration>,
    next: IndexMap<String, String>,
    seen: IndexMap<String, Seen>,
    busy: IndexMap<String, bool>,
}

#[derive(Clone, Debug)]
struct Turn {
    service: String,
    began: Instant,
    load: f64,
    peak: f64,
}

#[derive(Clone, Debug)]
struct Seen {
    began: Instant,
    peak: f64,
}

/// A turn to come.
#[derive(Clone, Debug, PartialEq)]
pub struct Coming {
    /// Service.
    pub service: String,
    /// When it begins.
    pub at: Instant,
}

impl Forecast {
    /// Notes that a service's work asks for `load` of its pool's cores, by `jobs` jobs submitted lately.
    pub fn observe(&mut self, now: Instant, service: &str, load: f64, jobs: f64, lag: Duration) {
        if let Some(turn) = self.current.as_mut().filter(|turn| turn.service == service) {
            turn.load = load;
            turn.peak = turn.peak.max(load);
        }
        let busy = self.busy.entry(String::from(service)).or_default();
        if load < QUIET_LOAD {
            *busy = false;
        }
        if *busy || load < TURN_LOAD || jobs < LEAST_JOBS {
            return;
        }
        *busy = true;
        self.begin(now, service, load, lag);
    }

    fn begin(&mut self, now: Instant, service: &str, load: f64, lag: Duration) {
        let began = now.checked_sub(lag).unwrap_or(now);
        if let Some(turn) = self.current.take() {
            let time = began.saturating_duration_since(turn.began);
            if time < SHORTEST && turn.load > load {
                self.current = Some(turn);
                return;
            }
            self.end(turn, service, time);
        }
        info!("turn: service={service} load={load:.2} times={:?}", self.times);
        self.current = Some(Turn { service: String::from(service), began, load, peak: load });
    }

    fn end(&mut self, turn: Turn, next: &str, time: Duration) {
        if (SHORTEST..=LONGEST).contains(&time) {
            self.times.push_back(time);
            if self.times.len() > KEPT {
                self.times.pop_front();
            }
            self.next.insert(turn.service.clone(), String::from(next));
        }
        self.seen.insert(turn.service, Seen { began: turn.began, peak: turn.peak });
    }

    /// Service whose turn it is, unless what it asks for falls already.
    pub fn rising(&self) -> Option<&str> {
        let turn = self.current.as_ref().filter(|turn| turn.load >= FALLING * turn.peak)?;
        Some(&turn.service)
    }

    /// Multiple of its pool's first cores that a service's turn asks for at its peak.
    pub fn peak(&self, service: &str) -> f64 {
        if let Some(seen) = self.seen.get(service) {
            return seen.peak.clamp(PEAKS.0, PEAKS.1);
        }
        if self.seen.is_empty() {
            return FIRST_PEAK;
        }
        let mean = self.seen.values().map(|seen| seen.peak).sum::<f64>() / self.seen.len() as f64;
        mean.clamp(PEAKS.0, PEAKS.1)
    }

    /// Whether turns agree, and the one in progress has not outlasted them.
    pub fn confident(&self, now: Instant) -> bool {
        let (Some(turn), Some(time)) = (&self.current, self.time()) else { return false };
        now <= turn.began + time + LATENESS
    }

    /// Turn that follows, if turns agree; `services` are those that may have one.
    pub fn coming(&self, now: Instant, services: &[&str]) -> Option<Coming> {
        if !self.confident(now) {
            return None;
        }
        let turn = self.current.as_ref()?;
        let at = turn.began + self.time()?;
        let service = self.following(&turn.service, services)?;
        Some(Coming { service: String::from(service), at })
    }

    fn following<'a>(&'a self, current: &str, services: &[&'a str]) -> Option<&'a str> {
        if let Some(next) = self.next.get(current) {
            return Some(next);
        }
        let fresh = |service: &&&str| **service != current && !self.seen.contains_key(**service);
        let mut unseen = services.iter().filter(fresh);
        match (unseen.next(), unseen.next()) {
            (Some(only), None) => Some(only),
            (Some(_), Some(_)) => None,
            (None, _) => {
                let others = self.seen.iter().filter(|(service, _)| *service != current);
                others.min_by_key(|(_, seen)| seen.began).map(|(service, _)| service.as_str())
            }
        }
    }

    /// Time between the starts of two turns, if the last ones agree.
    fn time(&self) -> Option<Duration> {
        if self.times.len() < AGREEING {
            return None;
        }
        let least = self.times.iter().min()?;
        let most = self.times.iter().max()?;
        let mean = self.times.iter().sum::<Duration>() / self.times.len() as u32;
        ((*most - *least).as_secs_f64() < SPREAD * mean.as_secs_f64()).then_some(mean)
    }
}
