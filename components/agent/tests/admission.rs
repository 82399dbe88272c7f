//! An agent that admits requests without carrying them, by its calls.
//!
//! Pattern: entry processes that die or go while they hold room.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use agent::admission::{self, Handle, Look, Settings};
use model::{
    refusal::Reason,
    reservation::{Ask, Fate, Id},
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

/// Longest wait for something that must come.
const PATIENCE: Duration = Duration::from_secs(20);
/// Longer than the life of a grant that nobody holds.
const LAPSE: Duration = Duration::from_millis(1_500);
/// What a stand-in target says where it isn't reached.
const DOWN: usize = usize::MAX;

const TARGET: Target = Target {
    address: SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9),
    slots: 1,
    beside: true,
};

/// A target that has no agent beside it.
const OTHER: Target = Target {
    address: SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 10),
    slots: 1,
    beside: false,
};

struct Site {
    agent: Handle,
    /// Requests that the target says it has, or `DOWN`.
    has: Arc<AtomicUsize>,
}

/// An entry process's connection; dropping it closes that.
struct Entry {
    client: AdmissionClient,
    dispatch: JoinHandle<()>,
}

async fn site() -> Site {
    let has: Arc<AtomicUsize> = Arc::default();
    let seen = Arc::clone(&has);
    let look: Look = Arc::new(move |_| {
        let seen = Some(seen.load(Ordering::Relaxed)).filter(|&has| has != DOWN);
        Box::pin(async move { seen })
    });
    let settings = Settings { name: "agent".into(), listen: ([127, 0, 0, 1], 0).into() };
    Site { agent: admission::spawn(settings, look).await.expect("it listens"), has }
}

async fn entry(site: &Site) -> Entry {
    let (client, dispatch): (_, Dispatch) =
        connect(site.agent.address).await.expect("it takes connections");
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
        remaining: PATIENCE,
        prefill: 1,
        decode: 1,
        prefix: Vec::new(),
        offset: 0,
        body: Default::default(),
    }
}

impl Entry {
    /// Waits for room; gives why there is none.
    async fn reserve(&self, request: u128) -> Result<(), Reason> {
        self.reserve_at(TARGET, request).await
    }

    async fn reserve_at(&self, target: Target, request: u128) -> Result<(), Reason> {
        let call = self.client.reserve(context(PATIENCE), ask(request), target, None);
        let granted = timeout(PATIENCE, call).await.expect("it answers in time");
        granted.expect("it answers").map(drop).map_err(|denial| denial.reason)
    }

    /// Holds room until the task is aborted.
    fn hold(&self, request: u128) -> JoinHandle<Fate> {
        let client = self.client.clone();
        tokio::spawn(async move {
            client.hold(context(PATIENCE), id(request), TARGET.address).await.expect("it answers")
        })
    }

    /// Begins to wait for room.
    fn wait(&self, request: u128) -> JoinHandle<bool> {
        let client = self.client.clone();
        tokio::spawn(async move {
            matches!(client.reserve(context(PATIENCE), ask(request), TARGET, None).await, Ok(Ok(_)))
        })
    }
}

async fn is_granted(waits: JoinHandle<bool>) -> bool {
    timeout(PATIENCE, waits).await.expect("it ends in time").expect("it ends")
}

#[tokio::test]
async fn room_is_granted_again_once_it_is_held_no_more() {
    let site = site().await;
    let entry = entry(&site).await;
    entry.reserve(1).await.expect("there is room");
    let held = entry.hold(1);
    let waits = entry.wait(2);
    sleep(LAPSE).await;
    let early = waits.is_finished();

    held.abort();

    assert!(!early, "the room is held");
    assert!(is_granted(waits).await);
}

#[tokio::test]
async fn the_room_of_an_entry_process_that_dies_is_free_again() {
    let site = site().await;
    let (dies, lives) = (entry(&site).await, entry(&site).await);
    dies.reserve(1).await.expect("there is room");
    let _held = dies.hold(1);
    let waits = lives.wait(2);
    sleep(LAPSE).await;
    let early = waits.is_finished();

    drop(dies);

    assert!(!early, "the room is held");
    assert!(is_granted(waits).await);
}

#[tokio::test]
async fn who_waited_and_went_is_granted_nothing() {
    let site = site().await;
    let entry = entry(&site).await;
    entry.reserve(1).await.expect("there is room");
    let held = entry.hold(1);
    let gone = entry.wait(2);
    tokio::task::yield_now().await;
    gone.abort();
    let _ = gone.await;
    let waits = entry.wait(3);

    held.abort();

    assert!(is_granted(waits).await);
}

#[tokio::test]
async fn room_that_was_never_granted_is_not_kept() {
    let site = site().await;
    let entry = entry(&site).await;

    let fate = timeout(PATIENCE, entry.hold(7)).await.expect("it is answered");

    assert_eq!(fate.expect("it ends"), Fate::Unknown);
}

#[tokio::test]
async fn a_target_that_takes_no_connection_is_told_to_who_waits() {
    let site = site().await;
    let entry = entry(&site).await;
    entry.reserve(1).await.expect("there is room");
    let _held = entry.hold(1);

    site.has.store(DOWN, Ordering::Relaxed);
    let reason = entry.reserve(2).await;

    assert_eq!(reason, Err(Reason::NoTarget));
}

#[tokio::test]
async fn an_agent_that_stops_denies_who_waits() {
    let site = site().await;
    let entry = entry(&site).await;
    entry.reserve(1).await.expect("there is room");
    let _held = entry.hold(1);
    let stop = tokio::spawn(site.agent.drain());

    let reason = entry.reserve(2).await;

    assert_eq!(reason, Err(Reason::Draining));
    stop.await.expect("it stops");
}

#[tokio::test]
async fn targets_share_no_room() {
    let site = site().await;
    let entry = entry(&site).await;
    entry.reserve(1).await.expect("there is room");
    let _held = entry.hold(1);

    let other = entry.reserve_at(OTHER, 2).await;

    assert_eq!(other, Ok(()));
}

#[tokio::test]
async fn only_the_target_beside_is_asked_what_it_has() {
    let site = site().await;
    site.has.store(DOWN, Ordering::Relaxed);
    let entry = entry(&site).await;
    entry.reserve_at(OTHER, 1).await.expect("there is room");
    sleep(LAPSE).await;

    let other = entry.reserve_at(OTHER, 2).await;

    assert_eq!(other, Ok(()));
}
