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

/// Time in which the head of a request must arrive; operators of the users' platform allow 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a connection without a request is closed: above the 15 s that operators name, so
/// that callers, who know when they send again, close first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Time in which a caller must take an answer of 8 MiB; a phone's link takes some 20 s.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a closed connection still reads, since closing it with unread bytes would reset
/// it and take the last answer with it.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Requests of one connection that run at once; one caller may not take all slots of a server.
const MAX_PIPELINED: usize = 16;
/// Bytes that are received ahead of the requests that may be read: one large head and its body.
const MAX_AHEAD_BYTES: usize = 256 * 1024;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Serves the requests of one caller's connection until either side closes it.
///
/// Requests that may run twice run beside each other and are answered in their order. Others start
/// when everything before them is answered. When the caller closes the connection, its requests
/// are dropped, which cancels them at their servers.
///
/// The exchange is written on actix's own codec rather than on `actix-web`, which starts a
/// connection's next request only when the one before it is answered.
pub(crate) async fn serve_connection(
    forwarder: RequestForwarder,
    stream: TcpStream,
    config: ServiceConfig,
    stop: StopSignal,
) {
    // Without the option small answers wait for acknowledgements, but still arrive.
    let _ = stream.set_nodelay(true);
    let mut connection = CallerConnection {
        stream,
        reader: RequestReader::new(config),
        forwarder,
        answers: FuturesOrdered::new(),
        held: None,
        has_read: false,
        is_ending: false,
        silent_since: Instant::now(),
    };
    // A connection that breaks has no one left to tell; its requests end with it.
    if let Ok(Ending::Answered) = connection.run(stop).await {
        connection.linger().await;
    }
}

/// Why a connection ends.
enum Ending {
    /// The last answer says that the connection closes.
    Answered,
    /// The caller has closed the connection, or it was idle.
    Quiet,
}

/// What a connection waits for.
enum Wake {
    Answer(Box<Answer>),
    Received(usize),
    TimedOut,
    Stopped,
}

/// An answer, and the codec of its request.
struct Answer {
    response: Response<BoxBody>,
    codec: Codec,
}

type PendingAnswer = Pin<Box<dyn Future<Output = Answer>>>;

struct CallerConnection {
    stream: TcpStream,
    reader: RequestReader,
    forwarder: RequestForwarder,
    /// Requests that run, in the order of their answers.
    answers: FuturesOrdered<PendingAnswer>,
    /// A request that starts when everything before it is answered.
    held: Option<(Box<CallerRequest>, Codec)>,
    /// Whether a request has been read; a caller connects in order to send one.
    has_read: bool,
    /// Whether no request is read any more.
    is_ending: bool,
    /// When the connection became idle, or the request under way began to arrive.
    silent_since: Instant,
}

impl CallerConnection {
    async fn run(&mut self, mut stop: StopSignal) -> io::Result<Ending> {
        let mut is_stopping = false;
        loop {
            self.read_requests();
            if self.answers.is_empty() && self.held.is_none() {
                if self.is_ending {
                    return Ok(Ending::Answered);
                }
                if is_stopping && !self.reader.is_inside() {
                    return Ok(Ending::Quiet);
                }
                if self.reader.take_expectation() {
                    self.write(CONTINUE).await?;
                }
            }
            let was_inside = self.reader.is_inside();
            match self.wait(&mut stop, is_stopping).await? {
                Wake::Answer(answer) => self.write_answer(*answer).await?,
                Wake::Received(0) => return Ok(Ending::Quiet),
                Wake::Received(_) if was_inside => {}
                Wake::Received(_) => self.silent_since = Instant::now(),
                Wake::TimedOut => {
                    if self.time_out() {
                        return Ok(Ending::Quiet);
                    }
                }
                Wake::Stopped => is_stopping = true,
            }
        }
    }

    async fn wait(&mut self, stop: &mut StopSignal, is_stopping: bool) -> io::Result<Wake> {
        let may_read = self.reader.received().len() < MAX_AHEAD_BYTES;
        let deadline = self.deadline();
        let wake = tokio::select! {
            Some(answer) = self.answers.next() => Wake::Answer(Box::new(answer)),
            count = self.stream.read_buf(self.reader.received()), if may_read => {
                Wake::Received(count?)
            }
            () = sleep_until(deadline) => Wake::TimedOut,
            () = stop.stopped(), if !is_stopping => Wake::Stopped,
        };
        Ok(wake)
    }

    /// Starts every request that has arrived whole and may start now.
    fn read_requests(&mut self) {
        if self.answers.is_empty()
            && let Some((request, codec)) = self.held.take()
        {
            self.start(request, codec);
        }
        while !self.is_ending && self.held.is_none() && self.answers.len() < MAX_PIPELINED {
            match self.reader.next(self.forwarder.state()) {
                ReadEvent::Partial => return,
                ReadEvent::Request(request, codec) => self.take_request(request, codec),
                ReadEvent::Aborted(request, codec) => self.cut(request, codec),
                ReadEvent::Malformed(error) => self.refuse(&error),
            }
        }
    }

    fn take_request(&mut self, request: Box<CallerRequest>, codec: Codec) {
        self.silent_since = Instant::now();
        self.has_read = true;
        self.is_ending = !codec.keep_alive();
        if self.answers.is_empty() || request.may_start_early() {
            self.start(request, codec);
        } else {
            self.held = Some((request, codec));
        }
    }

    /// Answers a request whose body is not read to its end.
    fn cut(&mut self, request: Box<CallerRequest>, codec: Codec) {
        self.is_ending = true;
        self.start(request, codec);
    }

    fn start(&mut self, request: Box<CallerRequest>, codec: Codec) {
        let forwarder = self.forwarder.clone();
        self.answers.push_back(Box::pin(async move {
            let response = if is_ticket_request(&request) {
                issue_ticket(forwarder.state())
            } else {
                handle_request(*request, &forwarder).await
            };
            Answer {
                response: Response::from(response),
                codec,
            }
        }));
    }

    /// Answers bytes that are no request, after everything before them.
    fn refuse(&mut self, error: &ParseError) {
        let status = match error {
            ParseError::TooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        };
        self.end_with(status);
    }

    fn end_with(&mut self, status: StatusCode) {
        self.is_ending = true;
        let answer = Answer {
            response: Response::from(HttpResponse::new(status)),
            codec: Codec::default(),
        };
        self.answers.push_back(Box::pin(async move { answer }));
    }

    /// Returns when the connection has waited long enough for bytes.
    fn deadline(&self) -> Option<Instant> {
        if let Some(deadline) = self.reader.body_deadline() {
            let left = deadline.remaining(self.forwarder.state().now());
            return Some(Instant::now() + left.to_std());
        }
        if self.is_ending || self.held.is_some() || !self.answers.is_empty() {
            return None;
        }
        let allowed = if self.reader.is_inside() || !self.has_read {
            HEAD_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        Some(self.silent_since + allowed)
    }

    /// Ends a request that arrives too slowly; returns whether the connection was only idle.
    fn time_out(&mut self) -> bool {
        let error = MeshError::new(ErrorKind::SlowSender, "the body did not arrive in time");
        match self.reader.cut_body(error) {
            Some(ReadEvent::Aborted(request, codec)) => self.cut(request, codec),
            _ if self.reader.is_inside() || !self.has_read => {
                self.end_with(StatusCode::REQUEST_TIMEOUT);
            }
            _ => return true,
        }
        false
    }

    async fn write_answer(&mut self, answer: Answer) -> io::Result<()> {
        let Answer {
            response,
            mut codec,
        } = answer;
        let (mut head, body) = response.into_parts();
        let is_last = self.answers.is_empty() && self.held.is_none();
        let wants_end = head.head().connection_type() == ConnectionType::Close;
        if wants_end && is_last {
            self.is_ending = true;
        } else if !(self.is_ending && is_last) {
            // Requests behind this one have started, and their answers follow.
            head.head_mut()
                .set_connection_type(ConnectionType::KeepAlive);
        }
        if self.is_ending && is_last {
            head.head_mut().set_connection_type(ConnectionType::Close);
        }
        let body = whole_body(body)?;
        let mut encoded = BytesMut::new();
        let size = BodySize::Sized(body.len() as u64);
        codec.encode(Message::Item((head, size)), &mut encoded)?;
        if !body.is_empty() {
            codec.encode(Message::Chunk(Some(body)), &mut encoded)?;
        }
        self.silent_since = Instant::now();
        self.write(&encoded).await
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        time::timeout(WRITE_TIMEOUT, self.stream.write_all(bytes))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// Reads what the caller still sends, so that it gets the last answer.
    async fn linger(&mut self) {
        let drain = async {
            self.stream.shutdown().await?;
            let received = self.reader.received();
            loop {
                received.clear();
                if self.stream.read_buf(received).await? == 0 {
                    return io::Result::Ok(());
                }
            }
        };
        // A caller that is done with the connection has its answer.
        let _ = time::timeout(LINGER_TIME, drain).await;
    }
}

async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

/// Returns the bytes of an answer's body, which the handlers always build whole.
fn whole_body(body: BoxBody) -> io::Result<Bytes> {
    body.try_into_bytes()
        .map_err(|_| io::Error::other("the answer has a body that is not whole"))
}
