//! The mesh's native wire dialect.

use bronzelb_kernel::{
    clock::TimeBudget,
    error::ErrorKind,
    member::{StatedCold, StatedLimit},
    plugin::{CallerDialect, ResponseHeaders, ServerDialect, ServerNotice, WireDialect},
};
use compact_str::{CompactString, format_compact};

/// Name of the native dialect in the setting `dialect`.
pub const NATIVE_DIALECT: &str = "bronzelb";

const REQUEST_HEADER: &str = "x-bronzelb-request";
const DEADLINE_HEADER: &str = "x-bronzelb-deadline-ms";
const ATTEMPT_HEADER: &str = "x-bronzelb-attempt";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const BACKEND_RUN_HEADER: &str = "x-backend-run";
const NOT_RUN_VALUE: &[u8] = b"not-run";
const BACKEND_LIMIT_HEADER: &str = "x-backend-limit";
const BACKEND_LEAVING_HEADER: &str = "x-backend-leaving";
const LEAVING_VALUE: &[u8] = b"1";
const SHED_STATUS: u16 = 503;
const MILLIS_PER_SECOND: u64 = 1_000;

inventory::submit! {
    WireDialect {
        name: NATIVE_DIALECT,
        callers: CallerDialect {
            request_header: REQUEST_HEADER,
            deadline_header: DEADLINE_HEADER,
            idempotency_key_header: Some(IDEMPOTENCY_KEY_HEADER),
            account_key: None,
            attempt_header: Some(ATTEMPT_HEADER),
            accepts_request_id: false,
            preserves_host: false,
            adds_response_details: true,
            status,
            retry_after,
        },
        servers: ServerDialect {
            request_header: REQUEST_HEADER,
            deadline_header: DEADLINE_HEADER,
            attempt_header: Some(ATTEMPT_HEADER),
            expected_server_header: None,
            account_header: None,
            origin_header: None,
            accepts_unframed: false,
            is_not_run,
            read_notice,
        },
        local: None,
    }
}

fn status(kind: ErrorKind) -> u16 {
    kind.response().status
}

/// Formats a delay as whole seconds, rounded up (RFC 9110, section 10.2.3).
fn retry_after(delay: TimeBudget) -> CompactString {
    format_compact!("{}", delay.as_millis().div_ceil(MILLIS_PER_SECOND))
}

fn is_not_run(status: u16, header: &ResponseHeaders<'_>) -> bool {
    status == SHED_STATUS && header(BACKEND_RUN_HEADER) == Some(NOT_RUN_VALUE)
}

fn read_notice(_: u16, header: &ResponseHeaders<'_>) -> ServerNotice {
    ServerNotice {
        limit: StatedLimit::from_header(header(BACKEND_LIMIT_HEADER)),
        is_leaving: header(BACKEND_LEAVING_HEADER) == Some(LEAVING_VALUE),
        cold_left: StatedCold::Unknown,
    }
}
