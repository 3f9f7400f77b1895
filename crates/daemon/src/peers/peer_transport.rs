use std::io;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tarpc::tokio_serde::{self, formats::Bincode};
use tokio_util::codec::{Decoder, Encoder, Framed, LengthDelimitedCodec};

use crate::peers::counted_stream::CountedStream;

/// Size limit of a message between nodes.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Capacity that the buffers of an idle connection keep.
const IDLE_CAPACITY: usize = 64 * 1024;

/// Transport of typed messages over an authenticated connection.
pub(crate) type PeerTransport<In, Out> =
    tokio_serde::Framed<Framed<CountedStream, FrameCodec>, In, Out, Bincode<In, Out>>;

/// Wraps an authenticated connection; a frame over the size limit closes it.
pub(crate) fn peer_transport<In, Out>(stream: CountedStream) -> PeerTransport<In, Out>
where
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let codec = FrameCodec { codec };
    tokio_serde::Framed::new(Framed::new(stream, codec), Bincode::default())
}

/// Codec whose connection does not keep the memory of a large frame.
pub(crate) struct FrameCodec {
    codec: LengthDelimitedCodec,
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, received: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let frame = self.codec.decode(received)?;
        if frame
            .as_ref()
            .is_some_and(|frame| frame.len() > IDLE_CAPACITY)
        {
            // The rest shares the memory of the frame.
            *received = BytesMut::from(&received[..]);
        }
        Ok(frame)
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, unsent: &mut BytesMut) -> io::Result<()> {
        if unsent.is_empty() && unsent.capacity() > IDLE_CAPACITY {
            *unsent = BytesMut::new();
        }
        self.codec.encode(frame, unsent)
    }
}
