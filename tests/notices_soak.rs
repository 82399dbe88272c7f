//! Entry processes and agents of the users' platform as real processes that are killed, slowed and frozen in series,
//! while runners state in their answers that they leave or want a rest and the store is away at times.
//!
//! `WAGTAILHILL_SOAK_SEEDS` sets the number of seeds.

#[path = "../platform/tests/support/mod.rs"]
mod platform_support;
mod support;

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use platform_support::{
    Runner, Store,
    runner::{self, Behavior},
    store,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use support::Process;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

const ENTRIES: usize = 3;
const RUNNERS: usize = 10;
/// Number of runners, the first ones, that have an agent.
const RUNNERS_WITH_AGENTS: usize = 6;
/// Slots of a runner: no more than entry processes, so that agents admit requests.
const SLOTS: u32 = 3;
/// Time for which requests arrive.
const LOAD_TIME: Duration = Duration::from_secs(9);
/// Time from the arrival of a request at a runner to its answer.
const ANSWER_TIME: Duration = Duration::from_millis(30);
/// Time after the answer by which a process learnt that a runner leaves in which the runner may still get requests
/// from it: the deadline in the settings.
const LEAVING_TIME: Duration = Duration::from_secs(2);
/// Time after an answer that asks for a rest in which the runner may still get requests.
const REST_GRACE: Duration = Duration::from_millis(500);
/// Number of requests from one process that a runner may get in the rest of its rest.
const MAX_EARLY: usize = 2;
/// Time for which runners ask.
const REST: Duration = Duration::from_secs(2);
/// Time in which a runner may still answer as before a change.
const CHANGE_TIME: Duration = Duration::from_millis(100);
/// Time for which a caller waits in one attempt.
const PATIENCE: Duration = Duration::from_secs(3);
const DEFAULT_SEEDS: u64 = 1;

/// What a runner states from a time on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Serving,
    Leaving,
    Resting,
}

/// Address of an entry process, its number and the number of its starts before.
type Caller = (SocketAddr, usize, u32);

struct Site {
    store: Store,
    runners: Vec<Runner>,
    /// Changes of the state of each runner.
    states: Vec<Vec<(Instant, State)>>,
    agents: Vec<Process>,
    entries: Vec<Option<Process>>,
    starts: Vec<u32>,
    port: u16,
    callers: Arc<Mutex<Vec<Caller>>>,
}

fn host(number: usize) -> IpAddr {
    IpAddr::from([127, 0, 4, number as u8 + 1])
}

impl Site {
    async fn start() -> Site {
        let store = store::bind().await;
        store.write_config(&platform_support::config(1, &["key"]));
        let port = support::free_ports(&(0..ENTRIES + RUNNERS).map(host).collect::<Vec<_>>());
        let (mut runners, mut agents) = (Vec::new(), Vec::new());
        for number in 0..RUNNERS {
            let (ip, name) = (host(ENTRIES + number), format!("i-{number}"));
            let behavior = Behavior::Delayed { delay: ANSWER_TIME };
            let runner = runner::bind_at(ip, &name, behavior).await;
            if number < RUNNERS_WITH_AGENTS {
                let settings =
                    platform_support::agent_settings(&format!("side-{number}"), ip, port);
                agents.push(support::admission(&settings));
                store.write_runner(&name, &runner.model_record("v1", "north", SLOTS));
            } else {
                store.write("keyed.servers", &name, &runner.record("ready"));
            }
            runners.push(runner);
        }
        let states = vec![vec![(Instant::now(), State::Serving)]; RUNNERS];
        let mut site = Site {
            store,
            runners,
            states,
            agents,
            entries: Vec::new(),
            starts: vec![0; ENTRIES],
            port,
            callers: Arc::default(),
        };
        for number in 0..ENTRIES {
            let entry = site.start_entry(number);
            site.entries.push(Some(entry));
        }
        for entry in site.entries.iter().flatten() {
            support::gateway_ready(entry).await;
        }
        site.publish();
        site
    }

    fn start_entry(&self, number: usize) -> Process {
        let name = format!("entry-{number}");
        let (ip, store) = (host(number), self.store.address);
        support::gateway(&platform_support::entry_settings(&name, "north", ip, self.port, store))
    }

    /// Publishes the entry processes that run.
    fn publish(&self) {
        let entries = self.entries.iter().enumerate();
        let running = entries.filter_map(|(number, entry)| {
            Some((entry.as_ref()?.address("callers"), number, self.starts[number]))
        });
        *self.callers.lock().expect("the lock is not poisoned") = running.collect();
    }

    fn set_state(&mut self, number: usize, state: State) {
        let runner = &self.runners[number];
        runner.set_header("server-leaving", (state == State::Leaving).then_some("1"));
        let rest = REST.as_secs().to_string();
        runner.set_header("retry-after", (state == State::Resting).then_some(&rest));
        runner.set_behavior(match state {
            State::Resting => Behavior::Reject,
            State::Serving | State::Leaving => Behavior::Delayed { delay: ANSWER_TIME },
        });
        self.states[number].push((Instant::now(), state));
    }

    fn state(&self, number: usize) -> State {
        self.states[number].last().expect("a state").1
    }

    /// Changes states of runners and disturbs processes and the store until `is_over` holds.
    async fn disturb(&mut self, random: &mut StdRng, is_over: impl Fn() -> bool) {
        while !is_over() {
            sleep(Duration::from_millis(random.random_range(50..350))).await;
            let number = random.random_range(0..RUNNERS);
            let leaving = (0..RUNNERS).filter(|&n| self.state(n) == State::Leaving).count();
            match random.random_range(0..12) {
                0..=1 if leaving < 3 => self.set_state(number, State::Leaving),
                0..=4 if self.state(number) == State::Serving => {
                    self.set_state(number, State::Resting)
                }
                5..=6 if self.state(number) == State::Resting => {
                    self.set_state(number, State::Serving)
                }
                7 => self.store.set_unavailable(random.random_bool(0.5)),
                8 => {
                    let entry = random.random_range(0..ENTRIES);
                    self.slow_down(entry).await;
                }
                9 => {
                    let agent = &self.agents[random.random_range(0..RUNNERS_WITH_AGENTS)];
                    agent.freeze();
                    sleep(Duration::from_millis(random.random_range(100..600))).await;
                    agent.wake();
                }
                10 => self.restart(random.random_range(0..ENTRIES)).await,
                // A record that changes although the runner said that it leaves.
                11 => {
                    let runner = &self.runners[number];
                    self.store.write_runner(
                        &runner.name,
                        &runner.model_record(
                            "v1",
                            "north",
                            SLOTS + u32::from(random.random_bool(0.5)),
                        ),
                    );
                }
                _ => {}
            }
        }
        self.store.set_unavailable(false);
    }

    /// Lets an entry process run for half of the time.
    async fn slow_down(&self, number: usize) {
        let entry = self.entries[number].as_ref().expect("it runs");
        for _ in 0..8 {
            entry.freeze();
            sleep(Duration::from_millis(40)).await;
            entry.wake();
            sleep(Duration::from_millis(40)).await;
        }
    }

    async fn restart(&mut self, number: usize) {
        self.store.set_unavailable(false);
        self.entries[number].take().expect("it runs").kill();
        self.publish();
        self.starts[number] += 1;
        self.entries[number] = Some(self.start_entry(number));
        support::gateway_ready(self.entries[number].as_ref().expect("it was started")).await;
        self.publish();
    }

    /// Returns the state of a runner that it had for [`CHANGE_TIME`] around a time; `None` if it changed then.
    fn steady_state(&self, number: usize, at: Instant) -> Option<State> {
        let state = |at: Instant| self.states[number].iter().rev().find(|(since, _)| *since <= at);
        let (before, after) = (state(at)?.1, state(at + CHANGE_TIME)?.1);
        (before == after).then_some(before)
    }

    /// Returns the requests that each start of each process sent to a runner: the time of each.
    fn requests_by_process(&self, number: usize) -> BTreeMap<String, Vec<Instant>> {
        let mut requests: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
        for request in self.runners[number].received() {
            // Agents ask for reports without an id.
            let Some(id) = request.id() else {
                continue;
            };
            let process = id.rsplit_once('.').map_or(id, |(process, _)| process).to_owned();
            requests.entry(process).or_default().push(Instant::from_std(request.at));
        }
        requests
    }

    /// Returns the number of requests that reached a runner too late after it had told a process that it leaves.
    fn late_requests(&self, number: usize) -> usize {
        let late = self.requests_by_process(number).into_values().map(|times| {
            let told = times
                .iter()
                .find(|&&at| self.steady_state(number, at) == Some(State::Leaving))
                .map(|&at| at + CHANGE_TIME);
            let is_late = |at: &&Instant| told.is_some_and(|told| **at > told + LEAVING_TIME);
            times.iter().filter(is_late).count()
        });
        late.sum()
    }

    /// Returns the largest number of requests of one process that reached a runner in a rest, after its first half
    /// second.
    fn early_requests(&self, number: usize) -> usize {
        let early = self.requests_by_process(number).into_values().flat_map(|times| {
            let asked: Vec<Instant> = times
                .iter()
                .filter(|&&at| self.steady_state(number, at) == Some(State::Resting))
                .copied()
                .collect();
            asked.into_iter().map(move |asked| {
                let is_early = |at: &&Instant| **at > asked + REST_GRACE && **at < asked + REST;
                times.iter().filter(is_early).count()
            })
        });
        early.max().unwrap_or_default()
    }
}

/// Sends a request on a connection of its own; returns whether it was answered by a runner.
async fn call(entry: SocketAddr, id: &str, path: &str) -> bool {
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: host.example\r\nrequest-id: {id}\r\nconnection: close\r\n\
         authorization: Bearer key\r\ndeadline-remaining-ms: 3000\r\ncontent-length: 0\r\n\r\n"
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

async fn soak(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut site = Site::start().await;
    let callers = Arc::clone(&site.callers);
    let mut load_random = StdRng::seed_from_u64(random.random());
    let load = tokio::spawn(async move {
        let (start, mut calls, mut number) = (Instant::now(), JoinSet::new(), 0);
        while start.elapsed() < LOAD_TIME {
            sleep(Duration::from_millis(load_random.random_range(5..20))).await;
            number += 1;
            let callers = callers.lock().expect("the lock is not poisoned").clone();
            if callers.is_empty() {
                continue;
            }
            let (entry, index, starts) = callers[load_random.random_range(0..callers.len())];
            let path = ["/safe/", "/unsafe/"][load_random.random_range(0..2)];
            let id = format!("{seed}-{index}-{starts}.{number}");
            calls.spawn(async move { call(entry, &id, path).await });
        }
        calls.join_all().await
    });

    site.disturb(&mut random, || load.is_finished()).await;
    let ended = load.await.expect("the load ends");

    let late: Vec<usize> = (0..RUNNERS).map(|number| site.late_requests(number)).collect();
    let early: Vec<usize> = (0..RUNNERS).map(|number| site.early_requests(number)).collect();
    let answered = ended.iter().filter(|answered| **answered).count();
    println!(
        "seed {seed}: late after leaving {late:?}, early in a rest {early:?}, {answered} of {} answered",
        ended.len()
    );
    assert!(late.iter().all(|late| *late == 0), "seed {seed}: {late:?}");
    assert!(early.iter().all(|early| *early <= MAX_EARLY), "seed {seed}: {early:?}");
    assert!(answered * 2 >= ended.len(), "seed {seed}: {answered} of {}", ended.len());
}

/// Guards against requests to runners that said they leave or rest, while the processes that know of it are slowed
/// and killed, agents are frozen, records change and the store is away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runners_that_leave_or_rest_get_no_requests_while_processes_and_the_store_fail() {
    let seeds = std::env::var("WAGTAILHILL_SOAK_SEEDS").ok();
    let seeds = seeds.map_or(DEFAULT_SEEDS, |seeds| seeds.parse().expect("a number of seeds"));
    for seed in 0..seeds {
        soak(seed).await;
    }
}
