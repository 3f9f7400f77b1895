use std::{future::Future, io, pin::Pin, time::Duration};

use actix_http::{
    ConnectionType, Response, ServiceConfig, StatusCode,
    body::{BodySize, BoxBody, MessageBody},
    error::ParseError,
    h1::{Codec, Message},
};
use actix_web::HttpResponse;
use bronzelb_kernel::error::{ErrorKind, MeshError};
use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream::FuturesOrdered};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{self, Instant},
};
use tokio_util::codec::Encoder;

use crate::{
    callers::{
        caller_handler::handle_request,
        caller_request::CallerRequest,
        request_reader::{ReadEvent, RequestReader},
        ticket_handler::{is_ticket_request, issue_ticket},
    },
    forward::RequestForwarder,
    node::StopSignal,
};

/// Time limit for receiving a request head. It exceeds the 3 s that the operators of the users'
/// platform allow.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Keep-alive timeout of an idle connection. It exceeds the 15 s that the same operators
/// specify, so that callers, which know when they send their next request, close first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Time limit for writing a response. A response of 8 MiB takes about 20 s over a phone's link.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which input is still read and discarded after the last response. Closing a socket with
/// unread bytes resets the connection, and the caller may lose that response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of concurrent requests per connection, so that one caller cannot occupy all slots
/// of a backend server.
const MAX_PIPELINED_REQUESTS: usize = 16;
/// Size of the receive buffer at which reading from the socket pauses. The buffer has room for one
/// large head and its body.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Size of the part of a response body that is encoded at once.
const MAX_ENCODED_BYTES: usize = 256 * 1024;
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
) {
    // If this fails, Nagle's algorithm delays small responses, but they still arrive.
    let _ = stream.set_nodelay(true);
    let mut connection = CallerConnection {
        stream,
        reader: RequestReader::new(config),
        forwarder,
        responses: FuturesOrdered::new(),
        deferred: None,
        has_received_request: false,
        is_closing: false,
        waiting_since: Instant::now(),
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
    Received(usize),
    TimedOut,
    Stopped,
}

/// A response and the codec that decoded its request.
struct EncodableResponse {
    response: Response<BoxBody>,
    codec: Codec,
}

type PendingResponse = Pin<Box<dyn Future<Output = EncodableResponse>>>;

struct CallerConnection {
    stream: TcpStream,
    reader: RequestReader,
    forwarder: RequestForwarder,
    /// Running requests, in the order in which their responses are sent.
    responses: FuturesOrdered<PendingResponse>,
    /// A request that starts once all earlier responses have been sent.
    deferred: Option<(Box<CallerRequest>, Codec)>,
    /// Whether a whole request has been read. Until then [`HEAD_TIMEOUT`] applies instead of
    /// [`IDLE_TIMEOUT`], since a caller connects in order to send a request.
    has_received_request: bool,
    /// Whether the connection closes after the pending responses and reads no further requests.
    is_closing: bool,
    /// When the connection became idle, or the current request began to arrive.
    waiting_since: Instant,
}

impl CallerConnection {
    async fn run(&mut self, mut stop: StopSignal) -> io::Result<CloseMode> {
        let mut is_stopping = false;
        loop {
            self.read_requests();
            if self.responses.is_empty() && self.deferred.is_none() {
                if self.is_closing {
                    return Ok(CloseMode::Linger);
                }
                if is_stopping && !self.reader.is_mid_request() {
                    return Ok(CloseMode::Immediate);
                }
                if self.reader.take_expect_continue() {
                    let deadline = Instant::now() + WRITE_TIMEOUT;
                    self.write(CONTINUE_RESPONSE, deadline).await?;
                }
            }
            let was_mid_request = self.reader.is_mid_request();
            match self.wait(&mut stop, is_stopping).await? {
                ConnectionEvent::Response(response) => self.write_response(*response).await?,
                ConnectionEvent::Received(0) => return Ok(CloseMode::Immediate),
                ConnectionEvent::Received(_) if was_mid_request => {}
                ConnectionEvent::Received(_) => self.waiting_since = Instant::now(),
                ConnectionEvent::TimedOut => {
                    if self.handle_timeout() {
                        return Ok(CloseMode::Immediate);
                    }
                }
                ConnectionEvent::Stopped => is_stopping = true,
            }
        }
    }

    async fn wait(
        &mut self,
        stop: &mut StopSignal,
        is_stopping: bool,
    ) -> io::Result<ConnectionEvent> {
        let may_read = self.reader.received().len() < MAX_BUFFERED_BYTES;
        let deadline = self.deadline();
        let event = tokio::select! {
            Some(response) = self.responses.next() => ConnectionEvent::Response(Box::new(response)),
            count = self.stream.read_buf(self.reader.received()), if may_read => {
                ConnectionEvent::Received(count?)
            }
            () = sleep_until(deadline) => ConnectionEvent::TimedOut,
            () = stop.stopped(), if !is_stopping => ConnectionEvent::Stopped,
        };
        Ok(event)
    }

    /// Reads buffered requests and starts those that may run now.
    fn read_requests(&mut self) {
        if self.responses.is_empty()
            && let Some((request, codec)) = self.deferred.take()
        {
            self.start(request, codec);
        }
        while !self.is_closing
            && self.deferred.is_none()
            && self.responses.len() < MAX_PIPELINED_REQUESTS
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
        if self.responses.is_empty() || request.may_start_early() {
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
        self.responses.push_back(Box::pin(async move {
            let response = if is_ticket_request(&request) {
                issue_ticket(forwarder.state())
            } else {
                handle_request(*request, &forwarder).await
            };
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

    /// Returns the deadline for receiving more bytes; `None` while a response is pending.
    fn deadline(&self) -> Option<Instant> {
        if let Some(deadline) = self.reader.body_deadline() {
            let remaining = deadline.remaining(self.forwarder.state().now());
            return Some(Instant::now() + remaining.to_std());
        }
        if self.is_closing || self.deferred.is_some() || !self.responses.is_empty() {
            return None;
        }
        let timeout = if self.reader.is_mid_request() || !self.has_received_request {
            HEAD_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        Some(self.waiting_since + timeout)
    }

    /// Ends a request that arrives too slowly. Returns true if the connection was idle instead.
    fn handle_timeout(&mut self) -> bool {
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

    async fn write_response(&mut self, response: EncodableResponse) -> io::Result<()> {
        let EncodableResponse {
            response,
            mut codec,
        } = response;
        let (mut head, body) = response.into_parts();
        let is_last = self.responses.is_empty() && self.deferred.is_none();
        let wants_close = head.head().connection_type() == ConnectionType::Close;
        if wants_close && is_last {
            self.is_closing = true;
        } else if !(self.is_closing && is_last) {
            // Later requests have already started, and their responses follow.
            head.head_mut()
                .set_connection_type(ConnectionType::KeepAlive);
        }
        if self.is_closing && is_last {
            head.head_mut().set_connection_type(ConnectionType::Close);
        }
        let mut body = buffered_body(body)?;
        let mut encoded = BytesMut::new();
        let size = BodySize::Sized(body.len() as u64);
        codec.encode(Message::Item((head, size)), &mut encoded)?;
        self.waiting_since = Instant::now();
        let deadline = self.waiting_since + WRITE_TIMEOUT;
        // The encoded bytes are a copy, and a caller may read slowly.
        while body.len() > MAX_ENCODED_BYTES {
            let piece = body.split_to(MAX_ENCODED_BYTES);
            codec.encode(Message::Chunk(Some(piece)), &mut encoded)?;
            self.write(&encoded, deadline).await?;
            encoded.clear();
        }
        if !body.is_empty() {
            codec.encode(Message::Chunk(Some(body)), &mut encoded)?;
        }
        self.write(&encoded, deadline).await
    }

    async fn write(&mut self, bytes: &[u8], deadline: Instant) -> io::Result<()> {
        time::timeout_at(deadline, self.stream.write_all(bytes))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
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
        let _ = time::timeout(LINGER_TIMEOUT, discard).await;
    }
}

async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

/// Returns the bytes of a response body; the handlers never stream one.
fn buffered_body(body: BoxBody) -> io::Result<Bytes> {
    body.try_into_bytes()
        .map_err(|_| io::Error::other("response body is not fully buffered"))
}
