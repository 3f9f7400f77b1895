use actix_web::{
    HttpRequest, HttpResponse,
    http::{
        ConnectionType, StatusCode,
        header::{HOST, HeaderMap, HeaderName},
    },
    web,
};
use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::{HttpMethod, RouteRule},
    error::{ErrorKind, MeshError, RunState},
    ids::IdempotencyKey,
    plugin::CallerDialect,
};
use bronzelb_wire::peer::{ForwardAnswer, ForwardRequest, HeaderPair};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use futures::StreamExt;
use slog::info;
use tokio::time;

use crate::{
    callers::{caller_error, route_match::match_route},
    forward::{PlannedRequest, RequestForwarder, fingerprint, is_hop_header},
    log::EventName,
    node::NodeState,
    rollout::record_burn,
};

const CONFIG_HEADER: &str = "x-bronzelb-config";
/// Longer identifiers are not taken from callers, so that log lines stay short.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Answers one request of a caller.
pub(crate) async fn handle_caller(
    request: HttpRequest,
    payload: web::Payload,
    forwarder: web::Data<RequestForwarder>,
) -> HttpResponse {
    let state = forwarder.state();
    let dialect = &state.settings.dialect.callers;
    let request_id = request_id(&request, state);
    let started_at = state.now();
    let result = run_request(&request, payload, &forwarder, &request_id).await;
    let mut response = match result {
        Ok(answer) => answer_response(dialect, &answer),
        Err(error) => {
            state.count_by("request_errors", "kind", error.kind().name());
            log_failure(state, &request, &request_id, &error, started_at);
            caller_error(dialect, &error, state.now())
        }
    };
    let outcome = if response.status().is_success() {
        "served"
    } else {
        "failed"
    };
    state.observe(
        "request_ms",
        "outcome",
        outcome,
        started_at.elapsed(state.now()),
    );
    let headers = response.headers_mut();
    if let Ok(value) = request_id.parse() {
        headers.insert(HeaderName::from_static(dialect.request_header), value);
    }
    if let Some(config) = state.config().filter(|_| dialect.describes_answers) {
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

/// Logs why a request got an answer of the node's own, with the configuration that it went by.
fn log_failure(
    state: &NodeState,
    request: &HttpRequest,
    request_id: &CompactString,
    error: &MeshError,
    started_at: ClockInstant,
) {
    if !state.takes_line(EventName::RequestFailed) {
        return;
    }
    let now = state.now();
    let config = state.config();
    info!(state.logger, "{}", EventName::RequestFailed;
        "request" => request_id.as_str(), "kind" => error.kind().name(),
        "run" => error.kind().answer().run_state.name(),
        "message" => error.message().to_owned(),
        "host" => request_host(request).to_owned(), "path" => request.path().to_owned(),
        "config" => config.as_ref().map(|config| config.stamp().number.get()),
        "config_age_ms" => state.applied_at().elapsed(now).as_millis(),
        "took_ms" => started_at.elapsed(now).as_millis(),
        "retry_after_ms" => error.retry_at().map(|instant| instant.left(now).as_millis()));
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
    let dialect = &state.settings.dialect.callers;
    let headers = request.headers();
    let method: HttpMethod = request.method().as_str().parse()?;
    let host = request_host(request);
    let (route, rule) = match_route(config.snapshot(), host, method, request.path())?;
    let patience = read_patience(dialect, headers)?;
    let deadline = now.after(patience.map_or(rule.timeout, |wait| wait.min(rule.timeout)));
    let waited = patience.map_or(TimeBudget::ZERO, |wait| {
        state.requests.note_patience(route, wait)
    });
    let key = read_key(dialect, headers)?;
    let left = deadline.left(now).to_std();
    let body = time::timeout(left, read_body(payload, rule))
        .await
        .map_err(|_| MeshError::new(ErrorKind::SlowSender, "the body did not arrive in time"))??;
    let attempt = read_attempt(dialect, headers);
    let target = request_target(request);
    let planned = PlannedRequest {
        service: rule.choose_service(rand::random()).clone(),
        deadline,
        idempotent: rule.idempotent,
        attempts: rule.traffic.attempts,
        version_draw: rand::random(),
        is_nested_retry: attempt > 1,
        message: ForwardRequest {
            request_id: request_id.clone(),
            route: route.clone(),
            backend: None,
            key,
            fingerprint: fingerprint(route.as_str(), method.name(), &target, &body),
            priority: rule.priority,
            waited,
            attempt,
            method,
            target,
            headers: passed_headers(state, headers, host),
            body,
        },
    };
    let result = forwarder.run(planned).await;
    record_burn(state, route, rule, now, &result);
    result
}

/// Returns the caller's identifier of the request where the dialect takes it, else a new one.
fn request_id(request: &HttpRequest, state: &NodeState) -> CompactString {
    let dialect = &state.settings.dialect.callers;
    let sent = request.headers().get(dialect.request_header);
    sent.filter(|_| dialect.takes_request_id)
        .and_then(|value| value.to_str().ok())
        .filter(|text| !text.is_empty() && text.len() <= MAX_REQUEST_ID_BYTES)
        .map_or_else(|| state.next_request_id(), CompactString::from)
}

/// Returns the host that the caller addressed, with its port if it named one.
fn request_host(request: &HttpRequest) -> &str {
    let header = request.headers().get(HOST);
    let sent = header.and_then(|value| value.to_str().ok());
    request.uri().host().or(sent).unwrap_or("")
}

/// Reads the time that the caller is ready to wait, if it says so.
fn read_patience(
    dialect: &CallerDialect,
    headers: &HeaderMap,
) -> Result<Option<TimeBudget>, MeshError> {
    let Some(value) = headers.get(dialect.deadline_header) else {
        return Ok(None);
    };
    let millis: i64 = value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| {
            let name = dialect.deadline_header;
            MeshError::invalid(format!("{name} is not a number of milliseconds"))
        })?;
    let millis = u64::try_from(millis).unwrap_or(0);
    if millis == 0 {
        return Err(MeshError::invalid(format!(
            "{} leaves no time; send the time that is left, in milliseconds",
            dialect.deadline_header
        )));
    }
    Ok(Some(TimeBudget::from_millis(millis)))
}

/// Reads the number of the attempt further up a chain of calls that the request belongs to.
fn read_attempt(dialect: &CallerDialect, headers: &HeaderMap) -> u32 {
    let header = dialect.attempt_header.and_then(|name| headers.get(name));
    header
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(1)
}

fn read_key(
    dialect: &CallerDialect,
    headers: &HeaderMap,
) -> Result<Option<IdempotencyKey>, MeshError> {
    let Some(name) = dialect.key_header else {
        return Ok(None);
    };
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| MeshError::invalid(format!("{name} is not visible ASCII")))?;
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

/// Returns the headers that reach the backend server, with those that the dialect adds.
fn passed_headers(state: &NodeState, headers: &HeaderMap, host: &str) -> Vec<HeaderPair> {
    let dialect = state.settings.dialect;
    let origin_header = dialect.servers.origin_header;
    let mut pairs: Vec<_> = headers
        .iter()
        .filter(|(name, _)| !is_hop_header(name.as_str()))
        .filter(|(name, _)| origin_header != Some(name.as_str()))
        .map(|(name, value)| header_pair(name.as_str(), value.as_bytes()))
        .collect();
    if dialect.callers.keeps_host && !host.is_empty() {
        pairs.push(header_pair(HOST.as_str(), host.as_bytes()));
    }
    let origin = state.settings.callers.origin.as_ref();
    if let Some((name, origin)) = origin_header.zip(origin) {
        pairs.push(header_pair(name, origin.as_str().as_bytes()));
    }
    pairs
}

fn header_pair(name: &str, value: &[u8]) -> HeaderPair {
    HeaderPair {
        name: name.into(),
        value: Bytes::copy_from_slice(value),
    }
}

fn answer_response(dialect: &CallerDialect, answer: &ForwardAnswer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for pair in &answer.headers {
        builder.append_header((pair.name.as_str(), pair.value.as_ref()));
    }
    if dialect.describes_answers {
        builder.insert_header(("x-bronzelb-run", RunState::Ran.name()));
        builder.insert_header(("x-bronzelb-backend", answer.backend.as_str()));
        builder.insert_header(("x-bronzelb-build", answer.version.as_str()));
    }
    builder.body(answer.body.clone())
}
