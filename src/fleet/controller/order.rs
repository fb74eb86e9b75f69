//! Order in which a wave takes VMs, and which of them the budgets allow.

use crate::{
    fleet::Vm,
    id::VmId,
    platform,
    state::{Reason, State},
};

/// First VM that the budgets allow to be drained. If the budget of an availability zone is spent,
/// the VMs of that zone are passed over; any other spent budget forbids the whole pool.
pub(super) fn first_within_budget<'a>(
    state: &State,
    ready: &[(&'a VmId, &'a Vm, &'a platform::Vm)],
) -> Option<(&'a VmId, &'a platform::Vm)> {
    let mut spent = None;
    for (id, vm, listed) in ready {
        if spent.as_ref() == Some(&vm.zone) {
            continue;
        }
        match state.check_budget(id, vm) {
            Ok(()) => return Some((id, listed)),
            Err(Reason::ZoneBudget { zone, .. }) => spent = Some(zone),
            Err(_) => return None,
        }
    }
    None
}

/// Sort key of the VMs that a wave may take: drained and empty ones first, then by availability
/// zone and rack.
pub(super) fn take_order<'a>(
    state: &State,
    id: &'a VmId,
    vm: &'a Vm,
) -> (bool, &'a str, &'a str, &'a str) {
    let empty = state.drains.get(id).is_some_and(|drain| drain.waiting.is_empty());
    (!empty, &vm.zone, &vm.rack, id)
}
