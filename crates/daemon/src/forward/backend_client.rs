use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use actix_http::{ConnectionType, RequestHead, header::HeaderMap};
use actix_web::http::{
    Method, Uri,
    header::{HOST, HeaderName, HeaderValue},
};
use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
    ids::{BackendName, SlotCount},
    member::{BackendIncarnation, BackendState, StatedLimit},
    plugin::{ServerDialect, ServerNotice},
    request::{AccountRank, AdmissionRequest, CrashStatus, RunRank, ServerInstance},
};
use bronzelb_wire::peer::{ForwardRequest, ForwardResponse, HttpHeader};
use bytes::Bytes;
use slog::info;
use tokio::{io::AsyncReadExt, net::TcpStream, time};

use crate::{
    backends::{BackendAnnouncement, doubt_server},
    forward::{
        account_headers, account_name,
        backend_connection::{
            BackendConnection, BackendResponse, ExchangeError, ExchangeOptions, MAX_RESPONSE_BYTES,
        },
        concurrency_limiter::SlotPermit,
        crash_registry::CrashRegistry,
        is_hop_header, recheck_account,
        request_state::BackendRuntime,
        routed_request::{admission_request, call_rank},
    },
    log::{EventName, REQUEST_TAG},
    node::NodeState,
    peers::PeerPool,
};

const PROBE_ATTEMPTS: usize = 5;
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Minimum time for which a live server keeps an idle connection open.
const PROBE_READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Time in which the news that a server has left reaches the other nodes: the minimum time between
/// two rounds of pushes ([`GossipOptions`](bronzelb_kernel::spread::GossipOptions)).
const MEMBER_NEWS_DELAY: TimeBudget = TimeBudget::from_millis(100);
/// Divisor of a server's connections that gives the number that may be idle.
const IDLE_DIVISOR: usize = 3;
/// Threads besides the workers that send requests to backend servers: one serves other nodes.
const PEER_SERVER_THREADS: usize = 1;

/// Client of the backend servers on this node; clones share their connections.
#[derive(Clone)]
pub struct BackendClient {
    state: Arc<NodeState>,
    crashes: CrashRegistry,
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<BackendConnection>>>>,
}

/// Backend server on this node that a request is sent to.
#[derive(Clone, Copy)]
struct LocalServer<'a> {
    name: &'a BackendName,
    announcement: &'a BackendAnnouncement,
    /// Incarnation at the time of sending.
    incarnation: BackendIncarnation,
    runtime: &'a BackendRuntime,
}

impl BackendClient {
    /// Creates a client for one thread, with its own connections.
    #[must_use]
    pub fn new(state: Arc<NodeState>, peers: PeerPool) -> Self {
        Self {
            crashes: CrashRegistry::new(Arc::clone(&state), peers),
            state,
            idle: Rc::default(),
        }
    }

    /// Runs a request on the backend server `name` and returns its complete response.
    ///
    /// # Errors
    ///
    /// - [`ErrorKind::Unauthorized`]: the request's key has been revoked.
    /// - [`ErrorKind::NoBackend`]: the server is not on this node or refuses connections.
    /// - [`ErrorKind::Draining`]: the server accepts no new requests, or this node shuts down before
    ///   the deadline.
    /// - [`ErrorKind::Evacuated`]: the data centre is evacuated.
    /// - [`ErrorKind::Overloaded`]: no slot of the server is available before the deadline, or the
    ///   server did not accept a connection in time.
    /// - [`ErrorKind::Shed`]: the server shed the request.
    /// - [`ErrorKind::Quarantined`]: the request has crashed two servers.
    /// - [`ErrorKind::DeadlinePassed`]: the deadline passed before the request was sent.
    /// - [`ErrorKind::OutcomeUnknown`]: the connection closed early, or the server responded to
    ///   another request or did not respond before the deadline.
    /// - [`ErrorKind::BackendFailed`]: the response is too large.
    pub async fn run(
        &self,
        name: &BackendName,
        deadline: ClockInstant,
        message: &ForwardRequest,
    ) -> Result<ForwardResponse, MeshError> {
        let arrived_at = self.state.now();
        // The entry node may hold an older version.
        recheck_account(&self.state, message)?;
        let (announcement, incarnation) = self.serving(name)?;
        let runtime =
            self.state
                .requests
                .backend_runtime(name, usable_slots(&announcement), incarnation);
        runtime.slot_limiter.adopt_limit(message.limit);
        let cold_limit = self.state.backends().cold_limit(name);
        runtime.slot_limiter.set_cold_limit(cold_limit);
        let crash_status = self.crashes.check(message.fingerprint)?;
        let suspect_permit = match crash_status {
            CrashStatus::Suspect => Some(
                runtime
                    .suspect_limiter
                    .acquire(message.priority, deadline)
                    .await?,
            ),
            _ => None,
        };
        let queued_at = self.state.now();
        let call_rank = call_rank(&mut self.state.requests.call_routes(), message);
        let is_call = call_rank.is_some();
        if is_call {
            self.state.count("calls_received");
        }
        let own_rank = RunRank {
            account: message.account.clone(),
        };
        let rank = call_rank.unwrap_or(own_rank);
        let admission = AdmissionRequest {
            account: rank.account.clone(),
            is_call,
            ..admission_request(self.state.config().as_deref(), deadline, message)
        };
        let acquired = runtime
            .slot_limiter
            .acquire_for(admission, message.may_hand_on)
            .await;
        let permit = acquired.inspect_err(|error| {
            if is_call {
                self.state.count("calls_refused");
            }
            self.log_refusal(name, &runtime, message, queued_at, error);
        })?;
        let started_at = self.state.now();
        // The server or this node may have started draining while the request was queued.
        let (announcement, incarnation) = self.serving(name)?;
        let drain_gate = self.state.requests.drain_gate();
        drain_gate.check_accepted(started_at, deadline, self.is_idempotent(message))?;
        let server = LocalServer {
            name,
            announcement: &announcement,
            incarnation,
            runtime: &runtime,
        };
        let run = self.state.requests.begin_run(deadline, rank);
        let result = self.run_in_slot(&server, deadline, message).await;
        drop(run);
        self.log_run(name, message, (queued_at, started_at), &result);
        finish_if_ok(permit, &result);
        if let Some(suspect_permit) = suspect_permit {
            finish_if_ok(suspect_permit, &result);
        }
        let response = result?;
        self.crashes
            .clear(message.fingerprint, &announcement.service)
            .await;
        let notice = read_notice(&self.state.settings.dialect.servers, &response);
        let (status, headers, body) = (response.status, response.headers, response.body);
        Ok(ForwardResponse {
            status: status.as_u16(),
            headers: end_to_end_headers(&headers),
            body,
            backend: name.clone(),
            version: announcement.version,
            load: runtime.slot_limiter.load(),
            held: arrived_at.elapsed(self.state.now()),
            limit: runtime.slot_limiter.limit(),
            departed: notice.is_leaving.then_some(incarnation).filter(is_stated),
        })
    }

    /// Sets the header with the client account, and removes what callers or servers sent in its
    /// place.
    fn set_account(
        &self,
        head: &mut RequestHead,
        account: Option<&AccountRank>,
    ) -> Result<(), ExchangeError> {
        let dialect = self.state.settings.dialect;
        if let Some(config) = self.state.config() {
            for name in account_headers(dialect, &config).into_iter().flatten() {
                head.headers.remove(name);
            }
        }
        match dialect.servers.account_header.zip(account) {
            Some((name, rank)) => insert(head, name, rank.account.as_str()),
            None => Ok(()),
        }
    }

    /// Returns the announcement and incarnation of a server that accepts requests.
    fn serving(
        &self,
        name: &BackendName,
    ) -> Result<(BackendAnnouncement, BackendIncarnation), MeshError> {
        self.check_evacuation()?;
        let backends = self.state.backends();
        let now = self.state.now();
        let entry = backends
            .get(name)
            .filter(|entry| !entry.lease_deadline.has_passed(now));
        let entry = entry.ok_or_else(|| {
            let message = format!("backend server {name} is not on this node");
            MeshError::new(ErrorKind::NoBackend, message).with_retry_at(self.retry_at())
        })?;
        if entry.state() == BackendState::Serving {
            let mut announcement = entry.announcement.clone();
            announcement.connections = announcement
                .connections
                .min(self.configured_connections(&announcement));
            return Ok((announcement, entry.incarnation()));
        }
        let message = format!("backend server {name} accepts no new requests");
        Err(MeshError::new(ErrorKind::Draining, message).with_retry_at(self.retry_at()))
    }

    /// Refuses requests while an operator's order to evacuate this data centre is in force.
    ///
    /// Entry nodes may not know the order yet.
    fn check_evacuation(&self) -> Result<(), MeshError> {
        let data_centre = &self.state.settings.data_centre;
        if !self.state.placement.is_evacuated(data_centre) {
            return Ok(());
        }
        self.state.count("requests_refused_evacuated");
        let message = format!("data centre {data_centre} is evacuated");
        Err(MeshError::new(ErrorKind::Evacuated, message).with_retry_at(self.retry_at()))
    }

    /// Logs and measures a request that got no slot, with the load of the server.
    fn log_refusal(
        &self,
        name: &BackendName,
        runtime: &BackendRuntime,
        message: &ForwardRequest,
        queued_at: ClockInstant,
        error: &MeshError,
    ) {
        let state = &self.state;
        let waited = queued_at.elapsed(state.now());
        state.observe_duration("refusal_wait_ms", "place", "server", waited);
        if !state.should_log(EventName::RequestRefused) {
            return;
        }
        let (now, load) = (state.now(), runtime.slot_limiter.load());
        info!(state.logger, #REQUEST_TAG, "{}", EventName::RequestRefused;
            "request" => message.request_id.as_str(), "route" => message.route.to_string(),
            "account" => account_name(message.account.as_ref()),
            "backend" => name.to_string(), "priority" => message.priority.to_string(),
            "running" => load.running, "waiting" => load.waiting,
            "waited_ms" => waited.as_millis(),
            "message" => error.message().to_owned(),
            "retry_after_ms" => error.retry_at().map(|instant| instant.remaining(now).as_millis()));
    }

    /// Logs an exchange with a server, with its queue time and execution time.
    fn log_run(
        &self,
        name: &BackendName,
        message: &ForwardRequest,
        (queued_at, started_at): (ClockInstant, ClockInstant),
        result: &Result<BackendResponse, MeshError>,
    ) {
        let state = &self.state;
        let now = state.now();
        let outcome = result
            .as_ref()
            .map_or_else(|error| error.kind().name(), |_| "answered");
        let (waited, ran) = (queued_at.elapsed(started_at), started_at.elapsed(now));
        state.observe_duration("slot_wait_ms", "outcome", outcome, waited);
        state.observe_duration("slot_run_ms", "outcome", outcome, ran);
        if !state.should_log(EventName::RequestRan) {
            return;
        }
        info!(state.logger, #REQUEST_TAG, "{}", EventName::RequestRan;
            "request" => message.request_id.as_str(), "route" => message.route.to_string(),
            "account" => account_name(message.account.as_ref()),
            "backend" => name.to_string(), "outcome" => outcome,
            "status" => result.as_ref().ok().map(|response| response.status.as_u16()),
            "message" => result.as_ref().err().map(|error| error.message().to_owned()),
            "waited_ms" => waited.as_millis(), "ran_ms" => ran.as_millis());
    }

    /// Returns the number of connections that the configuration allows per server of the service.
    fn configured_connections(&self, announcement: &BackendAnnouncement) -> u32 {
        let config = self.state.config();
        let spec = config.as_ref().and_then(|config| {
            let services = &config.snapshot().services;
            services.get(&announcement.service)
        });
        spec.map_or(u32::MAX, |spec| spec.connections)
    }

    async fn run_in_slot(
        &self,
        server: &LocalServer<'_>,
        deadline: ClockInstant,
        message: &ForwardRequest,
    ) -> Result<BackendResponse, MeshError> {
        let LocalServer {
            name,
            announcement,
            runtime,
            ..
        } = *server;
        let instance = ServerInstance {
            backend: name.clone(),
            incarnation: self.state.incarnation(),
            prior_crashes: u32::try_from(runtime.crash_count.load(Ordering::Relaxed))
                .unwrap_or(u32::MAX),
        };
        // The request may have been quarantined while it was queued.
        self.crashes.check(message.fingerprint)?;
        let time_left = deadline.remaining(self.state.now());
        if time_left.is_zero() {
            let message = "the deadline passed before the request ran";
            return Err(MeshError::new(ErrorKind::DeadlinePassed, message)
                .with_retry_at(runtime.slot_limiter.retry_at()));
        }
        let started_at = self.state.now();
        let exchange = self.exchange(server, time_left, message);
        let Ok(result) = time::timeout(time_left.to_std(), exchange).await else {
            // A server on a VM whose network is silent may be cold when it is back.
            if !runtime.has_responded_since(started_at) {
                doubt_server(&self.state, name, "hanging connection");
            }
            let message = format!("backend server {name} did not respond before the deadline");
            return Err(MeshError::new(ErrorKind::OutcomeUnknown, message));
        };
        match result {
            Ok(response) => self.check_shed(server, response),
            Err(ExchangeError::Unreached(reason)) => {
                let message = format!("backend server {name} is not reachable: {reason}");
                Err(MeshError::new(ErrorKind::NoBackend, message).with_retry_at(self.retry_at()))
            }
            Err(ExchangeError::NotAccepted) => {
                let message = format!("backend server {name} did not accept a connection in time");
                Err(MeshError::new(ErrorKind::Overloaded, message)
                    .with_retry_at(runtime.slot_limiter.retry_at()))
            }
            Err(ExchangeError::Unauthorized(error)) => Err(error),
            Err(ExchangeError::TooLarge) => {
                let message = format!(
                    "the response exceeds {MAX_RESPONSE_BYTES} bytes or the room beside others"
                );
                Err(MeshError::new(ErrorKind::BackendFailed, message))
            }
            Err(ExchangeError::Lost(reason)) => {
                doubt_server(&self.state, name, "lost connection");
                if has_crashed(announcement.address).await {
                    runtime.record_crash(instance.prior_crashes);
                    self.withdraw(name, announcement.address);
                    self.crashes
                        .record_crash(message, instance, announcement)
                        .await;
                }
                let message = format!("lost the response of backend server {name}: {reason}");
                Err(MeshError::new(ErrorKind::OutcomeUnknown, message))
            }
        }
    }

    async fn exchange(
        &self,
        server: &LocalServer<'_>,
        time_left: TimeBudget,
        message: &ForwardRequest,
    ) -> Result<BackendResponse, ExchangeError> {
        let LocalServer {
            name,
            announcement,
            runtime,
            ..
        } = *server;
        let address = announcement.address;
        let echoes_request_id = runtime.echoes_request_id.load(Ordering::Relaxed);
        let connection = match self.take_idle(address, self.is_idempotent(message)) {
            Some(connection) => connection,
            None => BackendConnection::open(address, time_left.to_std()).await?,
        };
        let dialect = &self.state.settings.dialect.servers;
        // The key may have been revoked while the request was queued or the connection was opened.
        let (_, account) =
            recheck_account(&self.state, message).map_err(ExchangeError::Unauthorized)?;
        let mut head = request_head(
            dialect,
            name,
            address,
            echoes_request_id,
            time_left,
            message,
        )?;
        self.set_account(&mut head, account.as_ref())?;
        let is_for_request = |response: &BackendResponse, is_fresh: bool| {
            match response.headers.get(dialect.request_header) {
                Some(echo) => echo.as_bytes() == message.request_id.as_bytes(),
                // Servers that do not echo request identifiers get one connection per request.
                None => is_fresh || is_not_run(dialect, response),
            }
        };
        let options = ExchangeOptions {
            accepts_unframed: dialect.accepts_unframed,
            is_for_request: &is_for_request,
            holding: &self.state.holding,
        };
        let sent_at = self.state.now();
        runtime.limit_monitor().count_sent();
        self.state
            .count_labeled("requests_sent", "backend", name.as_str());
        let exchanged = connection
            .exchange(head, message.body.clone(), &options)
            .await;
        let (response, connection) = exchanged.inspect_err(|error| {
            if matches!(error, ExchangeError::Lost(_)) {
                runtime.echoes_request_id.store(false, Ordering::Relaxed);
            }
        })?;
        runtime.record_response(self.state.now());
        self.record_notice(server, sent_at, read_notice(dialect, &response));
        let has_echoed = response.headers.contains_key(dialect.request_header);
        if !is_not_run(dialect, &response) {
            runtime
                .echoes_request_id
                .store(has_echoed, Ordering::Relaxed);
        }
        let connection = connection.filter(|_| runtime.echoes_request_id.load(Ordering::Relaxed));
        if let Some(mut connection) = connection {
            if !has_echoed {
                connection.record_unidentified();
            }
            self.keep_idle(announcement, connection);
        }
        Ok(response)
    }

    /// Records what a response states about its server.
    fn record_notice(&self, server: &LocalServer<'_>, sent_at: ClockInstant, notice: ServerNotice) {
        let LocalServer { name, runtime, .. } = *server;
        runtime.slot_limiter.record_statement(sent_at, notice.limit);
        runtime.slot_limiter.record_running(notice.running);
        for _ in 0..runtime.slot_limiter.record_slowdown(notice.slowdown) {
            self.state
                .count_labeled("requests_handed_on", "backend", name.as_str());
        }
        let limit = runtime.slot_limiter.limit();
        let is_changed = {
            let mut backends = self.state.backends();
            let has_departed =
                notice.is_leaving && backends.record_departure(name, server.incarnation);
            backends.record_limit(self.state.now(), name, limit) || has_departed
        };
        if is_changed {
            self.state.publish_backends();
        }
        self.log_limit(name, runtime, limit);
    }

    /// Logs the requests sent to a server whose limit begins or ends, or regularly while one is in
    /// force.
    fn log_limit(&self, name: &BackendName, runtime: &BackendRuntime, limit: StatedLimit) {
        let now = self.state.now();
        let Some(report) = runtime.limit_monitor().record_limit(now, limit) else {
            return;
        };
        if !self.state.should_log(EventName::ServerLimit) {
            return;
        }
        let rate_text = |limit: StatedLimit| limit.rate().map(|rate| rate.to_string());
        info!(self.state.logger, "{}", EventName::ServerLimit;
            "backend" => name.to_string(), "limit" => rate_text(report.limit),
            "previous_limit" => rate_text(report.previous), "sent" => report.sent,
            "period_ms" => report.period.as_millis());
    }

    /// Keeps an idle connection, up to this thread's share of the server's idle connections.
    fn keep_idle(&self, announcement: &BackendAnnouncement, connection: BackendConnection) {
        let threads = self.state.settings.workers + PEER_SERVER_THREADS;
        let share = announcement.connections as usize / IDLE_DIVISOR / threads;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(announcement.address).or_default();
        if connections.len() < share.max(1) {
            connections.push(connection);
        }
    }

    /// Returns an idle connection for a request.
    ///
    /// One that may hold a late copy of a refusal is only for idempotent requests, which may run again
    /// if the copy is taken for their answer; these use such connections first.
    fn take_idle(&self, address: SocketAddr, is_idempotent: bool) -> Option<BackendConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let position = |connections: &[BackendConnection]| {
            let first = connections
                .iter()
                .rposition(|connection| connection.may_hold_copy() == is_idempotent);
            first.or_else(|| connections.len().checked_sub(1).filter(|_| is_idempotent))
        };
        while let Some(position) = position(connections) {
            let connection = connections.remove(position);
            if connection.is_usable() {
                return Some(connection);
            }
        }
        if connections.is_empty() {
            idle.remove(&address);
        }
        None
    }

    /// Returns whether the request may run more than once, as far as the configuration in force tells.
    pub(crate) fn is_idempotent(&self, message: &ForwardRequest) -> bool {
        let config = self.state.config();
        let route = config
            .as_ref()
            .and_then(|config| config.snapshot().routes.get(&message.route));
        route.is_some_and(|route| route.idempotent)
    }

    /// Returns an error if the server shed the request.
    fn check_shed(
        &self,
        server: &LocalServer<'_>,
        response: BackendResponse,
    ) -> Result<BackendResponse, MeshError> {
        if !is_not_run(&self.state.settings.dialect.servers, &response) {
            return Ok(response);
        }
        let message = format!("backend server {} shed the request", server.name);
        let retry_at = server.runtime.slot_limiter.retry_at();
        Err(MeshError::new(ErrorKind::Shed, message).with_retry_at(retry_at))
    }

    /// Removes a crashed server immediately; a live server announces itself again.
    fn withdraw(&self, name: &BackendName, address: SocketAddr) {
        let is_removed = {
            let mut backends = self.state.backends();
            let known_address = backends.get(name).map(|entry| entry.announcement.address);
            known_address == Some(address) && backends.remove(name)
        };
        if is_removed {
            self.state.publish_backends();
        }
    }

    fn retry_at(&self) -> ClockInstant {
        self.state.now().after(MEMBER_NEWS_DELAY)
    }
}

/// Returns the number of requests that may run on a server concurrently.
///
/// This is the number of its slots, lowered if the server accepts too few connections for
/// running requests and idle connections together.
fn usable_slots(announcement: &BackendAnnouncement) -> SlotCount {
    let connections = announcement.connections;
    let max_slots = connections - connections / IDLE_DIVISOR as u32;
    SlotCount::new(announcement.slots.get().min(max_slots.max(1)))
}

/// Releases a slot; execution times are recorded for complete responses only.
fn finish_if_ok(permit: SlotPermit, result: &Result<BackendResponse, MeshError>) {
    if result.is_ok() {
        permit.finish();
    }
}

/// Returns whether the server that listened at `address` has crashed.
///
/// While a process exits, its listener may briefly outlive its connections. A connection that is
/// accepted and closed immediately is therefore retried.
async fn has_crashed(address: SocketAddr) -> bool {
    for _ in 0..PROBE_ATTEMPTS {
        match time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
            Err(_) => return false,
            Ok(Err(_)) => return true,
            Ok(Ok(mut stream)) => {
                let mut byte = [0];
                let read = time::timeout(PROBE_READ_TIMEOUT, stream.read(&mut byte)).await;
                if read.is_err() {
                    return false;
                }
            }
        }
    }
    false
}

fn is_not_run(dialect: &ServerDialect, response: &BackendResponse) -> bool {
    let header = |name: &str| response.headers.get(name).map(HeaderValue::as_bytes);
    (dialect.is_not_run)(response.status.as_u16(), &header)
}

/// Returns whether the server states its incarnation.
fn is_stated(incarnation: &BackendIncarnation) -> bool {
    *incarnation != BackendIncarnation::default()
}

fn read_notice(dialect: &ServerDialect, response: &BackendResponse) -> ServerNotice {
    let header = |name: &str| response.headers.get(name).map(HeaderValue::as_bytes);
    (dialect.read_notice)(response.status.as_u16(), &header)
}

fn request_head(
    dialect: &ServerDialect,
    name: &BackendName,
    address: SocketAddr,
    echoes_request_id: bool,
    time_left: TimeBudget,
    message: &ForwardRequest,
) -> Result<RequestHead, ExchangeError> {
    let mut head = RequestHead::default();
    head.method = Method::from_bytes(message.method.name().as_bytes())
        .map_err(|error| encoding_error(&error))?;
    head.uri = Uri::try_from(message.target.as_str()).map_err(|error| encoding_error(&error))?;
    for pair in &message.headers {
        let name = HeaderName::from_bytes(pair.name.as_bytes()).map_err(|e| encoding_error(&e))?;
        let value = HeaderValue::from_bytes(&pair.value).map_err(|e| encoding_error(&e))?;
        head.headers.append(name, value);
    }
    if !head.headers.contains_key(HOST) {
        insert(&mut head, HOST.as_str(), &address.to_string())?;
    }
    insert(&mut head, dialect.request_header, &message.request_id)?;
    let time_left = time_left.as_millis().max(1).to_string();
    insert(&mut head, dialect.deadline_header, &time_left)?;
    if let Some(header) = dialect.attempt_header {
        insert(&mut head, header, &message.attempt.to_string())?;
    }
    if let Some(header) = dialect.expected_server_header {
        insert(&mut head, header, name.as_str())?;
    }
    if !echoes_request_id {
        head.set_connection_type(ConnectionType::Close);
    }
    Ok(head)
}

fn insert(head: &mut RequestHead, name: &str, value: &str) -> Result<(), ExchangeError> {
    let name = HeaderName::from_bytes(name.as_bytes()).map_err(|error| encoding_error(&error))?;
    let value = HeaderValue::try_from(value).map_err(|error| encoding_error(&error))?;
    head.headers.insert(name, value);
    Ok(())
}

fn encoding_error(error: &dyn std::fmt::Display) -> ExchangeError {
    ExchangeError::Unreached(format!("the request cannot be encoded: {error}"))
}

fn end_to_end_headers(headers: &HeaderMap) -> Vec<HttpHeader> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_header(name.as_str()))
        .map(|(name, value)| HttpHeader {
            name: name.as_str().into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
