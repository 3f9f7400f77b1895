use crate::{
    clock::ClockInstant,
    config::RolloutRule,
    error::{ErrorKind, MeshError},
    ids::{AttemptToken, BuildVersion, MoveNumber, ServiceName},
    rollout::{MoveEvent, MoveMark, MoveRecord, MoveState, MoveStatement, MoveTransition},
};

/// Parameters of a move that an operator starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveRequest {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version that the traffic leaves.
    pub from: BuildVersion,
    /// Version that the traffic goes to.
    pub to: BuildVersion,
    /// Deadline of the move.
    pub by: ClockInstant,
    /// Rollout rule of the service.
    pub rule: RolloutRule,
}

/// Event on a running or ended move, with the details to store in its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveChange {
    /// An operator stops the move.
    Stop(MoveMark),
    /// The evidence shows a fault of the new version.
    Fault(MoveMark),
    /// The new version kept the full share for the hold time without a fault.
    Held(MoveStatement),
}

impl MoveChange {
    /// Returns the event for the state machine.
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
    /// Creates the record of a new move, given the record of the service's previous one.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] if the request has equal versions or a past deadline,
    /// [`ErrorKind::Conflict`] while another move is running or if the service does not run the
    /// source version.
    pub fn start(
        previous: Option<&Self>,
        request: MoveRequest,
        now: ClockInstant,
        attempt: AttemptToken,
    ) -> Result<Self, MeshError> {
        validate_request(&request, now)?;
        if let Some(previous) = previous {
            validate_previous(previous, &request)?;
        }
        let number = previous.map_or(MoveNumber::new(1), |previous| previous.number.next());
        Ok(Self {
            service: request.service,
            number,
            from: request.from,
            to: request.to,
            start: now,
            by: request.by,
            rule: request.rule,
            state: MoveState::Running,
            attempt,
            statement: None,
            mark: None,
            barred: Vec::new(),
            earlier: previous.map_or_else(Vec::new, Self::earlier_after),
        })
    }

    /// Applies a change and returns the transition, with the record to write if it changed.
    #[must_use]
    pub fn apply(
        &self,
        change: MoveChange,
        attempt: AttemptToken,
    ) -> (MoveTransition, Option<Self>) {
        let transition = self.state.transition(change.event());
        let updated = match transition {
            MoveTransition::To(state) => Some(self.with_change(state, change, attempt)),
            MoveTransition::Noted if self.mark.is_none() => {
                Some(self.with_change(self.state, change, attempt))
            }
            _ => None,
        };
        (transition, updated)
    }

    /// Returns the version that serves traffic when no move is running.
    #[must_use]
    pub const fn stable_version(&self) -> &BuildVersion {
        match self.state {
            MoveState::Done => &self.to,
            MoveState::Running | MoveState::TakenBack => &self.from,
        }
    }

    fn with_change(&self, state: MoveState, change: MoveChange, attempt: AttemptToken) -> Self {
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

fn validate_request(request: &MoveRequest, now: ClockInstant) -> Result<(), MeshError> {
    if request.from == request.to {
        return Err(MeshError::invalid(format!(
            "service {}: source and target version of the move are both {}",
            request.service, request.from
        )));
    }
    if request.by.has_passed(now) {
        return Err(MeshError::invalid(format!(
            "the deadline for moving service {} to version {} has passed",
            request.service, request.to
        )));
    }
    Ok(())
}

fn validate_previous(previous: &MoveRecord, request: &MoveRequest) -> Result<(), MeshError> {
    if previous.state.transition(MoveEvent::Start) == MoveTransition::Refused {
        return Err(MeshError::new(
            ErrorKind::Conflict,
            format!(
                "move {} of service {} from version {} to {} is already running",
                previous.number, previous.service, previous.from, previous.to
            ),
        ));
    }
    if *previous.stable_version() != request.from {
        return Err(MeshError::new(
            ErrorKind::Conflict,
            format!(
                "service {} runs version {} after move {}, not {}",
                previous.service,
                previous.stable_version(),
                previous.number,
                request.from
            ),
        ));
    }
    Ok(())
}
