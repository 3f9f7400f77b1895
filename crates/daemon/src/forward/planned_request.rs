use bronzelb_kernel::{clock::ClockInstant, ids::ServiceName};
use bronzelb_wire::peer::ForwardRequest;

/// A caller's request with the service it goes to and the instant by which it must be answered.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Service that the request's route points at.
    pub service: ServiceName,
    /// Instant by which the caller wants the answer.
    pub deadline: ClockInstant,
    /// Request as it travels to the node beside the backend server.
    pub message: ForwardRequest,
}
