//! Streams of callers of which most open their connections to a few entry processes, while nearly all slots are in use.
//!
//! Counted are the requests that are answered at the first attempt that a process read, against those of the
//! seconds before.
//!
//! `WAGTAILHILL_CROWDED_CASES` names the cases of [`BY_HAND`] that are run by hand, separated by commas.

#[path = "../platform/tests/support/mod.rs"]
mod platform_support;
mod support;

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use platform_support::{
    Store,
    batch::{self, Batch},
    callers::{self, Attempt, Ended, Kept, Request, Route, share_at_first_read},
    store,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use standin::relay::{self, Relay};
use support::{
    Process,
    quota::{self, Limit},
};
use test_case::test_case;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

/// Part of the new connections that these get.
const CROWDED_SHARE: f64 = 0.9;
/// Time for which the connections are spread over all processes.
const CALM_TIME: Duration = Duration::from_secs(3);
/// Time for which most connections go to few processes before requests are counted.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time in which requests are counted after that.
const COUNTED_TIME: Duration = Duration::from_secs(10);
/// Time within which the first event of a stream is on time.
const TARGET_LATENCY_MS: u32 = 1_000;
/// Time for which a caller waits for the end of its stream in one attempt.
const PATIENCE: Duration = Duration::from_secs(3);
/// Least share of requests answered at the first attempt that was read, as a part of that share in the calm seconds.
const MIN_RATIO: f64 = 0.75;
/// Bytes a second of a link of 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;

/// Time from the start of the load to the end of that.
const CROWDED_END: Duration =
    Duration::from_secs(CALM_TIME.as_secs() + SETTLING_TIME.as_secs() + COUNTED_TIME.as_secs());
/// Time for which the connections are spread over all processes again after that.
const AFTER_TIME: Duration = Duration::from_secs(3);

/// What happens in the middle of the time in which requests are counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Meanwhile {
    Nothing,
    /// A crowded process is killed; callers are still sent to it.
    Kill,
    /// The store doesn't respond for the rest of the run.
    StoreOutage,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    /// Requests a second of all callers.
    rate: u32,
    entries: usize,
    /// Limit of each process.
    limit: Option<Limit>,
    /// Limit of the crowded processes from the moment at which they are crowded.
    crowded_limit: Option<Limit>,
    runners: usize,
    /// Slots of each runner.
    slots: usize,
    /// Time for which a stream runs at its runner.
    run_time: Duration,
    /// Number of processes that get most connections.
    crowded: usize,
    /// Part of the requests that are sent on a kept connection, if there is one.
    kept_share: f64,
    /// Whether second attempts are made as first ones are; else they are spread over all processes.
    are_retries_crowded: bool,
    /// Whether each process has a link of [`LINK_BYTES_PER_S`] to its callers.
    has_narrow_links: bool,
    /// Mean size in bytes of a body.
    body_bytes: usize,
    meanwhile: Meanwhile,
}

const NEARLY_ALL_SLOTS: Case = Case {
    name: "nearly_all_slots",
    rate: 475,
    entries: 8,
    limit: None,
    crowded_limit: Some(Limit::RunningTime(Duration::from_millis(9))),
    runners: 30,
    slots: 6,
    run_time: Duration::from_millis(360),
    crowded: 3,
    kept_share: 0.0,
    are_retries_crowded: true,
    has_narrow_links: false,
    body_bytes: 0,
    meanwhile: Meanwhile::Nothing,
};
/// A site of a few processes, of which one is crowded.
const FEW_PROCESSES: Case = Case {
    rate: 95,
    entries: 3,
    runners: 9,
    slots: 4,
    crowded: 1,
    crowded_limit: Some(Limit::RunningTime(Duration::from_millis(19))),
    ..NEARLY_ALL_SLOTS
};
/// Quotas of a host of 0.09 cores, and of one that is slower.
const QUOTA: Option<Limit> = Some(Limit::ProcessorTime(Duration::from_millis(9)));
const SMALL_QUOTA: Option<Limit> = Some(Limit::ProcessorTime(Duration::from_millis(5)));
const BY_HAND: [Case; 14] = [
    Case { name: "narrow", has_narrow_links: true, body_bytes: 4_000, ..NEARLY_ALL_SLOTS },
    Case { name: "kept", kept_share: 0.5, ..NEARLY_ALL_SLOTS },
    Case { name: "whole_cores", crowded_limit: None, ..NEARLY_ALL_SLOTS },
    Case { name: "slot_more", slots: 7, ..NEARLY_ALL_SLOTS },
    Case { name: "ample_slots", slots: 12, ..NEARLY_ALL_SLOTS },
    Case { name: "retries_elsewhere", are_retries_crowded: false, ..NEARLY_ALL_SLOTS },
    Case { name: "kill", meanwhile: Meanwhile::Kill, ..NEARLY_ALL_SLOTS },
    Case { name: "store_outage", meanwhile: Meanwhile::StoreOutage, ..NEARLY_ALL_SLOTS },
    Case { name: "base", ..NEARLY_ALL_SLOTS },
    Case { name: "quota", limit: QUOTA, crowded_limit: None, ..NEARLY_ALL_SLOTS },
    // With so few processes these share the slots by the rows that they exchange.
    Case { name: "rows", ..FEW_PROCESSES },
    Case { name: "rows_of_whole_cores", crowded_limit: None, ..FEW_PROCESSES },
    Case {
        name: "one_process",
        are_retries_crowded: false,
        rate: 800,
        slots: 20,
        run_time: Duration::from_millis(300),
        crowded: 1,
        limit: QUOTA,
        crowded_limit: None,
        ..NEARLY_ALL_SLOTS
    },
    Case { name: "small_quota", limit: SMALL_QUOTA, crowded_limit: None, ..NEARLY_ALL_SLOTS },
];

struct Site {
    entries: Vec<Process>,
    _agents: Vec<Process>,
    _runners: Vec<Batch>,
    store: Store,
    _relays: Vec<Relay>,
    /// Addresses at which callers reach the processes; the first ones are crowded.
    addresses: Vec<SocketAddr>,
}

fn host(number: usize) -> IpAddr {
    IpAddr::from([127, 0, 3, number as u8 + 1])
}

async fn start(case: &Case) -> Site {
    let store = store::bind().await;
    let mut config = platform_support::config(1, &["key"]);
    for route in config["routes"].as_array_mut().expect("a list of routes") {
        route["target_latency_ms"] = TARGET_LATENCY_MS.into();
    }
    store.write_config(&config);
    let hosts: Vec<IpAddr> = (0..case.entries + case.runners).map(host).collect();
    let port = support::free_ports(&hosts);
    let (mut runners, mut agents) = (Vec::new(), Vec::new());
    for number in 0..case.runners {
        let (ip, name) = (host(case.entries + number), format!("i-{number}"));
        let runner = batch::bind(ip, &name, case.slots, case.run_time).await;
        store.write_runner(&name, &runner.record());
        let settings = platform_support::agent_settings(&format!("side-{number}"), ip, port);
        agents.push(support::admission(&settings));
        runners.push(runner);
    }
    let entries: Vec<Process> = (0..case.entries)
        .map(|number| {
            let name = format!("entry-{number}");
            let (ip, store) = (host(number), store.address);
            support::gateway(&platform_support::entry_settings(&name, "north", ip, port, store))
        })
        .collect();
    for entry in &entries {
        support::gateway_ready(entry).await;
    }
    let (mut addresses, mut relays) = (Vec::new(), Vec::new());
    for (number, entry) in entries.iter().enumerate() {
        let mut address = entry.address("callers");
        if case.has_narrow_links {
            let link = relay::link(LINK_BYTES_PER_S);
            let over = relay::bind_over(&link, SocketAddr::new(host(number), 0), address).await;
            let over = over.expect("binds a port");
            address = over.address;
            relays.push(over);
        }
        addresses.push(address);
    }
    Site { entries, _agents: agents, _runners: runners, store, _relays: relays, addresses }
}

/// Sends requests at the rate of the case: first with connections to all processes, then with most of the new ones to
/// few, and at last with connections to all again.
async fn load(case: Case, addresses: &[SocketAddr]) -> Vec<Ended> {
    let mut random = StdRng::seed_from_u64(7);
    let mut ticks = interval(Duration::from_secs(1) / case.rate);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let start = Instant::now();
    let pool = Kept::default();
    let mut requests = Vec::new();
    let mut number = 0;
    while start.elapsed() < CROWDED_END + AFTER_TIME {
        ticks.tick().await;
        number += 1;
        let since_start = start.elapsed();
        let is_calm = since_start < CALM_TIME;
        let is_crowded = !is_calm && since_start < CROWDED_END;
        let is_counted = is_calm || is_crowded && since_start >= CALM_TIME + SETTLING_TIME;
        let mut choose = |is_crowded: bool| {
            let among = match (is_crowded, random.random_bool(CROWDED_SHARE)) {
                (false, _) => 0..case.entries,
                (true, true) => 0..case.crowded,
                (true, false) => case.crowded..case.entries,
            };
            addresses[random.random_range(among)]
        };
        let first = choose(is_crowded);
        let second = choose(is_crowded && case.are_retries_crowded);
        let route = Route { first, second, wants_kept: random.random_bool(case.kept_share) };
        let body: Arc<[u8]> = vec![b'.'; random.random_range(0..=2 * case.body_bytes)].into();
        let request = move |attempt: u32| Request {
            id: format!("{number}-{attempt}"),
            path: "/stream/",
            body: Arc::clone(&body),
            patience: PATIENCE,
        };
        let pool = Arc::clone(&pool);
        requests.push(tokio::spawn(async move {
            let sent = Instant::now();
            let (attempts, is_kept) = callers::call(&route, &pool, request).await;
            // Unused connections would use up the descriptors of this process.
            if case.kept_share == 0.0 {
                pool.lock().expect("the lock is not poisoned").clear();
            }
            Ended { is_counted, is_calm, is_kept, attempts, time: sent.elapsed() }
        }));
    }
    let mut ended = Vec::new();
    for request in requests {
        ended.push(request.await.expect("the caller ends"));
    }
    ended
}

/// Held by the case that runs: each one needs several cores.
static RUNNING: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Prints how the attempts and the requests of a part of the run ended.
fn print(case: &Case, part: &str, ended: &[&Ended]) {
    let count = |number: usize, kind| {
        ended.iter().filter(|ended| ended.attempts.get(number) == Some(&kind)).count()
    };
    let kinds = [Attempt::Answered, Attempt::Refused, Attempt::Unread, Attempt::TimedOut];
    let [first, second] = [0, 1].map(|number| kinds.map(|kind| count(number, kind)));
    let mut times: Vec<Duration> = ended.iter().map(|ended| ended.time).collect();
    times.sort_unstable();
    println!(
        "{} {part}: {} requests; at the first attempt that was read {:.3}; first attempts answered, refused, unread, \
         timed out {first:?}, second {second:?}; half within {:?}, nine of ten within {:?}",
        case.name,
        ended.len(),
        share_at_first_read(ended.iter().copied()),
        times[times.len() / 2],
        times[times.len() * 9 / 10],
    );
}

async fn check(case: Case) {
    let _running = RUNNING.lock().await;
    let mut site = start(&case).await;
    let limits = |entries: &[Process], limit: Option<Limit>| {
        let limited = entries.iter().zip(limit.into_iter().cycle());
        limited.map(|(entry, limit)| (entry.id(), limit)).collect::<Vec<_>>()
    };
    let quotas = quota::spawn(&limits(&site.entries, case.limit));
    let crowded = limits(&site.entries[..case.crowded], case.crowded_limit);
    let crowding = tokio::spawn(async move {
        sleep(CALM_TIME).await;
        let limits = quota::spawn(&crowded);
        sleep(SETTLING_TIME + COUNTED_TIME).await;
        limits.end()
    });

    let meanwhile = async {
        sleep(CALM_TIME + SETTLING_TIME + COUNTED_TIME / 2).await;
        match case.meanwhile {
            Meanwhile::Nothing => {}
            Meanwhile::Kill => site.entries.remove(0).kill(),
            Meanwhile::StoreOutage => site.store.stop_responding(),
        }
    };
    let (ended, ()) = tokio::join!(load(case, &site.addresses), meanwhile);

    let stopped = [quotas.end(), crowding.await.expect("the limits hold")];
    let used = site.entries.iter().map(|entry| quota::times(entry.id()).used);
    println!(
        "{} stood still for {stopped:?}; used processor time {:?}",
        case.name,
        used.collect::<Vec<_>>()
    );
    let calm: Vec<&Ended> = ended.iter().filter(|ended| ended.is_calm).collect();
    let counted: Vec<&Ended> =
        ended.iter().filter(|ended| ended.is_counted && !ended.is_calm).collect();
    let seconds = ended.chunks(case.rate as usize);
    let by_second = seconds.map(|ended| format!("{:.2}", share_at_first_read(ended.iter())));
    println!("{} by second: {}", case.name, by_second.collect::<Vec<_>>().join(" "));
    print(&case, "calm", &calm);
    print(&case, "crowded", &counted);
    let share = share_at_first_read(counted.into_iter());
    let calm_share = share_at_first_read(calm.into_iter());
    assert!(share >= MIN_RATIO * calm_share, "{share} of {calm_share} at the first attempt read");
}

/// Guards against requests that fail because slots stay held while the few processes that get most connections stand still.
#[test_case(NEARLY_ALL_SLOTS; "nearly_all_slots")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_are_answered_where_they_are_read_while_few_processes_get_most_connections(
    case: Case,
) {
    check(case).await;
}

/// Runs the cases that are named by hand.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_by_hand_are_answered_where_they_are_read() {
    let names = std::env::var("WAGTAILHILL_CROWDED_CASES").unwrap_or_default();
    let named = |case: &&Case| names.split(',').any(|name| name == case.name);
    for case in BY_HAND.iter().filter(named) {
        check(*case).await;
    }
}
