use std::fmt;

use serde::{Deserialize, Serialize};

/// State of a version move, as the platform's row holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveState {
    /// Traffic moves along the curve.
    Running,
    /// The new version took over all traffic and the evidence held.
    Done,
    /// The new version gets no traffic.
    TakenBack,
}

/// What can happen to a version move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveEvent {
    /// An operator starts the next move of the service.
    Start,
    /// An operator stops this move.
    Stop,
    /// The evidence shows that the new version is bad.
    Fault,
    /// The share is whole and the evidence held for the hold time.
    Held,
}

/// What an event does to a move in a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveTransition {
    /// The row changes to this state by compare-and-set.
    To(MoveState),
    /// The next move may be written with the next number.
    Next,
    /// The event already has its effect; the answer repeats the statement.
    Same,
    /// The event comes too late; the answer says what the move is instead.
    Refused,
    /// The state stays, and the row notes the fault.
    Noted,
}

impl MoveState {
    /// Every state.
    pub const ALL: [Self; 3] = [Self::Running, Self::Done, Self::TakenBack];

    /// Returns what `event` does in this state: the whole table.
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

    /// Returns the words of the statement to operators.
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
