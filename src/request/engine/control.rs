//! The controller's actions: records on waves and moves, and calls to the platform.

use {
    super::Engine,
    crate::{
        controller::{self, Known, View},
        event::Action,
        id::OperationId,
        platform::Progress,
    },
    std::time::{Duration, Instant},
};

/// Time between two looks of the controller.
const CONTROL_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which what is known of a platform's action is forgotten.
const KNOWN_KEPT: Duration = Duration::from_secs(3600);

impl Engine {
    /// Lets the controller act; it does nothing unless this entry holds the control lease.
    pub(super) fn control(&mut self, now: Instant) {
        let due = self.controlled.is_none_or(|at| now.duration_since(at) >= CONTROL_INTERVAL);
        if !due || !self.joined() || self.stopping {
            return;
        }
        self.controlled = Some(now);
        let wall = self.wall(now);
        self.operations.retain(|_, known| wall.saturating_sub(known.at) < KNOWN_KEPT);
        let state = self.shared.state();
        let view = View {
            state: &state,
            list: self.list.current(),
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
        self.repeat(now);
    }

    /// Notes what the platform says of an action; none if it was never begun.
    pub(super) fn operated(
        &mut self,
        now: Instant,
        operation: OperationId,
        progress: Option<Progress>,
    ) {
        let at = self.wall(now);
        self.operations.insert(operation, Known { progress, at });
    }
}
