//! Calls of an agent that only performs admission control.
//!
//! Most of these tests guard against slots that stay taken after their entry process cancelled a
//! call, closed its connection or died.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use agent::admission::{self, Handle, Look, Seen, Settings};
use model::{
    promise::{self, Redemption},
    refusal::Reason,
    reservation::{Ask, Fate, Id, Limit},
};
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};
use uuid::Uuid;
use wire::{
    AdmissionClient,
    admission::{Target, connect},
    pool::{Dispatch, context},
};

/// Timeout of everything that a test expects to happen.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than the time after which a grant that isn't held expires.
const AFTER_GRANT_TTL: Duration = Duration::from_millis(1_500);
/// Value of `Site::load` for a target that can't be reached.
const UNREACHABLE: usize = usize::MAX;

/// The target on the agent's host, with one slot.
const LOCAL: Target = Target {
    address: SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9),
    slots: 1,
    beside: true,
    start: 1,
};

/// A target on another host, with one slot and no agent of its own.
const REMOTE: Target = Target {
    address: SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 10),
    slots: 1,
    beside: false,
    start: 1,
};

/// An agent and the load of the target on its host.
struct Site {
    agent: Handle,
    /// Number of requests that a probe of any target finds, or `UNREACHABLE`.
    load: Arc<AtomicUsize>,
}

/// Connection of an entry process to the agent; dropping it closes the connection.
struct Entry {
    client: AdmissionClient,
    dispatch: JoinHandle<()>,
}

async fn site() -> Site {
    let load: Arc<AtomicUsize> = Arc::default();
    let probed = Arc::clone(&load);
    let look: Look = Arc::new(move |_| {
        let found = match probed.load(Ordering::Relaxed) {
            UNREACHABLE => Seen::Unreachable,
            load => Seen::Requests(load),
        };
        Box::pin(async move { found })
    });
    let settings = Settings { name: "agent".into(), listen: ([127, 0, 0, 1], 0).into() };
    Site { agent: admission::spawn(settings, look).await.expect("the agent listens"), load }
}

async fn entry(site: &Site) -> Entry {
    let (client, dispatch): (_, Dispatch) =
        connect(site.agent.address).await.expect("the agent accepts connections");
    Entry { client, dispatch: tokio::spawn(dispatch) }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.dispatch.abort();
    }
}

fn id(request: u128) -> Id {
    Id { request: Uuid::from_u128(request), attempt: 1 }
}

fn ask(request: u128) -> Ask {
    Ask {
        id: id(request),
        rank: 0,
        remaining: TEST_TIMEOUT,
        prefill: 1,
        decode: 1,
        prefix: Vec::new(),
        order: Default::default(),
        offset: 0,
        body: Default::default(),
    }
}

impl Entry {
    /// Reserves the slot of the local target; returns the reason if it is denied.
    async fn reserve(&self, request: u128) -> Result<(), Reason> {
        self.reserve_at(LOCAL, request).await
    }

    async fn reserve_at(&self, target: Target, request: u128) -> Result<(), Reason> {
        let call = self.client.reserve(context(TEST_TIMEOUT), ask(request), target, None);
        let granted = timeout(TEST_TIMEOUT, call).await.expect("the agent answers in time");
        granted.expect("the call succeeds").map(drop).map_err(|denial| denial.reason)
    }

    /// Holds the slot of a granted reservation until the task is aborted.
    fn hold(&self, request: u128) -> JoinHandle<Fate> {
        let client = self.client.clone();
        tokio::spawn(async move {
            let held = client.hold(context(TEST_TIMEOUT), id(request), LOCAL.address).await;
            held.expect("the call succeeds")
        })
    }

    /// Starts a reservation; the task returns whether it was granted.
    fn start_reserve(&self, request: u128) -> JoinHandle<bool> {
        let client = self.client.clone();
        tokio::spawn(async move {
            let answer = client.reserve(context(TEST_TIMEOUT), ask(request), LOCAL, None).await;
            matches!(answer, Ok(Ok(_)))
        })
    }
}

async fn is_granted(waiting: JoinHandle<bool>) -> bool {
    timeout(TEST_TIMEOUT, waiting).await.expect("it ends in time").expect("the task ends")
}

#[tokio::test]
async fn a_slot_is_granted_again_only_after_it_is_released() {
    let site = site().await;
    let entry = entry(&site).await;
    entry.reserve(1).await.expect("a slot is free");
    let held = entry.hold(1);
    let waiting = entry.start_reserve(2);
    sleep(AFTER_GRANT_TTL).await;
    let granted_early = waiting.is_finished();

    held.abort();

    assert!(!granted_early, "the slot is held");
    assert!(is_granted(waiting).await);
}

// A connection that ends without a cancel must release the slots held over it.
#[tokio::test]
async fn the_slot_of_an_entry_process_is_free_again_after_its_connection_closes() {
    let site = site().await;
    let (dying, survivor) = (entry(&site).await, entry(&site).await);
    dying.reserve(1).await.expect("a slot is free");
    let _held = dying.hold(1);
    let waiting = survivor.start_reserve(2);
    sleep(AFTER_GRANT_TTL).await;
    let granted_early = waiting.is_finished();

    drop(dying);

    assert!(!granted_early, "the slot is held");
    assert!(is_granted(waiting).await);
}

// A cancelled reservation must not get the slot that the next one waits for.
#[tokio::test]
async fn a_cancelled_reservation_is_not_granted() {
    let site = site().await;
    let entry = entry(&site).await;
    entry.reserve(1).await.expect("a slot is free");
    let held = entry.hold(1);
    let cancelled = entry.start_reserve(2);
    tokio::task::yield_now().await;
    cancelled.abort();
    let _ = cancelled.await;
    let waiting = entry.start_reserve(3);

    held.abort();

    assert!(is_granted(waiting).await);
}

#[tokio::test]
async fn a_slot_that_was_never_granted_cannot_be_held() {
    let site = site().await;
    let entry = entry(&site).await;

    let fate = timeout(TEST_TIMEOUT, entry.hold(7)).await.expect("it ends in time");

    assert_eq!(fate.expect("the task ends"), Fate::Unknown);
}

// Reservations for an unreachable target must be denied at once, so that their entry processes try
// another one.
#[tokio::test]
async fn reservations_for_an_unreachable_target_are_denied() {
    let site = site().await;
    let entry = entry(&site).await;
    entry.reserve(1).await.expect("a slot is free");
    let _held = entry.hold(1);

    site.load.store(UNREACHABLE, Ordering::Relaxed);
    let reason = entry.reserve(2).await;

    assert_eq!(reason, Err(Reason::NoTarget));
}

#[tokio::test]
async fn an_agent_that_stops_denies_reservations() {
    let site = site().await;
    let entry = entry(&site).await;
    entry.reserve(1).await.expect("a slot is free");
    let _held = entry.hold(1);
    let stop = tokio::spawn(site.agent.drain());

    let reason = entry.reserve(2).await;

    assert_eq!(reason, Err(Reason::Draining));
    stop.await.expect("the agent stops");
}

#[tokio::test]
async fn each_target_has_its_own_slots() {
    let site = site().await;
    let entry = entry(&site).await;
    entry.reserve(1).await.expect("a slot is free");
    let _held = entry.hold(1);

    let other = entry.reserve_at(REMOTE, 2).await;

    assert_eq!(other, Ok(()));
}

// The agent can't probe targets on other hosts, so a failed probe must not deny their reservations.
#[tokio::test]
async fn only_the_target_on_the_agents_host_is_probed() {
    let site = site().await;
    site.load.store(UNREACHABLE, Ordering::Relaxed);
    let entry = entry(&site).await;
    entry.reserve_at(REMOTE, 1).await.expect("a slot is free");
    sleep(AFTER_GRANT_TTL).await;

    let other = entry.reserve_at(REMOTE, 2).await;

    assert_eq!(other, Ok(()));
}

/// Guards against a target that is throttled by the rate limit of an earlier target at its address, or of its own
/// earlier start, which nobody reports as lifted.
#[tokio::test]
async fn a_rate_limit_ends_with_the_start_of_the_target_that_stated_it() {
    let site = site().await;
    let entry = entry(&site).await;
    let reserve = async |request, start, interval: Option<Duration>| {
        let limit =
            interval.map(|interval| Limit { interval: Some(interval), age: Duration::ZERO });
        let target = Target { start, slots: 9, ..LOCAL };
        let call = entry.client.reserve(context(TEST_TIMEOUT), ask(request), target, limit);
        timeout(AFTER_GRANT_TTL, call).await.is_ok_and(|answer| matches!(answer, Ok(Ok(_))))
    };
    let one_an_hour = Some(Duration::from_secs(3_600));
    assert!(!reserve(1, 1, one_an_hour).await, "the limit is in force");

    let restarted = reserve(2, 2, None).await;
    // An entry process with an older list still reports the limit of the earlier start.
    reserve(3, 1, one_an_hour).await;
    let after_old_report = reserve(4, 2, None).await;

    assert!(restarted && after_old_report, "{restarted} {after_old_report}");
}

/// Guards against a promise that only the entry process which asked for it finds.
#[tokio::test]
async fn a_promise_is_redeemed_once_through_any_entry_process() {
    let site = site().await;
    let (refusing, other) = (entry(&site).await, entry(&site).await);
    let ask = promise::Ask {
        key: [1; 16],
        pool: "pool".into(),
        rank: 0,
        earliest: Duration::ZERO,
        latest: Duration::from_secs(1),
        interval: Duration::from_secs(1),
        grace: Duration::from_secs(10),
    };

    let promised = refusing.client.promise(context(TEST_TIMEOUT), ask).await;
    let redeemed = other.client.redeem(context(TEST_TIMEOUT), [1; 16]).await;
    let again = refusing.client.redeem(context(TEST_TIMEOUT), [1; 16]).await;

    assert!(promised.expect("the call succeeds").is_some_and(|promise| promise.is_new));
    assert_eq!(redeemed.expect("the call succeeds"), Redemption::Due);
    assert_eq!(again.expect("the call succeeds"), Redemption::Unknown);
}
