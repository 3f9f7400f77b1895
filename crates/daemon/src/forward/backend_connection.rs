use std::{
    io, mem,
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_http::{
    RequestHead, RequestHeadType, ResponseHead,
    body::BodySize,
    h1::{ClientCodec, Message, MessageType},
    header::HeaderMap,
};
use actix_web::http::{
    Method, StatusCode,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use bytes::{Buf, Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time,
};
use tokio_util::codec::{Decoder, Encoder};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Answers to earlier requests that are passed over before the server counts as confused.
const MAX_STRAY_RESPONSES: usize = 3;
/// Part of the idle time that a server states after which it may already be closing.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// Size limit of an answer's body, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Why an exchange with a backend server gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// No byte of the request was written.
    Unreached(String),
    /// The request may have been read, and its answer is lost or cut.
    Lost(String),
    /// The request ran, and its answer is too large to pass on.
    TooLarge,
}

/// A whole answer as it came from a backend server.
#[derive(Debug)]
pub(crate) struct BackendResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Which answers an exchange takes.
pub(crate) struct ExchangeOptions<'a> {
    /// Whether an answer without a length is whole when its connection ends in order.
    pub(crate) accepts_unframed: bool,
    /// Returns whether an answer belongs to the request; the flag says that the connection has
    /// carried no other one.
    pub(crate) is_for_request: &'a dyn Fn(&BackendResponse, bool) -> bool,
}

/// One connection to a backend server.
///
/// The exchange is written on actix's own codec rather than on `awc`, which reports the end of
/// the connection inside a body as the end of the body, and a connection that is closed after the
/// request was written as one that was not established.
pub(crate) struct BackendConnection {
    stream: TcpStream,
    codec: ClientCodec,
    received: BytesMut,
    is_fresh: bool,
    /// Whether a part of the request could not be written.
    is_broken: bool,
    /// Instant from which the server may close the idle connection, if it says so.
    idle_deadline: Option<Instant>,
}

impl BackendConnection {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, ExchangeError> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        };
        let socket = socket.map_err(|error| ExchangeError::Unreached(error.to_string()))?;
        let stream = time::timeout(CONNECT_TIMEOUT, socket.connect(address))
            .await
            .map_err(|_| ExchangeError::Unreached("no connection in time".to_owned()))?
            .map_err(|error| ExchangeError::Unreached(error.to_string()))?;
        // Without the option small requests wait for acknowledgements, but still arrive.
        let _ = stream.set_nodelay(true);
        Ok(Self {
            stream,
            codec: ClientCodec::default(),
            received: BytesMut::new(),
            is_fresh: true,
            is_broken: false,
            idle_deadline: None,
        })
    }

    /// Returns whether the server has neither closed the idle connection nor sent anything on it,
    /// and does not say that it is about to close it.
    pub(crate) fn is_usable(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        let is_silent = read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        let is_kept = self
            .idle_deadline
            .is_none_or(|deadline| Instant::now() < deadline);
        is_silent && is_kept && self.received.is_empty()
    }

    /// Sends a request and reads its whole answer.
    ///
    /// Answers that belong to earlier requests are passed over. The connection comes back if it
    /// can serve another exchange.
    pub(crate) async fn exchange(
        mut self,
        head: RequestHead,
        body: Bytes,
        rule: &ExchangeOptions<'_>,
    ) -> Result<(BackendResponse, Option<Self>), ExchangeError> {
        let is_fresh = mem::replace(&mut self.is_fresh, false);
        let method = head.method.clone();
        let mut unsent = self
            .encode(head, body)
            .map_err(|error| lost_response(&error))?;
        for strays in 0..=MAX_STRAY_RESPONSES {
            let (answer, is_kept) = self.read_response(&method, &mut unsent, rule).await?;
            if (rule.is_for_request)(&answer, is_fresh) {
                // A server that answered early still expects the rest of the body.
                let is_reusable = is_kept && unsent.is_empty() && strays == 0 && !self.is_broken;
                self.idle_deadline = idle_deadline(&answer.headers);
                return Ok((answer, is_reusable.then_some(self)));
            }
            if !is_kept {
                break;
            }
        }
        Err(lost_response(&"it answered for another request"))
    }

    fn encode(&mut self, head: RequestHead, body: Bytes) -> io::Result<BytesMut> {
        let mut encoded = BytesMut::new();
        let size = BodySize::Sized(body.len() as u64);
        let head = RequestHeadType::Owned(head);
        self.codec
            .encode(Message::Item((head, size)), &mut encoded)?;
        if !body.is_empty() {
            self.codec
                .encode(Message::Chunk(Some(body)), &mut encoded)?;
            self.codec.encode(Message::Chunk(None), &mut encoded)?;
        }
        Ok(encoded)
    }

    /// Reads one answer, and returns whether another one may follow on the connection.
    async fn read_response(
        &mut self,
        method: &Method,
        unsent: &mut BytesMut,
        rule: &ExchangeOptions<'_>,
    ) -> Result<(BackendResponse, bool), ExchangeError> {
        let head = self.read_head(unsent).await?;
        if !has_body_end(method, &head) {
            if !rule.accepts_unframed {
                let reason = "the answer's body has no length, so that a cut would not show";
                return Err(lost_response(&reason));
            }
            let body = self.read_to_end(unsent).await?;
            return Ok((backend_response(head, body), false));
        }
        if self.codec.message_type() == MessageType::None {
            let is_kept = self.codec.keep_alive();
            return Ok((backend_response(head, Bytes::new()), is_kept));
        }
        let (body, is_kept) = self.read_payload(unsent).await?;
        Ok((backend_response(head, body), is_kept))
    }

    async fn read_head(&mut self, unsent: &mut BytesMut) -> Result<ResponseHead, ExchangeError> {
        loop {
            let decoded = self.codec.decode(&mut self.received);
            match decoded.map_err(|error| lost_response(&error))? {
                Some(head) if !head.status.is_informational() => return Ok(head),
                Some(_) => {}
                None => self.fill(unsent, "closed before an answer").await?,
            }
        }
    }

    async fn read_payload(
        &mut self,
        unsent: &mut BytesMut,
    ) -> Result<(Bytes, bool), ExchangeError> {
        let mut codec = mem::take(&mut self.codec).into_payload_codec();
        let mut body = BytesMut::new();
        loop {
            let decoded = codec.decode(&mut self.received);
            match decoded.map_err(|error| lost_response(&error))? {
                Some(Some(chunk)) => append(&mut body, &chunk)?,
                Some(None) => break,
                None => self.fill(unsent, "closed inside the answer's body").await?,
            }
        }
        let is_kept = codec.keep_alive();
        self.codec = codec.into_message_codec();
        Ok((body.freeze(), is_kept))
    }

    /// Reads a body that ends with the connection; a reset is not such an end.
    async fn read_to_end(&mut self, unsent: &mut BytesMut) -> Result<Bytes, ExchangeError> {
        let mut body = self.received.split();
        while self
            .receive(unsent)
            .await
            .map_err(|error| lost_response(&error))?
            > 0
        {
            append(&mut body, &self.received.split())?;
        }
        Ok(body.freeze())
    }

    async fn fill(&mut self, unsent: &mut BytesMut, reason: &str) -> Result<(), ExchangeError> {
        match self.receive(unsent).await {
            Ok(0) => Err(lost_response(&reason)),
            Ok(_) => Ok(()),
            Err(error) => Err(lost_response(&error)),
        }
    }

    /// Receives some bytes, and meanwhile sends what is left of the request.
    async fn receive(&mut self, unsent: &mut BytesMut) -> io::Result<usize> {
        while !unsent.is_empty() {
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                biased;
                written = writer.write(unsent) => match written {
                    Ok(count) => unsent.advance(count),
                    // The server may have answered before it stopped reading.
                    Err(_) => {
                        unsent.clear();
                        self.is_broken = true;
                    }
                },
                count = reader.read_buf(&mut self.received) => return count,
            }
        }
        self.stream.read_buf(&mut self.received).await
    }
}

fn append(body: &mut BytesMut, chunk: &[u8]) -> Result<(), ExchangeError> {
    if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
        return Err(ExchangeError::TooLarge);
    }
    body.extend_from_slice(chunk);
    Ok(())
}

/// Returns when the connection is no longer to be used, by the server's `keep-alive` header.
fn idle_deadline(headers: &HeaderMap) -> Option<Instant> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u32 = seconds.parse().ok()?;
    let allowed = Duration::from_secs(u64::from(seconds)).mul_f64(IDLE_TIMEOUT_FRACTION);
    Some(Instant::now() + allowed)
}

/// Returns whether the end of the body is marked by more than the end of the connection.
fn has_body_end(method: &Method, head: &ResponseHead) -> bool {
    let headers = head.headers();
    let has_none = *method == Method::HEAD
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED;
    has_none || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

fn backend_response(mut head: ResponseHead, body: Bytes) -> BackendResponse {
    BackendResponse {
        status: head.status,
        headers: mem::replace(head.headers_mut(), HeaderMap::new()),
        body,
    }
}

fn lost_response(error: &dyn std::fmt::Display) -> ExchangeError {
    ExchangeError::Lost(error.to_string())
}
