//! The buckets of all histograms of times.

use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

const FIRST_SECONDS: f64 = 0.001;
const FACTOR: f64 = 2.0;
/// From a millisecond to two minutes.
const COUNT: u16 = 18;

/// An empty histogram of times in seconds.
pub fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_SECONDS, FACTOR, COUNT))
}
