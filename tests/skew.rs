//! New connections of all callers that come to one entry process, which has a small part of a core.
//!
//! `WAGTAILHILL_SKEW_RATES` sets the numbers of new connections a second, separated by commas.

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
    runner::{self, Behavior},
    store,
};
use support::Process;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, interval, sleep, timeout},
};

const ENTRIES: usize = 3;
/// Time in which the process runs, of each [`PERIOD`]: 0.09 of a core.
const RUNNING_TIME: Duration = Duration::from_millis(9);
const PERIOD: Duration = Duration::from_millis(100);
const DEFAULT_RATES: &str = "60";
/// Time for which callers open connections at each rate.
const LOAD_TIME: Duration = Duration::from_secs(3);
/// Time for which a caller waits for its answer in one attempt.
const PATIENCE: Duration = Duration::from_secs(4);
/// Share of the requests that callers must get answers to over two attempts.
const MIN_ANSWERED: f64 = 0.75;

/// End of one attempt of a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Attempt {
    /// A whole answer of a runner.
    Answered,
    /// An answer of the entry process that the request didn't run.
    Refused,
    /// The connection was closed or reset without an answer.
    Closed,
    /// No answer within [`PATIENCE`].
    TimedOut,
}

fn host(number: usize) -> IpAddr {
    IpAddr::from([127, 0, 2, number as u8 + 1])
}

async fn start(store: &Store) -> Vec<Process> {
    let port = support::free_ports(&(0..ENTRIES).map(host).collect::<Vec<_>>());
    let entries: Vec<Process> = (0..ENTRIES)
        .map(|number| {
            let name = format!("entry-{number}");
            let settings =
                platform_support::entry_settings(&name, "north", host(number), port, store.address);
            support::gateway(&settings)
        })
        .collect();
    for entry in &entries {
        let url = format!("http://{}/api/readiness", entry.address("operators"));
        support::until_async(async || {
            reqwest::get(&url).await.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }
    entries
}

/// Sends a request on a new connection and reads its answer to the end.
async fn attempt(entry: SocketAddr, id: &str) -> Attempt {
    let request = format!(
        "POST /safe/ HTTP/1.1\r\nhost: host.example\r\nrequest-id: {id}\r\nconnection: close\r\n\
         authorization: Bearer key\r\ndeadline-remaining-ms: 4000\r\ncontent-length: 0\r\n\r\n"
    );
    let exchange = async {
        let mut stream = TcpStream::connect(entry).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        Ok::<_, std::io::Error>(answer)
    };
    match timeout(PATIENCE, exchange).await {
        Ok(Ok(answer)) if answer.starts_with(b"HTTP/1.1 200") => Attempt::Answered,
        Ok(Ok(answer)) if answer.starts_with(b"HTTP/1.1") => Attempt::Refused,
        Ok(_) => Attempt::Closed,
        Err(_) => Attempt::TimedOut,
    }
}

/// Lets a process run for [`RUNNING_TIME`] of each [`PERIOD`] until `is_over` is set.
async fn slow_down(entry: Process, is_over: Arc<AtomicBool>) -> Process {
    while !is_over.load(Ordering::Relaxed) {
        entry.wake();
        sleep(RUNNING_TIME).await;
        entry.freeze();
        sleep(PERIOD - RUNNING_TIME).await;
    }
    entry.wake();
    entry
}

/// Opens connections to the first address, each for one request, which is sent to the second address if the
/// first attempt isn't answered. Returns both attempts of each request and the time of the whole request.
async fn load(addresses: [SocketAddr; 2], rate: u32) -> Vec<(Attempt, Option<Attempt>, Duration)> {
    let mut ticks = interval(Duration::from_secs(1) / rate);
    let count = (f64::from(rate) * LOAD_TIME.as_secs_f64()) as u32;
    let mut requests = Vec::new();
    for number in 0..count {
        ticks.tick().await;
        requests.push(tokio::spawn(async move {
            let start = Instant::now();
            let first = attempt(addresses[0], &format!("{rate}-{number}-1")).await;
            let second = match first {
                Attempt::Answered => None,
                _ => Some(attempt(addresses[1], &format!("{rate}-{number}-2")).await),
            };
            (first, second, start.elapsed())
        }));
    }
    let mut ended = Vec::new();
    for request in requests {
        ended.push(request.await.expect("the caller ends"));
    }
    ended
}

async fn runners() -> Vec<Runner> {
    let mut runners = Vec::new();
    for number in 0..3 {
        runners.push(runner::bind(&format!("i-{number}"), Behavior::Slow).await);
    }
    runners
}

/// Guards against callers who get no answer since all of their connections come to one process, which accepts
/// more than it can serve.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_are_served_by_other_processes_where_one_gets_all_new_connections() {
    let rates = std::env::var("WAGTAILHILL_SKEW_RATES").unwrap_or(DEFAULT_RATES.to_owned());
    let store = store::bind().await;
    store.write_config(&platform_support::config(1, &["key"]));
    let runners = runners().await;
    for runner in &runners {
        store.write_runner(&runner.name, &runner.model_record("v1", "north", 200));
    }
    for rate in rates.split(',').map(|rate| rate.parse().expect("a number")) {
        let mut entries = start(&store).await;
        let addresses = [entries[0].address("callers"), entries[1].address("callers")];
        let is_over = Arc::new(AtomicBool::new(false));
        let slow = tokio::spawn(slow_down(entries.remove(0), Arc::clone(&is_over)));

        let ended = load(addresses, rate).await;
        is_over.store(true, Ordering::Relaxed);
        slow.await.expect("the process runs").kill();
        entries.into_iter().for_each(Process::kill);

        let first = |kind| ended.iter().filter(|(first, ..)| *first == kind).count();
        let answered = ended.iter().filter(|(first, second, _)| {
            *first == Attempt::Answered || *second == Some(Attempt::Answered)
        });
        let answered = answered.count();
        let mut times: Vec<Duration> = ended.iter().map(|(.., time)| *time).collect();
        times.sort_unstable();
        println!(
            "{rate}/s: {} requests, {answered} answered; first attempts: {} answered, {} refused, {} closed, \
             {} timed out; half within {:?}, nine of ten within {:?}",
            ended.len(),
            first(Attempt::Answered),
            first(Attempt::Refused),
            first(Attempt::Closed),
            first(Attempt::TimedOut),
            times[times.len() / 2],
            times[times.len() * 9 / 10],
        );
        assert!(
            answered as f64 >= MIN_ANSWERED * ended.len() as f64,
            "{answered} of {}",
            ended.len()
        );
    }
}
