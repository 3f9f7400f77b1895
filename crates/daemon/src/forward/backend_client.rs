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
    member::BackendState,
    plugin::ServerDialect,
    request::{AdmissionRequest, CrashStatus, ServerInstance},
};
use bronzelb_wire::peer::{ForwardRequest, ForwardResponse, HttpHeader};
use bytes::Bytes;
use slog::info;
use tokio::{io::AsyncReadExt, net::TcpStream, time};

use crate::{
    backends::BackendAnnouncement,
    forward::{
        backend_connection::{
            BackendConnection, ExchangeError, ExchangeRule, MAX_ANSWER_BYTES, WholeAnswer,
        },
        crash_watch::CrashWatch,
        gate_keeper::SlotPermit,
        is_hop_header,
        request_state::HostGate,
    },
    log::EventName,
    node::NodeState,
    peers::PeerPool,
};

const PROBE_ATTEMPTS: usize = 5;
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a living server leaves an idle connection open.
const PROBE_SILENCE: Duration = Duration::from_millis(50);
const DEFAULT_PAUSE: TimeBudget = TimeBudget::from_millis(100);
/// Part of a server's connections that may be idle.
const IDLE_DIVISOR: usize = 3;
/// Threads besides the workers that send to backend servers: the one that serves other nodes.
const OTHER_THREADS: usize = 1;

/// Client of the backend servers beside this node; clones share their connections.
#[derive(Clone)]
pub struct BackendClient {
    state: Arc<NodeState>,
    crashes: CrashWatch,
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<BackendConnection>>>>,
}

impl BackendClient {
    /// Builds a client with connections of its own, for one thread.
    #[must_use]
    pub fn new(state: Arc<NodeState>, peers: PeerPool) -> Self {
        Self {
            crashes: CrashWatch::new(Arc::clone(&state), peers),
            state,
            idle: Rc::default(),
        }
    }

    /// Runs a request on the backend server `name` and returns its whole answer.
    ///
    /// # Errors
    ///
    /// - [`ErrorKind::NoBackend`]: the server is not beside this node or refuses connections.
    /// - [`ErrorKind::Draining`]: the server takes no new work.
    /// - [`ErrorKind::Overloaded`]: the server has no slot before the deadline, or sheds.
    /// - [`ErrorKind::Quarantined`]: the request kills servers.
    /// - [`ErrorKind::DeadlinePassed`]: the deadline passed before the request was sent.
    /// - [`ErrorKind::OutcomeUnknown`]: the server broke off, answered for another request, or did
    ///   not answer before the deadline.
    /// - [`ErrorKind::BackendFailed`]: the answer is too large.
    pub async fn run(
        &self,
        name: &BackendName,
        deadline: ClockInstant,
        message: &ForwardRequest,
    ) -> Result<ForwardResponse, MeshError> {
        let announcement = self.announcement(name)?;
        let gate = self
            .state
            .requests
            .host_gate(name, usable_slots(&announcement));
        let suspicion = self.crashes.check(message.fingerprint)?;
        let alone = match suspicion {
            CrashStatus::Suspect => Some(gate.suspects.enter(message.priority, deadline).await?),
            _ => None,
        };
        let arrived_at = self.state.now();
        let entered = gate
            .slots
            .enter_work(self.slot_offer(deadline, message))
            .await;
        let permit = entered.inspect_err(|error| {
            self.log_refusal(name, &gate, message, arrived_at, error);
        })?;
        let started_at = self.state.now();
        // The server may have begun to leave while the request waited.
        let announcement = self.announcement(name)?;
        let result = self
            .run_in_slot(name, &announcement, &gate, deadline, message)
            .await;
        self.log_run(name, message, (arrived_at, started_at), &result);
        finish(permit, &result);
        if let Some(alone) = alone {
            finish(alone, &result);
        }
        let whole = result?;
        self.crashes
            .clear(message.fingerprint, &announcement.service)
            .await;
        let (status, headers, body) = (whole.status, whole.headers, whole.body);
        Ok(ForwardResponse {
            status: status.as_u16(),
            headers: end_to_end(&headers),
            body,
            backend: name.clone(),
            version: announcement.version,
            load: gate.slots.load(),
        })
    }

    fn announcement(&self, name: &BackendName) -> Result<BackendAnnouncement, MeshError> {
        let backends = self.state.backends();
        let now = self.state.now();
        let entry = backends
            .get(name)
            .filter(|entry| !entry.lease_deadline.has_passed(now));
        let entry = entry.ok_or_else(|| {
            let message = format!("backend server {name} is not beside this node");
            MeshError::new(ErrorKind::NoBackend, message).with_retry_at(self.pause())
        })?;
        if entry.announcement.state == BackendState::Serving {
            let mut announcement = entry.announcement.clone();
            announcement.connections = announcement
                .connections
                .min(self.declared_connections(&announcement));
            return Ok(announcement);
        }
        let message = format!("backend server {name} takes no new work");
        Err(MeshError::new(ErrorKind::Draining, message).with_retry_at(self.pause()))
    }

    /// Logs that a request got no slot, with the load that decided it.
    fn log_refusal(
        &self,
        name: &BackendName,
        gate: &HostGate,
        message: &ForwardRequest,
        arrived_at: ClockInstant,
        error: &MeshError,
    ) {
        let state = &self.state;
        if !state.should_log(EventName::RequestRefused) {
            return;
        }
        let (now, load) = (state.now(), gate.slots.load());
        info!(state.logger, "{}", EventName::RequestRefused;
            "request" => message.request_id.as_str(), "route" => message.route.to_string(),
            "backend" => name.to_string(), "priority" => message.priority.to_string(),
            "running" => load.running, "waiting" => load.waiting,
            "waited_ms" => arrived_at.elapsed(now).as_millis(),
            "message" => error.message().to_owned(),
            "retry_after_ms" => error.retry_at().map(|instant| instant.remaining(now).as_millis()));
    }

    /// Logs an exchange with a server, from the arrival over the start to its end.
    fn log_run(
        &self,
        name: &BackendName,
        message: &ForwardRequest,
        (arrived_at, started_at): (ClockInstant, ClockInstant),
        result: &Result<WholeAnswer, MeshError>,
    ) {
        let state = &self.state;
        let now = state.now();
        let outcome = result
            .as_ref()
            .map_or_else(|error| error.kind().name(), |_| "answered");
        let (waited, ran) = (arrived_at.elapsed(started_at), started_at.elapsed(now));
        state.observe_duration("slot_wait_ms", "outcome", outcome, waited);
        state.observe_duration("slot_run_ms", "outcome", outcome, ran);
        if !state.should_log(EventName::RequestRan) {
            return;
        }
        info!(state.logger, "{}", EventName::RequestRan;
            "request" => message.request_id.as_str(), "route" => message.route.to_string(),
            "backend" => name.to_string(), "outcome" => outcome,
            "status" => result.as_ref().ok().map(|answer| answer.status.as_u16()),
            "message" => result.as_ref().err().map(|error| error.message().to_owned()),
            "waited_ms" => waited.as_millis(), "ran_ms" => ran.as_millis());
    }

    /// Returns what the server's gate is to know of a request.
    fn slot_offer(&self, deadline: ClockInstant, message: &ForwardRequest) -> AdmissionRequest {
        let config = self.state.config();
        let rule = config
            .as_ref()
            .and_then(|config| config.snapshot().routes.get(&message.route));
        // The deadline is the route's timeout after the request entered, or the caller's own.
        let wanted_by = rule.map(|rule| {
            let spare = rule.objective.latency.shortfall_from(rule.timeout);
            deadline.before(spare).before(message.waited)
        });
        AdmissionRequest {
            priority: message.priority,
            deadline,
            soft_deadline: wanted_by,
            route: Some(message.route.clone()),
        }
    }

    /// Returns the connections that the configuration grants each server of the service.
    fn declared_connections(&self, announcement: &BackendAnnouncement) -> u32 {
        let config = self.state.config();
        let spec = config.as_ref().and_then(|config| {
            let services = &config.snapshot().services;
            services.get(&announcement.service)
        });
        spec.map_or(u32::MAX, |spec| spec.connections)
    }

    async fn run_in_slot(
        &self,
        name: &BackendName,
        announcement: &BackendAnnouncement,
        gate: &HostGate,
        deadline: ClockInstant,
        message: &ForwardRequest,
    ) -> Result<WholeAnswer, MeshError> {
        let life = ServerInstance {
            backend: name.clone(),
            incarnation: self.state.incarnation(),
            prior_crashes: u32::try_from(gate.deaths.load(Ordering::Relaxed)).unwrap_or(u32::MAX),
        };
        // The request may have waited; a third server must not be tried since.
        self.crashes.check(message.fingerprint)?;
        let left = deadline.remaining(self.state.now());
        if left.is_zero() {
            let message = "the deadline passed before the request ran";
            return Err(MeshError::new(ErrorKind::DeadlinePassed, message));
        }
        let exchange = self.exchange(name, announcement, gate, left, message);
        let Ok(result) = time::timeout(left.to_std(), exchange).await else {
            let message = format!("backend server {name} did not answer before the deadline");
            return Err(MeshError::new(ErrorKind::OutcomeUnknown, message));
        };
        match result {
            Ok(answer) => self.check_shed(name, answer),
            Err(ExchangeError::Unreached(reason)) => {
                let message = format!("backend server {name} is not reachable: {reason}");
                Err(MeshError::new(ErrorKind::NoBackend, message).with_retry_at(self.pause()))
            }
            Err(ExchangeError::TooLarge) => {
                let message = format!("the answer exceeds {MAX_ANSWER_BYTES} bytes");
                Err(MeshError::new(ErrorKind::BackendFailed, message))
            }
            Err(ExchangeError::Lost(reason)) => {
                if is_dead(announcement.address).await {
                    gate.note_death(life.prior_crashes);
                    self.forget(name, announcement.address);
                    self.crashes.note_death(message, life, announcement).await;
                }
                let message = format!("backend server {name} broke off: {reason}");
                Err(MeshError::new(ErrorKind::OutcomeUnknown, message))
            }
        }
    }

    async fn exchange(
        &self,
        name: &BackendName,
        announcement: &BackendAnnouncement,
        gate: &HostGate,
        left: TimeBudget,
        message: &ForwardRequest,
    ) -> Result<WholeAnswer, ExchangeError> {
        let address = announcement.address;
        let echoes = gate.echoes.load(Ordering::Relaxed);
        let connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => BackendConnection::open(address).await?,
        };
        let dialect = &self.state.settings.dialect.servers;
        let head = request_head(dialect, name, address, echoes, left, message)?;
        let is_own = |answer: &WholeAnswer, is_fresh: bool| {
            match answer.headers.get(dialect.request_header) {
                Some(echo) => echo.as_bytes() == message.request_id.as_bytes(),
                // A server that does not echo gets a connection for each request.
                None => is_fresh || is_not_run(dialect, answer),
            }
        };
        let rule = ExchangeRule {
            takes_unframed: dialect.accepts_unframed,
            is_own: &is_own,
        };
        let exchanged = connection.exchange(head, message.body.clone(), &rule).await;
        let (answer, connection) = exchanged.inspect_err(|error| {
            if matches!(error, ExchangeError::Lost(_)) {
                gate.echoes.store(false, Ordering::Relaxed);
            }
        })?;
        if !is_not_run(dialect, &answer) {
            let has_echoed = answer.headers.contains_key(dialect.request_header);
            gate.echoes.store(has_echoed, Ordering::Relaxed);
        }
        let connection = connection.filter(|_| gate.echoes.load(Ordering::Relaxed));
        if let Some(connection) = connection {
            self.keep_idle(announcement, connection);
        }
        Ok(answer)
    }

    /// Keeps a connection, within this thread's part of the idle ones that the server accepts.
    fn keep_idle(&self, announcement: &BackendAnnouncement, connection: BackendConnection) {
        let threads = self.state.settings.workers + OTHER_THREADS;
        let share = announcement.connections as usize / IDLE_DIVISOR / threads;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(announcement.address).or_default();
        if connections.len() < share.max(1) {
            connections.push(connection);
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<BackendConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        idle.remove(&address);
        None
    }

    /// Turns a shed request into an error that says so.
    fn check_shed(
        &self,
        name: &BackendName,
        answer: WholeAnswer,
    ) -> Result<WholeAnswer, MeshError> {
        if !is_not_run(&self.state.settings.dialect.servers, &answer) {
            return Ok(answer);
        }
        let message = format!("backend server {name} shed the request");
        Err(MeshError::new(ErrorKind::Shed, message).with_retry_at(self.pause()))
    }

    /// Withdraws a dead server at once; one that lives announces itself again.
    fn forget(&self, name: &BackendName, address: SocketAddr) {
        let is_removed = {
            let mut backends = self.state.backends();
            let held = backends.get(name).map(|entry| entry.announcement.address);
            held == Some(address) && backends.remove(name)
        };
        if is_removed {
            self.state.publish_backends();
        }
    }

    fn pause(&self) -> ClockInstant {
        self.state.now().after(DEFAULT_PAUSE)
    }
}

/// Returns the requests that run on a server at once: its slots, unless it accepts too few
/// connections for them and for idle ones.
fn usable_slots(announcement: &BackendAnnouncement) -> SlotCount {
    let connections = announcement.connections;
    let most = connections - connections / IDLE_DIVISOR as u32;
    SlotCount::new(announcement.slots.get().min(most.max(1)))
}

/// Frees a slot; only a whole answer teaches the gate how long a request takes.
fn finish(permit: SlotPermit, result: &Result<WholeAnswer, MeshError>) {
    if result.is_ok() {
        permit.finish();
    }
}

/// Returns whether the server that listened at `address` has died.
///
/// While a process exits, its listener may outlive its connections for a moment; a connection
/// that is accepted and closed again at once is therefore tried once more.
async fn is_dead(address: SocketAddr) -> bool {
    for _ in 0..PROBE_ATTEMPTS {
        match time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
            Err(_) => return false,
            Ok(Err(_)) => return true,
            Ok(Ok(mut stream)) => {
                let mut byte = [0];
                let read = time::timeout(PROBE_SILENCE, stream.read(&mut byte)).await;
                if read.is_err() {
                    return false;
                }
            }
        }
    }
    false
}

fn is_not_run(dialect: &ServerDialect, answer: &WholeAnswer) -> bool {
    let header = |name: &str| answer.headers.get(name).map(HeaderValue::as_bytes);
    (dialect.is_not_run)(answer.status.as_u16(), &header)
}

fn request_head(
    dialect: &ServerDialect,
    name: &BackendName,
    address: SocketAddr,
    echoes: bool,
    left: TimeBudget,
    message: &ForwardRequest,
) -> Result<RequestHead, ExchangeError> {
    let mut head = RequestHead::default();
    head.method =
        Method::from_bytes(message.method.name().as_bytes()).map_err(|error| unsendable(&error))?;
    head.uri = Uri::try_from(message.target.as_str()).map_err(|error| unsendable(&error))?;
    for pair in &message.headers {
        let name = HeaderName::from_bytes(pair.name.as_bytes()).map_err(|e| unsendable(&e))?;
        let value = HeaderValue::from_bytes(&pair.value).map_err(|e| unsendable(&e))?;
        head.headers.append(name, value);
    }
    if !head.headers.contains_key(HOST) {
        insert(&mut head, HOST.as_str(), &address.to_string())?;
    }
    insert(&mut head, dialect.request_header, &message.request_id)?;
    let left = left.as_millis().max(1).to_string();
    insert(&mut head, dialect.deadline_header, &left)?;
    if let Some(header) = dialect.attempt_header {
        insert(&mut head, header, &message.attempt.to_string())?;
    }
    if let Some(header) = dialect.expected_server_header {
        insert(&mut head, header, name.as_str())?;
    }
    if !echoes {
        head.set_connection_type(ConnectionType::Close);
    }
    Ok(head)
}

fn insert(head: &mut RequestHead, name: &str, value: &str) -> Result<(), ExchangeError> {
    let name = HeaderName::from_bytes(name.as_bytes()).map_err(|error| unsendable(&error))?;
    let value = HeaderValue::try_from(value).map_err(|error| unsendable(&error))?;
    head.headers.insert(name, value);
    Ok(())
}

fn unsendable(error: &dyn std::fmt::Display) -> ExchangeError {
    ExchangeError::Unreached(format!("the request cannot be written: {error}"))
}

fn end_to_end(headers: &HeaderMap) -> Vec<HttpHeader> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_header(name.as_str()))
        .map(|(name, value)| HttpHeader {
            name: name.as_str().into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
