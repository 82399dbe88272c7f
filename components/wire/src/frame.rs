//! Frames of an answer, from an agent to an entry process.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use model::{id::RequestId, refusal::Ran};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest frame, in bytes.
pub const LIMIT: usize = 4 << 20;

/// BLAKE3 hash over an answer's chunks in their order.
pub type Digest = [u8; 32];

/// One frame of the answer to one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Frame {
    /// The request that it answers.
    pub request: RequestId,
    /// Position in the answer, from 0, without gaps.
    pub sequence: u64,
    /// What it carries.
    pub part: Part,
}

/// What a frame carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Part {
    /// Always first: the target's status line and content type.
    Head {
        /// HTTP status.
        status: u16,
        /// Value of `content-type`.
        content_type: String,
    },
    /// Bytes of the body.
    Chunk(Bytes),
    /// Always last in a whole answer.
    End {
        /// Number of chunks.
        chunks: u64,
        /// Hash over all chunks.
        digest: Digest,
    },
    /// Last in an answer that the agent knows to be torn, or that never began.
    Failed {
        /// Whether the request ran.
        ran: Ran,
        /// One sentence for a person.
        message: String,
    },
}

/// Why bytes aren't a frame.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// the frame's length is wrong: {0}
    Length(#[from] std::io::Error),
    /// the frame's content is wrong: {0}
    Content(#[from] postcard::Error),
}

/// Takes frames out of a byte stream.
#[derive(Debug)]
pub struct Reader {
    buffer: BytesMut,
    codec: LengthDelimitedCodec,
}

/// Gives a reader with nothing in it.
pub fn reader() -> Reader {
    Reader { buffer: BytesMut::new(), codec: codec() }
}

impl Reader {
    /// Adds bytes as they arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next frame, where all of it has arrived.
    pub fn pull(&mut self) -> Result<Option<Frame>, Error> {
        let Some(content) = self.codec.decode(&mut self.buffer)? else {
            return Ok(None);
        };
        Ok(Some(postcard::from_bytes(&content)?))
    }
}

/// Writes a frame with its length before it.
pub fn encode(frame: &Frame) -> Result<Bytes, Error> {
    let content = postcard::to_stdvec(frame)?;
    let mut bytes = BytesMut::with_capacity(content.len() + size_of::<u32>());
    codec().encode(Bytes::from(content), &mut bytes)?;
    Ok(bytes.freeze())
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(LIMIT).new_codec()
}
