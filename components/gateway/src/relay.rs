//! Transfer of data from one entry process to another, packed and in parts.
//!
//! Each part is requested by a call with its own timeout. So a fetch of any size succeeds on a slow link as
//! long as the parts arrive in time, and an exchange of rows waits for at most one part in transit.

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

/// Maximum size of a part in bytes, which takes 13 ms on a link of 10 Mbit/s. A fetch fails on a link that
/// has less bandwidth for it than one part in [`PART_TIMEOUT`], a hundredth of those 10 Mbit/s. Larger parts
/// would take fewer round trips, which take 20 ms each between regions, but need more bandwidth.
const MAX_PART_BYTES: usize = 16 << 10;
/// Timeout of the call for a part. It is long enough for a link that is filled by another transfer: 1 MB
/// takes 0.8 s at 10 Mbit/s.
const PART_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of unpacked data in bytes: five times a configuration of 43,000 client accounts.
const MAX_UNPACKED_BYTES: u64 = 64 << 20;

/// A part of packed data.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Part {
    /// Size in bytes of all packed data.
    pub whole: u64,
    /// Bytes of the part; empty only at the end of the packed data.
    pub bytes: Bytes,
}

/// Result of a successful fetch.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// Data that the other process sent.
    pub news: TopicData,
    /// Size in bytes of the packed data.
    pub bytes: usize,
    /// Time from the start of the fetch to its end.
    pub duration: Duration,
}

/// Reason why a fetch failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// no connection
    NoConnection,
    /// no answer after {0} bytes: {1}
    NoAnswer(usize, RpcError),
    /// the other process sent no data after {0} bytes
    NoData(usize),
    /// the data can't be unpacked: {0}
    Malformed(String),
}

/// Packs data, with a checksum. Compression makes use of what routes and keys have in common: 2,800 routes
/// are packed into 38 KB.
pub fn pack(news: &TopicData) -> Result<Bytes, io::Error> {
    let plain = postcard::to_stdvec(news).map_err(io::Error::other)?;
    let mut packed = ZlibEncoder::new(Vec::new(), Compression::fast());
    packed.write_all(&plain)?;
    packed.finish().map(Bytes::from)
}

/// Returns the part of packed data that begins at byte `from`; `None` where `from` is greater
/// than the size of the data.
pub fn part(packed: &Bytes, from: u64) -> Option<Part> {
    let from = usize::try_from(from).ok().filter(|&from| from <= packed.len())?;
    let end = packed.len().min(from + MAX_PART_BYTES);
    Some(Part { whole: packed.len() as u64, bytes: packed.slice(from..end) })
}

/// Fetches the data of a topic from the process at an address, by a new connection where `client` is `None`.
pub async fn fetch(
    client: Option<PeerClient>,
    address: SocketAddr,
    topic: Topic,
) -> Result<Fetched, Error> {
    let start = Instant::now();
    let client = match client {
        Some(client) => client,
        None => peer::connect(address).await.ok_or(Error::NoConnection)?,
    };
    let mut packed = Vec::new();
    loop {
        let mut context = context::current();
        context.deadline = Instant::now() + PART_TIMEOUT;
        let part = client.part(context, topic, packed.len() as u64).await;
        let part = part.map_err(|error| Error::NoAnswer(packed.len(), error))?;
        let Part { whole, bytes } = part.ok_or(Error::NoData(packed.len()))?;
        packed.extend_from_slice(&bytes);
        if packed.len() as u64 >= whole {
            let news = unpack(&packed)?;
            return Ok(Fetched { news, bytes: packed.len(), duration: start.elapsed() });
        }
        if bytes.is_empty() {
            return Err(Error::NoData(packed.len()));
        }
    }
}

fn unpack(packed: &[u8]) -> Result<TopicData, Error> {
    let mut plain = Vec::new();
    let mut decoder = ZlibDecoder::new(packed).take(MAX_UNPACKED_BYTES);
    decoder.read_to_end(&mut plain).map_err(|error| Error::Malformed(error.to_string()))?;
    postcard::from_bytes(&plain).map_err(|error| Error::Malformed(error.to_string()))
}
