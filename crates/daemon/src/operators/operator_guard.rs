use actix_web::{
    Error, HttpResponse,
    body::{BoxBody, MessageBody},
    dev::{ServiceRequest, ServiceResponse},
    http::header::AUTHORIZATION,
    middleware::Next,
    web,
};
use bronzelb_kernel::error::{ErrorKind, MeshError};

use crate::{callers::error_response, node::NodeState};

/// Lets in requests from the VM itself, and others only with the operators' token.
pub(crate) async fn check_operator(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    if is_allowed(&request) {
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

fn is_allowed(request: &ServiceRequest) -> bool {
    let is_local = request
        .peer_addr()
        .is_some_and(|peer| peer.ip().is_loopback());
    if is_local {
        return true;
    }
    let Some(state) = request.app_data::<web::Data<NodeState>>() else {
        return false;
    };
    let Some(token) = &state.settings.operators.token else {
        return false;
    };
    let sent = request.headers().get(AUTHORIZATION);
    sent.is_some_and(|sent| token.is_carried_by(sent.as_bytes()))
}
