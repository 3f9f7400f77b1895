use std::{
    future::{pending, ready},
    io::Error,
    time::Duration,
};

use actix_web::{
    HttpRequest, HttpResponse, HttpResponseBuilder,
    body::SizedStream,
    http::{
        StatusCode,
        header::{HeaderName, HeaderValue},
    },
    web::{self, Bytes},
};
use awc::Client;
use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    ids::RequestRate,
};
use futures::{StreamExt, stream};

use crate::{
    backend::{
        FaultAction, JournalEntry, ResponseBody, chain_call,
        emulated_backend::{BackendHandle, EmulatedBackend},
        fault_selector::SelectedFault,
    },
    server::{ConnectionHandle, wall_clock},
};

const REQUEST_HEADER: &str = "x-bronzelb-request";
const KEY_HEADER: &str = "idempotency-key";
const LIMIT_HEADER: &str = "x-backend-limit";
const RUN_HEADER: &str = "x-backend-run";
/// Request header that sets the service time in milliseconds.
const SERVICE_TIME_HEADER: &str = "x-emulator-work-ms";
/// Request header that sets the size of the response body's padding in bytes.
const PADDING_HEADER: &str = "x-emulator-bytes";
/// Request header that makes the server crash after the run.
const CRASH_HEADER: &str = "x-emulator-crash";
const CRASH_EXIT_CODE: i32 = 101;
const FLUSH_DELAY: Duration = Duration::from_millis(5);
const MAX_PADDING_BYTES: usize = 4 * 1024 * 1024;
const WRONG_REQUEST_ID: &str = "another-request";

/// Counts a request as in flight until dropped, and as cancelled if dropped before it is finished.
struct InFlightGuard<'a> {
    backend: &'a EmulatedBackend,
    is_finished: bool,
}

/// Counts a slot as busy until dropped.
struct BusySlotGuard<'a>(&'a EmulatedBackend);

/// Runs a request and responds, subject to the active faults.
pub(crate) async fn handle(
    backend: web::Data<BackendHandle>,
    client: web::Data<Client>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let arrived_at = wall_clock();
    let mut in_flight = InFlightGuard::enter(&backend);
    let fault = select_fault(&backend, &request, arrived_at);
    let limit = backend.lock().selector.faults.limit;
    let mut response = match fault.action {
        Some(FaultAction::FailFast) => HttpResponse::InternalServerError()
            .insert_header((REQUEST_HEADER, header(&request, REQUEST_HEADER)))
            .finish(),
        Some(FaultAction::Shed) => shed(&backend, &request),
        Some(FaultAction::CloseBeforeRun) => close_connection(&request),
        Some(FaultAction::Freeze) => pending().await,
        action => {
            let response_body = run(&backend, &request, &body, fault.delay).await;
            let Some(response_body) = response_body else {
                in_flight.is_finished = true;
                return shed(&backend, &request);
            };
            if action == Some(FaultAction::Crash) {
                std::process::exit(CRASH_EXIT_CODE);
            }
            let next_status =
                chain_call::call_next(&client, &backend.settings, &request, arrived_at).await;
            backend.lock().tally.totals.finished += 1;
            respond(&request, &response_body, action, next_status, limit)
        }
    };
    if let Some(limit) = limit {
        let value = HeaderValue::try_from(limit.to_string()).expect("digits are a valid value");
        let name = HeaderName::from_static(LIMIT_HEADER);
        response.headers_mut().insert(name, value);
    }
    in_flight.is_finished = true;
    response
}

impl<'a> InFlightGuard<'a> {
    fn enter(backend: &'a EmulatedBackend) -> Self {
        let mut state = backend.lock();
        state.in_flight += 1;
        state.tally.totals.received += 1;
        state.tally.totals.max_in_flight = state.tally.totals.max_in_flight.max(state.in_flight);
        Self {
            backend,
            is_finished: false,
        }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.backend.lock();
        state.in_flight -= 1;
        if !self.is_finished {
            state.tally.totals.cancelled += 1;
        }
    }
}

impl<'a> BusySlotGuard<'a> {
    fn enter(backend: &'a EmulatedBackend) -> Self {
        let mut state = backend.lock();
        let busy = state.busy + 1;
        state.set_busy(busy);
        Self(backend)
    }
}

impl Drop for BusySlotGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        let busy = state.busy - 1;
        state.set_busy(busy);
    }
}

fn select_fault(
    backend: &EmulatedBackend,
    request: &HttpRequest,
    now: ClockInstant,
) -> SelectedFault {
    let mut state = backend.lock();
    let in_flight = state.in_flight;
    let mut fault = state.selector.select(request.path(), in_flight, now);
    if request.headers().contains_key(CRASH_HEADER) {
        fault.action = Some(FaultAction::Crash);
    }
    if fault != SelectedFault::default() {
        state.tally.totals.faulted += 1;
    }
    fault
}

/// Runs the request in a slot; returns `None` if the queue for a slot is full.
async fn run(
    backend: &EmulatedBackend,
    request: &HttpRequest,
    body: &Bytes,
    delay: Duration,
) -> Option<ResponseBody> {
    if backend.slots.available_permits() == 0 {
        let state = backend.lock();
        let waiting = state.in_flight - state.busy;
        if waiting > backend.settings.queue {
            return None;
        }
    }
    let _permit = backend.slots.acquire().await.ok()?;
    let _busy = BusySlotGuard::enter(backend);
    let response_body = response_body(backend, request, body);
    record_run(backend, request, &response_body);
    let service_time = service_time(backend, request) + delay;
    // A sleep of zero duration lasts until the next tick of the timer.
    if !service_time.is_zero() {
        tokio::time::sleep(service_time).await;
    }
    Some(response_body)
}

fn record_run(backend: &EmulatedBackend, request: &HttpRequest, response_body: &ResponseBody) {
    let now = wall_clock();
    let mut state = backend.lock();
    state.tally.count_run(
        &response_body.request,
        &response_body.key,
        request.path(),
        now,
    );
    if let Some(journal) = &mut state.journal {
        journal.append(&JournalEntry {
            backend: response_body.backend.clone(),
            version: response_body.version.clone(),
            request: response_body.request.clone(),
            key: response_body.key.clone(),
            method: response_body.method.clone(),
            target: response_body.target.clone(),
            at: now,
        });
    }
}

/// Returns the time that the request occupies a slot, without fault delays.
fn service_time(backend: &EmulatedBackend, request: &HttpRequest) -> Duration {
    let settings = &backend.settings;
    let requested = header(request, SERVICE_TIME_HEADER).parse().ok();
    let service_time = requested.map_or(settings.service_time, TimeBudget::from_millis);
    let cold_deadline = backend.started_at.after(settings.cold_time);
    if cold_deadline.has_passed(wall_clock()) {
        return service_time.to_std();
    }
    service_time.to_std() + settings.cold_latency.to_std()
}

fn response_body(backend: &EmulatedBackend, request: &HttpRequest, body: &Bytes) -> ResponseBody {
    let settings = &backend.settings;
    let bytes: usize = header(request, PADDING_HEADER).parse().unwrap_or(0);
    ResponseBody {
        request: header(request, REQUEST_HEADER).to_owned(),
        method: request.method().to_string(),
        target: request.uri().to_string(),
        key: header(request, KEY_HEADER).to_owned(),
        body_bytes: body.len(),
        service: settings.service.to_string(),
        backend: settings.name.to_string(),
        version: settings.version.to_string(),
        padding: "x".repeat(bytes.min(MAX_PADDING_BYTES)),
    }
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> &'a str {
    let value = request.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

fn shed(backend: &EmulatedBackend, request: &HttpRequest) -> HttpResponse {
    backend.lock().tally.totals.shed += 1;
    HttpResponse::ServiceUnavailable()
        .insert_header((RUN_HEADER, "not-run"))
        .insert_header((REQUEST_HEADER, header(request, REQUEST_HEADER)))
        .finish()
}

/// Closes the request's connection; the returned response is never sent.
fn close_connection(request: &HttpRequest) -> HttpResponse {
    ConnectionHandle::close_request(request);
    HttpResponse::InternalServerError().force_close().finish()
}

fn respond(
    request: &HttpRequest,
    response_body: &ResponseBody,
    action: Option<FaultAction>,
    next_status: Option<StatusCode>,
    limit: Option<RequestRate>,
) -> HttpResponse {
    let mut response_body = response_body.clone();
    if action == Some(FaultAction::WrongRequestId) {
        response_body.request = WRONG_REQUEST_ID.to_owned();
        response_body.target = format!("/{WRONG_REQUEST_ID}");
    }
    let status = match (action, next_status) {
        (Some(FaultAction::Fail), _) => StatusCode::INTERNAL_SERVER_ERROR,
        (_, Some(next_status)) if !next_status.is_success() => next_status,
        _ => StatusCode::OK,
    };
    let body = serde_json::to_vec(&response_body).expect("response body is serializable");
    match action {
        Some(FaultAction::CloseAfterRun) => return close_connection(request),
        Some(FaultAction::DoubleAnswer) => {
            send_extra_response(request, &response_body, &body, limit);
        }
        _ => {}
    }
    let mut response = HttpResponse::build(status);
    response
        .insert_header((REQUEST_HEADER, response_body.request.as_str()))
        .content_type("application/json");
    if action == Some(FaultAction::CutBody) {
        return truncate_body(&mut response, &body);
    }
    response.body(body)
}

/// Writes a complete response directly to the socket; the HTTP library then sends a second one.
fn send_extra_response(
    request: &HttpRequest,
    response_body: &ResponseBody,
    body: &[u8],
    limit: Option<RequestRate>,
) {
    let limit = limit.map(|limit| format!("{LIMIT_HEADER}: {limit}\r\n"));
    let mut message = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\ncontent-type: application/json\r\n\
         {REQUEST_HEADER}: {}\r\n{}\r\n",
        body.len(),
        response_body.request,
        limit.unwrap_or_default()
    )
    .into_bytes();
    message.extend_from_slice(body);
    if let Some(handle) = request.conn_data::<ConnectionHandle>() {
        handle.send(&message);
    }
}

/// Sends half of the body and then fails, which closes the connection.
fn truncate_body(response: &mut HttpResponseBuilder, body: &[u8]) -> HttpResponse {
    let half = Bytes::copy_from_slice(&body[..body.len() / 2]);
    let rest = async {
        // The HTTP library flushes its buffer only while the body stream is pending.
        tokio::time::sleep(FLUSH_DELAY).await;
        Err(Error::other("response body truncated by an injected fault"))
    };
    let chunks = stream::once(ready(Ok(half))).chain(stream::once(rest));
    response.body(SizedStream::new(body.len() as u64, Box::pin(chunks)))
}
