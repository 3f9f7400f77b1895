use std::{future::Future, sync::Arc};

use actix_service::{Service, ServiceFactory, apply_fn_factory};
use bronzelb_kernel::holding::ConnectionKind;
use tokio::net::TcpStream;

use crate::holding::{ConnectionHold, HoldingState};

/// Limits the connections of a server: one that has been open for long closes for a new one.
pub(crate) fn limit_connections<E>(
    state: Arc<HoldingState>,
    kind: ConnectionKind,
    factory: impl ServiceFactory<TcpStream, Config = (), Response = (), Error = E, InitError = ()>,
) -> impl ServiceFactory<TcpStream, Config = (), Response = (), Error = E, InitError = ()> {
    apply_fn_factory(factory, move |stream: TcpStream, service| {
        let hold = state.add_connection(kind);
        let serve = hold.map(|hold| (hold, service.call(stream)));
        serve_limited(serve)
    })
}

/// Serves a connection until it has to close; one that finds no room is closed at once.
async fn serve_limited<E>(
    served: Option<(ConnectionHold, impl Future<Output = Result<(), E>>)>,
) -> Result<(), E> {
    let Some((mut hold, served)) = served else {
        return Ok(());
    };
    tokio::select! {
        result = served => result,
        () = hold.closed() => Ok(()),
    }
}
