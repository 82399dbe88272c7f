//! Limits of the memory that answers of targets take before they are written to their callers: for each answer, and for
//! all of them.
//!
//! A faulty target may send bytes without end. What one answer may buffer is bounded by its own limit. Beyond a part
//! that each answer may always use, all answers share one budget, so that many of them don't exhaust the memory of a
//! small host.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use displaydoc::Display;
use thiserror::Error;

/// Number of bytes that each answer may buffer whatever the others do; most answers and events are smaller.
pub const FREE_BYTES: usize = 8 << 10;

/// Reason why an answer may not buffer more.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Full {
    /// the answer buffers {0} bytes, {1} are allowed
    Answer(usize, usize),
    /// the answers of all targets together buffer more than {0} bytes
    Process(usize),
}

/// Memory that the answers of all targets share.
#[derive(Debug)]
pub struct Budget {
    /// Maximum number of bytes beyond [`FREE_BYTES`] of each answer.
    max_bytes: usize,
    used_bytes: AtomicUsize,
}

/// The part of the budget that one answer uses; it is returned when the value is dropped.
#[derive(Debug)]
pub struct Charge {
    budget: Arc<Budget>,
    /// Maximum number of bytes that the answer may buffer.
    max_bytes: usize,
    charged_bytes: usize,
}

/// Bytes with the charge of the memory that they take.
struct Held<C> {
    bytes: Bytes,
    _charge: C,
}

impl<C> AsRef<[u8]> for Held<C> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes that hold the charge of their memory until the last reference to them is dropped.
pub fn hold<C: Send + 'static>(bytes: Bytes, charge: C) -> Bytes {
    Bytes::from_owner(Held { bytes, _charge: charge })
}

/// Returns an unused budget.
pub fn open(max_bytes: usize) -> Arc<Budget> {
    Arc::new(Budget { max_bytes, used_bytes: AtomicUsize::new(0) })
}

impl Budget {
    /// Returns the charge of an answer that buffers nothing yet and may buffer at most `max_bytes`.
    pub fn begin(self: &Arc<Budget>, max_bytes: usize) -> Charge {
        Charge { budget: Arc::clone(self), max_bytes, charged_bytes: 0 }
    }

    /// Returns the number of bytes that answers use beyond [`FREE_BYTES`] each.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }
}

impl Charge {
    /// Sets the number of bytes that the answer buffers now. Where it may not buffer as many, nothing changes.
    pub fn set(&mut self, bytes: usize) -> Result<(), Full> {
        if bytes > self.max_bytes {
            return Err(Full::Answer(bytes, self.max_bytes));
        }
        let charged = bytes.saturating_sub(FREE_BYTES);
        let Budget { max_bytes, used_bytes } = &*self.budget;
        let replaced = used_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            let used = used - self.charged_bytes + charged;
            (charged <= self.charged_bytes || used <= *max_bytes).then_some(used)
        });
        match replaced {
            Ok(_) => self.charged_bytes = charged,
            Err(_) => return Err(Full::Process(*max_bytes)),
        }
        Ok(())
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.charged_bytes, Ordering::Relaxed);
    }
}
