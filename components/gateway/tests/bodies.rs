//! Memory that bodies of callers' requests share.

use std::{sync::Arc, time::Duration};

use gateway::bodies::{self, Budget, FREE_BYTES};
use metrics::Gateway;

/// Size in bytes of a body that isn't small.
const LARGE_BYTES: usize = 1 << 20;
/// Size in bytes of a small body.
const SMALL_BYTES: usize = 100 << 10;
/// Wait of a request that gets no memory.
const WAIT: Duration = Duration::from_millis(1);

/// Returns a budget of which large bodies may take the given number, and its metrics.
fn budget(large_bodies: usize) -> (Budget, Arc<Gateway>) {
    let metrics = Arc::new(metrics::gateway::open());
    (bodies::open(large_bodies * LARGE_BYTES * 4 / 3, Arc::clone(&metrics)), metrics)
}

/// Guards against bodies that together exhaust the memory of a host.
#[tokio::test]
async fn all_bodies_together_take_no_more_than_the_budget() {
    let (budget, metrics) = budget(3);

    let reserved: Vec<_> = (0..4).map(|_| budget.try_reserve(LARGE_BYTES)).collect();
    let waited = budget.reserve(LARGE_BYTES, WAIT).await;

    assert_eq!(reserved.iter().flatten().count(), 3);
    assert!(waited.is_none());
    assert_eq!(metrics.request_body_bytes.get(), 3 * (LARGE_BYTES - FREE_BYTES) as i64);
}

/// Guards against memory that stays charged after its request, and against requests that wait for it in vain.
#[tokio::test]
async fn a_body_gets_the_memory_of_one_that_ends() {
    let (budget, metrics) = budget(1);
    let first = budget.try_reserve(LARGE_BYTES).expect("the budget is unused");
    let wait = budget.reserve(LARGE_BYTES, Duration::MAX);
    tokio::pin!(wait);
    assert!(futures::poll!(wait.as_mut()).is_pending());

    drop(first);
    let second = wait.await;

    assert!(second.is_some());
    drop(second);
    assert_eq!(metrics.request_body_bytes.get(), 0);
}

/// Guards against a burst of large bodies that gets usual requests refused.
#[tokio::test]
async fn small_bodies_are_read_while_large_ones_take_the_rest() {
    let (budget, _) = budget(2);
    let large: Vec<_> = (0..2).map(|_| budget.try_reserve(LARGE_BYTES)).collect();
    let waiting = budget.reserve(LARGE_BYTES, Duration::MAX);
    tokio::pin!(waiting);
    assert!(futures::poll!(waiting.as_mut()).is_pending());

    let small: Vec<_> = (0..5).map(|_| budget.try_reserve(SMALL_BYTES)).collect();
    let tiny = budget.reserve(FREE_BYTES, WAIT).await;

    assert!(large.iter().chain(&small).all(Option::is_some));
    assert!(tiny.is_some());
}

/// Guards against a body that blocks all others, since it is larger than the memory.
#[tokio::test]
async fn a_body_that_never_fits_does_not_wait() {
    let (budget, _) = budget(1);

    let reserved = budget.reserve(3 * LARGE_BYTES, Duration::MAX).await;

    assert!(reserved.is_none());
    assert!(budget.try_reserve(LARGE_BYTES).is_some());
}

/// Guards against a host without a memory limit that refuses bodies.
#[test]
fn an_unlimited_budget_has_memory_for_every_body() {
    let budget = bodies::open(usize::MAX, Arc::new(metrics::gateway::open()));

    let reserved: Vec<_> = (0..100).map(|_| budget.try_reserve(usize::MAX)).collect();

    assert!(reserved.iter().all(Option::is_some));
}
