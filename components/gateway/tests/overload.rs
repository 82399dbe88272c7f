//! The limit of the requests in work, in virtual time.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use gateway::overload::{self, Work};

const MAX_CONNECTIONS: usize = 1_000;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A host that carries out requests one after the other while it runs.
struct Host {
    /// Time for one request.
    request_time: Duration,
    /// Time in which the host runs, of each tenth of a second.
    running_time: Duration,
    /// Time that a request's transfer takes, whatever the load.
    transfer_time: Duration,
}

/// Result of a load.
struct Load {
    /// Connections that were accepted, and those that were refused.
    accepted: u32,
    refused: u32,
    /// Durations of the requests in work in the second half of the time.
    durations: Vec<Duration>,
}

impl Load {
    fn median(&mut self) -> Duration {
        self.durations.sort_unstable();
        self.durations[self.durations.len() / 2]
    }
}

/// Sends connections at a rate, each for one request, to a host that starts without load.
fn load(host: &Host, per_second: u64, time: Duration) -> Load {
    let admission = overload::open(MAX_CONNECTIONS);
    let start = Instant::now();
    let mut load = Load { accepted: 0, refused: 0, durations: Vec::new() };
    let mut queue: VecDeque<(Instant, Work)> = VecDeque::new();
    let (mut arrived, mut waiting, mut is_refusing) = (0, 0, false);
    let mut idle_at = start;
    let mut now = start;
    while now < start + time {
        now += ms(1);
        let since = now - start;
        let is_running = since.as_millis() % 100 < host.running_time.as_millis();
        let due = since.as_millis() as u64 * per_second / 1_000;
        let new = (due - arrived) as u32;
        arrived = due;
        if is_running && is_refusing {
            is_refusing = !admission.may_resume(now, 0);
        }
        if is_refusing {
            load.refused += new;
        } else {
            // While the host stands still, its kernel keeps the connections.
            waiting += new;
        }
        while is_running && waiting > 0 && !is_refusing {
            if admission.has_room(now, 0) {
                waiting -= 1;
                load.accepted += 1;
                queue.push_back((now, admission.begin(now)));
            } else {
                load.refused += std::mem::take(&mut waiting);
                is_refusing = true;
            }
        }
        while is_running
            && idle_at <= now
            && queue.front().is_some_and(|&(at, _)| now >= at + host.transfer_time)
            && let Some((at, work)) = queue.pop_front()
        {
            work.finish(now);
            idle_at = idle_at.max(now - ms(1)) + host.request_time;
            if since * 2 > time {
                load.durations.push(now - at);
            }
        }
    }
    load
}

/// Guards against a host that accepts more than it can carry out, so that what it read is late.
#[test]
fn work_stays_short_at_three_times_the_capacity_of_a_slow_core() {
    let host = Host { request_time: ms(5), running_time: ms(100), transfer_time: Duration::ZERO };

    let mut load = load(&host, 600, Duration::from_secs(10));

    assert!(load.median() <= ms(100), "{:?}", load.median());
    assert!(
        load.accepted >= 1_500,
        "{} accepted of 2,000 that the host can carry out",
        load.accepted
    );
}

/// Guards against an overload that a core by quota hides, which catches up in each period.
#[test]
fn work_stays_short_at_three_times_the_capacity_of_a_core_by_quota() {
    let request_time = Duration::from_micros(500);
    let host = Host { request_time, running_time: ms(9), transfer_time: Duration::ZERO };

    let mut load = load(&host, 540, Duration::from_secs(10));

    assert!(load.median() <= ms(200), "{:?}", load.median());
    assert!(
        load.accepted >= 1_000,
        "{} accepted of 1,800 that the host can carry out",
        load.accepted
    );
}

/// Guards against refusals at a host that stands still for most of each tenth of a second, but isn't overloaded.
#[test]
fn a_core_by_quota_refuses_nothing_below_its_capacity() {
    let request_time = Duration::from_micros(500);
    let host = Host { request_time, running_time: ms(9), transfer_time: Duration::ZERO };

    let load = load(&host, 90, Duration::from_secs(10));

    assert_eq!((load.accepted, load.refused), (900, 0));
}

/// Guards against refusals because callers are far away.
#[test]
fn a_long_transfer_alone_is_no_overload() {
    let request_time = Duration::from_micros(100);
    let host = Host { request_time, running_time: ms(100), transfer_time: ms(90) };

    let load = load(&host, 200, Duration::from_secs(10));

    assert_eq!((load.accepted, load.refused), (2_000, 0));
}

/// Guards against a few callers with slow links for whom all others are refused.
#[test]
fn a_minority_of_slow_callers_does_not_lower_the_limit() {
    let admission = overload::open(MAX_CONNECTIONS);
    let mut now = Instant::now();
    let before = admission.limit(now).0;
    for number in 0..1_000 {
        now += ms(10);
        let duration = if number % 5 == 0 { ms(900) } else { ms(2) };
        admission.begin(now - duration).finish(now);
    }

    assert!(admission.limit(now).0 >= before);
}

/// Guards against callers that open connections and send nothing, and so keep others out.
#[test]
fn silent_connections_count_as_work_for_a_second_only() {
    let admission = overload::open(MAX_CONNECTIONS);
    let now = Instant::now();
    let silent: Vec<Work> = (0..200).map(|_| admission.begin(now)).collect();
    let while_new = admission.has_room(now, silent.len());

    let later = now + ms(1_000);

    assert!(!while_new);
    assert!(admission.has_room(later, silent.len()));
}

/// Guards against a first request after a long silence that counts as one that took as long.
#[test]
fn work_on_a_request_after_a_silence_begins_with_the_request() {
    let admission = overload::open(MAX_CONNECTIONS);
    let mut now = Instant::now();
    for _ in 0..10 {
        let work = admission.begin(now);
        now += ms(5_000);
        work.receive(now).finish(now + ms(1));
    }
    let works: Vec<Work> = (0..6).map(|_| admission.begin(now)).collect();
    works.into_iter().for_each(|work| work.finish(now + ms(1)));

    assert_eq!(admission.limit(now + ms(1)).1, Some(ms(1)));
}

/// Guards against more connections than the host's memory and descriptors bear.
#[test]
fn connections_are_limited_without_any_work() {
    let admission = overload::open(MAX_CONNECTIONS);
    let now = Instant::now();

    assert!(admission.has_room(now, MAX_CONNECTIONS - 1));
    assert!(!admission.has_room(now, MAX_CONNECTIONS));
}
