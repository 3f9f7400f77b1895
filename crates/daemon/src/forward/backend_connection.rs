use std::{
    io, mem,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{
    RequestHead, RequestHeadType, ResponseHead,
    body::BodySize,
    h1::{ClientCodec, Message, MessageType},
    header::HeaderMap,
};
use actix_web::http::{Method, StatusCode};
use bronzelb_http::{BodyFraming, ResponseDefect, check_header_names};
use bronzelb_kernel::error::MeshError;
use bytes::{Buf, Bytes, BytesMut, buf::Chain};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time,
};
use tokio_util::codec::{Decoder, Encoder};

use crate::holding::{BodyBuffer, BodyOverflow, HoldingState};

/// Longest time to open a connection, after which the server counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Divisor of the time left that gives the longest time to open a connection; the rest remains for
/// another server.
const CONNECT_TIME_DIVISOR: u32 = 2;
/// Responses to other requests that are skipped before the exchange fails.
const MAX_STRAY_RESPONSES: usize = 3;
/// Fraction of the server's stated idle timeout after which a connection is no longer reused.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// Bytes that are read in one exchange, including heads and the overhead of chunks.
const MAX_EXCHANGE_BYTES: usize = 2 * MAX_RESPONSE_BYTES;

/// Size limit of a response body, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Reason why an exchange with a backend server gave no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// No part of the request was sent.
    Unreached(String),
    /// The server did not accept a connection while another server could still answer in time; no
    /// part of the request was sent.
    NotAccepted,
    /// No part of the request was sent, because its key has been revoked.
    Unauthorized(MeshError),
    /// The server may have received the request, but the response was lost or truncated.
    Lost(String),
    /// The request ran, but its response exceeds the size limit.
    TooLarge,
}

/// Complete response of a backend server.
#[derive(Debug)]
pub(crate) struct BackendResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Rules by which an exchange accepts responses.
pub(crate) struct ExchangeOptions<'a> {
    /// Whether a response without a length is complete when its connection closes cleanly.
    pub(crate) accepts_unframed: bool,
    /// Returns whether a response belongs to the request; the flag is set for the first request
    /// on a connection.
    pub(crate) is_for_request: &'a dyn Fn(&BackendResponse, bool) -> bool,
    /// Account in which the response is counted.
    pub(crate) holding: &'a Arc<HoldingState>,
}

/// Connection to a backend server.
///
/// Uses the actix codec directly instead of `awc`. `awc` reports a connection closed inside a body
/// as the end of the body, and one closed after the request was written as never established.
pub(crate) struct BackendConnection {
    stream: TcpStream,
    codec: ClientCodec,
    received: BytesMut,
    /// Bytes received in the current exchange.
    received_count: usize,
    is_fresh: bool,
    /// Whether writing the request failed.
    has_write_error: bool,
    /// Whether any part of the request of the current exchange was written.
    has_sent: bool,
    /// Whether a response without a request identifier was read, of which a late copy may follow.
    may_hold_copy: bool,
    /// Instant after which the idle connection is not reused, if the server states an idle timeout.
    idle_deadline: Option<Instant>,
}

impl From<BodyOverflow> for ExchangeError {
    fn from(_: BodyOverflow) -> Self {
        Self::TooLarge
    }
}

/// Part of a request that is not sent yet; the body is not copied.
type UnsentRequest = Chain<BytesMut, Bytes>;

impl BackendConnection {
    /// Opens a connection for a request that has `time_left` until its deadline.
    pub(crate) async fn open(
        address: SocketAddr,
        time_left: Duration,
    ) -> Result<Self, ExchangeError> {
        let connect_time = CONNECT_TIMEOUT.min(time_left / CONNECT_TIME_DIVISOR);
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        };
        let socket = socket.map_err(|error| ExchangeError::Unreached(error.to_string()))?;
        let stream = time::timeout(connect_time, socket.connect(address))
            .await
            .map_err(|_| match connect_time < CONNECT_TIMEOUT {
                true => ExchangeError::NotAccepted,
                false => ExchangeError::Unreached("the connection timed out".to_owned()),
            })?
            .map_err(|error| ExchangeError::Unreached(error.to_string()))?;
        // Without TCP_NODELAY, small requests may wait for acknowledgements but still arrive.
        let _ = stream.set_nodelay(true);
        Ok(Self {
            stream,
            codec: ClientCodec::default(),
            received: BytesMut::new(),
            received_count: 0,
            is_fresh: true,
            has_write_error: false,
            has_sent: false,
            may_hold_copy: false,
            idle_deadline: None,
        })
    }

    /// Records that a response without a request identifier was read.
    pub(crate) const fn record_unidentified(&mut self) {
        self.may_hold_copy = true;
    }

    /// Returns whether the next response without a request identifier may be a late copy of an
    /// earlier one rather than the answer to the next request.
    pub(crate) const fn may_hold_copy(&self) -> bool {
        self.may_hold_copy
    }

    /// Returns whether the idle connection is open, has no unread data and is not close to the
    /// server's stated idle timeout.
    pub(crate) fn is_usable(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        let is_quiet = read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        let is_before_deadline = self
            .idle_deadline
            .is_none_or(|deadline| Instant::now() < deadline);
        is_quiet && is_before_deadline && self.received.is_empty()
    }

    /// Sends a request and reads its complete response.
    ///
    /// Responses to other requests are skipped. The connection is returned if it can be reused.
    pub(crate) async fn exchange(
        mut self,
        head: RequestHead,
        body: Bytes,
        options: &ExchangeOptions<'_>,
    ) -> Result<(BackendResponse, Option<Self>), ExchangeError> {
        let is_fresh = mem::replace(&mut self.is_fresh, false);
        self.received_count = 0;
        self.has_sent = false;
        let method = head.method.clone();
        let mut unsent = self
            .encode(head, body)
            .map_err(|error| ExchangeError::Unreached(error.to_string()))?;
        for stray_count in 0..=MAX_STRAY_RESPONSES {
            let received = self.read_response(&method, &mut unsent, options).await;
            let (response, is_kept_alive) = received.map_err(|error| match error {
                ExchangeError::Lost(reason) if !self.has_sent => ExchangeError::Unreached(reason),
                error => error,
            })?;
            if (options.is_for_request)(&response, is_fresh) {
                // A server that responded early still expects the rest of the request body.
                let is_reusable = is_kept_alive
                    && !unsent.has_remaining()
                    && stray_count == 0
                    && !self.has_write_error;
                self.idle_deadline = idle_deadline(&response.headers);
                return Ok((response, is_reusable.then_some(self)));
            }
            if !is_kept_alive {
                break;
            }
        }
        Err(lost_response(&"the server responded to another request"))
    }

    fn encode(&mut self, head: RequestHead, body: Bytes) -> io::Result<UnsentRequest> {
        let mut encoded = BytesMut::new();
        let size = BodySize::Sized(body.len() as u64);
        let head = RequestHeadType::Owned(head);
        self.codec
            .encode(Message::Item((head, size)), &mut encoded)?;
        Ok(encoded.chain(body))
    }

    /// Reads one response and returns whether the connection stays open.
    async fn read_response(
        &mut self,
        method: &Method,
        unsent: &mut UnsentRequest,
        options: &ExchangeOptions<'_>,
    ) -> Result<(BackendResponse, bool), ExchangeError> {
        let head = self.read_head(unsent).await?;
        let framing = BodyFraming::of_response(method, head.status, head.version, head.headers())
            .map_err(|defect| lost_response(&defect))?;
        let has_payload = self.codec.message_type() == MessageType::Payload;
        match framing {
            BodyFraming::Empty => {
                // A codec that expects a body would take the next response for it.
                let is_kept_alive = self.codec.keep_alive() && !has_payload;
                Ok((backend_response(head, Bytes::new()), is_kept_alive))
            }
            BodyFraming::Length(_) | BodyFraming::Chunked if has_payload => {
                let length = match framing {
                    BodyFraming::Length(length) => usize::try_from(length).ok(),
                    _ => None,
                };
                let body = response_buffer(options, length);
                let (body, is_kept_alive) = self.read_payload(unsent, body).await?;
                Ok((backend_response(head, body), is_kept_alive))
            }
            // The codec takes an upgrade for the end of the response, even if the status denies it.
            BodyFraming::Length(_) | BodyFraming::Chunked => {
                Err(lost_response(&ResponseDefect::ProtocolChange))
            }
            BodyFraming::UntilClose if options.accepts_unframed => {
                let body = self.read_to_end(unsent, options).await?;
                Ok((backend_response(head, body), false))
            }
            BodyFraming::UntilClose => Err(lost_response(&ResponseDefect::UnknownLength)),
        }
    }

    async fn read_head(
        &mut self,
        unsent: &mut UnsentRequest,
    ) -> Result<ResponseHead, ExchangeError> {
        loop {
            check_header_names(&self.received).map_err(|defect| lost_response(&defect))?;
            let decoded = self.codec.decode(&mut self.received);
            match decoded.map_err(|error| lost_response(&error))? {
                Some(head) if !head.status.is_informational() => return Ok(head),
                // The codec keeps the state of a new protocol or of a body for the next head.
                Some(head) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                    return Err(lost_response(&ResponseDefect::ProtocolChange));
                }
                Some(_) if self.codec.message_type() != MessageType::None => {
                    return Err(lost_response(&ResponseDefect::UnexpectedBody));
                }
                Some(_) => {}
                None => self.fill(unsent, "closed before a response").await?,
            }
        }
    }

    async fn read_payload(
        &mut self,
        unsent: &mut UnsentRequest,
        mut body: BodyBuffer,
    ) -> Result<(Bytes, bool), ExchangeError> {
        let mut codec = mem::take(&mut self.codec).into_payload_codec();
        loop {
            let decoded = codec.decode(&mut self.received);
            match decoded.map_err(|error| lost_response(&error))? {
                Some(Some(chunk)) => body.append(&chunk).await?,
                Some(None) => break,
                None => self.fill(unsent, "closed inside the response body").await?,
            }
        }
        let is_kept_alive = codec.keep_alive();
        self.codec = codec.into_message_codec();
        Ok((body.finish(), is_kept_alive))
    }

    /// Reads a body that ends when the connection closes; a connection reset is an error.
    async fn read_to_end(
        &mut self,
        unsent: &mut UnsentRequest,
        options: &ExchangeOptions<'_>,
    ) -> Result<Bytes, ExchangeError> {
        let mut body = response_buffer(options, None);
        body.append(&self.received.split()).await?;
        while self
            .receive(unsent)
            .await
            .map_err(|error| lost_response(&error))?
            > 0
        {
            body.append(&self.received.split()).await?;
        }
        if self.has_write_error {
            return Err(lost_response(
                &"reset while the request was being sent, so truncation would go undetected",
            ));
        }
        Ok(body.finish())
    }

    /// Receives more bytes; `reason` is the error text for a connection that the server has closed.
    async fn fill(
        &mut self,
        unsent: &mut UnsentRequest,
        reason: &str,
    ) -> Result<(), ExchangeError> {
        match self.receive(unsent).await {
            Ok(0) => Err(lost_response(&reason)),
            Ok(_) if self.received_count > MAX_EXCHANGE_BYTES => Err(ExchangeError::TooLarge),
            Ok(_) => Ok(()),
            Err(error) => Err(lost_response(&error)),
        }
    }

    /// Receives some bytes while sending the rest of the request.
    ///
    /// Once a part of the request is sent, reading takes precedence: a write to a connection that
    /// was reset consumes the error, after which a read reports an ordinary end.
    async fn receive(&mut self, unsent: &mut UnsentRequest) -> io::Result<usize> {
        while unsent.has_remaining() {
            let has_sent = self.has_sent;
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                biased;
                count = reader.read_buf(&mut self.received), if has_sent => {
                    let count = count?;
                    self.received_count += count;
                    return Ok(count);
                }
                written = writer.write_buf(unsent) => match written {
                    Ok(count) => self.has_sent |= count > 0,
                    Err(error) if !has_sent => return Err(error),
                    // The server may have responded before it stopped reading.
                    Err(_) => {
                        unsent.advance(unsent.remaining());
                        self.has_write_error = true;
                    }
                },
            }
        }
        let count = self.stream.read_buf(&mut self.received).await?;
        self.received_count += count;
        Ok(count)
    }
}

/// Returns the instant after which the connection is not reused, from the `keep-alive` header.
fn idle_deadline(headers: &HeaderMap) -> Option<Instant> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u32 = seconds.parse().ok()?;
    let idle_limit = Duration::from_secs(u64::from(seconds)).mul_f64(IDLE_TIMEOUT_FRACTION);
    Some(Instant::now() + idle_limit)
}

fn backend_response(mut head: ResponseHead, body: Bytes) -> BackendResponse {
    BackendResponse {
        status: head.status,
        headers: mem::replace(head.headers_mut(), HeaderMap::new()),
        body,
    }
}

fn response_buffer(options: &ExchangeOptions<'_>, length: Option<usize>) -> BodyBuffer {
    BodyBuffer::new(Arc::clone(options.holding), length, MAX_RESPONSE_BYTES)
}

fn lost_response(error: &dyn std::fmt::Display) -> ExchangeError {
    ExchangeError::Lost(error.to_string())
}
