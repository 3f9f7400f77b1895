use serde::{Deserialize, Serialize};
use tarpc::{serde_transport, tokio_serde::formats::Bincode};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::peers::counted_stream::CountedStream;

/// Size limit of a message between nodes.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Transport of typed messages over an authenticated connection.
pub(crate) type PeerTransport<In, Out> =
    serde_transport::Transport<CountedStream, In, Out, Bincode<In, Out>>;

/// Wraps an authenticated connection; a frame over the size limit closes it.
pub(crate) fn peer_transport<In, Out>(stream: CountedStream) -> PeerTransport<In, Out>
where
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    serde_transport::new(Framed::new(stream, codec), Bincode::default())
}
