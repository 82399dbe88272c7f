//! Buckets that all histograms of times share.

use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

/// Upper bound of the first bucket, in seconds.
const FIRST_BOUND_SECONDS: f64 = 0.001;
/// Ratio of the upper bound of a bucket to that of the previous one.
const BOUND_FACTOR: f64 = 2.0;
/// Number of buckets with a finite bound; the bounds range from a millisecond to two minutes.
const BUCKET_COUNT: u16 = 18;

/// Creates an empty histogram of times in seconds.
pub fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BOUND_SECONDS, BOUND_FACTOR, BUCKET_COUNT))
}
