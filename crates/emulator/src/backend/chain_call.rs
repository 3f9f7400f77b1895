use std::time::Duration;

use actix_web::{HttpRequest, http::StatusCode};
use awc::{Client, http::Method};
use bronzelb_http::read_body;
use bronzelb_kernel::clock::{ClockInstant, TimeBudget};

use crate::{backend::BackendSettings, server::wall_clock};

/// Request header that lists the paths of further services to call, separated by commas.
pub(crate) const CHAIN_HEADER: &str = "x-emulator-chain";
const DEADLINE_HEADER: &str = "x-bronzelb-deadline-ms";
const FORWARDED_HEADER_PREFIX: &str = "x-bronzelb-";
/// Size limit of the next service's response.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;
const DEFAULT_DEADLINE: TimeBudget = TimeBudget::from_secs(10);

/// Calls the next service of the request's chain through a node and returns the response status.
///
/// Returns `None` if the request has no chain or no node is configured.
pub(crate) async fn call_next(
    client: &Client,
    settings: &BackendSettings,
    request: &HttpRequest,
    arrived_at: ClockInstant,
) -> Option<StatusCode> {
    let chain = request.headers().get(CHAIN_HEADER)?.to_str().ok()?;
    let (path, rest) = chain.split_once(',').unwrap_or((chain, ""));
    let callers = settings.callers?;
    let remaining = deadline(request, arrived_at).remaining(wall_clock());
    // The margin gives the node time to report that the deadline passed.
    let mut next = client
        .get(format!("http://{callers}{path}"))
        .timeout(remaining.to_std() + Duration::from_secs(1));
    for (name, value) in request.headers() {
        if name.as_str().starts_with(FORWARDED_HEADER_PREFIX) {
            next = next.insert_header((name.clone(), value.clone()));
        }
    }
    next = next.insert_header((DEADLINE_HEADER, remaining.as_millis().to_string()));
    if !rest.is_empty() {
        next = next.insert_header((CHAIN_HEADER, rest));
    }
    let status = match next.send().await {
        Ok(mut response) => match read_body(&Method::GET, &mut response, MAX_BODY_BYTES).await {
            Ok(_) => response.status(),
            Err(_) => StatusCode::BAD_GATEWAY,
        },
        Err(_) => StatusCode::BAD_GATEWAY,
    };
    Some(status)
}

fn deadline(request: &HttpRequest, arrived_at: ClockInstant) -> ClockInstant {
    let budget = request
        .headers()
        .get(DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_DEADLINE, TimeBudget::from_millis);
    arrived_at.after(budget)
}
