use actix_web::{HttpResponse, http::Method};
use bronzelb_kernel::request::KEY_RETENTION;
use serde::Serialize;

use crate::{
    callers::{caller_request::CallerRequest, error_response},
    node::NodeState,
};

/// Path of the endpoint that issues tickets.
const TICKET_PATH: &str = "/.bronzelb/ticket";

#[derive(Debug, Serialize)]
struct TicketResponse {
    ticket: String,
    lapses_in_ms: u64,
}

/// Returns whether the request asks for a ticket.
pub(crate) fn is_ticket_request(request: &CallerRequest) -> bool {
    *request.head.method() == Method::POST && request.head.path() == TICKET_PATH
}

/// Issues an idempotency key that is bound to this incarnation of the node.
pub(crate) fn issue_ticket(state: &NodeState) -> HttpResponse {
    let now = state.now();
    let issued = {
        let mut cache = state.requests.idempotency_cache();
        cache.issue_ticket(now, &state.settings.node, state.incarnation())
    };
    match issued {
        Ok(ticket) => HttpResponse::Ok().json(TicketResponse {
            ticket: ticket.to_string(),
            lapses_in_ms: KEY_RETENTION.as_millis(),
        }),
        Err(error) => error_response(&error, Some(now)),
    }
}
