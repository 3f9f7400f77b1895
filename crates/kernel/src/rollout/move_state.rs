use std::fmt;

use serde::{Deserialize, Serialize};

/// State of a version move, as stored in the platform's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveState {
    /// The share of the new version follows the curve.
    Running,
    /// The new version serves all traffic, and no fault was found during the hold time.
    Done,
    /// The move was rolled back, and the new version gets no traffic.
    TakenBack,
}

/// Event in the life cycle of a version move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveEvent {
    /// An operator starts the next move of the service.
    Start,
    /// An operator stops this move.
    Stop,
    /// The evidence shows a fault of the new version.
    Fault,
    /// The new version kept the full share for the hold time without a fault.
    Held,
}

/// Effect of an event on a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveTransition {
    /// The state changes to this one, written by compare-and-set.
    To(MoveState),
    /// The next move of the service may start.
    Next,
    /// The event already took effect; the response repeats the statement.
    Same,
    /// The event is not allowed in this state; the response contains the state.
    Refused,
    /// The state is unchanged, and the fault is stored in the row.
    Noted,
}

impl MoveState {
    /// Every state.
    pub const ALL: [Self; 3] = [Self::Running, Self::Done, Self::TakenBack];

    /// Returns the effect of `event` in this state: the complete transition table.
    #[must_use]
    pub const fn transition(self, event: MoveEvent) -> MoveTransition {
        use MoveTransition::{Next, Noted, Refused, Same, To};
        match (self, event) {
            (Self::Running, MoveEvent::Start) => Refused,
            (Self::Running, MoveEvent::Stop | MoveEvent::Fault) => To(Self::TakenBack),
            (Self::Running, MoveEvent::Held) => To(Self::Done),
            (Self::Done | Self::TakenBack, MoveEvent::Start) => Next,
            (Self::Done, MoveEvent::Stop) => Refused,
            (Self::Done, MoveEvent::Fault) => Noted,
            (Self::Done, MoveEvent::Held) => Same,
            (Self::TakenBack, MoveEvent::Stop | MoveEvent::Fault) => Same,
            (Self::TakenBack, MoveEvent::Held) => Refused,
        }
    }

    /// Returns whether the move is over.
    #[must_use]
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::Running)
    }

    /// Returns the name of the state as shown to operators.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Done => "done",
            Self::TakenBack => "taken back",
        }
    }
}

impl MoveEvent {
    /// Every event.
    pub const ALL: [Self; 4] = [Self::Start, Self::Stop, Self::Fault, Self::Held];
}

impl fmt::Display for MoveState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
