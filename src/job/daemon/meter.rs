//! Counters and latency histograms, served in the Prometheus text format.

use {
    super::{internal, listener::Listener, peer::Method},
    crate::{
        intake::Guard,
        job::{
            cell::{Accounts, Counts, Sizes, WaveCounts},
            claim::claim_timeout,
        },
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming},
    log::warn,
    prometheus::{
        Encoder, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Registry, TextEncoder,
        histogram_opts, opts,
    },
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Upper bounds of the latency histograms' buckets, in seconds.
const BUCKETS: [f64; 9] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0];

/// Interval at which it is shown what callers hold.
const SHOW_INTERVAL: Duration = Duration::from_secs(1);
/// Number of organisations that have time series of their own.
const MAX_ORGANISATIONS: usize = 50;

/// Counters and latency histograms.
pub struct Meter {
    registry: Registry,
    answers: HistogramVec,
    calls: HistogramVec,
    events: IntCounterVec,
    organisations: IntGaugeVec,
    store_delay: IntGauge,
    claim_timeout: IntGauge,
    intake: IntGaugeVec,
    waves: IntGaugeVec,
}

impl Meter {
    /// Creates and registers the metrics.
    pub fn new() -> prometheus::Result<Self> {
        let buckets = BUCKETS.to_vec();
        let answers =
            histogram_opts!("carobhitch_answers_seconds", "Callers' requests", buckets.clone());
        let calls = histogram_opts!("carobhitch_calls_seconds", "Calls to servers", buckets);
        let meter = Self {
            registry: Registry::new(),
            answers: HistogramVec::new(answers, &["method", "status"])?,
            calls: HistogramVec::new(calls, &["call", "outcome"])?,
            events: IntCounterVec::new(opts!("carobhitch_events_total", "Decisions"), &["event"])?,
            organisations: IntGaugeVec::new(
                opts!("carobhitch_organisation", "Organisations at the owner"),
                &["organisation", "value"],
            )?,
            store_delay: IntGauge::new(
                "carobhitch_store_delay_ms",
                "Time that the store takes to answer, 0 if it is fast",
            )?,
            claim_timeout: IntGauge::new(
                "carobhitch_claim_timeout_ms",
                "Time without a record of the owner after which this entry claims the cell",
            )?,
            intake: IntGaugeVec::new(
                opts!("carobhitch_intake", "What callers hold, and what they were denied"),
                &["value"],
            )?,
            waves: IntGaugeVec::new(
                opts!("carobhitch_waves", "Maintenance waves at the owner"),
                &["value"],
            )?,
        };
        meter.registry.register(Box::new(meter.answers.clone()))?;
        meter.registry.register(Box::new(meter.calls.clone()))?;
        meter.registry.register(Box::new(meter.events.clone()))?;
        meter.registry.register(Box::new(meter.organisations.clone()))?;
        meter.registry.register(Box::new(meter.store_delay.clone()))?;
        meter.registry.register(Box::new(meter.claim_timeout.clone()))?;
        meter.registry.register(Box::new(meter.intake.clone()))?;
        meter.registry.register(Box::new(meter.waves.clone()))?;
        Ok(meter)
    }

    /// Counts an answer to a caller.
    pub fn count_answer(&self, method: Method, status: u16, took: Duration) {
        let method = match method {
            Method::Post => "post",
            Method::Get => "get",
            Method::Delete => "delete",
            Method::Other => "other",
        };
        let labels = [method, &status.to_string()];
        self.answers.with_label_values(&labels).observe(took.as_secs_f64());
    }

    /// Counts a call to a server.
    pub fn count_call(&self, call: &str, outcome: &str, took: Duration) {
        self.calls.with_label_values(&[call, outcome]).observe(took.as_secs_f64());
    }

    /// Shows the store's present delay, and the claim timeout that follows from it.
    pub fn show_store_delay(&self, delay: Duration) {
        let ms = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
        self.store_delay.set(ms(delay));
        self.claim_timeout.set(ms(claim_timeout(delay)));
    }

    /// Counts a decision of the owner by its name.
    pub fn count_event(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// Shows the accounts of organisations. Beyond [`MAX_ORGANISATIONS`] they are summed, so that the
    /// number of time series is bounded.
    pub fn show_accounts(&self, accounts: &Accounts) {
        self.organisations.reset();
        for (number, (name, account)) in accounts.all().iter().enumerate() {
            let name = if number < MAX_ORGANISATIONS { name } else { "(others)" };
            let Counts { accepted, over_rate, useless, in_time, late } = account.counts;
            let values = [
                ("running_millicores", account.running.millicores),
                ("running_tasks", account.running.tasks),
                ("limit_millicores", account.limit.millicores.unwrap_or_default()),
                ("accepted", accepted),
                ("refused_over_rate", over_rate),
                ("refused_useless", useless),
                ("in_time", in_time),
                ("late", late),
            ];
            for (value, amount) in values {
                let amount = i64::try_from(amount).unwrap_or(i64::MAX);
                self.organisations.with_label_values(&[name, value]).add(amount);
            }
        }
    }

    /// Shows the estimated memory of the owner's jobs, and how many were refused for want of it.
    pub fn show_sizes(&self, sizes: &Sizes) {
        for (value, amount) in
            [("job_bytes", sizes.total_bytes() as u64), ("refused_jobs", sizes.refusals())]
        {
            let amount = i64::try_from(amount).unwrap_or(i64::MAX);
            self.intake.with_label_values(&[value]).set(amount);
        }
    }

    /// Shows what callers and the platform hold, and what was done to stay within the limits.
    fn show_guards(&self, callers: &Guard, internal: &Guard) {
        let held = [
            ("connections", callers.connections() as u64),
            ("body_bytes", callers.used_bytes() as u64),
            ("internal_connections", internal.connections() as u64),
            ("internal_closed_connections", internal.counts().closed_connections),
        ];
        for (value, amount) in held.into_iter().chain(callers.counts().all()) {
            let amount = i64::try_from(amount).unwrap_or(i64::MAX);
            self.intake.with_label_values(&[value]).set(amount);
        }
    }

    /// Shows the owner's maintenance waves.
    pub fn show_waves(&self, counts: &WaveCounts) {
        for (value, amount) in counts.all() {
            let amount = i64::try_from(amount).unwrap_or(i64::MAX);
            self.waves.with_label_values(&[value]).set(amount);
        }
    }

    /// Hides what only the owner shows once this entry no longer owns the cell.
    pub fn hide_owner(&self) {
        self.organisations.reset();
        self.waves.reset();
    }

    fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            warn!("metrics: {e}");
        }
        text
    }
}

/// Shows what callers hold at regular intervals.
pub async fn show_intake(meter: Rc<Meter>, callers: Arc<Guard>, internal: Arc<Guard>) {
    loop {
        meter.show_guards(&callers, &internal);
        sleep(SHOW_INTERVAL).await;
    }
}

/// Serves the metrics over HTTP.
pub async fn serve(meter: Rc<Meter>, listener: Listener, guard: Arc<Guard>) {
    let respond = move |_: &Request<Incoming>| Response::new(Full::new(Bytes::from(meter.text())));
    internal::serve("metrics", listener, guard, respond).await;
}
