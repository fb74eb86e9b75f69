//! Converts the state to messages of the schema.

use {
    super::{EntryStatus, Health, proto},
    crate::{
        budget::Cause,
        burn,
        fleet::{Service, Wave},
        history::Event,
        id::{Offset, ServiceId, VmId, WaveId},
        state::{Drain, Move, State, Verdict},
        wave::Run,
    },
    std::time::Duration,
};

/// Maximum number of changes in one reply.
const MAX_CHANGES: usize = 1_000;

pub(super) fn outcome(offset: Offset, verdict: &Verdict) -> proto::Outcome {
    let accepted = *verdict == Verdict::Accepted;
    proto::Outcome { offset, accepted, reason: reason(verdict) }
}

fn reason(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted => String::new(),
        Verdict::Rejected(reason) => reason.to_string(),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

pub(super) fn status(state: &State, entries: Vec<EntryStatus>) -> proto::StatusReply {
    proto::StatusReply {
        version: state.version,
        next: state.next,
        entries: entries.into_iter().map(entry).collect(),
        drains: state.drains.iter().map(drain).collect(),
        moves: state.moves.iter().map(|(vm, found)| pending_move(state, vm, found)).collect(),
        waves: state.declaration.waves.iter().map(|(id, found)| wave(state, id, found)).collect(),
        services: state
            .declaration
            .services
            .iter()
            .map(|(id, found)| service(state, id, found))
            .collect(),
    }
}

fn entry(status: EntryStatus) -> proto::Entry {
    let health = match status.health {
        Health::Ready => proto::Health::Ready,
        Health::Suspected => proto::Health::Suspected,
        Health::Gone => proto::Health::Gone,
    };
    proto::Entry {
        id: status.id,
        zone: status.zone,
        incarnation: status.incarnation,
        version: status.version,
        next: status.next,
        age_millis: millis(status.age),
        health: health.into(),
    }
}

fn drain((vm, drain): (&VmId, &Drain)) -> proto::Drain {
    let holds = drain.holds.iter().map(|cause| match cause {
        Cause::Operator => String::from("operator"),
        Cause::Move => String::from("move"),
        Cause::Failure => String::from("failure"),
        Cause::Wave(wave) => format!("wave {wave}"),
    });
    proto::Drain {
        vm: vm.clone(),
        since: drain.since,
        waiting: drain.waiting.clone(),
        holds: holds.collect(),
    }
}

fn pending_move(state: &State, vm: &VmId, found: &Move) -> proto::Move {
    let from = state.declaration.vms.get(vm).map(|v| v.pool.clone());
    let to = found.to.as_ref().map(|v| v.pool.clone());
    proto::Move {
        vm: vm.clone(),
        from: from.unwrap_or_default(),
        to: to.unwrap_or_default(),
        since: found.since,
    }
}

fn wave(state: &State, id: &WaveId, declared: &Wave) -> proto::Wave {
    let Some(run) = state.waves.get(id) else {
        let phase = proto::Phase::Declared.into();
        return proto::Wave { id: id.clone(), phase, ..Default::default() };
    };
    let left =
        state.remaining_vms(declared, run).filter(|(vm, _)| !run.active.contains_key(*vm)).count();
    let reason = run.paused.as_ref().map(ToString::to_string).unwrap_or_default();
    proto::Wave {
        id: id.clone(),
        phase: phase(run).into(),
        reason,
        done: run.count,
        active: run.active.keys().cloned().collect(),
        failed: run.failures.iter().map(|failure| failure.vm.clone()).collect(),
        left: if run.ended.is_some() { 0 } else { count(left) },
        remaining_secs: state.remaining(id).map(|time| time.as_secs()),
        began: Some(run.began),
    }
}

fn phase(run: &Run) -> proto::Phase {
    match (run.cancelled, run.ended.is_some(), run.paused.is_some()) {
        (true, ..) => proto::Phase::Cancelled,
        (false, true, _) => proto::Phase::Done,
        (false, false, true) => proto::Phase::Paused,
        (false, false, false) => proto::Phase::Running,
    }
}

fn service(state: &State, id: &ServiceId, service: &Service) -> proto::Service {
    let (spent, budget) = state.budget_usage(id, service, &service.pool);
    let endpoints = state.declaration.vms.values().filter(|vm| vm.pool == service.pool);
    proto::Service {
        id: id.clone(),
        pool: service.pool.clone(),
        endpoints: count(endpoints.count()),
        unavailable: count(state.unavailable(&service.pool).count()),
        max_unavailable: service.budget.max_unavailable,
        spent_secs: spent.as_secs(),
        budget_secs: budget.as_secs(),
    }
}

pub(super) fn history(state: &State, request: &proto::HistoryRequest) -> proto::HistoryReply {
    let max = match usize::try_from(request.max).unwrap_or(MAX_CHANGES) {
        0 => MAX_CHANGES,
        max => max.min(MAX_CHANGES),
    };
    let events = state.history.events.iter().filter(|event| event.offset >= request.from);
    let mut changes: Vec<_> = events.rev().take(max).map(change).collect();
    changes.reverse();
    proto::HistoryReply { changes }
}

fn change(event: &Event) -> proto::Change {
    proto::Change {
        offset: event.offset,
        at_millis: millis(event.at),
        operation: event.operation.clone(),
        author: event.author.clone(),
        action: event.summary.clone(),
        accepted: event.verdict == Verdict::Accepted,
        reason: reason(&event.verdict),
    }
}

pub(super) fn burn(report: &burn::Report) -> proto::BurnReply {
    let services = report.services.iter().map(service_burn).collect();
    proto::BurnReply { at_millis: millis(report.at), services }
}

fn service_burn(service: &burn::Service) -> proto::ServiceBurn {
    let signed = |time| i64::try_from(millis(time)).unwrap_or(i64::MAX);
    let (budget, lost) = (service.objective_window.budget, service.objective_window.lost.total());
    proto::ServiceBurn {
        service: service.objective.service.clone(),
        endpoints: service.objective.endpoints,
        target_ppm: service.objective.target_ppm,
        promise: Some(window(&service.objective_window)),
        left_millis: signed(budget).saturating_sub(signed(lost)),
        windows: service.windows.iter().map(window).collect(),
        spends: service.spends.iter().map(spend).collect(),
    }
}

fn window(window: &burn::Window) -> proto::WindowBurn {
    proto::WindowBurn {
        window_secs: window.length.as_secs(),
        lost_millis: millis(window.lost.total()),
        budget_millis: millis(window.budget),
        rate_milli: window.rate_milli(),
        by_wave_millis: millis(window.lost.wave),
        by_failure_millis: millis(window.lost.failure),
        by_move_millis: millis(window.lost.relocation),
        by_operator_millis: millis(window.lost.operator),
    }
}

fn spend(spend: &burn::Spend) -> proto::Spend {
    let cause = match spend.cause {
        Cause::Wave(_) => proto::Cause::Wave,
        Cause::Failure => proto::Cause::Failure,
        Cause::Move => proto::Cause::Move,
        Cause::Operator => proto::Cause::Operator,
    };
    proto::Spend {
        vm: spend.vm.clone(),
        zone: spend.zone.clone(),
        cause: cause.into(),
        wave: spend.wave().cloned().unwrap_or_default(),
        from_millis: millis(spend.from),
        to_millis: spend.to.map(millis),
        lost_millis: millis(spend.lost),
        offsets: spend.offsets.clone(),
    }
}
