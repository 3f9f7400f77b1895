use actix_web::{
    HttpRequest, HttpResponse,
    http::{
        ConnectionType, StatusCode,
        header::{HeaderMap, HeaderName},
    },
    web,
};
use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::{HttpMethod, RouteRule},
    error::{ErrorKind, MeshError, RunState},
    ids::IdempotencyKey,
};
use bronzelb_wire::peer::{ForwardAnswer, ForwardRequest, HeaderPair};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use futures::StreamExt;
use slog::info;
use tokio::time;

use crate::{
    callers::{error_response, route_match::match_route},
    forward::{PlannedRequest, RequestForwarder, fingerprint, is_hop_header},
    log::EventName,
    rollout::record_burn,
};

const DEADLINE_HEADER: &str = "x-bronzelb-deadline-ms";
const KEY_HEADER: &str = "idempotency-key";
const ATTEMPT_HEADER: &str = "x-bronzelb-attempt";
const REQUEST_HEADER: &str = "x-bronzelb-request";
const CONFIG_HEADER: &str = "x-bronzelb-config";

/// Answers one request of a caller.
pub(crate) async fn handle_caller(
    request: HttpRequest,
    payload: web::Payload,
    forwarder: web::Data<RequestForwarder>,
) -> HttpResponse {
    let state = forwarder.state();
    let request_id = state.next_request_id();
    let result = run_request(&request, payload, &forwarder, &request_id).await;
    let mut response = match result {
        Ok(answer) => answer_response(&answer),
        Err(error) => {
            state.count(error.kind().name());
            info!(state.logger, "{}", EventName::RequestFailed;
                "request" => request_id.as_str(), "kind" => error.kind().name(),
                "message" => error.message().to_owned());
            error_response(&error, Some(state.now()))
        }
    };
    let headers = response.headers_mut();
    if let Ok(value) = request_id.parse() {
        headers.insert(HeaderName::from_static(REQUEST_HEADER), value);
    }
    if let Some(config) = state.config() {
        let number = config.stamp().number.get();
        headers.insert(HeaderName::from_static(CONFIG_HEADER), number.into());
    }
    if state.is_draining() {
        // The caller's next request then opens a connection to another node.
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

async fn run_request(
    request: &HttpRequest,
    payload: web::Payload,
    forwarder: &RequestForwarder,
    request_id: &CompactString,
) -> Result<ForwardAnswer, MeshError> {
    let state = forwarder.state();
    state.check_lease()?;
    let now = state.now();
    let config = state.config().ok_or_else(|| {
        MeshError::new(ErrorKind::NotReady, "the node has no configuration yet")
            .with_retry_at(now.after(TimeBudget::from_secs(1)))
    })?;
    let method: HttpMethod = request.method().as_str().parse()?;
    let (route, rule) = match_route(config.snapshot(), method, request.path())?;
    let deadline = read_deadline(request.headers(), rule, now)?;
    let key = read_key(request.headers())?;
    let left = deadline.left(now).to_std();
    let body = time::timeout(left, read_body(payload, rule))
        .await
        .map_err(|_| MeshError::new(ErrorKind::SlowSender, "the body did not arrive in time"))??;
    let attempt = read_attempt(request.headers());
    let target = request_target(request);
    let planned = PlannedRequest {
        service: rule.service.clone(),
        deadline,
        idempotent: rule.idempotent,
        is_nested_retry: attempt > 1,
        message: ForwardRequest {
            request_id: request_id.clone(),
            route: route.clone(),
            backend: None,
            key,
            fingerprint: fingerprint(route.as_str(), method.name(), &target, &body),
            priority: rule.priority,
            attempt,
            method,
            target,
            headers: end_to_end_headers(request.headers()),
            body,
        },
    };
    let result = forwarder.run(planned).await;
    record_burn(state, route, rule, now, &result);
    result
}

fn read_deadline(
    headers: &HeaderMap,
    rule: &RouteRule,
    now: ClockInstant,
) -> Result<ClockInstant, MeshError> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(now.after(rule.timeout));
    };
    let millis: i64 = value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| {
            MeshError::invalid(format!("{DEADLINE_HEADER} is not a number of milliseconds"))
        })?;
    let millis = u64::try_from(millis).unwrap_or(0);
    if millis == 0 {
        return Err(MeshError::invalid(format!(
            "{DEADLINE_HEADER} leaves no time; send the time that is left, in milliseconds"
        )));
    }
    let wanted = TimeBudget::from_millis(millis);
    Ok(now.after(wanted.min(rule.timeout)))
}

/// Reads the number of the attempt further up a chain of calls that the request belongs to.
fn read_attempt(headers: &HeaderMap) -> u32 {
    headers
        .get(ATTEMPT_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(1)
}

fn read_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, MeshError> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| MeshError::invalid(format!("{KEY_HEADER} is not visible ASCII")))?;
    text.parse().map(Some)
}

async fn read_body(mut payload: web::Payload, rule: &RouteRule) -> Result<Bytes, MeshError> {
    let limit = usize::try_from(rule.max_body.get()).unwrap_or(usize::MAX);
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| MeshError::invalid(format!("request body: {error}")))?;
        if body.len() + chunk.len() > limit {
            return Err(MeshError::new(
                ErrorKind::TooLarge,
                format!("request body exceeds the route's limit of {limit} bytes"),
            ));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn request_target(request: &HttpRequest) -> CompactString {
    let uri = request.uri();
    uri.path_and_query().map_or_else(
        || CompactString::from(uri.path()),
        |target| target.as_str().into(),
    )
}

fn end_to_end_headers(headers: &HeaderMap) -> Vec<HeaderPair> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_header(name.as_str()))
        .map(|(name, value)| HeaderPair {
            name: name.as_str().into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

fn answer_response(answer: &ForwardAnswer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for pair in &answer.headers {
        builder.append_header((pair.name.as_str(), pair.value.as_ref()));
    }
    builder.insert_header(("x-bronzelb-run", RunState::Ran.name()));
    builder.insert_header(("x-bronzelb-backend", answer.backend.as_str()));
    builder.insert_header(("x-bronzelb-build", answer.version.as_str()));
    builder.body(answer.body.clone())
}
