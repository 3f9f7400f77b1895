use std::time::Duration;

use actix_web::{
    Error, HttpResponse,
    body::{BoxBody, MessageBody},
    dev::{ServiceRequest, ServiceResponse},
    error::InternalError,
    middleware::Next,
};
use bronzelb_kernel::error::{ErrorKind, MeshError};
use tokio::time;

use crate::callers::error_response;

/// Time limit for receiving a request's body and producing its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Middleware that fails a request which exceeds [`REQUEST_TIMEOUT`] and closes its connection.
pub(crate) async fn enforce_request_timeout(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    match time::timeout(REQUEST_TIMEOUT, next.call(request)).await {
        Ok(result) => result.map(ServiceResponse::map_into_boxed_body),
        Err(_) => Err(slow_sender_error()),
    }
}

fn slow_sender_error() -> Error {
    let error = MeshError::new(ErrorKind::SlowSender, "the request did not arrive in time");
    let mut response: HttpResponse = error_response(&error, None);
    response
        .head_mut()
        .set_connection_type(actix_web::http::ConnectionType::Close);
    InternalError::from_response("slow sender", response).into()
}
