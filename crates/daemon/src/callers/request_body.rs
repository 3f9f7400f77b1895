use bytes::{Bytes, BytesMut};

/// Size of a segment. Equal sizes let the allocator reuse what other connections have returned.
const SEGMENT_BYTES: usize = 16 * 1024;

/// Body of a request that is being received.
pub(super) struct RequestBody {
    segments: Vec<BytesMut>,
    len: usize,
    /// Length that the head states; `None` for a body in chunks.
    length: Option<usize>,
}

impl RequestBody {
    /// Creates the empty body of a request whose head states `length`.
    pub(super) const fn new(length: Option<usize>) -> Self {
        Self {
            segments: Vec::new(),
            len: 0,
            length,
        }
    }

    /// Returns the number of bytes received.
    pub(super) const fn len(&self) -> usize {
        self.len
    }

    /// Returns the memory of the body, in bytes.
    pub(super) fn capacity(&self) -> usize {
        self.segments.len() * SEGMENT_BYTES
    }

    pub(super) fn append(&mut self, mut chunk: &[u8]) {
        self.len += chunk.len();
        while !chunk.is_empty() {
            let last = self.segments.last_mut();
            let Some(segment) = last.filter(|segment| segment.len() < segment.capacity()) else {
                let capacity = self
                    .length
                    .map_or(SEGMENT_BYTES, |length| length.clamp(1, SEGMENT_BYTES));
                self.segments.push(BytesMut::with_capacity(capacity));
                continue;
            };
            let room = segment.capacity() - segment.len();
            let (part, rest) = chunk.split_at(room.min(chunk.len()));
            segment.extend_from_slice(part);
            chunk = rest;
        }
    }

    /// Returns the complete body.
    pub(super) fn finish(mut self) -> Bytes {
        if self.segments.len() <= 1 {
            return self.segments.pop().unwrap_or_default().freeze();
        }
        let mut body = Vec::with_capacity(self.len);
        // Each segment is returned before the next one is copied.
        for segment in self.segments {
            body.extend_from_slice(&segment);
        }
        body.into()
    }
}
