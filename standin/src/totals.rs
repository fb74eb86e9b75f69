//! Counts of a run's requests by how they ended, and the report as a table.

use {
    crate::{
        caller::{Attempt, End, Request, Trace},
        endpoint::Ledger,
    },
    carobhitch::{id::OrderKey, request::Class},
    hdrhistogram::Histogram,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr},
};

/// Maximum latency that the histograms record; greater ones count as this one.
const MAX_LATENCY_MICROS: u64 = 600_000_000;
/// Maximum number of lost or cut requests whose attempts a report lists.
const MAX_ODDITIES: usize = 5;
/// Significant digits of the recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Counts and latencies of the requests of one class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Row {
    /// Requests made.
    pub sent: u64,
    /// Got their complete response.
    pub answered: u64,
    /// Ran and failed.
    pub failed: u64,
    /// Were refused without having run.
    pub refused: u64,
    /// May have run.
    pub unknown: u64,
    /// Got no response at all.
    pub lost: u64,
    /// Got a response to another request, or had a connection broken by an entry that was not killed.
    pub cut: u64,
    /// Attempts beyond the first.
    pub retries: u64,
    /// Median latency of the answered requests.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the answered requests.
    pub p99_ms: f64,
    /// Maximum latency of the answered requests.
    pub max_ms: f64,
}

/// Comparison of the orders with the endpoints' ledgers, and counts of the endpoints.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Audit {
    /// Orders that ran more than once.
    pub doubled: u64,
    /// Orders that ran although the callers were told that they had not.
    pub false_not_run: u64,
    /// Orders answered as done that never ran.
    pub unrun: u64,
    /// Maximum number of concurrent exchanges on one endpoint.
    pub most_in_flight: u32,
    /// Maximum number of concurrent connections to one endpoint.
    pub most_connections: usize,
    /// Requests that endpoints refused because no slot was free.
    pub refused: u64,
    /// Requests that reached another service's endpoint.
    pub misrouted: u64,
    /// Exchanges broken by a reboot.
    pub broken: u64,
}

/// Result of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Requests by class.
    pub rows: IndexMap<String, Row>,
    /// Check of the orders against the endpoints' ledgers.
    pub audit: Audit,
    /// The first requests that were lost or cut, with their attempts.
    pub oddities: Vec<String>,
}

/// Counts of the requests that have ended.
#[derive(Debug)]
pub struct Totals {
    killed: IndexSet<SocketAddr>,
    rows: IndexMap<String, Row>,
    latencies: IndexMap<String, Histogram<u64>>,
    orders: IndexMap<OrderKey, (End, bool)>,
    oddities: Vec<String>,
}

impl Totals {
    /// Creates empty totals; connections to the `killed` entries may break without counting as cut.
    pub fn new(killed: impl IntoIterator<Item = SocketAddr>) -> Self {
        let killed = killed.into_iter().collect();
        let rows = ["quick", "watch", "order"].map(|c| (String::from(c), Row::default()));
        Self {
            killed,
            rows: rows.into_iter().collect(),
            latencies: IndexMap::new(),
            orders: IndexMap::new(),
            oddities: Vec::new(),
        }
    }

    /// Counts a request that ended.
    pub fn add(&mut self, request: &Request, trace: &Trace) {
        let class = match request.class {
            Class::Quick => "quick",
            Class::Watch => "watch",
            Class::Order => "order",
        };
        let row = self.rows.entry(class.into()).or_default();
        row.sent += 1;
        row.retries += trace.attempts.len().saturating_sub(1) as u64;
        let broken = |(entry, a): &(SocketAddr, Attempt)| {
            *a == Attempt::Broken && !self.killed.contains(entry)
        };
        let cut = trace.end == End::Cut || trace.attempts.iter().any(broken);
        row.cut += u64::from(cut);
        if (cut || trace.end == End::Lost) && self.oddities.len() < MAX_ODDITIES {
            self.oddities
                .push(format!("{class} {}: {:?} {:?}", request.work.id, trace.end, trace.attempts));
        }
        match trace.end {
            End::Answered => row.answered += 1,
            End::Failed => row.failed += 1,
            End::Refused => row.refused += 1,
            End::Unknown => row.unknown += 1,
            End::Lost => row.lost += 1,
            End::Cut => (),
        }
        if trace.end == End::Answered {
            let new_histogram = || Histogram::new_with_max(MAX_LATENCY_MICROS, LATENCY_DIGITS).ok();
            if !self.latencies.contains_key(class) {
                self.latencies.extend(new_histogram().map(|h| (String::from(class), h)));
            }
            if let Some(latencies) = self.latencies.get_mut(class) {
                latencies.saturating_record(trace.latency.as_micros() as u64);
            }
        }
        if let Some(key) = &request.key {
            self.orders.insert(key.clone(), (trace.end, trace.never_ran()));
        }
    }

    /// Reports the totals, with the orders compared to the endpoints' ledgers.
    pub fn report(&self, ledgers: &[Ledger]) -> Report {
        let mut rows = self.rows.clone();
        let millis = |micros: u64| micros as f64 / 1000.0;
        for (class, latencies) in &self.latencies {
            let row = rows.entry(class.clone()).or_default();
            row.p50_ms = millis(latencies.value_at_quantile(0.5));
            row.p99_ms = millis(latencies.value_at_quantile(0.99));
            row.max_ms = millis(latencies.max());
        }
        Report { rows, audit: self.audit(ledgers), oddities: self.oddities.clone() }
    }

    fn audit(&self, ledgers: &[Ledger]) -> Audit {
        let mut runs: IndexMap<&OrderKey, u32> = IndexMap::new();
        for (key, count) in ledgers.iter().flat_map(|l| &l.runs) {
            *runs.entry(key).or_default() += count;
        }
        let sum = |of: &dyn Fn(&Ledger) -> u64| ledgers.iter().map(of).sum();
        let ran = |key: &OrderKey| runs.contains_key(key);
        let orders = || self.orders.iter();
        Audit {
            doubled: runs.values().filter(|n| **n > 1).count() as u64,
            false_not_run: orders().filter(|(k, (_, never_ran))| *never_ran && ran(k)).count()
                as u64,
            unrun: orders().filter(|(k, (e, _))| *e == End::Answered && !ran(k)).count() as u64,
            most_in_flight: ledgers.iter().map(|l| l.most_in_flight).max().unwrap_or(0),
            most_connections: ledgers.iter().map(|l| l.connections.most_open).max().unwrap_or(0),
            refused: sum(&|l| l.refused),
            misrouted: sum(&|l| l.misrouted),
            broken: sum(&|l| l.broken),
        }
    }
}

impl Report {
    /// Whether every class was served, nothing was lost, doubled or cut, and every reported outcome was
    /// true.
    pub fn passed(&self) -> bool {
        if self.rows.values().any(|r| r.sent > 0 && r.answered == 0) {
            return false;
        }
        let Audit { doubled, false_not_run, unrun, .. } = self.audit;
        let rows = self.rows.values();
        rows.map(|r| r.lost + r.cut).sum::<u64>() + doubled + false_not_run + unrun == 0
    }

    /// Counts of a class in the order of [`COLUMNS`].
    fn counts(&self, class: &str, r: &Row) -> [u64; COLUMNS.len()] {
        let doubled = if class == "order" { self.audit.doubled } else { 0 };
        let Row { sent, answered, failed, refused, unknown, lost, cut, retries, .. } = *r;
        [sent, answered, failed, refused, unknown, lost, doubled, cut, retries]
    }
}

/// Headings of the table's columns of counts.
const COLUMNS: [&str; 9] =
    ["sent", "answered", "failed", "not run", "unknown", "lost", "doubled", "cut", "retries"];

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<6}", "class")?;
        COLUMNS.iter().try_for_each(|heading| write!(f, " {heading:>8}"))?;
        writeln!(f, " {:>9} {:>9} {:>9}", "p50 ms", "p99 ms", "max ms")?;
        let mut totals = [0; COLUMNS.len()];
        for (class, row) in &self.rows {
            let counts = self.counts(class, row);
            totals.iter_mut().zip(counts).for_each(|(total, n)| *total += n);
            write_counts(f, class, &counts)?;
            writeln!(f, " {:>9.1} {:>9.1} {:>9.1}", row.p50_ms, row.p99_ms, row.max_ms)?;
        }
        write_counts(f, "total", &totals)?;
        let a = &self.audit;
        write!(f, "\norders refused as not run that ran: {}; ", a.false_not_run)?;
        writeln!(f, "orders answered that never ran: {}", a.unrun)?;
        write!(f, "on one endpoint, at most: {} exchanges, ", a.most_in_flight)?;
        writeln!(f, "{} connections at once", a.most_connections)?;
        write!(f, "endpoints: {} requests past their slots, ", a.refused)?;
        write!(f, "{} misrouted, {} broken by a reboot", a.misrouted, a.broken)?;
        self.oddities.iter().try_for_each(|oddity| write!(f, "\n{oddity}"))
    }
}

fn write_counts(f: &mut fmt::Formatter<'_>, class: &str, counts: &[u64]) -> fmt::Result {
    write!(f, "{class:<6}")?;
    counts.iter().try_for_each(|n| write!(f, " {n:>8}"))
}
