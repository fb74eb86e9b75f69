//! Burn rates: how fast the error budgets of the services are spent, and by what.
//!
//! The availability objective of a service allows a loss of `endpoints x window x (1 - target)` of
//! endpoint time, its error budget. The burn rate over a window is the time lost in it divided by
//! the budget of that window; at a rate of 1 the objective is just met. Lost time is summed from
//! the spans of the ledger, each of which names the offsets of the records that began and ended it.
//! For old spans, which the ledger has dropped, its daily sums are used, so a window that reaches
//! back that far counts its first day whole.

use {
    crate::{
        budget::{Cause, Ledger, MAX_SPANS, Span, Spent},
        id::{Offset, ServiceId, VmId, WaveId, ZoneId},
        state::State,
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Default windows of a report: 1 h, 6 h, 1 d and 30 d.
pub const WINDOWS: [Duration; 4] = [
    Duration::from_secs(3_600),
    Duration::from_secs(6 * 3_600),
    Duration::from_secs(24 * 3_600),
    Duration::from_secs(30 * 24 * 3_600),
];
/// Parts per million in a whole.
const MILLION: u32 = 1_000_000;
/// One day, the granularity of the ledger's sums.
const DAY: Duration = Duration::from_secs(24 * 3_600);

/// Availability objective of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The service.
    pub service: ServiceId,
    /// Number of its endpoints.
    pub endpoints: u32,
    /// Target availability in parts per million.
    pub target_ppm: u32,
    /// Window over which the target must be met.
    pub window: Duration,
}

impl Objective {
    /// Endpoint time that may be lost in a window of the given length.
    pub fn budget(&self, window: Duration) -> Duration {
        let missing = u128::from(MILLION.saturating_sub(self.target_ppm));
        let micros = window.as_millis() * u128::from(self.endpoints) * missing / 1_000;
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Lost endpoint time by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Breakdown {
    /// Lost to maintenance waves.
    pub wave: Duration,
    /// Lost to failures.
    pub failure: Duration,
    /// Lost to moves between pools.
    pub relocation: Duration,
    /// Lost to operators' drains.
    pub operator: Duration,
}

impl Breakdown {
    /// Sum over all causes.
    pub fn total(&self) -> Duration {
        self.wave + self.failure + self.relocation + self.operator
    }

    fn add(&mut self, cause: &Cause, time: Duration) {
        *match cause {
            Cause::Wave(_) => &mut self.wave,
            Cause::Failure => &mut self.failure,
            Cause::Move => &mut self.relocation,
            Cause::Operator => &mut self.operator,
        } += time;
    }

    fn add_day(&mut self, spent: &Spent) {
        self.wave += Duration::from_millis(spent.wave_ms);
        self.failure += Duration::from_millis(spent.failure_ms);
        self.relocation += Duration::from_millis(spent.move_ms);
        self.operator += Duration::from_millis(spent.operator_ms);
    }
}

/// Lost endpoint time and error budget of one service over one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// Length of the window.
    pub length: Duration,
    /// Error budget of the window.
    pub budget: Duration,
    /// Endpoint time lost in the window.
    pub lost: Breakdown,
}

impl Window {
    /// Burn rate in thousandths, 1000 if the objective is just met; `None` if the budget is zero.
    pub fn rate_milli(&self) -> Option<u64> {
        let rate = (self.lost.total().as_millis() * 1_000).checked_div(self.budget.as_millis())?;
        Some(u64::try_from(rate).unwrap_or(u64::MAX))
    }
}

/// A period in the objective's window during which one endpoint was unavailable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spend {
    /// The VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Why it was unavailable.
    pub cause: Cause,
    /// When it began, since the Unix epoch.
    pub from: Duration,
    /// When it ended; `None` while it lasts.
    pub to: Option<Duration>,
    /// Part of the period that lies in the window.
    pub lost: Duration,
    /// Offsets of the records that began and ended it.
    pub offsets: Vec<Offset>,
}

impl Spend {
    /// The wave that caused it, if the cause was one.
    pub fn wave(&self) -> Option<&WaveId> {
        match &self.cause {
            Cause::Wave(wave) => Some(wave),
            Cause::Operator | Cause::Move | Cause::Failure => None,
        }
    }
}

/// Burn report of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its availability objective.
    #[serde(rename = "promise")]
    pub objective: Objective,
    /// Burn over the window of the objective.
    #[serde(rename = "promised")]
    pub objective_window: Window,
    /// Burn over the requested windows.
    pub windows: Vec<Window>,
    /// Periods of unavailability in the window of the objective, oldest first.
    pub spends: Vec<Spend>,
}

/// Burn report of all services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// End of all windows, since the Unix epoch.
    pub at: Duration,
    /// Services.
    pub services: Vec<Service>,
}

/// Availability objectives of the declared services.
pub fn objectives(state: &State) -> Vec<Objective> {
    let mut endpoints: IndexMap<&str, u32> = IndexMap::new();
    for vm in state.declaration.vms.values() {
        *endpoints.entry(&vm.pool).or_default() += 1;
    }
    let services = state.declaration.services.iter();
    let objectives = services.map(|(id, service)| Objective {
        service: id.clone(),
        endpoints: endpoints.get(service.pool.as_str()).copied().unwrap_or_default(),
        target_ppm: service.budget.target_ppm,
        window: Duration::from_secs(service.budget.window_secs),
    });
    objectives.collect()
}

/// Reports the burn of services over windows that end at `now`.
pub fn report(
    objectives: &[Objective],
    ledger: &Ledger,
    windows: &[Duration],
    now: Duration,
) -> Report {
    let services = objectives.iter().map(|objective| {
        let spans: Vec<&Span> =
            ledger.all_spans().filter(|s| s.service == objective.service).collect();
        let window = |length| window(objective, ledger, &spans, length, now);
        Service {
            objective: objective.clone(),
            objective_window: window(objective.window),
            windows: windows.iter().map(|length| window(*length)).collect(),
            spends: spends(&spans, now.saturating_sub(objective.window), now),
        }
    });
    Report { at: now, services: services.collect() }
}

/// Burn of one service over the window of the given length.
fn window(
    objective: &Objective,
    ledger: &Ledger,
    spans: &[&Span],
    length: Duration,
    now: Duration,
) -> Window {
    let from = now.saturating_sub(length);
    let complete_from = complete_from(ledger);
    let mut lost = Breakdown::default();
    for span in spans {
        // Daily sums contain the ended spans, so the part before `complete_from` is counted there.
        let from = if span.to.is_some() { from.max(complete_from) } else { from };
        lost.add(&span.cause, overlap(span, from, now));
    }
    let days = ledger.days.get(&objective.service).into_iter().flatten();
    days.filter(|(day, _)| **day >= day_of(from) && **day < day_of(complete_from))
        .for_each(|(_, spent)| lost.add_day(spent));
    Window { length, budget: objective.budget(length), lost }
}

/// Start of the first day of which the ledger still keeps all spans; zero if it dropped none.
fn complete_from(ledger: &Ledger) -> Duration {
    let dropped = ledger.spans.len() >= MAX_SPANS;
    let oldest = ledger.spans.iter().filter_map(|span| span.to).min();
    match oldest.filter(|_| dropped) {
        Some(oldest) => Duration::from_secs((day_of(oldest) + 1) * DAY.as_secs()),
        None => Duration::ZERO,
    }
}

/// Days since the Unix epoch.
fn day_of(time: Duration) -> u64 {
    time.as_secs() / DAY.as_secs()
}

/// Part of a span that lies between `from` and `now`.
fn overlap(span: &Span, from: Duration, now: Duration) -> Duration {
    span.to.unwrap_or(now).min(now).saturating_sub(span.from.max(from))
}

/// Periods of unavailability after `from`, oldest first.
fn spends(spans: &[&Span], from: Duration, now: Duration) -> Vec<Spend> {
    let spend = |span: &&Span| Spend {
        vm: span.vm.clone(),
        zone: span.zone.clone(),
        cause: span.cause.clone(),
        from: span.from,
        to: span.to,
        lost: overlap(span, from, now),
        offsets: std::iter::once(span.began).chain(span.ended).collect(),
    };
    let mut spends: Vec<Spend> =
        spans.iter().map(spend).filter(|spend| !spend.lost.is_zero()).collect();
    spends.sort_by_key(|spend| spend.from);
    spends
}
