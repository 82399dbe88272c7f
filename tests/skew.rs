//! New connections of all callers that come to one entry process, which has a small part of a core and a narrow
//! link.
//!
//! Counted are the requests that are answered at the first attempt that a process read, against those of the
//! seconds before. An attempt that is refused, or whose connection is closed unread, doesn't count if a later one
//! is read.
//!
//! `WAGTAILHILL_SKEW_CASES` names the cases of [`BY_HAND`] that are run by hand, separated by commas.

#[path = "../platform/tests/support/mod.rs"]
mod platform_support;
mod support;

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use platform_support::{
    Runner, Store,
    callers::{self, Attempt, Ended, Kept, Request, Route, share_at_first_read},
    runner::{self, Behavior},
    store,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use standin::relay::{self, Relay};
use support::Process;
use test_case::test_case;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

const ENTRIES: usize = 3;
const RUNNERS: usize = 12;
/// Number of runners with agents: while other work delays these processes, each slot serves fewer requests.
const RUNNERS_WITH_AGENTS: usize = 30;
/// Period of the processor quota of the process that gets all new connections.
const PERIOD: Duration = Duration::from_millis(100);
/// Time for which the connections are spread over all processes.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Time for which all new connections go to one process before requests are counted.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Time in which requests are counted after that.
const COUNTED_TIME: Duration = Duration::from_secs(3);
/// Part of the connections that go to the slow process in the calm seconds: one of 24 hosts.
const CALM_SHARE: f64 = 1.0 / 24.0;
/// Part of the requests that are sent on a kept connection, if there is one.
const KEPT_SHARE: f64 = 0.5;
/// Least share of requests answered at the first attempt that was read, as a part of that share in the calm seconds.
const MIN_RATIO: f64 = 0.75;
/// Least share of requests that are answered in any of their attempts.
const MIN_ANSWERED: f64 = 0.75;
/// Mean size in bytes of a body, and bytes a second of a link of 10 Mbit/s.
const BODY_BYTES: usize = 9_000;
const LINK_BYTES_PER_S: f64 = 1_250_000.0;

/// A load and the host of the process that gets all new connections.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    /// Requests a second of all callers.
    rate: u32,
    /// Time in which the process runs, of each [`PERIOD`]; `PERIOD` where it has a whole core.
    running_time: Duration,
    /// Whether callers and the process share a link of [`LINK_BYTES_PER_S`].
    has_narrow_link: bool,
    /// Mean size in bytes of a body.
    body_bytes: usize,
    /// Number of runners.
    runners: usize,
    /// Slots of each runner.
    slots: u32,
    /// Whether an agent admits requests to each runner.
    has_agents: bool,
    /// Time for which a caller waits for its answer in one attempt.
    patience: Duration,
}

const fn case(name: &'static str, rate: u32, running_ms: u64) -> Case {
    let running_time = Duration::from_millis(running_ms);
    Case {
        name,
        rate,
        running_time,
        has_narrow_link: false,
        body_bytes: 0,
        runners: RUNNERS,
        slots: 100,
        has_agents: false,
        patience: Duration::from_secs(4),
    }
}

const SMALL_HOST: Case =
    Case { has_narrow_link: true, body_bytes: BODY_BYTES, ..case("small_host", 475, 9) };
const NARROW_LINK: Case =
    Case { has_narrow_link: true, body_bytes: BODY_BYTES, ..case("narrow_link", 475, 100) };
const SMALL_CORE: Case = Case { patience: Duration::from_secs(1), ..case("small_core", 475, 9) };
/// A core that is busy with the requests at the rate of the other cases.
const BUSY_CORE: Case = Case { patience: Duration::from_secs(1), ..case("busy_core", 475, 2) };
const LARGER_HOST: Case = Case { body_bytes: BODY_BYTES, ..case("larger_host", 475, 50) };
const AGENTS: Case =
    Case { runners: RUNNERS_WITH_AGENTS, slots: 3, has_agents: true, ..SMALL_HOST };
/// Cases that need several free cores.
const BY_HAND: [Case; 4] = [
    case("calm", 60, 9),
    case("many", 1_500, 9),
    Case { name: "many_on_narrow_link", rate: 1_500, ..SMALL_HOST },
    case("very_many", 3_000, 9),
];

struct Site {
    entries: Vec<Process>,
    _agents: Vec<Process>,
    _runners: Vec<Runner>,
    _store: Store,
    _relay: Option<Relay>,
    /// Addresses at which callers reach the processes; the first one gets all new connections.
    addresses: Vec<SocketAddr>,
}

fn host(number: usize) -> IpAddr {
    IpAddr::from([127, 0, 2, number as u8 + 1])
}

async fn start(case: &Case) -> Site {
    let store = store::bind().await;
    store.write_config(&platform_support::config(1, &["key"]));
    let hosts: Vec<IpAddr> = (0..ENTRIES + case.runners).map(host).collect();
    let port = support::free_ports(&hosts);
    let (mut runners, mut agents) = (Vec::new(), Vec::new());
    for number in 0..case.runners {
        let (ip, name) = (host(ENTRIES + number), format!("i-{number}"));
        let behavior = Behavior::Delayed { delay: Duration::from_millis(40) };
        let runner = runner::bind_at(ip, &name, behavior).await;
        store.write_runner(&name, &runner.model_record("v1", "north", case.slots));
        if case.has_agents {
            let settings = platform_support::agent_settings(&format!("side-{number}"), ip, port);
            agents.push(support::admission(&settings));
        }
        runners.push(runner);
    }
    let entries: Vec<Process> = (0..ENTRIES)
        .map(|number| {
            let name = format!("entry-{number}");
            let (ip, store) = (host(number), store.address);
            support::gateway(&platform_support::entry_settings(&name, "north", ip, port, store))
        })
        .collect();
    for entry in &entries {
        support::gateway_ready(entry).await;
    }
    let mut addresses: Vec<SocketAddr> =
        entries.iter().map(|entry| entry.address("callers")).collect();
    let mut relay = None;
    if case.has_narrow_link {
        let link = relay::link(LINK_BYTES_PER_S);
        let over = relay::bind_over(&link, SocketAddr::new(host(0), 0), addresses[0]).await;
        let over = over.expect("binds a port");
        addresses[0] = over.address;
        relay = Some(over);
    }
    Site { entries, _agents: agents, _runners: runners, _store: store, _relay: relay, addresses }
}

/// Lets a process run for `running_time` of each [`PERIOD`] until `is_over` is set.
async fn slow_down(entry: Process, running_time: Duration, is_over: Arc<AtomicBool>) -> Process {
    while !is_over.load(Ordering::Relaxed) {
        entry.wake();
        sleep(running_time).await;
        if running_time < PERIOD {
            entry.freeze();
            sleep(PERIOD - running_time).await;
        }
    }
    entry.wake();
    entry
}

/// Sends requests at the rate of the case: first with connections to all processes, then with all new ones to
/// the first. Second attempts go to the others.
async fn load(case: Case, addresses: &[SocketAddr]) -> Vec<Ended> {
    let mut random = StdRng::seed_from_u64(7);
    let mut ticks = interval(Duration::from_secs(1) / case.rate);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let start = Instant::now();
    let pool = Kept::default();
    let mut requests = Vec::new();
    let end = CALM_TIME + SETTLING_TIME + COUNTED_TIME;
    let mut number = 0;
    while start.elapsed() < end {
        ticks.tick().await;
        number += 1;
        let since_start = start.elapsed();
        let is_calm = since_start < CALM_TIME;
        let is_counted = is_calm || since_start >= CALM_TIME + SETTLING_TIME;
        let other = addresses[random.random_range(1..addresses.len())];
        let to_first = !is_calm || random.random_bool(CALM_SHARE);
        let first = if to_first { addresses[0] } else { other };
        let body: Arc<[u8]> = vec![b'.'; random.random_range(0..=2 * case.body_bytes)].into();
        let request = move |attempt: u32| Request {
            id: format!("{number}-{attempt}"),
            path: "/safe/",
            body: Arc::clone(&body),
            patience: case.patience,
        };
        let route = Route { first, second: other, wants_kept: random.random_bool(KEPT_SHARE) };
        let pool = Arc::clone(&pool);
        requests.push(tokio::spawn(async move {
            let sent = Instant::now();
            let (attempts, is_kept) = callers::call(&route, &pool, request).await;
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

/// Runs a case and checks both shares.
async fn check(case: Case) {
    let _running = RUNNING.lock().await;
    let mut site = start(&case).await;
    let is_over = Arc::new(AtomicBool::new(false));
    let first = site.entries.remove(0);
    let slow = tokio::spawn(slow_down(first, case.running_time, Arc::clone(&is_over)));

    let ended = load(case, &site.addresses).await;
    is_over.store(true, Ordering::Relaxed);
    slow.await.expect("the process runs").kill();

    let calm = share_at_first_read(ended.iter().filter(|ended| ended.is_calm));
    let counted: Vec<&Ended> =
        ended.iter().filter(|ended| ended.is_counted && !ended.is_calm).collect();
    let share = share_at_first_read(counted.iter().copied());
    let count = |is_kept, kind| {
        let ended = counted.iter().filter(|ended| ended.is_kept == is_kept);
        ended.filter(|ended| ended.attempts[0] == kind).count()
    };
    let answered =
        counted.iter().filter(|ended| ended.attempts.contains(&Attempt::Answered)).count();
    let mut times: Vec<Duration> = counted.iter().map(|ended| ended.time).collect();
    times.sort_unstable();
    for is_kept in [false, true] {
        println!(
            "{} {}: first attempts: {} answered, {} refused, {} unread, {} timed out",
            case.name,
            if is_kept { "kept" } else { "new" },
            count(is_kept, Attempt::Answered),
            count(is_kept, Attempt::Refused),
            count(is_kept, Attempt::Unread),
            count(is_kept, Attempt::TimedOut),
        );
    }
    println!(
        "{}: {} requests; at the first attempt that was read {share:.3}, {calm:.3} in the calm seconds; answered \
         {answered}; half within {:?}, nine of ten within {:?}",
        case.name,
        counted.len(),
        times[times.len() / 2],
        times[times.len() * 9 / 10],
    );
    assert!(share >= MIN_RATIO * calm, "{share} of {calm} at the first attempt that was read");
    assert!(answered as f64 >= MIN_ANSWERED * counted.len() as f64, "{answered} answered");
}

/// Guards against requests that fail after one process read them, which accepts more than it can carry out.
#[test_case(SMALL_CORE; "small_core")]
#[test_case(BUSY_CORE; "busy_core")]
#[test_case(SMALL_HOST; "small_core_and_narrow_link")]
#[test_case(NARROW_LINK; "narrow_link")]
#[test_case(LARGER_HOST; "half_a_core")]
#[test_case(AGENTS; "agents_admit")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_are_answered_where_they_are_read_while_one_process_gets_all_new_connections(
    case: Case,
) {
    check(case).await;
}

/// Runs the cases that are named by hand.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_by_hand_are_answered_where_they_are_read() {
    let names = std::env::var("WAGTAILHILL_SKEW_CASES").unwrap_or_default();
    let named = |case: &&Case| names.split(',').any(|name| name == case.name);
    for case in BY_HAND.iter().filter(named) {
        check(*case).await;
    }
}
