use std::{collections::VecDeque, future::Future, io, pin::Pin, time::Duration};

use actix_http::{
    ConnectionType, Response, ServiceConfig, StatusCode, error::ParseError, h1::Codec,
};
use actix_web::HttpResponse;
use bronzelb_kernel::{
    clock::TimeBudget,
    error::{ErrorKind, MeshError},
    holding::ConnectionStage,
};
use futures::{StreamExt, stream::FuturesOrdered};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, tcp::WriteHalf},
    time::{self, Instant},
};

use crate::{
    callers::{
        caller_error_response,
        caller_handler::handle_request,
        caller_request::CallerRequest,
        outgoing_response::{EncodableResponse, OutgoingResponse},
        request_reader::{ReadEvent, RequestReader, max_head},
        ticket_handler::{is_ticket_request, issue_ticket},
    },
    forward::RequestForwarder,
    holding::ConnectionHold,
    node::StopSignal,
};

/// Time by which a request head may arrive later than the limit, for delays on the way.
const HEAD_MARGIN: Duration = Duration::from_secs(2);
/// Time by which a connection may be idle longer than the limit, so that callers, which know when
/// they send their next request, close first.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Delay after which a caller may retry a request for which there is no room.
const ROOM_RETRY_DELAY: TimeBudget = TimeBudget::from_secs(1);
/// Time limit for writing a response. A response of 8 MiB takes about 20 s over a phone's link.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which input is still read and discarded after the last response. Closing a socket with
/// unread bytes resets the connection, and the caller may lose that response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of concurrent requests per connection, so that one caller cannot occupy all slots
/// of a backend server.
const MAX_PIPELINED_REQUESTS: usize = 16;
/// Size of the receive buffer at which reading from the socket pauses while responses are pending.
/// It exceeds the largest head of the users' platform; a larger one makes it grow.
const MAX_BUFFERED_BYTES: usize = 32 * 1024;
/// Size of the system's buffers of a connection, each way; see [`start_caller_server`].
///
/// [`start_caller_server`]: crate::callers::start_caller_server
pub(super) const SOCKET_BUFFER_BYTES: usize = 64 * 1024;
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Serves the requests of one caller's connection until either side closes it.
///
/// Pipelined idempotent requests run concurrently, and their responses are sent in request order.
/// Any other request starts once all earlier responses have been sent. When the caller closes the
/// connection, its pending requests are dropped, which cancels them at the backend servers.
///
/// The connection uses actix's HTTP/1 codec directly, because `actix-web` starts the next request
/// of a connection only after it has sent the previous response.
pub(crate) async fn serve_connection(
    forwarder: RequestForwarder,
    stream: TcpStream,
    config: ServiceConfig,
    stop: StopSignal,
    hold: ConnectionHold,
) {
    // If this fails, Nagle's algorithm delays small responses, but they still arrive.
    let _ = stream.set_nodelay(true);
    let mut connection = CallerConnection {
        stream,
        reader: RequestReader::new(config),
        forwarder,
        responses: FuturesOrdered::new(),
        completed: VecDeque::new(),
        outgoing: None,
        written: 0,
        deferred: None,
        has_received_request: false,
        is_closing: false,
        waiting_since: Instant::now(),
        was_mid_request: false,
        hold,
    };
    // A broken connection cannot carry an error response; dropping it cancels its requests.
    if let Ok(CloseMode::Linger) = connection.run(stop).await {
        connection.linger().await;
    }
}

/// How a connection closes.
enum CloseMode {
    /// Lingers, because the last response has just been sent and announced the close.
    Linger,
    /// Closes at once, because the caller has closed the connection, the connection was idle for too
    /// long, or the node is stopping.
    Immediate,
}

/// Event that a connection reacts to.
enum ConnectionEvent {
    Response(Box<EncodableResponse>),
    Written,
    Received(usize),
    /// The connection has to make room for others.
    Closed,
    TimedOut,
    Stopped,
}

type PendingResponse = Pin<Box<dyn Future<Output = EncodableResponse>>>;

struct CallerConnection {
    stream: TcpStream,
    reader: RequestReader,
    forwarder: RequestForwarder,
    /// Running requests, in the order in which their responses are sent.
    responses: FuturesOrdered<PendingResponse>,
    /// Complete responses that are sent after [`CallerConnection::outgoing`], in this order.
    completed: VecDeque<EncodableResponse>,
    outgoing: Option<OutgoingResponse>,
    /// Size of the last response, which the system may still hold.
    written: usize,
    /// A request that starts once all earlier responses have been sent.
    deferred: Option<(Box<CallerRequest>, Codec)>,
    /// Whether a whole request has been read. Until then the time limit of a head applies instead of
    /// that of an idle connection, since a caller connects in order to send a request.
    has_received_request: bool,
    /// Whether the connection closes after the pending responses and reads no further requests.
    is_closing: bool,
    /// When the connection became idle, or the current request began to arrive.
    waiting_since: Instant,
    /// Whether part of a request had arrived when the stage was last recorded.
    was_mid_request: bool,
    hold: ConnectionHold,
}

impl CallerConnection {
    async fn run(&mut self, mut stop: StopSignal) -> io::Result<CloseMode> {
        let mut is_stopping = false;
        loop {
            self.read_requests();
            if self.begin_response()? {
                continue;
            }
            if self.is_settled() {
                if self.is_closing {
                    return Ok(CloseMode::Linger);
                }
                if is_stopping && !self.reader.is_mid_request() {
                    return Ok(CloseMode::Immediate);
                }
                if self.reader.take_expect_continue() {
                    self.write_continue().await?;
                }
                self.reader.shrink();
            }
            if !self.record_held().await {
                self.refuse_unfinished();
                return Ok(CloseMode::Immediate);
            }
            let was_mid_request = self.reader.is_mid_request();
            match self.wait(&mut stop, is_stopping).await? {
                ConnectionEvent::Response(response) => self.completed.push_back(*response),
                ConnectionEvent::Written => {}
                ConnectionEvent::Received(0) => return Ok(CloseMode::Immediate),
                ConnectionEvent::Received(_) if was_mid_request => {}
                ConnectionEvent::Received(_) => self.waiting_since = Instant::now(),
                ConnectionEvent::TimedOut => {
                    if self.handle_timeout() {
                        return Ok(CloseMode::Immediate);
                    }
                }
                ConnectionEvent::Closed => {
                    self.refuse_unfinished();
                    return Ok(CloseMode::Immediate);
                }
                ConnectionEvent::Stopped => is_stopping = true,
            }
        }
    }

    /// Waits for the next event. Pending responses make progress while another one is written.
    async fn wait(
        &mut self,
        stop: &mut StopSignal,
        is_stopping: bool,
    ) -> io::Result<ConnectionEvent> {
        let may_read = self.may_read();
        let is_writing = self.outgoing.is_some();
        let deadline = self.deadline();
        let (mut reader, mut writer) = self.stream.split();
        let outgoing = &mut self.outgoing;
        let event = tokio::select! {
            Some(response) = self.responses.next() => ConnectionEvent::Response(Box::new(response)),
            written = write_whole(&mut writer, outgoing), if is_writing => {
                written?;
                ConnectionEvent::Written
            }
            count = reader.read_buf(self.reader.received()), if may_read => {
                ConnectionEvent::Received(count?)
            }
            () = sleep_until(deadline) => ConnectionEvent::TimedOut,
            () = self.hold.closed() => ConnectionEvent::Closed,
            () = stop.stopped(), if !is_stopping => ConnectionEvent::Stopped,
        };
        Ok(event)
    }

    /// Returns whether no response is pending.
    fn is_settled(&self) -> bool {
        self.are_responses_sent() && self.deferred.is_none()
    }

    fn are_responses_sent(&self) -> bool {
        self.responses.is_empty() && self.completed.is_empty() && self.outgoing.is_none()
    }

    /// Returns the number of requests whose responses are not sent yet.
    fn pending(&self) -> usize {
        self.responses.len() + self.completed.len() + usize::from(self.outgoing.is_some())
    }

    fn may_read(&self) -> bool {
        let limit = MAX_BUFFERED_BYTES.max(max_head(self.forwarder.state()) + 1);
        self.outgoing.is_none() && self.reader.received_len() < limit
    }

    /// Records what the connection holds and waits for. Returns false if it has to close.
    async fn record_held(&mut self) -> bool {
        let since = self.forwarder.state().now();
        let awaits_server = !self.responses.is_empty() || self.deferred.is_some();
        let stage = match awaits_server && self.outgoing.is_none() {
            true => ConnectionStage::AwaitsServer,
            false => ConnectionStage::AwaitsClient,
        };
        let is_mid_request = self.reader.is_mid_request();
        let begins_request = is_mid_request && !self.was_mid_request;
        self.was_mid_request = is_mid_request;
        if begins_request && stage == ConnectionStage::AwaitsClient {
            self.hold.restart_stage(stage, since);
        }
        self.hold.set_stage(stage, since);
        // A response that is ready is delivered, whatever the connection holds beside it.
        if self.outgoing.is_some() {
            return true;
        }
        let unread_input = match self.may_read() {
            true => 0,
            false => SOCKET_BUFFER_BYTES,
        };
        let unread_output = self.written.min(SOCKET_BUFFER_BYTES);
        if self.may_read() {
            self.reader.reserve();
        }
        let size = self.reader.buffered() + unread_input + unread_output;
        self.hold.resize(size).await
    }

    /// Tells the caller of an unfinished request that it has not run, as far as it can be told
    /// without waiting.
    fn refuse_unfinished(&mut self) {
        if !self.is_settled() || !self.reader.is_mid_request() {
            return;
        }
        let state = self.forwarder.state();
        let now = state.now();
        let error = MeshError::new(ErrorKind::Overloaded, "no room for the rest of the request")
            .with_retry_at(now.after(ROOM_RETRY_DELAY));
        let dialect = &state.settings.dialect.callers;
        let response = Response::from(caller_error_response(dialect, &error, now));
        let codec = Codec::default();
        let refusal = EncodableResponse { response, codec };
        if let Ok(mut outgoing) = refusal.encode(true, Instant::now()) {
            // The caller may not take it, and the connection closes either way.
            let _ = outgoing.try_write(&self.stream);
        }
    }

    /// Reads buffered requests and starts those that may run now.
    fn read_requests(&mut self) {
        if self.are_responses_sent()
            && let Some((request, codec)) = self.deferred.take()
        {
            self.start(request, codec);
        }
        while !self.is_closing && self.deferred.is_none() && self.pending() < MAX_PIPELINED_REQUESTS
        {
            match self.reader.next_event(self.forwarder.state()) {
                ReadEvent::Partial => return,
                ReadEvent::Request(request, codec) => self.take_request(request, codec),
                ReadEvent::Aborted(request, codec) => self.abort_request(request, codec),
                ReadEvent::Malformed(error) => self.reject_malformed(&error),
            }
        }
    }

    fn take_request(&mut self, request: Box<CallerRequest>, codec: Codec) {
        self.waiting_since = Instant::now();
        self.has_received_request = true;
        self.is_closing = !codec.keep_alive();
        self.written = 0;
        if self.are_responses_sent() || request.may_start_early() {
            self.start(request, codec);
        } else {
            self.deferred = Some((request, codec));
        }
    }

    /// Responds to a request whose body is not read to its end, then closes the connection.
    fn abort_request(&mut self, request: Box<CallerRequest>, codec: Codec) {
        self.is_closing = true;
        self.start(request, codec);
    }

    fn start(&mut self, request: Box<CallerRequest>, codec: Codec) {
        let forwarder = self.forwarder.clone();
        let hold = self
            .hold
            .detach(request.body.len() + self.reader.head_memory());
        let holder = self.hold.holder();
        self.responses.push_back(Box::pin(async move {
            let response = if is_ticket_request(&request) {
                issue_ticket(forwarder.state())
            } else {
                handle_request(*request, &forwarder, holder).await
            };
            drop(hold);
            EncodableResponse {
                response: Response::from(response),
                codec,
            }
        }));
    }

    /// Responds to malformed input once all earlier responses have been sent, then closes the
    /// connection.
    fn reject_malformed(&mut self, error: &ParseError) {
        let status = match error {
            ParseError::TooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        };
        self.close_with(status);
    }

    fn close_with(&mut self, status: StatusCode) {
        self.is_closing = true;
        let response = EncodableResponse {
            response: Response::from(HttpResponse::new(status)),
            codec: Codec::default(),
        };
        self.responses.push_back(Box::pin(async move { response }));
    }

    /// Returns the deadline of the response that is being written, or else the one for receiving
    /// more bytes; `None` while only a server has to act.
    fn deadline(&self) -> Option<Instant> {
        if let Some(outgoing) = &self.outgoing {
            return Some(outgoing.deadline);
        }
        if let Some(deadline) = self.reader.body_deadline() {
            let remaining = deadline.remaining(self.forwarder.state().now());
            return Some(Instant::now() + remaining.to_std());
        }
        if self.is_closing || !self.is_settled() {
            return None;
        }
        let limits = self.forwarder.state().caller_limits();
        let timeout = if self.reader.is_mid_request() || !self.has_received_request {
            limits.header_timeout.to_std() + HEAD_MARGIN
        } else {
            limits.idle_timeout.to_std() + IDLE_MARGIN
        };
        Some(self.waiting_since + timeout)
    }

    /// Ends a request that arrives too slowly. Returns true if the connection was idle instead, or
    /// its caller reads too slowly.
    fn handle_timeout(&mut self) -> bool {
        if self.outgoing.is_some() {
            return true;
        }
        let error = MeshError::new(ErrorKind::SlowSender, "the body did not arrive in time");
        match self.reader.abort_body(error) {
            Some(ReadEvent::Aborted(request, codec)) => self.abort_request(request, codec),
            _ if self.reader.is_mid_request() || !self.has_received_request => {
                self.close_with(StatusCode::REQUEST_TIMEOUT);
            }
            _ => return true,
        }
        false
    }

    /// Begins to write the next complete response, unless another one is being written. Returns
    /// whether the caller has taken it as a whole.
    fn begin_response(&mut self) -> io::Result<bool> {
        if self.outgoing.is_some() {
            return Ok(false);
        }
        let Some(mut completed) = self.completed.pop_front() else {
            return Ok(false);
        };
        let is_last =
            self.responses.is_empty() && self.completed.is_empty() && self.deferred.is_none();
        let head = completed.response.head_mut();
        if head.connection_type() == ConnectionType::Close && is_last {
            self.is_closing = true;
        } else if !(self.is_closing && is_last) {
            // Later requests have already started, and their responses follow.
            head.set_connection_type(ConnectionType::KeepAlive);
        }
        self.waiting_since = Instant::now();
        let deadline = self.waiting_since + WRITE_TIMEOUT;
        let mut outgoing = completed.encode(self.is_closing && is_last, deadline)?;
        self.written = outgoing.len();
        let is_written = outgoing.try_write(&self.stream)?;
        if !is_written {
            let sent = outgoing.len().min(SOCKET_BUFFER_BYTES);
            let copies = outgoing.encoded_memory() + sent;
            outgoing.hold = Some(self.hold.count_output(copies));
            self.outgoing = Some(outgoing);
        }
        Ok(is_written)
    }

    /// Asks the caller for the body of its request, unless the connection has to close meanwhile.
    async fn write_continue(&mut self) -> io::Result<()> {
        let written = self.stream.write_all(CONTINUE_RESPONSE);
        tokio::select! {
            written = time::timeout(WRITE_TIMEOUT, written) => {
                written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
            }
            () = self.hold.closed() => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    /// Closes the write side and discards input for up to [`LINGER_TIMEOUT`], so that the caller
    /// receives the last response.
    async fn linger(&mut self) {
        let discard = async {
            self.stream.shutdown().await?;
            let received = self.reader.received();
            loop {
                received.clear();
                if self.stream.read_buf(received).await? == 0 {
                    return io::Result::Ok(());
                }
            }
        };
        // After an error or a timeout nothing is left to do: the response has been written.
        tokio::select! {
            _ = time::timeout(LINGER_TIMEOUT, discard) => {}
            () = self.hold.closed() => {}
        }
    }
}

/// Writes the whole response, which is removed at its end.
async fn write_whole(
    writer: &mut WriteHalf<'_>,
    outgoing: &mut Option<OutgoingResponse>,
) -> io::Result<()> {
    if let Some(response) = outgoing {
        response.write(writer).await?;
    }
    *outgoing = None;
    Ok(())
}

async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
