//! Entry processes of the users' platform as real processes that are killed, frozen and stopped in series, while
//! requests with two parts of prompts crash the runners that begin to answer them.
//!
//! `WAGTAILHILL_SOAK_SEEDS` sets the number of seeds.

#[path = "../platform/tests/support/mod.rs"]
mod platform_support;
mod support;

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use platform_support::{Store, store};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::json;
use support::Process;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

const ENTRIES: usize = 3;
const RUNNERS: usize = 9;
/// Parts that crash runners.
const BAD_PARTS: [&str; 2] = ["bad1", "bad2"];
/// Time for which requests arrive.
const LOAD_TIME: Duration = Duration::from_secs(9);
/// Time from the start at which requests with bad parts begin to arrive.
const BAD_START: Duration = Duration::from_secs(1);
/// Time from the arrival of a request at a runner to its answer or crash.
const ANSWER_TIME: Duration = Duration::from_millis(40);
/// Time for which a crashed runner is down.
const DOWN_TIME: Duration = Duration::from_millis(900);
/// Time after the fifth crash from which on a part must be refused.
const WINDOW: Duration = Duration::from_secs(3);
/// Maximum number of requests with a part that may reach runners later than that.
const MAX_LATE: usize = 3;
/// Time for which a caller waits in one attempt.
const PATIENCE: Duration = Duration::from_secs(3);
const DEFAULT_SEEDS: u64 = 2;

/// What the runners received and lost.
#[derive(Debug, Default)]
struct Record {
    /// Requests with a bad part that reached a runner: the index of the part, and the time.
    bad: Vec<(usize, Instant)>,
    /// Crashes: the index of the part at fault, and the time.
    crashes: Vec<(usize, Instant)>,
}

struct Site {
    store: Arc<Store>,
    entries: Vec<Option<Process>>,
    port: u16,
    callers: Arc<Mutex<Vec<SocketAddr>>>,
}

fn host(number: usize) -> IpAddr {
    IpAddr::from([127, 0, 3, number as u8 + 1])
}

/// Runs a runner that starts again at its address, under another name, some time after each crash.
async fn run_runner(
    number: usize,
    listener: TcpListener,
    store: Arc<Store>,
    record: Arc<Mutex<Record>>,
) {
    let address = listener.local_addr().expect("has a local address");
    let mut listener = Some(listener);
    for start in 0.. {
        let name = format!("i-{number}-{start}");
        let entry = json!({
            "service": "pool", "address": address, "zone": "north", "version": "v1",
            "slots": 4, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        });
        store.write("keyed.servers", &name, &entry.to_string());
        let (crash, mut crashed) = mpsc::unbounded_channel();
        let mut connections = JoinSet::new();
        let bound = match listener.take() {
            Some(bound) => bound,
            None => TcpListener::bind(address).await.expect("the address is free again"),
        };
        let part = loop {
            tokio::select! {
                accepted = bound.accept() => if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, crash.clone(), Arc::clone(&record)));
                },
                Some(part) = crashed.recv() => break part,
            }
        };
        drop((bound, connections));
        record.lock().expect("the lock is not poisoned").crashes.push((part, Instant::now()));
        sleep(DOWN_TIME).await;
        store.write("keyed.servers", &name, "");
    }
}

async fn serve(
    mut stream: TcpStream,
    crash: mpsc::UnboundedSender<usize>,
    record: Arc<Mutex<Record>>,
) {
    let mut received = Vec::new();
    loop {
        let end = received.windows(4).position(|window| window == b"\r\n\r\n");
        let Some(end) = end else {
            match stream.read_buf(&mut received).await {
                Ok(count) if count > 0 => continue,
                _ => return,
            }
        };
        let head: Vec<u8> = received.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        let id = header("request-id: ").unwrap_or_default().to_owned();
        let prompt = header("prompt-prefix: ").unwrap_or_default();
        let bad = BAD_PARTS.iter().position(|part| prompt.contains(part));
        if let Some(part) = bad {
            record.lock().expect("the lock is not poisoned").bad.push((part, Instant::now()));
        }
        sleep(ANSWER_TIME).await;
        if let Some(part) = bad {
            // Ends this connection too.
            let _ = crash.send(part);
            return sleep(PATIENCE).await;
        }
        let body = "id: 1\ndata: piece 1\n\n";
        let answer = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: s\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

impl Site {
    async fn start(record: &Arc<Mutex<Record>>) -> (Site, JoinSet<()>) {
        let store = Arc::new(store::bind().await);
        store.write_config(&platform_support::config(1, &["key"]));
        let mut runners = JoinSet::new();
        for number in 0..RUNNERS {
            let listener =
                TcpListener::bind(platform_support::ANY_PORT).await.expect("binds a port");
            let (store, record) = (Arc::clone(&store), Arc::clone(record));
            runners.spawn(run_runner(number, listener, store, record));
        }
        let hosts: Vec<IpAddr> = (0..ENTRIES).map(host).collect();
        let port = support::free_ports(&hosts);
        let mut site = Site { store, entries: Vec::new(), port, callers: Arc::default() };
        for number in 0..ENTRIES {
            let entry = site.start_entry(number);
            site.entries.push(Some(entry));
        }
        for entry in site.entries.iter().flatten() {
            support::gateway_ready(entry).await;
        }
        site.publish(None);
        (site, runners)
    }

    fn start_entry(&self, number: usize) -> Process {
        let name = format!("entry-{number}");
        let (ip, store) = (host(number), self.store.address);
        support::gateway(&platform_support::entry_settings(&name, "north", ip, self.port, store))
    }

    /// Publishes the addresses of the entry processes but one that is away.
    fn publish(&self, away: Option<usize>) {
        let entries = self.entries.iter().enumerate().filter(|(number, _)| Some(*number) != away);
        let running = entries.filter_map(|(_, entry)| entry.as_ref());
        *self.callers.lock().expect("the lock is not poisoned") =
            running.map(|entry| entry.address("callers")).collect();
    }

    /// Kills, freezes or stops entry processes, one or all, until `is_over` holds.
    async fn disturb(&mut self, random: &mut StdRng, is_over: impl Fn() -> bool) {
        while !is_over() {
            sleep(Duration::from_millis(random.random_range(300..1_500))).await;
            let number = random.random_range(0..ENTRIES);
            match random.random_range(0..4) {
                0 => self.restart(number..number + 1).await,
                1 => {
                    self.publish(Some(number));
                    let entry = self.entries[number].as_ref().expect("it runs");
                    entry.freeze();
                    sleep(Duration::from_millis(random.random_range(100..800))).await;
                    entry.wake();
                    self.publish(None);
                }
                2 => {
                    self.entries[number].as_ref().expect("it runs").signal("TERM");
                    self.publish(Some(number));
                    sleep(Duration::from_millis(random.random_range(50..400))).await;
                    self.restart(number..number + 1).await;
                }
                _ => self.restart(0..ENTRIES).await,
            }
        }
    }

    async fn restart(&mut self, numbers: std::ops::Range<usize>) {
        for number in numbers.clone() {
            self.entries[number].take().expect("it runs").kill();
        }
        self.publish(None);
        for number in numbers.clone() {
            self.entries[number] = Some(self.start_entry(number));
        }
        for number in numbers {
            support::gateway_ready(self.entries[number].as_ref().expect("it was started")).await;
        }
        self.publish(None);
    }
}

/// Sends a request on a connection of its own; returns whether it was answered by a runner.
async fn call(entry: SocketAddr, id: &str, prompt: &str) -> bool {
    let request = format!(
        "POST /resume/ HTTP/1.1\r\nhost: host.example\r\nrequest-id: {id}\r\nconnection: close\r\n\
         authorization: Bearer key\r\ndeadline-remaining-ms: 3000\r\nprompt-prefix: {prompt}\r\n\
         content-length: {}\r\n\r\n{id}",
        id.len()
    );
    let exchange = async {
        let mut stream = TcpStream::connect(entry).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        Ok::<_, std::io::Error>(answer)
    };
    let answer = timeout(PATIENCE, exchange).await;
    answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.starts_with(b"HTTP/1.1 200")))
}

/// Returns how many requests with a part reached runners later than [`WINDOW`] after its fifth crash.
fn late(record: &Record, part: usize) -> usize {
    let crashes: Vec<Instant> =
        record.crashes.iter().filter(|(of, _)| *of == part).map(|(_, at)| *at).collect();
    let Some(&fifth) = crashes.get(4) else {
        return 0;
    };
    record.bad.iter().filter(|(of, at)| *of == part && *at > fifth + WINDOW).count()
}

async fn soak(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let record = Arc::new(Mutex::new(Record::default()));
    let (mut site, runners) = Site::start(&record).await;
    let callers = Arc::clone(&site.callers);
    let mut load_random = StdRng::seed_from_u64(random.random());
    let load = tokio::spawn(async move {
        let (start, mut calls, mut number) = (Instant::now(), JoinSet::new(), 0);
        while start.elapsed() < LOAD_TIME {
            sleep(Duration::from_millis(load_random.random_range(10..40))).await;
            number += 1;
            let is_bad = start.elapsed() > BAD_START && load_random.random_bool(0.15);
            let prompt = if is_bad {
                format!("f0:60,{}:400,{number:x}:9", BAD_PARTS[load_random.random_range(0..2)])
            } else {
                format!("{:x}:60,{number:x}:9", 0xf0 + load_random.random_range(0..6))
            };
            let entries = callers.lock().expect("the lock is not poisoned").clone();
            if entries.is_empty() {
                continue;
            }
            let entry = entries[load_random.random_range(0..entries.len())];
            calls.spawn(async move {
                (is_bad, call(entry, &format!("{seed:x}-{number:x}"), &prompt).await)
            });
        }
        calls.join_all().await
    });

    site.disturb(&mut random, || load.is_finished()).await;
    let ended = load.await.expect("the load ends");
    drop(runners);

    let record = record.lock().expect("the lock is not poisoned");
    let sound: Vec<bool> =
        ended.iter().filter(|(is_bad, _)| !is_bad).map(|(_, answered)| *answered).collect();
    let answered = sound.iter().filter(|answered| **answered).count();
    let late: Vec<usize> = (0..BAD_PARTS.len()).map(|part| late(&record, part)).collect();
    println!(
        "seed {seed}: {} crashes, {} requests with bad parts at runners, {late:?} of them late, {answered} of {} sound \
         requests answered at the first attempt",
        record.crashes.len(),
        record.bad.len(),
        sound.len(),
    );
    assert!(late.iter().all(|late| *late <= MAX_LATE), "seed {seed}: {late:?}");
    assert!(answered * 2 >= sound.len(), "seed {seed}: {answered} of {}", sound.len());
}

/// Guards against parts that crash one runner after another while the processes that know of it are killed, frozen
/// and stopped, one or all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn parts_that_crash_runners_are_refused_while_processes_are_killed_frozen_and_stopped() {
    let seeds = std::env::var("WAGTAILHILL_SOAK_SEEDS").ok();
    let seeds = seeds.map_or(DEFAULT_SEEDS, |seeds| seeds.parse().expect("a number of seeds"));
    for seed in 0..seeds {
        soak(seed).await;
    }
}
