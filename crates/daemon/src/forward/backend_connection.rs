use std::{io, net::SocketAddr, time::Duration};

use actix_http::{
    RequestHead, RequestHeadType, ResponseHead,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    header::HeaderMap,
};
use actix_web::http::{
    Method, StatusCode,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use tokio::{
    net::{TcpSocket, TcpStream},
    time,
};
use tokio_util::codec::Framed;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Size limit of an answer's body, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

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
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// One connection to a backend server.
///
/// The exchange is written on actix's own codec rather than on `awc`, which reports the end of
/// the connection inside a body as the end of the body, and a connection that is closed after the
/// request was written as one that was not established.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    framed: Framed<TcpStream, ClientCodec>,
    is_fresh: bool,
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
            framed: Framed::new(stream, ClientCodec::default()),
            is_fresh: true,
        })
    }

    /// Returns whether the server has neither closed the idle connection nor sent anything on it.
    pub(crate) fn is_usable(&self) -> bool {
        let mut byte = [0];
        let read = self.framed.get_ref().try_read(&mut byte);
        let is_silent = read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        is_silent && self.framed.read_buffer().is_empty()
    }

    /// Returns whether no exchange has been made, so that the next answer belongs to the next
    /// request whatever it says.
    pub(crate) const fn is_fresh(&self) -> bool {
        self.is_fresh
    }

    /// Sends a request and reads its whole answer.
    ///
    /// The connection comes back if it can serve another exchange.
    pub(crate) async fn exchange(
        mut self,
        head: RequestHead,
        body: Bytes,
    ) -> Result<(WholeAnswer, Option<Self>), ExchangeError> {
        self.is_fresh = false;
        let method = head.method.clone();
        self.send(head, body).await.map_err(|error| lost(&error))?;
        let head = self.read_head().await?;
        if !has_end(&method, &head) {
            let reason = "the answer's body has no length, so that a cut would not show";
            return Err(lost(&reason));
        }
        if self.framed.codec().message_type() == MessageType::None {
            let is_kept = self.framed.codec().keep_alive();
            let answer = whole_answer(head, Bytes::new());
            return Ok((answer, is_kept.then_some(self)));
        }
        self.read_payload(head).await
    }

    async fn send(&mut self, head: RequestHead, body: Bytes) -> io::Result<()> {
        let size = match body.is_empty() {
            true => BodySize::Sized(0),
            false => BodySize::Sized(body.len() as u64),
        };
        let head = RequestHeadType::Owned(head);
        self.framed.feed(Message::Item((head, size))).await?;
        if !body.is_empty() {
            self.framed.feed(Message::Chunk(Some(body))).await?;
            self.framed.feed(Message::Chunk(None)).await?;
        }
        SinkExt::<Message<(RequestHeadType, BodySize)>>::flush(&mut self.framed).await
    }

    async fn read_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        loop {
            let head = match self.framed.next().await {
                Some(Ok(head)) => head,
                Some(Err(error)) => return Err(lost(&error)),
                None => return Err(lost(&"closed before an answer")),
            };
            if !head.status.is_informational() {
                return Ok(head);
            }
        }
    }

    async fn read_payload(
        self,
        head: ResponseHead,
    ) -> Result<(WholeAnswer, Option<Self>), ExchangeError> {
        let mut framed: Framed<TcpStream, ClientPayloadCodec> =
            self.framed.map_codec(ClientCodec::into_payload_codec);
        let mut body = BytesMut::new();
        loop {
            let chunk = match framed.next().await {
                Some(Ok(Some(chunk))) => chunk,
                Some(Ok(None)) => break,
                Some(Err(error)) => return Err(lost(&error)),
                None => return Err(lost(&"closed inside the answer's body")),
            };
            if body.len() + chunk.len() > MAX_ANSWER_BYTES {
                return Err(ExchangeError::TooLarge);
            }
            body.extend_from_slice(&chunk);
        }
        let is_kept = framed.codec().keep_alive();
        let framed = framed.map_codec(ClientPayloadCodec::into_message_codec);
        let answer = whole_answer(head, body.freeze());
        Ok((
            answer,
            is_kept.then_some(Self {
                framed,
                is_fresh: false,
            }),
        ))
    }
}

/// Returns whether the end of the body is marked by more than the end of the connection.
fn has_end(method: &Method, head: &ResponseHead) -> bool {
    let headers = head.headers();
    let has_none = *method == Method::HEAD
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED;
    has_none || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

fn whole_answer(mut head: ResponseHead, body: Bytes) -> WholeAnswer {
    WholeAnswer {
        status: head.status,
        headers: std::mem::replace(head.headers_mut(), HeaderMap::new()),
        body,
    }
}

fn lost(error: &dyn std::fmt::Display) -> ExchangeError {
    ExchangeError::Lost(error.to_string())
}
