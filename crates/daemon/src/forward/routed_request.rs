use bronzelb_kernel::{
    clock::ClockInstant,
    ids::{AttemptCount, ContentHash, IdempotencyKey, ServiceName},
};
use bronzelb_wire::peer::ForwardRequest;

/// Caller's request with its target service and deadline.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// Target service of the request's route.
    pub service: ServiceName,
    /// Instant by which the caller must get the response.
    pub deadline: ClockInstant,
    /// Whether requests of the route may run more than once.
    pub idempotent: bool,
    /// Maximum number of backend servers that the request may reach, or `None` if the node decides.
    pub max_deliveries: Option<AttemptCount>,
    /// Random number that selects the backend version, shared by all attempts of the request.
    ///
    /// With a new draw for each attempt, retries under load would give an unproven version more
    /// than its share.
    pub version_draw: u64,
    /// Whether the request belongs to a retry made by a service further up the call chain.
    pub is_nested_retry: bool,
    /// Message sent to the node that hosts the backend server.
    pub message: ForwardRequest,
}

impl RoutedRequest {
    /// Returns the idempotency key, unless the route's requests are idempotent.
    #[must_use]
    pub fn key(&self) -> Option<&IdempotencyKey> {
        match self.idempotent {
            true => None,
            false => self.message.key.as_ref(),
        }
    }
}

/// Returns a hash that identifies requests with the same route, method, target and body.
///
/// Each field is preceded by its length, so that moving bytes from one field to the next changes
/// the hash.
#[must_use]
pub fn fingerprint(route: &str, method: &str, target: &str, body: &[u8]) -> ContentHash {
    let fields = [route.as_bytes(), method.as_bytes(), target.as_bytes(), body];
    let length = fields
        .iter()
        .map(|field| field.len() + size_of::<u64>())
        .sum();
    let mut bytes = Vec::with_capacity(length);
    for field in fields {
        bytes.extend_from_slice(&(field.len() as u64).to_le_bytes());
        bytes.extend_from_slice(field);
    }
    ContentHash::of(&bytes)
}
