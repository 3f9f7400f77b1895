use std::io;

use actix_http::{
    ConnectionType, Response,
    body::{BodySize, BoxBody, MessageBody},
    h1::{Codec, Message},
};
use bytes::{Buf, Bytes, BytesMut};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpStream, tcp::WriteHalf},
    time::Instant,
};
use tokio_util::codec::Encoder;

use crate::holding::OutputHold;

/// Size of the part of a response body that is encoded at once.
const MAX_ENCODED_BYTES: usize = 32 * 1024;

/// A response and the codec that decoded its request.
pub(super) struct EncodableResponse {
    pub(super) response: Response<BoxBody>,
    pub(super) codec: Codec,
}

impl EncodableResponse {
    /// Encodes the head and the first part of the body. The caller has until `deadline` to read the
    /// response; with `is_closing` it is told that the connection closes.
    pub(super) fn encode(
        mut self,
        is_closing: bool,
        deadline: Instant,
    ) -> io::Result<OutgoingResponse> {
        if is_closing {
            let head = self.response.head_mut();
            head.set_connection_type(ConnectionType::Close);
        }
        let (head, body) = self.response.into_parts();
        let body = buffered_body(body)?;
        let size = BodySize::Sized(body.len() as u64);
        let mut encoded = BytesMut::new();
        self.codec
            .encode(Message::Item((head, size)), &mut encoded)?;
        let mut outgoing = OutgoingResponse {
            codec: self.codec,
            encoded,
            body,
            deadline,
            hold: None,
        };
        outgoing.encode_part()?;
        Ok(outgoing)
    }
}

/// A response that is being written.
pub(super) struct OutgoingResponse {
    codec: Codec,
    /// Encoded bytes that are not written yet.
    encoded: BytesMut,
    /// Rest of the body, not encoded yet.
    body: Bytes,
    pub(super) deadline: Instant,
    /// Memory of the copies, counted once the caller does not take the response at once.
    pub(super) hold: Option<OutputHold>,
}

impl OutgoingResponse {
    /// Returns the number of bytes that are not written yet.
    pub(super) fn len(&self) -> usize {
        self.encoded.len() + self.body.len()
    }

    /// Returns the memory of the encoded part, in bytes.
    pub(super) fn encoded_memory(&self) -> usize {
        self.encoded.capacity()
    }

    /// Writes as much as the caller takes without waiting. Returns whether that was all of it.
    pub(super) fn try_write(&mut self, stream: &TcpStream) -> io::Result<bool> {
        loop {
            match stream.try_write(&self.encoded) {
                Ok(count) => {
                    if self.advance(count)? {
                        return Ok(true);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) => return Err(error),
            }
        }
    }

    /// Writes the whole response, as the caller takes it. What has been written stays written if the
    /// future is dropped.
    pub(super) async fn write(&mut self, writer: &mut WriteHalf<'_>) -> io::Result<()> {
        loop {
            let count = writer.write(&self.encoded).await?;
            if self.advance(count)? {
                return Ok(());
            }
        }
    }

    /// Removes written bytes, and returns whether the whole response has been written.
    fn advance(&mut self, count: usize) -> io::Result<bool> {
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        self.encoded.advance(count);
        if self.encoded.is_empty() {
            self.encoded.clear();
            self.encode_part()?;
        }
        Ok(self.encoded.is_empty())
    }

    /// Encodes the next part of the body, which is a copy while a caller may read slowly.
    fn encode_part(&mut self) -> io::Result<()> {
        if !self.body.is_empty() {
            let part = self.body.split_to(self.body.len().min(MAX_ENCODED_BYTES));
            let message = Message::Chunk(Some(part));
            self.codec.encode(message, &mut self.encoded)?;
        }
        Ok(())
    }
}

/// Returns the bytes of a response body; the handlers never stream one.
fn buffered_body(body: BoxBody) -> io::Result<Bytes> {
    body.try_into_bytes()
        .map_err(|_| io::Error::other("response body is not fully buffered"))
}
