//! How what one process lacks comes over from another: packed, and in pieces.
//!
//! A piece is answered in its own time, so a fetch goes on for as long as the other answers, however
//! large the whole and however slow the link; and rows wait behind one piece only.

use std::{
    io::{self, Read, Write},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use displaydoc::Display;
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use scheduler::direct::relay::{Topic, TopicData};
use serde::{Deserialize, Serialize};
use tarpc::{client::RpcError, context};
use thiserror::Error;

use crate::peer::{self, PeerClient};

/// Bytes of a piece: 13 ms of a link of 10 Mbit/s. A link that leaves a fetch less than a piece in
/// [`SILENCE`], a hundredth of those 10 Mbit/s, gives it nothing; larger pieces would take fewer round
/// trips, 20 ms each between regions.
const PIECE: usize = 16 << 10;
/// Longest wait for a piece. A link that something else fills for so long is waited for: 0.8 s of
/// 10 Mbit/s are 1 MB.
const SILENCE: Duration = Duration::from_secs(1);
/// Most bytes that pieces may unpack to: five times a configuration of 43,000 client accounts.
const UNPACKED_MAX: u64 = 64 << 20;

/// A part of what a process gives.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Piece {
    /// Bytes of the whole.
    pub whole: u64,
    /// The bytes of this part; some, unless the whole is over.
    pub bytes: Bytes,
}

/// What came of a fetch.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// What the other gave.
    pub news: TopicData,
    /// Bytes that came.
    pub bytes: usize,
    /// Time since it was asked for.
    pub took: Duration,
}

/// Why a fetch gave nothing.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// no connection
    Unreached,
    /// no answer after {0} bytes: {1}
    Silent(usize, RpcError),
    /// it has nothing to give after {0} bytes
    Nothing(usize),
    /// what came can't be read: {0}
    Unreadable(String),
}

/// Packs what is given, with a checksum: what routes and keys have in common makes 2,800 routes 38 KB.
pub fn pack(news: &TopicData) -> Result<Bytes, io::Error> {
    let plain = postcard::to_stdvec(news).map_err(io::Error::other)?;
    let mut packed = ZlibEncoder::new(Vec::new(), Compression::fast());
    packed.write_all(&plain)?;
    packed.finish().map(Bytes::from)
}

/// The part of what is given that follows the first so many bytes.
pub fn piece(packed: &Bytes, from: u64) -> Option<Piece> {
    let from = usize::try_from(from).ok().filter(|&from| from <= packed.len())?;
    let end = packed.len().min(from + PIECE);
    Some(Piece { whole: packed.len() as u64, bytes: packed.slice(from..end) })
}

/// Fetches a topic from a process, by a new connection where none is given.
pub async fn fetch(
    client: Option<PeerClient>,
    address: SocketAddr,
    topic: Topic,
) -> Result<Fetched, Error> {
    let begun = Instant::now();
    let client = match client {
        Some(client) => client,
        None => peer::connect(address).await.ok_or(Error::Unreached)?,
    };
    let mut packed = Vec::new();
    loop {
        let mut context = context::current();
        context.deadline = Instant::now() + SILENCE;
        let piece = client.piece(context, topic, packed.len() as u64).await;
        let piece = piece.map_err(|error| Error::Silent(packed.len(), error))?;
        let Piece { whole, bytes } = piece.ok_or(Error::Nothing(packed.len()))?;
        packed.extend_from_slice(&bytes);
        if packed.len() as u64 >= whole {
            let news = unpack(&packed)?;
            return Ok(Fetched { news, bytes: packed.len(), took: begun.elapsed() });
        }
        if bytes.is_empty() {
            return Err(Error::Nothing(packed.len()));
        }
    }
}

fn unpack(packed: &[u8]) -> Result<TopicData, Error> {
    let mut plain = Vec::new();
    let mut decoder = ZlibDecoder::new(packed).take(UNPACKED_MAX);
    decoder.read_to_end(&mut plain).map_err(|error| Error::Unreadable(error.to_string()))?;
    postcard::from_bytes(&plain).map_err(|error| Error::Unreadable(error.to_string()))
}
