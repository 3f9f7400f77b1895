use bronzelb_kernel::{
    clock::ClockInstant,
    ids::{AttemptCount, ContentHash, IdempotencyKey, ServiceName},
};
use bronzelb_wire::peer::ForwardRequest;

/// A caller's request with the service it goes to and the instant by which it must be answered.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// Service that the request's route points at.
    pub service: ServiceName,
    /// Instant by which the caller wants the answer.
    pub deadline: ClockInstant,
    /// Whether the route's requests may run more than once.
    pub idempotent: bool,
    /// Most backend servers that the request may be sent to; `None` leaves it to the node.
    pub max_attempts: Option<AttemptCount>,
    /// Random number by which the request's version is chosen, the same for all its attempts: a
    /// further draw for each would give an unproved version more than its share under load.
    pub version_draw: u64,
    /// Whether the request is part of a retry further up a chain of calls.
    pub is_nested_retry: bool,
    /// Request as it travels to the node beside the backend server.
    pub message: ForwardRequest,
}

impl RoutedRequest {
    /// Returns the key under which the request runs at most once, if its route needs one.
    #[must_use]
    pub fn key(&self) -> Option<&IdempotencyKey> {
        match self.idempotent {
            true => None,
            false => self.message.key.as_ref(),
        }
    }
}

/// Returns the hash by which requests for the same work are recognised.
#[must_use]
pub fn fingerprint(route: &str, method: &str, target: &str, body: &[u8]) -> ContentHash {
    let fields = [route.as_bytes(), method.as_bytes(), target.as_bytes(), body];
    let length = fields
        .iter()
        .map(|field| field.len() + size_of::<u64>())
        .sum();
    let mut content = Vec::with_capacity(length);
    for field in fields {
        content.extend_from_slice(&(field.len() as u64).to_le_bytes());
        content.extend_from_slice(field);
    }
    ContentHash::of(&content)
}
