//! Burn reports: lost time, budgets and burn rates.

#![allow(clippy::unwrap_used)]

use {
    carobhitch::{
        budget::{Cause, Ledger, MAX_SPANS, Span, Spent},
        burn::{self, Objective, WINDOWS},
    },
    indexmap::IndexMap,
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::time::Duration,
};

const HOUR: Duration = Duration::from_secs(3_600);
const DAY: Duration = Duration::from_secs(24 * 3_600);
const NOW: Duration = Duration::from_secs(400 * 24 * 3_600);

fn objective(endpoints: u32, target_ppm: u32) -> Objective {
    Objective { service: String::from("quotes"), endpoints, target_ppm, window: DAY * 30 }
}

fn span(cause: Cause, from: Duration, to: Option<Duration>, began: u64) -> Span {
    Span {
        service: String::from("quotes"),
        vm: format!("vm-{began}"),
        zone: String::from("zone-a"),
        cause,
        from,
        to,
        began,
        ended: to.map(|_| began + 1),
    }
}

fn ledger(spans: Vec<Span>) -> Ledger {
    let (open, ended): (Vec<_>, Vec<_>) = spans.into_iter().partition(|span| span.to.is_none());
    let open = open.into_iter().map(|span| (span.vm.clone(), vec![span]));
    Ledger { open: open.collect(), spans: ended.into(), days: IndexMap::new() }
}

#[test]
fn a_report_names_the_causes_of_lost_time_and_the_offsets() {
    let wave = Cause::Wave(String::from("spring"));
    let ledger = ledger(vec![
        span(wave, NOW - HOUR * 3, Some(NOW - HOUR * 2), 10),
        span(Cause::Failure, NOW - HOUR / 2, None, 20),
        span(Cause::Move, NOW - DAY * 40, Some(NOW - DAY * 39), 30),
    ]);
    let report = burn::report(&[objective(10, 999_000)], &ledger, &WINDOWS, NOW);
    let service = &report.services[0];
    let lost: Vec<Duration> = service.windows.iter().map(|w| w.lost.total()).collect();
    assert_eq!(lost, [HOUR / 2, HOUR * 3 / 2, HOUR * 3 / 2, HOUR * 3 / 2]);
    assert_eq!(service.objective_window.lost.wave, HOUR);
    assert_eq!(service.objective_window.budget, HOUR * 72 / 10);
    // Half an hour was lost; 10 endpoints may lose 36 s in an hour.
    assert_eq!(service.windows[0].rate_milli(), Some(50_000));
    let offsets: Vec<_> = service.spends.iter().map(|s| s.offsets.clone()).collect();
    assert_eq!(offsets, [vec![10, 11], vec![20]]);
}

#[test]
fn an_objective_without_budget_has_no_burn_rate() {
    let report = burn::report(&[objective(10, 1_000_000)], &ledger(vec![]), &WINDOWS, NOW);
    assert_eq!(report.services[0].windows[0].rate_milli(), None);
}

#[test]
fn daily_sums_replace_dropped_spans() {
    let minute = Duration::from_secs(60);
    let first = NOW - DAY * 2 + HOUR;
    let spans = (0..MAX_SPANS as u32).map(|index| {
        let from = first + Duration::from_secs(u64::from(index));
        span(Cause::Failure, from, Some(from + minute), u64::from(index))
    });
    let mut ledger = ledger(spans.collect());
    let today = NOW.as_secs() / DAY.as_secs();
    let spent = |wave_ms, failure_ms| Spent { wave_ms, failure_ms, ..Spent::default() };
    let kept_ms = MAX_SPANS as u64 * 60_000;
    let days = IndexMap::from([(today - 9, spent(7_000, 0)), (today - 2, spent(0, kept_ms))]);
    ledger.days.insert(String::from("quotes"), days);
    let report = burn::report(&[objective(10, 999_000)], &ledger, &[DAY, DAY * 30], NOW);
    let windows = &report.services[0].windows;
    assert_eq!(windows[0].lost.total(), Duration::ZERO);
    assert_eq!(windows[1].lost.wave, Duration::from_secs(7));
    assert_eq!(windows[1].lost.failure, minute * MAX_SPANS as u32);
}

fn cause() -> impl Strategy<Value = Cause> {
    prop_oneof![
        Just(Cause::Operator),
        Just(Cause::Move),
        Just(Cause::Failure),
        "[a-z]{1,4}".prop_map(Cause::Wave),
    ]
}

prop_compose! {
    fn spans()(
        found in vec((cause(), 0..3_000_000u64, 0..100_000u64, any::<bool>()), 0..20),
    ) -> Vec<Span> {
        let start = NOW - Duration::from_secs(3_000_000);
        let make = |(index, (cause, from, length, open)): (usize, (_, _, _, bool))| {
            let from: Duration = start + Duration::from_secs(from);
            let to = (from + Duration::from_secs(length)).min(NOW);
            span(cause, from, (!open).then_some(to), 2 * index as u64)
        };
        found.into_iter().enumerate().map(make).collect()
    }
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    #[test]
    fn every_lost_second_has_one_cause_and_one_line(spans in spans(), endpoints in 1..50u32) {
        let all = ledger(spans.clone());
        let report = burn::report(&[objective(endpoints, 999_000)], &all, &WINDOWS, NOW);
        let service = &report.services[0];
        let lines: Duration = service.spends.iter().map(|s| s.lost).sum();
        prop_assert_eq!(lines, service.objective_window.lost.total());
        prop_assert!(service.windows.is_sorted_by_key(|w| w.lost.total()));
        prop_assert!(service.spends.iter().all(|s| !s.offsets.is_empty()));
        // Counts the lost time second by second, as an independent model.
        let from = (NOW - HOUR).as_secs();
        let lost = (from..NOW.as_secs()).map(|second| {
            let down = |s: &&Span| s.from.as_secs() <= second && s.to.unwrap_or(NOW).as_secs() > second;
            spans.iter().filter(down).count() as u64
        });
        prop_assert_eq!(service.windows[0].lost.total().as_secs(), lost.sum::<u64>());
    }
}
