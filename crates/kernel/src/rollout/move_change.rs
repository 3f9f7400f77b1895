use crate::{
    clock::ClockInstant,
    config::RolloutRule,
    error::{ErrorKind, MeshError},
    ids::{AttemptToken, BuildVersion, MoveNumber, ServiceName},
    rollout::{MoveEvent, MoveMark, MoveRecord, MoveState, MoveStatement, MoveTransition},
};

/// What an operator asks for when starting a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveRequest {
    /// Service whose traffic is to move.
    pub service: ServiceName,
    /// Version that the traffic leaves.
    pub from: BuildVersion,
    /// Version that the traffic goes to.
    pub to: BuildVersion,
    /// When the move must be done.
    pub by: ClockInstant,
    /// The service's rule.
    pub rule: RolloutRule,
}

/// An event of a running or ended move, with what the row must say of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveChange {
    /// An operator stops the move.
    Stop(MoveMark),
    /// The evidence shows that the new version is bad.
    Fault(MoveMark),
    /// The share is whole and the evidence held.
    Held(MoveStatement),
}

impl MoveChange {
    /// Returns the event of the state table.
    #[must_use]
    pub const fn event(&self) -> MoveEvent {
        match self {
            Self::Stop(_) => MoveEvent::Stop,
            Self::Fault(_) => MoveEvent::Fault,
            Self::Held(_) => MoveEvent::Held,
        }
    }
}

impl MoveRecord {
    /// Returns the record that starts a move, given the row of the service's last one.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] for a wish without sense, [`ErrorKind::Conflict`] while another
    /// move runs or when the service does not run the version that the traffic is to leave.
    pub fn start(
        last: Option<&Self>,
        wish: MoveRequest,
        now: ClockInstant,
        attempt: AttemptToken,
    ) -> Result<Self, MeshError> {
        check_wish(&wish, now)?;
        if let Some(last) = last {
            check_last(last, &wish)?;
        }
        let number = last.map_or(MoveNumber::new(1), |last| last.number.next());
        Ok(Self {
            service: wish.service,
            number,
            from: wish.from,
            to: wish.to,
            start: now,
            by: wish.by,
            rule: wish.rule,
            state: MoveState::Running,
            attempt,
            statement: None,
            mark: None,
            barred: Vec::new(),
        })
    }

    /// Returns what a change does to this record, and the record to write if there is one.
    #[must_use]
    pub fn apply(
        &self,
        change: MoveChange,
        attempt: AttemptToken,
    ) -> (MoveTransition, Option<Self>) {
        let transition = self.state.transition(change.event());
        let written = match transition {
            MoveTransition::To(state) => Some(self.ended(state, change, attempt)),
            MoveTransition::Noted if self.mark.is_none() => {
                Some(self.ended(self.state, change, attempt))
            }
            _ => None,
        };
        (transition, written)
    }

    /// Returns the version that serves while no move runs.
    #[must_use]
    pub const fn stable_version(&self) -> &BuildVersion {
        match self.state {
            MoveState::Done => &self.to,
            MoveState::Running | MoveState::TakenBack => &self.from,
        }
    }

    fn ended(&self, state: MoveState, change: MoveChange, attempt: AttemptToken) -> Self {
        let mut record = self.clone();
        record.state = state;
        record.attempt = attempt;
        match change {
            MoveChange::Stop(mark) | MoveChange::Fault(mark) => record.mark = Some(mark),
            MoveChange::Held(statement) => record.statement = Some(statement),
        }
        record
    }
}

fn check_wish(wish: &MoveRequest, now: ClockInstant) -> Result<(), MeshError> {
    if wish.from == wish.to {
        return Err(MeshError::invalid(format!(
            "the move of service {} goes from version {} to itself",
            wish.service, wish.from
        )));
    }
    if wish.by.has_passed(now) {
        return Err(MeshError::invalid(format!(
            "the time by which service {} is to run version {} has passed",
            wish.service, wish.to
        )));
    }
    Ok(())
}

fn check_last(last: &MoveRecord, wish: &MoveRequest) -> Result<(), MeshError> {
    if last.state.transition(MoveEvent::Start) == MoveTransition::Refused {
        return Err(MeshError::new(
            ErrorKind::Conflict,
            format!(
                "move {} of service {} from version {} to {} is running",
                last.number, last.service, last.from, last.to
            ),
        ));
    }
    if *last.stable_version() != wish.from {
        return Err(MeshError::new(
            ErrorKind::Conflict,
            format!(
                "service {} runs version {} after move {}, not {}",
                last.service,
                last.stable_version(),
                last.number,
                wish.from
            ),
        ));
    }
    Ok(())
}
