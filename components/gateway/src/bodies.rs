//! Memory that the bodies of callers' requests take, from their arrival until they can't be sent to a target again.
//!
//! The memory for a body is reserved before the body is read. Until then flow control of the caller's connection
//! holds the bytes back, so that a burst of large requests waits with its callers and not in this process. A request
//! that gets no memory within its wait is refused.
//!
//! A part of the memory is for small bodies alone: they are served while large ones take the rest.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use metrics::Gateway;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

use crate::buffer;

/// Number of bytes that each body may take whatever the others do. They count as a part of their connection.
pub const FREE_BYTES: usize = 16 << 10;
/// Largest size in bytes of a small body.
const MAX_SMALL_BYTES: usize = 256 << 10;
/// Part of the memory that is for small bodies alone.
const SMALL_SHARE: f64 = 0.25;
/// Number of bytes of a permit. A semaphore has too few permits for one a byte.
const PERMIT_BYTES: usize = 1 << 10;

/// Memory that the bodies of all requests share.
#[derive(Debug)]
pub struct Budget {
    /// Memory for small bodies alone.
    small: Arc<Semaphore>,
    /// Memory for bodies of all sizes.
    common: Arc<Semaphore>,
    /// Number of permits that `common` has in all.
    common_permits: usize,
    metrics: Arc<Gateway>,
}

/// The memory that was reserved for a body, or for a part of it; it is returned when the value is dropped.
#[derive(Debug)]
pub struct Charge {
    /// Number of bytes beyond [`FREE_BYTES`].
    bytes: i64,
    metrics: Arc<Gateway>,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Reason why a body wasn't read to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// The body is larger than allowed.
    TooLarge,
    /// The connection was lost, or the body violates the protocol.
    BrokenOff,
    /// There is no memory for the rest of the body.
    NoMemory,
}

/// Returns an unused budget of `max_bytes`, beyond [`FREE_BYTES`] of each body.
pub fn open(max_bytes: usize, metrics: Arc<Gateway>) -> Budget {
    let permits = (max_bytes / PERMIT_BYTES).min(Semaphore::MAX_PERMITS);
    let small = (permits as f64 * SMALL_SHARE) as usize;
    let common = permits - small;
    Budget {
        small: Arc::new(Semaphore::new(small)),
        common: Arc::new(Semaphore::new(common)),
        common_permits: common,
        metrics,
    }
}

impl Budget {
    /// Reserves memory for a body of this size; returns `None` where there is too little now.
    pub fn try_reserve(&self, bytes: usize) -> Option<Charge> {
        let Some(permits) = permits(bytes) else {
            return Some(self.charge(bytes, None));
        };
        let from = |memory: &Arc<Semaphore>| Arc::clone(memory).try_acquire_many_owned(permits);
        let small = (bytes <= MAX_SMALL_BYTES).then(|| from(&self.small).ok()).flatten();
        let permit = small.or_else(|| from(&self.common).ok())?;
        Some(self.charge(bytes, Some(permit)))
    }

    /// Reserves memory for a body of this size, in the order of the calls; returns `None` where there is too little
    /// after the wait.
    pub async fn reserve(&self, bytes: usize, wait: Duration) -> Option<Charge> {
        let Some(permits) = permits(bytes) else {
            return Some(self.charge(bytes, None));
        };
        let is_small = bytes <= MAX_SMALL_BYTES;
        if permits as usize > self.common_permits && !is_small {
            return None;
        }
        let from = |memory: &Arc<Semaphore>| Arc::clone(memory).acquire_many_owned(permits);
        let reserved = async {
            tokio::select! {
                biased;
                permit = from(&self.small), if is_small => permit,
                permit = from(&self.common) => permit,
            }
        };
        let permit = timeout(wait, reserved).await.ok()?.ok()?;
        Some(self.charge(bytes, Some(permit)))
    }

    fn charge(&self, bytes: usize, permit: Option<OwnedSemaphorePermit>) -> Charge {
        let bytes = i64::try_from(bytes.saturating_sub(FREE_BYTES)).unwrap_or(i64::MAX);
        self.metrics.request_body_bytes.inc_by(bytes);
        Charge { bytes, metrics: Arc::clone(&self.metrics), _permit: permit }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.metrics.request_body_bytes.dec_by(self.bytes);
    }
}

/// Returns the number of permits that a body of this size needs; `None` where it needs none.
fn permits(bytes: usize) -> Option<u32> {
    let charged = bytes.saturating_sub(FREE_BYTES);
    (charged > 0).then(|| u32::try_from(charged.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX))
}

/// Returns the size in bytes that the caller states for a body; `None` where it states none.
pub fn stated_size(body: &Incoming) -> Option<usize> {
    let size = body.size_hint().exact()?;
    Some(usize::try_from(size).unwrap_or(usize::MAX))
}

/// Reads a body of at most `max_bytes`. The result holds its memory until the last reference to it is dropped.
/// `reserved` is the memory for the size that the caller states. Further memory is reserved as the body arrives, without
/// a wait: requests that wait while they hold a part of the memory would block each other.
pub async fn read(
    budget: &Budget,
    body: &mut Incoming,
    max_bytes: usize,
    reserved: Charge,
) -> Result<Bytes, Error> {
    let size = stated_size(body).unwrap_or_default();
    let mut received = BytesMut::with_capacity(size.min(max_bytes));
    let mut charge = reserved;
    let mut body = Limited::new(body, max_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let is_too_large = error.is::<LengthLimitError>();
            if is_too_large { Error::TooLarge } else { Error::BrokenOff }
        })?;
        let data = frame.data_ref().map_or(&[][..], |data| data);
        let needed = received.len() + data.len();
        if needed > received.capacity() {
            let capacity = needed.next_power_of_two().max(FREE_BYTES);
            // The buffer may be copied when it grows; until then both copies count.
            let larger = budget.try_reserve(capacity).ok_or(Error::NoMemory)?;
            received.reserve(capacity - received.len());
            charge = larger;
        }
        received.extend_from_slice(data);
    }
    Ok(buffer::hold(received.freeze(), charge))
}
