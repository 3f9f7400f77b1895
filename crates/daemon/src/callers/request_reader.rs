use std::mem;

use actix_http::{
    Request, ServiceConfig,
    error::ParseError,
    h1::{Codec, Message, MessageType},
};
use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    error::{ErrorKind, MeshError},
};
use bytes::{Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::{
    callers::caller_request::{CallerRequest, RoutedRequest},
    node::NodeState,
};

/// Bytes of a body that are read although its request is refused, so that the connection stays open.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;
/// Time for which such a body may arrive; callers give up a connection that is not read after 1 s.
const DISCARD_TIME: TimeBudget = TimeBudget::from_millis(800);

/// What the bytes of a connection hold next.
pub(crate) enum ReadEvent {
    /// More bytes are needed.
    Partial,
    /// A request, and the codec that encodes its answer.
    Request(Box<CallerRequest>, Codec),
    /// A request that is answered before its body was read; what follows is not a request.
    Aborted(Box<CallerRequest>, Codec),
    /// Bytes that are no request.
    Malformed(ParseError),
}

/// Reads the requests of one connection.
///
/// Each request leaves with the codec that read it, because an answer takes its form from its
/// request: whether it has a body, and whether the connection stays open.
pub(crate) struct RequestReader {
    config: ServiceConfig,
    codec: Codec,
    received: BytesMut,
    partial: Option<PartialRequest>,
}

/// A request whose body has not arrived whole.
struct PartialRequest {
    request: Box<CallerRequest>,
    body: BytesMut,
    expects_continue: bool,
}

impl RequestReader {
    pub(crate) fn new(config: ServiceConfig) -> Self {
        Self {
            codec: Codec::new(config.clone()),
            config,
            received: BytesMut::new(),
            partial: None,
        }
    }

    /// Returns the bytes that were received and not read yet, to receive more.
    pub(crate) const fn received(&mut self) -> &mut BytesMut {
        &mut self.received
    }

    /// Returns whether a part of a request has arrived.
    pub(crate) fn is_inside(&self) -> bool {
        self.partial.is_some() || !self.received.is_empty()
    }

    /// Returns when the body under way must have arrived.
    pub(crate) fn body_deadline(&self) -> Option<ClockInstant> {
        let request = &self.partial.as_ref()?.request;
        let deadline = match &request.routed {
            Ok(routed) => routed.deadline,
            Err(_) => request.started_at.after(DISCARD_TIME),
        };
        Some(deadline)
    }

    /// Returns whether the caller waits for a sign before it sends the body; true only once.
    pub(crate) fn take_expectation(&mut self) -> bool {
        let partial = self.partial.as_mut();
        partial.is_some_and(|partial| mem::take(&mut partial.expects_continue))
    }

    /// Reads on in what was received.
    pub(crate) fn next(&mut self, state: &NodeState) -> ReadEvent {
        loop {
            let event = match self.codec.decode(&mut self.received) {
                Ok(None) => return ReadEvent::Partial,
                Ok(Some(Message::Item(head))) => self.take_head(state, head),
                Ok(Some(Message::Chunk(Some(chunk)))) => self.take_chunk(&chunk),
                Ok(Some(Message::Chunk(None))) => self.take_end(),
                Err(error) => Some(self.take_error(error)),
            };
            if let Some(event) = event {
                return event;
            }
        }
    }

    /// Gives up the body under way.
    pub(crate) fn cut_body(&mut self, error: MeshError) -> Option<ReadEvent> {
        let mut request = self.partial.take()?.request;
        if request.routed.is_ok() {
            request.routed = Err(error);
        }
        Some(ReadEvent::Aborted(request, self.take_codec()))
    }

    fn take_head(&mut self, state: &NodeState, head: Request) -> Option<ReadEvent> {
        let expects_continue = head.head().expect();
        let mut request = Box::new(CallerRequest {
            routed: RoutedRequest::find(state, &head),
            head,
            body: Bytes::new(),
            started_at: state.now(),
        });
        match self.codec.message_type() {
            MessageType::None => Some(ReadEvent::Request(request, self.take_codec())),
            MessageType::Stream => {
                let error = MeshError::invalid("the connection may not change its protocol");
                request.routed = Err(error);
                Some(ReadEvent::Aborted(request, self.take_codec()))
            }
            MessageType::Payload => {
                self.partial = Some(PartialRequest {
                    request,
                    body: BytesMut::new(),
                    expects_continue,
                });
                None
            }
        }
    }

    fn take_chunk(&mut self, chunk: &[u8]) -> Option<ReadEvent> {
        let partial = self.partial.as_mut()?;
        // The caller has not waited for the sign.
        partial.expects_continue = false;
        let limit = match &partial.request.routed {
            Ok(routed) => routed.body_limit(),
            Err(_) => MAX_DISCARDED_BYTES,
        };
        if partial.body.len() + chunk.len() > limit {
            let message = format!("request body exceeds the route's limit of {limit} bytes");
            return self.cut_body(MeshError::new(ErrorKind::TooLarge, message));
        }
        partial.body.extend_from_slice(chunk);
        None
    }

    fn take_end(&mut self) -> Option<ReadEvent> {
        let partial = self.partial.take()?;
        let mut request = partial.request;
        request.body = partial.body.freeze();
        Some(ReadEvent::Request(request, self.take_codec()))
    }

    fn take_error(&mut self, error: ParseError) -> ReadEvent {
        let message = format!("request body: {error}");
        let cut = self.cut_body(MeshError::invalid(message));
        cut.unwrap_or(ReadEvent::Malformed(error))
    }

    fn take_codec(&mut self) -> Codec {
        mem::replace(&mut self.codec, Codec::new(self.config.clone()))
    }
}
