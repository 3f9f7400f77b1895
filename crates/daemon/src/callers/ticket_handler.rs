use actix_web::{HttpResponse, web};
use bronzelb_kernel::request::KEY_MEMORY;
use serde::Serialize;

use crate::{callers::error_response, forward::RequestForwarder};

/// Path at which callers ask for tickets.
pub(crate) const TICKET_PATH: &str = "/.bronzelb/ticket";

#[derive(Debug, Serialize)]
struct TicketAnswer {
    ticket: String,
    lapses_in_ms: u64,
}

/// Issues an idempotency key that this run of the node holds.
pub(crate) async fn issue_ticket(forwarder: web::Data<RequestForwarder>) -> HttpResponse {
    let state = forwarder.state();
    let now = state.now();
    let issued = {
        let mut ledger = state.requests.ledger();
        ledger.issue(now, &state.settings.node, state.incarnation())
    };
    match issued {
        Ok(ticket) => HttpResponse::Ok().json(TicketAnswer {
            ticket: ticket.to_string(),
            lapses_in_ms: KEY_MEMORY.as_millis(),
        }),
        Err(error) => error_response(&error, Some(now)),
    }
}
