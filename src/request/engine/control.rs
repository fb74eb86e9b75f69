//! Runs the fleet controller and carries out its actions: records of waves and moves, and calls to
//! the platform.

use {
    super::Engine,
    crate::{
        controller::{self, Observation, View},
        event::Action,
        id::OperationId,
        platform::Progress,
    },
    std::time::{Duration, Instant},
};

/// Time between two runs of the controller.
const CONTROL_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which the progress of a platform's action is dropped unless it is read again.
const OBSERVATION_LIFETIME: Duration = Duration::from_secs(3600);

impl Engine {
    /// Runs the controller, which does nothing unless this entry holds the control lease.
    pub(super) fn run_controller(&mut self, now: Instant) {
        let due = self.last_control.is_none_or(|at| now.duration_since(at) >= CONTROL_INTERVAL);
        if !due || !self.joined() || self.stopping {
            return;
        }
        self.last_control = Some(now);
        let wall = self.wall_time(now);
        self.operations
            .retain(|_, observed| wall.saturating_sub(observed.at) < OBSERVATION_LIFETIME);
        let state = self.shared.state();
        let view = View {
            state: &state,
            list: self.inventory.current(),
            operations: &self.operations,
            now: wall,
        };
        for action in self.controller.tick(view) {
            match action {
                controller::Action::Append(record) => self.append(*record),
                controller::Action::Reboot { vm, operation } => {
                    self.actions.push(Action::Reboot { vm, operation });
                }
                controller::Action::Read { operation } => {
                    self.actions.push(Action::Operation { operation });
                }
            }
        }
        self.resend_pending(now);
    }

    /// Stores the progress of a platform's action; `None` if the action was never begun.
    pub(super) fn operation_read(
        &mut self,
        now: Instant,
        operation: OperationId,
        progress: Option<Progress>,
    ) {
        let at = self.wall_time(now);
        self.operations.insert(operation, Observation { progress, at });
    }
}
