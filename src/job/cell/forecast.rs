//! Forecast of turns: when the next demand peak starts, and of which service.
//!
//! A turn is a period in which one service gets far more work than its pool can do. Callers of
//! several services may cause turns one after the other, each for about the same time. A turn
//! begins when a service that was quiet gets work for a good part of its pool. Once the last turns
//! have taken about as long, the next one is expected after the same time. Its service is the one
//! that followed the current service before; else the only one that has had no turn yet; else, if
//! all have had one, the one whose turn is longest ago. If the expected turn does not come, there
//! is no forecast until turns agree again. The peak of a turn, as a multiple of its pool's cores,
//! is learned from the turns of the same service, or of all services if it has had none.

use {
    indexmap::IndexMap,
    log::info,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Load, as a fraction of the pool's initial cores, at which a turn begins.
const TURN_LOAD: f64 = 0.5;
/// Load below which a service is quiet, so that its next turn may begin.
const QUIET_LOAD: f64 = 0.25;
/// Number of recently submitted jobs from which on the load is taken for more than chance.
const LEAST_JOBS: f64 = 4.0;
/// Fraction of its peak below which a turn's load counts as falling.
const FALLING: f64 = 0.7;
/// Peak load that is assumed before any turn has ended.
const FIRST_PEAK: f64 = 1.5;
/// Bounds of the learned peak load.
const PEAKS: (f64, f64) = (0.5, 4.0);
/// Number of intervals between turns that are kept.
const KEPT: usize = 4;
/// Fewest intervals between turns from which the next one is forecast.
const AGREEING: usize = 2;
/// Largest difference between the kept intervals that counts as agreement, as a fraction of their
/// mean.
const SPREAD: f64 = 0.35;
/// Shortest interval between the starts of two turns.
const SHORTEST: Duration = Duration::from_millis(1_500);
/// Longest interval between the starts of two turns.
const LONGEST: Duration = Duration::from_secs(60);
/// Time by which an expected turn may be late before the forecast is dropped.
const LATENESS: Duration = Duration::from_millis(1_500);

/// Current turn, and what was learned from earlier ones.
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

/// Forecast start of a turn.
#[derive(Clone, Debug, PartialEq)]
pub struct Coming {
    /// Service whose turn it is.
    pub service: String,
    /// When it begins.
    pub at: Instant,
}

impl Forecast {
    /// Takes in a service's current load, as a fraction of its pool's initial cores, and the number
    /// of its recently submitted jobs. If a turn begins, it is dated back by `lag`.
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

    /// Service whose turn it is, unless its load is falling already.
    pub fn rising(&self) -> Option<&str> {
        let turn = self.current.as_ref().filter(|turn| turn.load >= FALLING * turn.peak)?;
        Some(&turn.service)
    }

    /// Expected peak load of a service's turn, as a multiple of its pool's initial cores.
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

    /// Whether the last intervals agree, and the current turn has not outlasted them.
    pub fn confident(&self, now: Instant) -> bool {
        let (Some(turn), Some(time)) = (&self.current, self.time()) else { return false };
        now <= turn.began + time + LATENESS
    }

    /// Next turn, if it can be forecast; `services` are those that may have one.
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

    /// Mean interval between the starts of two turns, if the kept intervals agree.
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
