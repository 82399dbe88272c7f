//! Frames in which an agent sends an answer to an entry process: postcard, with a length prefix.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use model::{id::RequestId, refusal::Ran};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest encoded frame, in bytes, without its length prefix.
pub const LIMIT: usize = 4 << 20;

/// BLAKE3 hash over an answer's chunks in order.
pub type Digest = [u8; 32];

/// One frame of the answer to one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Frame {
    /// The request that the frame's answer belongs to.
    pub request: RequestId,
    /// Position of the frame in the answer, from 0 without gaps.
    pub sequence: u64,
    /// Content of the frame.
    pub part: Part,
}

/// Content of a frame.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Part {
    /// Start of the target's answer, in the first frame.
    Head {
        /// HTTP status code.
        status: u16,
        /// Value of the `content-type` header.
        content_type: String,
    },
    /// Next bytes of the body.
    Chunk(Bytes),
    /// End of a complete answer, in its last frame.
    End {
        /// Number of chunks in the answer.
        chunks: u64,
        /// Hash over all chunks of the answer.
        digest: Digest,
    },
    /// End of an answer that is incomplete or never began, in its last frame.
    Failed {
        /// Whether the request ran on the target.
        ran: Ran,
        /// Cause of the failure, one sentence for a person.
        message: String,
    },
}

/// Error of bytes that can't be decoded as a frame, or of a frame that can't be encoded.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// the frame's length is wrong: {0}
    Length(#[from] std::io::Error),
    /// the frame's content is wrong: {0}
    Content(#[from] postcard::Error),
}

/// Decodes frames from a byte stream.
#[derive(Debug)]
pub struct Reader {
    buffer: BytesMut,
    codec: LengthDelimitedCodec,
}

/// Returns a reader with an empty buffer.
pub fn reader() -> Reader {
    Reader { buffer: BytesMut::new(), codec: codec() }
}

impl Reader {
    /// Adds bytes to the buffer; they may begin and end within a frame.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next frame from the buffer and returns it; `None` until all its bytes are there.
    pub fn pull(&mut self) -> Result<Option<Frame>, Error> {
        let Some(content) = self.codec.decode(&mut self.buffer)? else {
            return Ok(None);
        };
        Ok(Some(postcard::from_bytes(&content)?))
    }
}

/// Encodes a frame with its length prefix.
pub fn encode(frame: &Frame) -> Result<Bytes, Error> {
    let content = postcard::to_stdvec(frame)?;
    let mut bytes = BytesMut::with_capacity(content.len() + size_of::<u32>());
    codec().encode(Bytes::from(content), &mut bytes)?;
    Ok(bytes.freeze())
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(LIMIT).new_codec()
}
