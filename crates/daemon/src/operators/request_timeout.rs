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

/// Time within which a request's body must have arrived and its answer be ready.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Ends a request whose sender does not finish it in time, and its connection with it.
pub(crate) async fn enforce_request_timeout(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    match time::timeout(REQUEST_TIMEOUT, next.call(request)).await {
        Ok(answered) => answered.map(ServiceResponse::map_into_boxed_body),
        Err(_) => Err(too_slow()),
    }
}

fn too_slow() -> Error {
    let error = MeshError::new(ErrorKind::SlowSender, "the request did not arrive in time");
    let mut answer: HttpResponse = error_response(&error, None);
    answer
        .head_mut()
        .set_connection_type(actix_web::http::ConnectionType::Close);
    InternalError::from_response("slow sender", answer).into()
}
