use bronzelb_kernel::{
    clock::ClockInstant,
    config::ConfigVersion,
    ids::{AttemptCount, ContentHash, IdempotencyKey, ServiceName},
    request::{AdmissionRequest, CallRoutes, RunRank},
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

    /// Returns the request for a slot of the entry node's gate to the service.
    ///
    /// Requests of accounts are ordered as at a server. Others are ordered by priority and deadline
    /// and wait for a quarter of their time at most, as there are no accounts in most meshes.
    pub(crate) fn gate_request(&self, config: Option<&ConfigVersion>) -> AdmissionRequest {
        let request = admission_request(config, self.deadline, &self.message);
        if request.account.is_some() {
            return request;
        }
        AdmissionRequest {
            soft_deadline: None,
            route: None,
            ..request
        }
    }
}

/// Returns the request for a slot, with the instant by which its route's latency objective wants
/// the response.
pub(crate) fn admission_request(
    config: Option<&ConfigVersion>,
    deadline: ClockInstant,
    message: &ForwardRequest,
) -> AdmissionRequest {
    let route_rule = config.and_then(|config| config.snapshot().routes.get(&message.route));
    // `deadline` is the request's arrival plus the route's timeout, or was set by the caller.
    // Subtracting the timeout's excess over the latency objective gives the instant by which the
    // response must be sent to meet the objective.
    let soft_deadline = route_rule.map(|route_rule| {
        let slack = route_rule
            .objective
            .latency
            .shortfall_from(route_rule.timeout);
        deadline.before(slack).before(message.waited)
    });
    AdmissionRequest {
        priority: message.priority,
        deadline,
        soft_deadline,
        account: message.account.clone(),
        route: Some(message.route.clone()),
        is_call: false,
    }
}

/// Returns the rank of the run that a forwarded request is a call of, if it is one.
pub(crate) fn call_rank(routes: &mut CallRoutes, message: &ForwardRequest) -> Option<RunRank> {
    let origin = message.origin.as_ref()?;
    routes.record(&message.route, origin, message.run_rank.is_some());
    let rank = message.run_rank.as_ref();
    rank.filter(|_| routes.is_call(&message.route)).cloned()
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
