//! Converts requests of the schema to the bodies of records.

use {
    super::proto,
    crate::{
        budget::MAX_WINDOW,
        burn,
        change::{self, Change, Edit},
        fleet::{Declaration, Vm},
        id::{Offset, PoolId, VmId},
        record::Body,
        state::State,
    },
    std::time::Duration,
    tonic::Status,
};

/// Maximum number of windows of a burn report.
const MAX_WINDOWS: usize = 16;

/// Body that puts a declaration in force. If the declaration was made from the version in `state`,
/// it contains only the differences; otherwise it contains the whole declaration and leaves the
/// decision to the state machine.
pub(super) fn apply(state: &State, declaration: Declaration, expected: Option<Offset>) -> Body {
    let changes = change::between(state, &declaration);
    match state.version == expected && !changes.is_empty() {
        true => Body::Change { changes },
        false => Body::Declare { declaration: Box::new(declaration), expected },
    }
}

/// Body that moves a VM, which is an edit of its declared pool.
pub(super) fn move_vm(state: &State, vm: VmId, pool: PoolId) -> Result<Body, Status> {
    let found = state.declared().vms.swap_remove(&vm);
    let found = found.ok_or_else(|| Status::not_found(format!("vm {vm:?} is not declared")))?;
    let expected = state.versions.get(&format!("vm/{vm}"));
    let edit = Edit { id: vm, expected, value: Some(Vm { pool, ..found }) };
    Ok(Body::Change { changes: vec![Change::Vm(edit)] })
}

/// Windows requested for a burn report, or the default ones.
pub(super) fn windows(request: &proto::BurnRequest) -> Result<Vec<Duration>, Status> {
    let seconds = &request.window_secs;
    if seconds.is_empty() {
        return Ok(burn::WINDOWS.to_vec());
    }
    let windows: Vec<Duration> = seconds.iter().copied().map(Duration::from_secs).collect();
    let valid = |window: &Duration| !window.is_zero() && *window <= MAX_WINDOW;
    if windows.len() > MAX_WINDOWS || !windows.iter().all(valid) {
        let wanted = format!("at most {MAX_WINDOWS} windows of 1 s to {} s", MAX_WINDOW.as_secs());
        return Err(Status::invalid_argument(wanted));
    }
    Ok(windows)
}
