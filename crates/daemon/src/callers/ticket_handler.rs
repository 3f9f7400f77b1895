use actix_web::{HttpResponse, http::Method};
use bronzelb_kernel::request::KEY_RETENTION;
use serde::Serialize;

use crate::{
    callers::{caller_request::CallerRequest, error_response},
    node::NodeState,
};

/// Path at which callers ask for tickets.
const TICKET_PATH: &str = "/.bronzelb/ticket";

#[derive(Debug, Serialize)]
struct TicketAnswer {
    ticket: String,
    lapses_in_ms: u64,
}

/// Returns whether a caller asks for a ticket.
pub(crate) fn is_ticket_request(request: &CallerRequest) -> bool {
    *request.head.method() == Method::POST && request.head.path() == TICKET_PATH
}

/// Issues an idempotency key that this run of the node holds.
pub(crate) fn issue_ticket(state: &NodeState) -> HttpResponse {
    let now = state.now();
    let issued = {
        let mut ledger = state.requests.idempotency_cache();
        ledger.issue_ticket(now, &state.settings.node, state.incarnation())
    };
    match issued {
        Ok(ticket) => HttpResponse::Ok().json(TicketAnswer {
            ticket: ticket.to_string(),
            lapses_in_ms: KEY_RETENTION.as_millis(),
        }),
        Err(error) => error_response(&error, Some(now)),
    }
}
