use actix_web::{
    HttpResponse,
    http::{StatusCode, header::WWW_AUTHENTICATE},
};
use bronzelb_kernel::{
    clock::ClockInstant,
    error::{ErrorKind, MeshError},
    plugin::CallerDialect,
};
use compact_str::CompactString;
use serde::Serialize;

const MILLIS_PER_SECOND: u64 = 1_000;

#[derive(Debug, Serialize)]
struct ErrorBody {
    kind: &'static str,
    message: CompactString,
    run: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Builds the HTTP response for `error`, with the status and run state of its kind.
///
/// `now` is used to convert the error's retry instant to a delay; without it the response names no
/// delay.
#[must_use]
pub fn error_response(error: &MeshError, now: Option<ClockInstant>) -> HttpResponse {
    let response = error.kind().response();
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let retry_after_ms = error
        .retry_at()
        .zip(now)
        .map(|(instant, now)| instant.remaining(now).as_millis());
    let mut builder = HttpResponse::build(status);
    builder.insert_header(("x-bronzelb-run", response.run_state.name()));
    if let Some(millis) = retry_after_ms {
        builder.insert_header((
            "retry-after",
            millis.div_ceil(MILLIS_PER_SECOND).to_string(),
        ));
        builder.insert_header(("x-bronzelb-retry-after-ms", millis.to_string()));
    }
    builder.json(ErrorBody {
        kind: error.kind().name(),
        message: CompactString::from(error.message()),
        run: response.run_state.name(),
        retry_after_ms,
    })
}

/// Builds the HTTP response to a caller for `error`, in the form that the dialect defines.
pub(crate) fn caller_error_response(
    dialect: &CallerDialect,
    error: &MeshError,
    now: ClockInstant,
) -> HttpResponse {
    if dialect.adds_response_details {
        return error_response(error, Some(now));
    }
    let status = (dialect.status)(error.kind());
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    if let Some(instant) = error.retry_at() {
        let wait = (dialect.retry_after)(instant.remaining(now));
        builder.insert_header(("retry-after", wait.as_str()));
    }
    if let Some(header) = dialect.account_key.as_ref()
        && error.kind() == ErrorKind::Unauthorized
    {
        // Required with this status (RFC 9110, section 15.5.2).
        builder.insert_header((WWW_AUTHENTICATE, header.scheme));
    }
    builder.finish()
}
