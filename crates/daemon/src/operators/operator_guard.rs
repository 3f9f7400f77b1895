use std::net::IpAddr;

use actix_web::{
    Error, HttpResponse,
    body::{BoxBody, MessageBody},
    dev::{ServiceRequest, ServiceResponse},
    http::header::{AUTHORIZATION, HeaderValue},
    middleware::Next,
    web,
};
use bronzelb_kernel::error::{ErrorKind, MeshError};

use crate::{callers::error_response, node::NodeState, settings::OperatorToken};

/// Middleware that accepts requests from the VM itself, and others only with the operator token.
pub(crate) async fn authorize_operator(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    if is_request_allowed(&request) {
        let response = next.call(request).await?;
        return Ok(response.map_into_boxed_body());
    }
    let error = MeshError::new(
        ErrorKind::Unauthorized,
        "the operators' token is missing or wrong",
    );
    let response: HttpResponse = error_response(&error, None);
    Ok(request.into_response(response))
}

fn is_request_allowed(request: &ServiceRequest) -> bool {
    let state = request.app_data::<web::Data<NodeState>>();
    let token = state.and_then(|state| state.settings.operators.token.as_ref());
    let authorization = request.headers().get(AUTHORIZATION);
    is_operator_allowed(
        request.peer_addr().map(|peer| peer.ip()),
        authorization.map(HeaderValue::as_bytes),
        token,
    )
}

/// Returns whether a request from `peer` may use the operator listener.
///
/// Processes on the VM may always use it, which the backend servers on the VM rely on. Others need
/// the token, and are rejected if none is configured.
#[must_use]
pub fn is_operator_allowed(
    peer: Option<IpAddr>,
    authorization: Option<&[u8]>,
    token: Option<&OperatorToken>,
) -> bool {
    if peer.is_some_and(|peer| peer.is_loopback()) {
        return true;
    }
    match (authorization, token) {
        (Some(authorization), Some(token)) => token.matches_header(authorization),
        _ => false,
    }
}
