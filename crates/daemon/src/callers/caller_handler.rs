use std::sync::Arc;

use actix_http::Request;
use actix_web::{
    HttpResponse,
    http::{
        ConnectionType, StatusCode,
        header::{HOST, HeaderMap, HeaderName},
    },
};
use bronzelb_kernel::{
    config::ConfigVersion,
    error::{ErrorKind, MeshError, RunState},
    ids::{HolderId, IdempotencyKey},
    member::StatedLimit,
    plugin::CallerDialect,
};
use bronzelb_wire::peer::{ForwardRequest, ForwardResponse, HttpHeader};
use bytes::Bytes;
use compact_str::CompactString;
use slog::info;

use crate::{
    callers::{
        caller_error_response,
        caller_request::{CallerRequest, request_host},
    },
    forward::{
        RequestForwarder, RoutedRequest, account_headers, account_name, fingerprint, is_hop_header,
    },
    holding::{HoldingState, UnreadBody},
    log::{EventName, REQUEST_TAG},
    node::NodeState,
    rollout::record_burn,
};

const CONFIG_HEADER: &str = "x-bronzelb-config";
/// Longer identifiers from callers are replaced by generated ones, which keeps log lines short.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Handles one request of a caller and returns its response, whose body is counted as unread by
/// `holder`.
pub(crate) async fn handle_request(
    request: CallerRequest,
    forwarder: &RequestForwarder,
    holder: (Arc<HoldingState>, HolderId),
) -> HttpResponse {
    let state = forwarder.state();
    let dialect = &state.settings.dialect.callers;
    let request_id = request_id(&request.head, state);
    let started_at = request.started_at;
    let result = run_request(&request, forwarder, &request_id).await;
    let mut response = match result {
        Ok(mut response) => {
            if !response.body.is_empty() {
                response.body = UnreadBody::attach(response.body, holder);
            }
            http_response(dialect, &response)
        }
        Err(error) => {
            state.count_labeled("request_errors", "kind", error.kind().name());
            log_failure(state, &request, &request_id, &error);
            caller_error_response(dialect, &error, state.now())
        }
    };
    let outcome = if response.status().is_success() {
        "served"
    } else {
        "failed"
    };
    state.observe_duration(
        "request_ms",
        "outcome",
        outcome,
        started_at.elapsed(state.now()),
    );
    let headers = response.headers_mut();
    if let Ok(value) = request_id.parse() {
        headers.insert(HeaderName::from_static(dialect.request_header), value);
    }
    if let Some(config) = state.config().filter(|_| dialect.adds_response_details) {
        let number = config.stamp().number.get();
        headers.insert(HeaderName::from_static(CONFIG_HEADER), number.into());
    }
    if state.is_draining() {
        // The caller then opens a connection to another node for its next request.
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

/// Logs a request that gets an error response, with the configuration that applied to it.
fn log_failure(
    state: &NodeState,
    request: &CallerRequest,
    request_id: &CompactString,
    error: &MeshError,
) {
    if !state.should_log(EventName::RequestFailed) {
        return;
    }
    let now = state.now();
    let config = state.config();
    let route_match = request.route_match.as_ref().ok();
    let account = route_match.and_then(|route_match| route_match.account.account.as_ref());
    info!(state.logger, #REQUEST_TAG, "{}", EventName::RequestFailed;
        "account" => account_name(account),
        "request" => request_id.as_str(), "kind" => error.kind().name(),
        "run" => error.kind().response().run_state.name(),
        "message" => error.message().to_owned(),
        "host" => request_host(&request.head).to_owned(),
        "path" => request.head.path().to_owned(),
        "config" => config.as_ref().map(|config| config.stamp().number.get()),
        "config_age_ms" => state.applied_at().elapsed(now).as_millis(),
        "took_ms" => request.started_at.elapsed(now).as_millis(),
        "retry_after_ms" => error.retry_at().map(|instant| instant.remaining(now).as_millis()));
}

async fn run_request(
    request: &CallerRequest,
    forwarder: &RequestForwarder,
    request_id: &CompactString,
) -> Result<ForwardResponse, MeshError> {
    let state = forwarder.state();
    let route_match = request.route_match.as_ref().map_err(MeshError::clone)?;
    let rule = route_match.rule().ok_or_else(|| {
        let message = format!("route {} does not exist", route_match.route);
        MeshError::new(ErrorKind::UnknownRoute, message)
    })?;
    let dialect = &state.settings.dialect.callers;
    let head = &request.head;
    let headers = head.head().headers();
    let attempt = read_attempt(dialect, headers);
    let target = request_target(head);
    let method = route_match.method;
    let routed_request = RoutedRequest {
        service: rule.choose_service(rand::random()).clone(),
        deadline: route_match.deadline,
        idempotent: rule.idempotent,
        max_deliveries: rule.traffic.attempts,
        version_draw: rand::random(),
        is_nested_retry: attempt > 1,
        message: ForwardRequest {
            request_id: request_id.clone(),
            route: route_match.route.clone(),
            backend: None,
            limit: StatedLimit::Unknown,
            key: read_idempotency_key(dialect, headers)?,
            fingerprint: fingerprint(
                route_match.route.as_str(),
                method.name(),
                &target,
                &request.body,
            ),
            key_check: route_match.account.key_check,
            account: route_match.account.account.clone(),
            priority: rule.priority,
            origin: state.settings.callers.origin.clone(),
            run_rank: route_match.run_rank.clone(),
            waited: route_match.waited,
            may_hand_on: false,
            attempt,
            method,
            target,
            headers: forwarded_headers(state, &route_match.config, headers, request_host(head)),
            body: request.body.clone(),
        },
    };
    let result = forwarder.run(routed_request).await;
    record_burn(state, &route_match.route, rule, request.started_at, &result);
    result
}

/// Returns the caller's request identifier if the dialect accepts it, otherwise a new one.
fn request_id(request: &Request, state: &NodeState) -> CompactString {
    let dialect = &state.settings.dialect.callers;
    let value = request.head().headers().get(dialect.request_header);
    value
        .filter(|_| dialect.accepts_request_id)
        .and_then(|value| value.to_str().ok())
        .filter(|text| !text.is_empty() && text.len() <= MAX_REQUEST_ID_BYTES)
        .map_or_else(|| state.next_request_id(), CompactString::from)
}

/// Parses the attempt number that a service further up the call chain has set; 1 if there is none.
fn read_attempt(dialect: &CallerDialect, headers: &HeaderMap) -> u32 {
    let header = dialect.attempt_header.and_then(|name| headers.get(name));
    header
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(1)
}

fn read_idempotency_key(
    dialect: &CallerDialect,
    headers: &HeaderMap,
) -> Result<Option<IdempotencyKey>, MeshError> {
    let Some(name) = dialect.idempotency_key_header else {
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

fn request_target(request: &Request) -> CompactString {
    let uri = request.uri();
    uri.path_and_query().map_or_else(
        || CompactString::from(uri.path()),
        |target| target.as_str().into(),
    )
}

/// Returns the headers to send to the backend server, including those that the dialect adds.
fn forwarded_headers(
    state: &NodeState,
    config: &ConfigVersion,
    headers: &HeaderMap,
    host: &str,
) -> Vec<HttpHeader> {
    let dialect = state.settings.dialect;
    let origin_header = dialect.servers.origin_header;
    let account_headers = account_headers(dialect, config);
    let mut forwarded: Vec<_> = headers
        .iter()
        .filter(|(name, _)| !is_hop_header(name.as_str()))
        .filter(|(name, _)| origin_header != Some(name.as_str()))
        .filter(|(name, _)| !account_headers.contains(&Some(name.as_str())))
        .map(|(name, value)| http_header(name.as_str(), value.as_bytes()))
        .collect();
    if dialect.callers.preserves_host && !host.is_empty() {
        forwarded.push(http_header(HOST.as_str(), host.as_bytes()));
    }
    let origin = state.settings.callers.origin.as_ref();
    if let Some((name, origin)) = origin_header.zip(origin) {
        forwarded.push(http_header(name, origin.as_str().as_bytes()));
    }
    forwarded
}

fn http_header(name: &str, value: &[u8]) -> HttpHeader {
    HttpHeader {
        name: name.into(),
        value: Bytes::copy_from_slice(value),
    }
}

fn http_response(dialect: &CallerDialect, response: &ForwardResponse) -> HttpResponse {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for header in &response.headers {
        builder.append_header((header.name.as_str(), header.value.as_ref()));
    }
    if dialect.adds_response_details {
        builder.insert_header(("x-bronzelb-run", RunState::Ran.name()));
        builder.insert_header(("x-bronzelb-backend", response.backend.as_str()));
        builder.insert_header(("x-bronzelb-build", response.version.as_str()));
    }
    builder.body(response.body.clone())
}
