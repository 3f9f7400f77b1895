use std::mem;

use actix_http::{
    Request, ServiceConfig,
    error::ParseError,
    h1::{Codec, Message, MessageType},
    header::CONTENT_LENGTH,
};
use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
};
use bytes::{Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::{
    callers::{
        caller_request::{CallerRequest, RouteMatch},
        request_body::RequestBody,
    },
    node::NodeState,
};

/// Maximum size of a rejected request's body that is still read, so that the connection stays open.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;
/// Room for a request line beside the header fields (RFC 9112, section 3).
const MAX_REQUEST_LINE_BYTES: usize = 8_000;
/// Room for an ordinary head and its body, so that they are received at once.
const READ_BYTES: usize = 2 * 1024;
/// Room for more of a large head, or for a part of a body.
const MORE_READ_BYTES: usize = 16 * 1024;
/// Capacity of the receive buffer that an idle connection keeps.
const IDLE_CAPACITY: usize = 4 * 1024;
/// Copies of a head that a running request holds: as received, decoded, forwarded and encoded.
const HEAD_COPIES: usize = 4;
/// Time limit for reading such a body. Callers abandon a connection that is not read for 1 s.
const DISCARD_TIMEOUT: TimeBudget = TimeBudget::from_millis(800);

/// Outcome of reading from a connection.
pub(crate) enum ReadEvent {
    /// More bytes are needed.
    Partial,
    /// A whole request, and the codec that encodes its response.
    Request(Box<CallerRequest>, Codec),
    /// A request that gets a response before its body was read to the end. The bytes that follow
    /// are not a request, so the connection has to close.
    Aborted(Box<CallerRequest>, Codec),
    /// Bytes that do not form a valid request.
    Malformed(ParseError),
}

/// Decodes the requests of one connection.
///
/// Each request is returned with the codec that decoded it, because the encoding of a response
/// depends on its request: whether it has a body, and whether the connection stays open.
pub(crate) struct RequestReader {
    config: ServiceConfig,
    codec: Codec,
    received: BytesMut,
    /// Memory of the receive buffer, which its capacity does not tell once parts are split off.
    allocated: usize,
    partial: Option<PartialRequest>,
    /// Size of the last head that was decoded, in bytes.
    head_size: usize,
}

/// A request whose body has not fully arrived.
struct PartialRequest {
    request: Box<CallerRequest>,
    body: RequestBody,
    expects_continue: bool,
}

impl RequestReader {
    pub(crate) fn new(config: ServiceConfig) -> Self {
        Self {
            codec: Codec::new(config.clone()),
            config,
            received: BytesMut::new(),
            allocated: 0,
            partial: None,
            head_size: 0,
        }
    }

    /// Returns the memory of what was received and does not belong to a request that runs, in bytes.
    pub(crate) fn buffered(&self) -> usize {
        let partial = self.partial.as_ref();
        let partial = partial.map_or(0, |partial| partial.body.capacity() + self.head_memory());
        self.allocated + partial
    }

    /// Returns the memory of the head of the last request, in bytes.
    pub(crate) const fn head_memory(&self) -> usize {
        self.head_size * HEAD_COPIES
    }

    /// Releases what an idle connection does not need.
    pub(crate) fn shrink(&mut self) {
        if self.received.is_empty() && self.allocated > IDLE_CAPACITY {
            self.received = BytesMut::new();
            self.allocated = 0;
        }
    }

    /// Returns the number of bytes that are not decoded yet.
    pub(crate) fn received_len(&self) -> usize {
        self.received.len()
    }

    /// Makes room for more bytes in the receive buffer.
    pub(crate) fn reserve(&mut self) {
        if self.received.len() == self.received.capacity() {
            let is_ordinary = self.partial.is_none() && self.received.is_empty();
            self.received.reserve(match is_ordinary {
                true => READ_BYTES,
                false => MORE_READ_BYTES,
            });
            self.allocated = self.allocated.max(self.received.capacity());
        }
    }

    /// Returns the receive buffer, which holds bytes that are not decoded yet.
    pub(crate) const fn received(&mut self) -> &mut BytesMut {
        &mut self.received
    }

    /// Returns whether part of a request has arrived.
    pub(crate) fn is_mid_request(&self) -> bool {
        self.partial.is_some() || !self.received.is_empty()
    }

    /// Returns the deadline for the current body, if one is being received.
    pub(crate) fn body_deadline(&self) -> Option<ClockInstant> {
        let request = &self.partial.as_ref()?.request;
        let deadline = match &request.route_match {
            Ok(route_match) => route_match.deadline,
            Err(_) => request.started_at.after(DISCARD_TIMEOUT),
        };
        Some(deadline)
    }

    /// Returns whether the caller waits for `100 Continue` before it sends the body; true only once
    /// per request.
    pub(crate) fn take_expect_continue(&mut self) -> bool {
        let partial = self.partial.as_mut();
        partial.is_some_and(|partial| mem::take(&mut partial.expects_continue))
    }

    /// Decodes the receive buffer up to the next event.
    pub(crate) fn next_event(&mut self, state: &NodeState) -> ReadEvent {
        loop {
            let before = self.received.len();
            let event = match self.codec.decode(&mut self.received) {
                Ok(None) if self.partial.is_none() && before > max_head(state) => {
                    return ReadEvent::Malformed(ParseError::TooLarge);
                }
                Ok(None) => return ReadEvent::Partial,
                Ok(Some(Message::Item(head))) => {
                    self.head_size = before - self.received.len();
                    if self.head_size > max_head(state) {
                        return ReadEvent::Malformed(ParseError::TooLarge);
                    }
                    self.handle_head(state, head)
                }
                Ok(Some(Message::Chunk(Some(chunk)))) => self.handle_chunk(&chunk),
                Ok(Some(Message::Chunk(None))) => self.handle_end(),
                Err(error) => Some(self.handle_error(error)),
            };
            if let Some(event) = event {
                return event;
            }
        }
    }

    /// Stops reading the current body and returns its request with `error`.
    ///
    /// A request that was rejected already keeps its first error. Returns `None` if no body is
    /// being received.
    pub(crate) fn abort_body(&mut self, error: MeshError) -> Option<ReadEvent> {
        let mut request = self.partial.take()?.request;
        if request.route_match.is_ok() {
            request.route_match = Err(error);
        }
        Some(ReadEvent::Aborted(request, self.replace_codec()))
    }

    fn handle_head(&mut self, state: &NodeState, head: Request) -> Option<ReadEvent> {
        let expects_continue = head.head().expect();
        let mut request = Box::new(CallerRequest {
            route_match: RouteMatch::find(state, &head),
            head,
            body: Bytes::new(),
            started_at: state.now(),
        });
        match self.codec.message_type() {
            MessageType::None => Some(ReadEvent::Request(request, self.replace_codec())),
            MessageType::Stream => {
                let error = MeshError::invalid("protocol upgrades are not supported");
                request.route_match = Err(error);
                Some(ReadEvent::Aborted(request, self.replace_codec()))
            }
            MessageType::Payload => {
                let length = stated_length(&request.head);
                self.partial = Some(PartialRequest {
                    request,
                    body: RequestBody::new(length),
                    expects_continue,
                });
                None
            }
        }
    }

    fn handle_chunk(&mut self, chunk: &[u8]) -> Option<ReadEvent> {
        let partial = self.partial.as_mut()?;
        // The caller sent the body without waiting for `100 Continue`.
        partial.expects_continue = false;
        let limit = match &partial.request.route_match {
            Ok(route_match) => route_match.body_limit(),
            Err(_) => MAX_DISCARDED_BYTES,
        };
        if partial.body.len() + chunk.len() > limit {
            let message = format!("request body exceeds the route's limit of {limit} bytes");
            return self.abort_body(MeshError::new(ErrorKind::TooLarge, message));
        }
        partial.body.append(chunk);
        None
    }

    fn handle_end(&mut self) -> Option<ReadEvent> {
        let partial = self.partial.take()?;
        let mut request = partial.request;
        request.body = partial.body.finish();
        Some(ReadEvent::Request(request, self.replace_codec()))
    }

    fn handle_error(&mut self, error: ParseError) -> ReadEvent {
        let message = format!("request body: {error}");
        let aborted = self.abort_body(MeshError::invalid(message));
        aborted.unwrap_or(ReadEvent::Malformed(error))
    }

    fn replace_codec(&mut self) -> Codec {
        mem::replace(&mut self.codec, Codec::new(self.config.clone()))
    }
}

/// Returns the length of the body that a head states; the codec has checked it.
fn stated_length(head: &Request) -> Option<usize> {
    let length = head.head().headers().get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// Returns the largest size of a head, in bytes.
pub(super) fn max_head(state: &NodeState) -> usize {
    let max_header = state.caller_limits().max_header.get();
    usize::try_from(max_header)
        .unwrap_or(usize::MAX)
        .saturating_add(MAX_REQUEST_LINE_BYTES)
}
