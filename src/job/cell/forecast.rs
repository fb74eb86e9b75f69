//! Forecast of bursts: when the next one begins, and of which service (`turn` in the log).
//!
//! A burst is a period of peak demand of one service, which asks for far more than its pool has.
//! Callers may use several services in turn, so that each of them has a burst of about the same
//! length. A burst begins when a service that was quiet gets work for a large part of its pool.
//! Once [`REQUIRED_INTERVALS`] intervals between the starts of bursts are about equal, the next
//! burst is expected after the same interval. Its service is the one that followed the current
//! service before; else the only one that has had no burst yet; else, if all have had one, the one
//! whose burst is longest ago. If the expected burst does not begin, there is no forecast until
//! intervals agree again. The peak of a burst, as a multiple of its pool's initial cores, is
//! learned from the last burst of the same service, or from those of all services if it has had
//! none.

use {
    indexmap::IndexMap,
    log::info,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Load, as a fraction of the pool's initial cores, at which a burst begins.
const BURST_LOAD: f64 = 0.5;
/// Load below which a service is quiet, so that its next burst may begin.
const QUIET_LOAD: f64 = 0.25;
/// Number of recently submitted jobs from which on the load is taken for more than chance.
const MIN_JOBS: f64 = 4.0;
/// Fraction of its peak below which a burst's load counts as falling.
const FALLING_FRACTION: f64 = 0.7;
/// Peak load that is assumed before any burst has ended.
const DEFAULT_PEAK: f64 = 1.5;
/// Bounds of the learned peak load.
const PEAK_BOUNDS: (f64, f64) = (0.5, 4.0);
/// Number of intervals between bursts that are kept.
const KEPT_INTERVALS: usize = 4;
/// Fewest intervals between bursts from which the next one is forecast.
const REQUIRED_INTERVALS: usize = 2;
/// Largest difference between the kept intervals that counts as agreement, as a fraction of their
/// mean.
const MAX_SPREAD: f64 = 0.35;
/// Shortest interval between the starts of two bursts.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(1_500);
/// Longest interval between the starts of two bursts.
const LONGEST_INTERVAL: Duration = Duration::from_secs(60);
/// Time by which an expected burst may be late before the forecast is dropped.
const MAX_LATENESS: Duration = Duration::from_millis(1_500);

/// Current burst, and what was learned from earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    current: Option<Burst>,
    /// Last intervals between the starts of two bursts.
    intervals: VecDeque<Duration>,
    /// Service whose burst followed that of each service last.
    successors: IndexMap<String, String>,
    /// Last burst of each service that has ended.
    past: IndexMap<String, Past>,
    /// Whether each service has had a burst since it was quiet.
    busy: IndexMap<String, bool>,
}

/// Burst in progress.
#[derive(Clone, Debug)]
struct Burst {
    service: String,
    began: Instant,
    /// Load of the service now, as a fraction of its pool's initial cores.
    load: f64,
    /// Highest load so far.
    peak: f64,
}

/// Burst that has ended.
#[derive(Clone, Debug)]
struct Past {
    began: Instant,
    peak: f64,
}

/// Forecast start of a burst.
#[derive(Clone, Debug, PartialEq)]
pub struct Expected {
    /// Service whose burst it is.
    pub service: String,
    /// When it begins.
    pub at: Instant,
}

impl Forecast {
    /// Updates the forecast with a service's current load, as a fraction of its pool's initial
    /// cores, and the number of its recently submitted jobs. If a burst begins, it is dated back by
    /// `lag`.
    pub fn observe(&mut self, now: Instant, service: &str, load: f64, jobs: f64, lag: Duration) {
        if let Some(burst) = self.current.as_mut().filter(|burst| burst.service == service) {
            burst.load = load;
            burst.peak = burst.peak.max(load);
        }
        let busy = self.busy.entry(String::from(service)).or_default();
        if load < QUIET_LOAD {
            *busy = false;
        }
        if *busy || load < BURST_LOAD || jobs < MIN_JOBS {
            return;
        }
        *busy = true;
        self.begin(now, service, load, lag);
    }

    /// Begins a burst, and ends the current one. If that has just begun and its load is higher, it
    /// stays the current one instead.
    fn begin(&mut self, now: Instant, service: &str, load: f64, lag: Duration) {
        let began = now.checked_sub(lag).unwrap_or(now);
        if let Some(burst) = self.current.take() {
            let interval = began.saturating_duration_since(burst.began);
            if interval < SHORTEST_INTERVAL && burst.load > load {
                self.current = Some(burst);
                return;
            }
            self.end(burst, service, interval);
        }
        info!("turn: service={service} load={load:.2} times={:?}", self.intervals);
        self.current = Some(Burst { service: String::from(service), began, load, peak: load });
    }

    /// Records a burst that has ended; that of the service `next` began `interval` after it began.
    fn end(&mut self, burst: Burst, next: &str, interval: Duration) {
        if (SHORTEST_INTERVAL..=LONGEST_INTERVAL).contains(&interval) {
            self.intervals.push_back(interval);
            if self.intervals.len() > KEPT_INTERVALS {
                self.intervals.pop_front();
            }
            self.successors.insert(burst.service.clone(), String::from(next));
        }
        self.past.insert(burst.service, Past { began: burst.began, peak: burst.peak });
    }

    /// Service whose burst it is, unless its load is falling already.
    pub fn rising(&self) -> Option<&str> {
        let burst =
            self.current.as_ref().filter(|burst| burst.load >= FALLING_FRACTION * burst.peak)?;
        Some(&burst.service)
    }

    /// Expected peak load of a service's burst, as a multiple of its pool's initial cores.
    pub fn peak(&self, service: &str) -> f64 {
        if let Some(past) = self.past.get(service) {
            return past.peak.clamp(PEAK_BOUNDS.0, PEAK_BOUNDS.1);
        }
        if self.past.is_empty() {
            return DEFAULT_PEAK;
        }
        let mean = self.past.values().map(|past| past.peak).sum::<f64>() / self.past.len() as f64;
        mean.clamp(PEAK_BOUNDS.0, PEAK_BOUNDS.1)
    }

    /// Whether the last intervals agree, and the current burst has not outlasted them.
    pub fn is_confident(&self, now: Instant) -> bool {
        let (Some(burst), Some(interval)) = (&self.current, self.interval()) else { return false };
        now <= burst.began + interval + MAX_LATENESS
    }

    /// Next burst, if it can be forecast; `services` are those that may have one.
    pub fn next_burst(&self, now: Instant, services: &[&str]) -> Option<Expected> {
        if !self.is_confident(now) {
            return None;
        }
        let burst = self.current.as_ref()?;
        let at = burst.began + self.interval()?;
        let service = self.next_service(&burst.service, services)?;
        Some(Expected { service: String::from(service), at })
    }

    /// Service that is expected to have the next burst.
    fn next_service<'a>(&'a self, current: &str, services: &[&'a str]) -> Option<&'a str> {
        if let Some(next) = self.successors.get(current) {
            return Some(next);
        }
        let has_no_burst =
            |service: &&&str| **service != current && !self.past.contains_key(**service);
        let mut unseen = services.iter().filter(has_no_burst);
        match (unseen.next(), unseen.next()) {
            (Some(only), None) => Some(only),
            (Some(_), Some(_)) => None,
            (None, _) => {
                let others = self.past.iter().filter(|(service, _)| *service != current);
                others.min_by_key(|(_, past)| past.began).map(|(service, _)| service.as_str())
            }
        }
    }

    /// Mean interval between the starts of two bursts, if the kept intervals agree.
    fn interval(&self) -> Option<Duration> {
        if self.intervals.len() < REQUIRED_INTERVALS {
            return None;
        }
        let shortest = self.intervals.iter().min()?;
        let longest = self.intervals.iter().max()?;
        let mean = self.intervals.iter().sum::<Duration>() / self.intervals.len() as u32;
        ((*longest - *shortest).as_secs_f64() < MAX_SPREAD * mean.as_secs_f64()).then_some(mean)
    }
}
