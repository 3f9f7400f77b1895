use std::{net::SocketAddr, sync::Arc};

use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::proxy::{
    ProxyRules, proxy_listener,
    proxy_state::{ListenerState, StateHandle},
};

/// Body of `POST /listeners`, which opens a listener and responds with a [`TargetBody`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenerBody {
    /// Name of the listener in rules and counters.
    pub name: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Target address; connections accepted without one are closed.
    #[serde(default)]
    pub target: Option<SocketAddr>,
}

/// Body of `PUT /targets` and of the response to `POST /listeners`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetBody {
    /// Name of the listener.
    pub name: String,
    /// New target address in a request, listen address in a response.
    pub address: SocketAddr,
}

pub(crate) async fn post_listener(
    state: web::Data<StateHandle>,
    body: web::Json<ListenerBody>,
) -> HttpResponse {
    let body = body.into_inner();
    let opened = async {
        let socket = TcpListener::bind(body.listen).await?;
        let address = socket.local_addr()?;
        Ok::<_, std::io::Error>((socket, address))
    };
    let (socket, address) = match opened.await {
        Ok(opened) => opened,
        Err(error) => {
            let message = format!("listen on {}: {error}", body.listen);
            return HttpResponse::Conflict().body(message);
        }
    };
    let listener = Arc::new(ListenerState::new(body.name.clone(), body.target));
    state
        .listeners()
        .insert(body.name.clone(), Arc::clone(&listener));
    actix_web::rt::spawn(proxy_listener::run(
        StateHandle::clone(&state),
        listener,
        socket,
    ));
    HttpResponse::Ok().json(TargetBody {
        name: body.name,
        address,
    })
}

pub(crate) async fn put_target(
    state: web::Data<StateHandle>,
    body: web::Json<TargetBody>,
) -> HttpResponse {
    match state.listeners().get(&body.name) {
        Some(listener) => {
            listener.set_target(body.address);
            HttpResponse::NoContent().finish()
        }
        None => HttpResponse::NotFound().body(format!("listener {:?} does not exist", body.name)),
    }
}

pub(crate) async fn put_rules(
    state: web::Data<StateHandle>,
    rules: web::Json<ProxyRules>,
) -> HttpResponse {
    state.set_rules(rules.into_inner());
    HttpResponse::NoContent().finish()
}

pub(crate) async fn get_rules(state: web::Data<StateHandle>) -> HttpResponse {
    HttpResponse::Ok().json(state.rules())
}

pub(crate) async fn get_counters(state: web::Data<StateHandle>) -> HttpResponse {
    HttpResponse::Ok().json(state.counters())
}
