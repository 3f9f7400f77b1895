use std::{
    future::{pending, ready},
    io::Error,
    time::Duration,
};

use actix_web::{
    HttpRequest, HttpResponse, HttpResponseBuilder,
    body::SizedStream,
    http::StatusCode,
    web::{self, Bytes},
};
use awc::Client;
use bronzelb_kernel::clock::{ClockInstant, TimeBudget};
use futures::{StreamExt, stream};

use crate::{
    backend::{
        AnswerBody, FaultAction, JournalEntry,
        backend_state::{BackendCore, CoreHandle},
        chain_call,
        fault_plan::PlannedFault,
    },
    server::{ConnectionHandle, wall_clock},
};

const REQUEST_HEADER: &str = "x-bronzelb-request";
const KEY_HEADER: &str = "idempotency-key";
const RUN_HEADER: &str = "x-backend-run";
/// Request header with the milliseconds that the request occupies a slot.
const WORK_HEADER: &str = "x-emulator-work-ms";
/// Request header with the least number of bytes of the answer's body.
const BYTES_HEADER: &str = "x-emulator-bytes";
/// Request header that makes the server crash.
const CRASH_HEADER: &str = "x-emulator-crash";
const CRASH_EXIT_CODE: i32 = 101;
const CUT_PAUSE: Duration = Duration::from_millis(5);
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
const WRONG_ID: &str = "another-request";

/// Counts a request as in flight, and as cancelled unless it is finished.
struct FlightGuard<'a> {
    core: &'a BackendCore,
    is_finished: bool,
}

/// Counts a slot as busy.
struct BusyGuard<'a>(&'a BackendCore);

/// Runs a request and answers it, as the faults in force allow.
pub(crate) async fn handle(
    core: web::Data<CoreHandle>,
    client: web::Data<Client>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let arrived_at = wall_clock();
    let mut flight = FlightGuard::enter(&core);
    let fault = draw_fault(&core, &request, arrived_at);
    let response = match fault.action {
        Some(FaultAction::FailFast) => HttpResponse::InternalServerError()
            .insert_header((REQUEST_HEADER, header(&request, REQUEST_HEADER)))
            .finish(),
        Some(FaultAction::Shed) => shed(&core, &request),
        Some(FaultAction::CloseBeforeRun) => close(&request),
        Some(FaultAction::Freeze) => pending().await,
        action => {
            let answer = run(&core, &request, &body, fault.delay).await;
            let Some(answer) = answer else {
                flight.is_finished = true;
                return shed(&core, &request);
            };
            if action == Some(FaultAction::Crash) {
                std::process::exit(CRASH_EXIT_CODE);
            }
            let next = chain_call::call_next(&client, &core.settings, &request, arrived_at).await;
            core.lock().tally.totals.finished += 1;
            respond(&request, &answer, action, next)
        }
    };
    flight.is_finished = true;
    response
}

impl<'a> FlightGuard<'a> {
    fn enter(core: &'a BackendCore) -> Self {
        let mut parts = core.lock();
        parts.in_flight += 1;
        parts.tally.totals.received += 1;
        parts.tally.totals.max_in_flight = parts.tally.totals.max_in_flight.max(parts.in_flight);
        Self {
            core,
            is_finished: false,
        }
    }
}

impl Drop for FlightGuard<'_> {
    fn drop(&mut self) {
        let mut parts = self.core.lock();
        parts.in_flight -= 1;
        if !self.is_finished {
            parts.tally.totals.cancelled += 1;
        }
    }
}

impl<'a> BusyGuard<'a> {
    fn enter(core: &'a BackendCore) -> Self {
        let mut parts = core.lock();
        let busy = parts.busy + 1;
        parts.set_busy(busy);
        Self(core)
    }
}

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        let mut parts = self.0.lock();
        let busy = parts.busy - 1;
        parts.set_busy(busy);
    }
}

fn draw_fault(core: &BackendCore, request: &HttpRequest, now: ClockInstant) -> PlannedFault {
    let mut parts = core.lock();
    let in_flight = parts.in_flight;
    let mut fault = parts.plan.draw(request.path(), in_flight, now);
    if request.headers().contains_key(CRASH_HEADER) {
        fault.action = Some(FaultAction::Crash);
    }
    if fault != PlannedFault::default() {
        parts.tally.totals.faulted += 1;
    }
    fault
}

/// Runs the request in a slot; the answer is `None` when too many wait for one.
async fn run(
    core: &BackendCore,
    request: &HttpRequest,
    body: &Bytes,
    delay: Duration,
) -> Option<AnswerBody> {
    if core.slots.available_permits() == 0 {
        let parts = core.lock();
        let waiting = parts.in_flight - parts.busy;
        if waiting > core.settings.queue {
            return None;
        }
    }
    let _permit = core.slots.acquire().await.ok()?;
    let _busy = BusyGuard::enter(core);
    let answer = answer_body(core, request, body);
    note_run(core, request, &answer);
    let work = work_time(core, request) + delay;
    // A sleep of zero lasts until the next tick of the timer.
    if !work.is_zero() {
        tokio::time::sleep(work).await;
    }
    Some(answer)
}

fn note_run(core: &BackendCore, request: &HttpRequest, answer: &AnswerBody) {
    let now = wall_clock();
    let mut parts = core.lock();
    parts
        .tally
        .count_run(&answer.request, &answer.key, request.path(), now);
    if let Some(journal) = &mut parts.journal {
        journal.append(&JournalEntry {
            backend: answer.backend.clone(),
            version: answer.version.clone(),
            request: answer.request.clone(),
            key: answer.key.clone(),
            method: answer.method.clone(),
            target: answer.target.clone(),
            at: now,
        });
    }
}

fn work_time(core: &BackendCore, request: &HttpRequest) -> Duration {
    let settings = &core.settings;
    let asked = header(request, WORK_HEADER).parse().ok();
    let work = asked.map_or(settings.service_time, TimeBudget::from_millis);
    let cold_deadline = core.started_at.after(settings.cold_time);
    if cold_deadline.has_passed(wall_clock()) {
        return work.to_std();
    }
    work.to_std() + settings.cold_latency.to_std()
}

fn answer_body(core: &BackendCore, request: &HttpRequest, body: &Bytes) -> AnswerBody {
    let settings = &core.settings;
    let bytes: usize = header(request, BYTES_HEADER).parse().unwrap_or(0);
    AnswerBody {
        request: header(request, REQUEST_HEADER).to_owned(),
        method: request.method().to_string(),
        target: request.uri().to_string(),
        key: header(request, KEY_HEADER).to_owned(),
        body_bytes: body.len(),
        service: settings.service.to_string(),
        backend: settings.name.to_string(),
        version: settings.version.to_string(),
        padding: "x".repeat(bytes.min(MAX_ANSWER_BYTES)),
    }
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> &'a str {
    let value = request.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

fn shed(core: &BackendCore, request: &HttpRequest) -> HttpResponse {
    core.lock().tally.totals.shed += 1;
    HttpResponse::ServiceUnavailable()
        .insert_header((RUN_HEADER, "not-run"))
        .insert_header((REQUEST_HEADER, header(request, REQUEST_HEADER)))
        .finish()
}

fn close(request: &HttpRequest) -> HttpResponse {
    ConnectionHandle::close_request(request);
    HttpResponse::InternalServerError().force_close().finish()
}

fn respond(
    request: &HttpRequest,
    answer: &AnswerBody,
    action: Option<FaultAction>,
    next: Option<StatusCode>,
) -> HttpResponse {
    let mut answer = answer.clone();
    if action == Some(FaultAction::WrongRequestId) {
        answer.request = WRONG_ID.to_owned();
        answer.target = format!("/{WRONG_ID}");
    }
    let status = match (action, next) {
        (Some(FaultAction::Fail), _) => StatusCode::INTERNAL_SERVER_ERROR,
        (_, Some(next)) if !next.is_success() => next,
        _ => StatusCode::OK,
    };
    let body = serde_json::to_vec(&answer).expect("an answer holds only text and numbers");
    match action {
        Some(FaultAction::CloseAfterRun) => return close(request),
        Some(FaultAction::DoubleAnswer) => send_extra(request, &answer, &body),
        _ => {}
    }
    let mut response = HttpResponse::build(status);
    response
        .insert_header((REQUEST_HEADER, answer.request.as_str()))
        .content_type("application/json");
    if action == Some(FaultAction::CutBody) {
        return cut_body(&mut response, &body);
    }
    response.body(body)
}

/// Sends a whole answer past the HTTP library, so that the library's own is the second one.
fn send_extra(request: &HttpRequest, answer: &AnswerBody, body: &[u8]) {
    let mut message = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\ncontent-type: application/json\r\n\
         {REQUEST_HEADER}: {}\r\n\r\n",
        body.len(),
        answer.request
    )
    .into_bytes();
    message.extend_from_slice(body);
    if let Some(handle) = request.conn_data::<ConnectionHandle>() {
        handle.send(&message);
    }
}

/// Sends half of the body; the rest never comes.
fn cut_body(response: &mut HttpResponseBuilder, body: &[u8]) -> HttpResponse {
    let half = Bytes::copy_from_slice(&body[..body.len() / 2]);
    let rest = async {
        // The library sends what it has buffered only while the body is pending.
        tokio::time::sleep(CUT_PAUSE).await;
        Err(Error::other("the body is cut short"))
    };
    let chunks = stream::once(ready(Ok(half))).chain(stream::once(rest));
    response.body(SizedStream::new(body.len() as u64, Box::pin(chunks)))
}
