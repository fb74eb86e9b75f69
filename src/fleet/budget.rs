//! State machine: availability budgets, which planned and unplanned unavailability share.
//!
//! An endpoint is unavailable while its VM is drained or lost. The budget of a service limits how
//! many endpoints are unavailable at the same time, in total and per availability zone, and how
//! much endpoint time may be lost within its window. Planned drains that would exceed a limit are
//! rejected; failures cannot be rejected and only spend the budget.
//!
//! The ledger keeps the newest spans of unavailability, with the offsets of the records that began
//! and ended them, and sums per day and cause for older ones, so its size is bounded.

use {
    crate::{
        check::MILLION,
        fleet::{Service, Vm},
        id::{Offset, ServiceId, VmId, WaveId, ZoneId},
        state::State,
        verdict::{Reason, Result},
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
};

/// Number of ended spans that are kept individually.
pub const MAX_SPANS: usize = 4096;
/// Number of days for which daily sums are kept.
pub const MAX_DAYS: u64 = 92;
/// Longest window of a budget, since daily sums are not kept for longer.
pub const MAX_WINDOW: Duration = Duration::from_secs(MAX_DAYS * DAY.as_secs());
/// One day, the granularity of the sums.
const DAY: Duration = Duration::from_secs(24 * 3600);

/// Why an endpoint is unavailable.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// An operator drained the VM.
    Operator,
    /// The VM is moving to another pool or leaving the fleet.
    Move,
    /// A maintenance wave holds the VM.
    Wave(WaveId),
    /// The VM is not running, or its reboot in a wave failed.
    Failure,
}

/// A period during which one endpoint of a service was unavailable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// The service.
    pub service: ServiceId,
    /// VM of the endpoint.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Why it was unavailable.
    pub cause: Cause,
    /// When it began, since the Unix epoch.
    pub from: Duration,
    /// When it ended; `None` while it lasts.
    pub to: Option<Duration>,
    /// Offset of the record that began it.
    pub began: Offset,
    /// Offset of the record that ended it.
    pub ended: Option<Offset>,
}

/// Endpoint-milliseconds of unavailability of a service on one day.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Spent {
    /// Caused by operators' drains.
    pub operator_ms: u64,
    /// Caused by moves between pools.
    pub move_ms: u64,
    /// Caused by maintenance waves.
    pub wave_ms: u64,
    /// Caused by failures.
    pub failure_ms: u64,
}

impl Spent {
    /// Sum over all causes.
    pub fn total(&self) -> u64 {
        self.operator_ms + self.move_ms + self.wave_ms + self.failure_ms
    }

    fn add(&mut self, cause: &Cause, ms: u64) {
        *match cause {
            Cause::Operator => &mut self.operator_ms,
            Cause::Move => &mut self.move_ms,
            Cause::Wave(_) => &mut self.wave_ms,
            Cause::Failure => &mut self.failure_ms,
        } += ms;
    }
}

/// Unavailability of all services, past and present.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// Open spans, by VM.
    pub open: IndexMap<VmId, Vec<Span>>,
    /// The newest ended spans, oldest first.
    pub spans: VecDeque<Span>,
    /// Sums of ended spans by service and day since the Unix epoch.
    pub days: IndexMap<ServiceId, IndexMap<u64, Spent>>,
}

impl Ledger {
    /// Individually kept spans, ended ones first, as needed for a burn report.
    pub fn all_spans(&self) -> impl Iterator<Item = &Span> {
        self.spans.iter().chain(self.open.values().flatten())
    }

    /// Endpoint time that a service lost from `from` to `to`. Ended spans are known by day, so the
    /// whole first day counts.
    pub fn spent(&self, service: &str, from: Duration, to: Duration) -> Duration {
        let days = self.days.get(service).into_iter().flatten();
        let ended_ms =
            days.filter(|(day, _)| **day >= day_of(from)).map(|(_, spent)| spent.total()).sum();
        let open = self.open.values().flatten().filter(|s| s.service == service);
        let lasting: Duration = open.map(|s| to.saturating_sub(s.from.max(from))).sum();
        Duration::from_millis(ended_ms) + lasting
    }

    /// Ends the open spans of a VM.
    fn close(&mut self, vm: &str, offset: Offset, at: Duration) {
        for mut span in self.open.swap_remove(vm).into_iter().flatten() {
            span.to = Some(at.max(span.from));
            span.ended = Some(offset);
            self.add_to_days(&span, at);
            if self.spans.len() == MAX_SPANS {
                self.spans.pop_front();
            }
            self.spans.push_back(span);
        }
    }

    /// Adds an ended span to the sums of the days that it overlaps, and drops the oldest days.
    fn add_to_days(&mut self, span: &Span, at: Duration) {
        let days = self.days.entry(span.service.clone()).or_default();
        let to = span.to.unwrap_or(at);
        let oldest = day_of(at).saturating_sub(MAX_DAYS);
        for day in day_of(span.from).max(oldest)..=day_of(to) {
            let start = DAY * day as u32;
            let part = to.min(start + DAY).saturating_sub(span.from.max(start));
            days.entry(day).or_default().add(&span.cause, part.as_millis() as u64);
        }
        days.retain(|day, _| *day >= oldest);
    }
}

/// Days since the Unix epoch.
fn day_of(time: Duration) -> u64 {
    time.as_secs() / DAY.as_secs()
}

impl State {
    /// Why a VM is unavailable; `None` if it is available.
    pub fn cause(&self, vm: &str) -> Option<Cause> {
        let held = self.drains.get(vm).and_then(|d| d.holds.first().cloned());
        held.or_else(|| self.lost.contains_key(vm).then_some(Cause::Failure))
    }

    /// Services whose endpoints run on the VMs of a pool.
    pub fn services_on(&self, pool: &str) -> impl Iterator<Item = (&ServiceId, &Service)> {
        self.declaration.services.iter().filter(move |(_, s)| s.pool == pool)
    }

    /// VMs of a pool that are unavailable.
    pub fn unavailable(&self, pool: &str) -> impl Iterator<Item = (&VmId, &Vm)> {
        let lost = self.lost.keys().filter(|vm| !self.drains.contains_key(*vm));
        let vms =
            self.drains.keys().chain(lost).filter_map(|vm| self.declaration.vms.get_key_value(vm));
        vms.filter(move |(_, vm)| vm.pool == pool)
    }

    /// Opens and closes spans of a VM after a record that may have changed its availability.
    pub(crate) fn update_spans(&mut self, vm: &str, offset: Offset, at: Duration) {
        let cause = self.cause(vm);
        let open = self.ledger.open.get(vm).and_then(|spans| spans.first()).map(|s| &s.cause);
        if open == cause.as_ref() {
            return;
        }
        self.ledger.close(vm, offset, at);
        let (Some(cause), Some(found)) = (cause, self.declaration.vms.get(vm)) else { return };
        let span = |service: &ServiceId| Span {
            service: service.clone(),
            vm: vm.into(),
            zone: found.zone.clone(),
            cause: cause.clone(),
            from: at,
            to: None,
            began: offset,
            ended: None,
        };
        let spans: Vec<_> = self.services_on(&found.pool).map(|(id, _)| span(id)).collect();
        if !spans.is_empty() {
            self.ledger.open.insert(vm.into(), spans);
        }
    }

    /// Rejects a planned drain that would exceed the budget of a service on the VM. A VM that is
    /// already unavailable may always be drained, since that adds no unavailability.
    pub(crate) fn check_budget(&self, id: &str, vm: &Vm) -> Result {
        if self.cause(id).is_some() {
            return Ok(());
        }
        for (service, declared) in self.services_on(&vm.pool) {
            self.check_concurrent(service, declared, vm)?;
            self.check_window(service, declared, &vm.pool)?;
        }
        Ok(())
    }

    /// Rejects a drain if too many endpoints are unavailable, in total or in the VM's zone.
    fn check_concurrent(&self, service: &ServiceId, declared: &Service, vm: &Vm) -> Result {
        let budget = &declared.budget;
        let all = self.unavailable(&vm.pool).count() as u32;
        if all >= budget.max_unavailable {
            let max = budget.max_unavailable;
            return Err(Reason::Budget { service: service.clone(), unavailable: all, max });
        }
        let zone = self.unavailable(&vm.pool).filter(|(_, v)| v.zone == vm.zone).count() as u32;
        if zone >= budget.max_unavailable_zone {
            return Err(Reason::ZoneBudget {
                service: service.clone(),
                zone: vm.zone.clone(),
                unavailable: zone,
                max: budget.max_unavailable_zone,
            });
        }
        Ok(())
    }

    /// Rejects a drain if the endpoint time that may be lost within the window is spent.
    fn check_window(&self, service: &ServiceId, declared: &Service, pool: &str) -> Result {
        let (spent, allowed) = self.budget_usage(service, declared, pool);
        if !spent.is_zero() && spent >= allowed {
            return Err(Reason::Burnt {
                service: service.clone(),
                spent_secs: spent.as_secs(),
                allowed_secs: allowed.as_secs(),
            });
        }
        Ok(())
    }

    /// Endpoint time that a service lost within its window, and how much it may lose.
    pub fn budget_usage(
        &self,
        service: &str,
        declared: &Service,
        pool: &str,
    ) -> (Duration, Duration) {
        let window = Duration::from_secs(declared.budget.window_secs);
        let spent = self.ledger.spent(service, self.clock.saturating_sub(window), self.clock);
        let vms = self.declaration.vms.values().filter(|vm| vm.pool == pool).count() as u64;
        let missing = u64::from(MILLION - declared.budget.target_ppm.min(MILLION));
        let allowed_us = declared.budget.window_secs * vms * missing;
        (spent, Duration::from_micros(allowed_us))
    }
}
