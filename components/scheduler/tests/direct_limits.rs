//! Limits of client accounts that several entry processes enforce together, under network partitions,
//! kills and restarts. The tests measure the units of all dispatched requests in each window.

mod direct_support;

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use direct_support::{
    PEER_TIMEOUT, Process, TOLERANCE_WINDOW, address, configuration, dispatches, empty_process,
    limit, refusals, request, route, settings, targets,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use scheduler::direct::{
    self, Effect, Event, Now, Outcome, Registration, Ticket, Tokens,
    allowance::Tolerance,
    plan::{PoolShare, Repeat, Route},
};
use test_case::test_case;

const PROPTEST_CASES: u32 = 40;
const PROCESSES: u16 = 4;
/// Time of one step: half of the exchange period.
const STEP: Duration = Duration::from_millis(25);
/// Limit of the account in units a second; also its burst in units.
const RATE: f64 = 10_000.0;
const TOLERANCE: Tolerance = Tolerance { ratio: 0.1, slack: 12_000.0, window: TOLERANCE_WINDOW };

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The connection between two processes is cut.
    CutPair(u16, u16),
    /// One process is cut off from all others and from the platform.
    Isolate(u16),
    /// One process is cut off from the platform.
    CutPlatform(u16),
    /// One process is killed and restarted at once.
    Restart(u16),
    /// All processes are killed and restarted at once.
    RestartAll,
    /// All connections work again.
    Heal,
}

#[derive(Clone, Copy, Debug)]
struct Phase {
    /// Fault at the start of the phase.
    fault: Fault,
    /// Number of steps until the next phase.
    steps: u16,
    /// Number of the process to which most requests go.
    busiest: u16,
}

struct Fleet {
    processes: Vec<Process>,
    cut_pairs: Vec<(u16, u16)>,
    isolated: Vec<u16>,
    cut_from_platform: Vec<u16>,
    last_incarnation: u64,
    last_stamp: u64,
    last_ticket: Ticket,
    /// Units of the waiting requests, by process and ticket.
    waiting: HashMap<(u16, Ticket), u32>,
    /// Dispatch time and units of each request in the last window, in order.
    dispatched: VecDeque<(Instant, f64)>,
    /// Number of dispatched requests, by their units.
    served: HashMap<u32, u32>,
    /// Most units that were dispatched within any window.
    max_window_units: f64,
}

fn proptest_config() -> Config {
    Config {
        cases: PROPTEST_CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    }
}

fn phase() -> impl Strategy<Value = Phase> {
    let process = 0..PROCESSES;
    let fault = prop_oneof![
        3 => (process.clone(), process.clone()).prop_map(|(a, b)| Fault::CutPair(a, b)),
        2 => process.clone().prop_map(Fault::Isolate),
        2 => process.clone().prop_map(Fault::CutPlatform),
        2 => process.clone().prop_map(Fault::Restart),
        1 => Just(Fault::RestartAll),
        2 => Just(Fault::Heal),
    ];
    (fault, 20..400_u16, process).prop_map(|(fault, steps, busiest)| Phase {
        fault,
        steps,
        busiest,
    })
}

fn start_process(number: u16, incarnation: u64, now: Now) -> Process {
    let mut settings = settings(number + 1);
    settings.incarnation = incarnation;
    settings.tolerance = TOLERANCE;
    let address = settings.address;
    let mut process = Process { state: direct::open(now.steady, settings), now, address, era: 1 };
    let configuration = configuration(1, vec![route("/a/", Repeat::Idempotent)], Some(limit(RATE)));
    process.send(Event::ConfigurationRead(Arc::new(configuration)));
    process.list_targets(targets(60));
    process
}

fn fleet() -> Fleet {
    let now = empty_process(0).now;
    let processes =
        (0..PROCESSES).map(|number| start_process(number, u64::from(number), now)).collect();
    Fleet {
        processes,
        cut_pairs: Vec::new(),
        isolated: Vec::new(),
        cut_from_platform: Vec::new(),
        last_incarnation: 1_000,
        last_stamp: 0,
        last_ticket: 0,
        waiting: HashMap::new(),
        dispatched: VecDeque::new(),
        served: HashMap::new(),
        max_window_units: 0.0,
    }
}

/// Returns a fleet whose account has sent three times its limit for longer than a window.
fn overloaded_fleet() -> Fleet {
    let mut fleet = fleet();
    fleet.register_all();
    for step in 0..400 {
        fleet.overload(step, 0);
    }
    fleet
}

impl Fleet {
    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::CutPair(a, b) => self.cut_pairs.push((a, b)),
            Fault::Isolate(process) => self.isolated.push(process),
            Fault::CutPlatform(process) => self.cut_from_platform.push(process),
            Fault::Restart(process) => self.restart(process),
            Fault::RestartAll => (0..PROCESSES).for_each(|process| self.restart(process)),
            Fault::Heal => {
                self.cut_pairs.clear();
                self.isolated.clear();
                self.cut_from_platform.clear();
            }
        }
    }

    fn restart(&mut self, number: u16) {
        self.last_incarnation += 1;
        let now = self.processes[usize::from(number)].now;
        self.processes[usize::from(number)] = start_process(number, self.last_incarnation, now);
        self.register_all();
    }

    fn are_connected(&self, a: u16, b: u16) -> bool {
        let is_isolated = self.isolated.contains(&a) || self.isolated.contains(&b);
        !is_isolated && !self.cut_pairs.contains(&(a, b)) && !self.cut_pairs.contains(&(b, a))
    }

    fn reaches_platform(&self, number: u16) -> bool {
        !self.isolated.contains(&number) && !self.cut_from_platform.contains(&number)
    }

    /// Every process that reaches the platform registers there, confirms its configuration and reads
    /// which processes are registered.
    fn register_all(&mut self) {
        self.last_stamp += 1;
        let stamp = self.last_stamp;
        let registration = |number| Registration { address: address(number + 1), stamp };
        let reaching = (0..PROCESSES).filter(|&number| self.reaches_platform(number));
        let registered: Vec<Registration> = reaching.map(registration).collect();
        for number in 0..PROCESSES {
            if self.reaches_platform(number) {
                self.run(number, |process| process.confirm_configuration());
                self.run(number, |process| {
                    process.send(Event::PeersDiscovered(registered.clone()))
                });
            }
        }
    }

    /// All pairs of connected processes exchange rows and offers.
    fn exchange(&mut self) {
        for a in 0..PROCESSES {
            for b in a + 1..PROCESSES {
                if !self.are_connected(a, b) {
                    continue;
                }
                let now = self.processes[0].now.steady;
                let from_a = self.processes[usize::from(a)].state.next_row(now);
                let from_b = self.processes[usize::from(b)].state.next_row(now);
                self.run(b, |process| process.send(Event::RowsReceived(vec![from_a])));
                self.run(a, |process| process.send(Event::RowsReceived(vec![from_b])));
                self.fetch(a, b);
                self.fetch(b, a);
            }
        }
    }

    /// One process receives another's offer and fetches what it lacks.
    fn fetch(&mut self, receiver: u16, sender: u16) {
        let sender = &self.processes[usize::from(sender)];
        let sender = Process { state: sender.state.clone(), ..*sender };
        self.run(receiver, |process| process.sync_from(&sender));
    }

    /// Sends a request, which ends as soon as it is dispatched, to a process.
    fn send_request(&mut self, number: u16, prompt: u32) {
        self.last_ticket += 1;
        let mut request = request(self.last_ticket, "/a/");
        request.tokens = Some(Tokens { prompt, max_output: 0 });
        self.waiting.insert((number, self.last_ticket), prompt);
        self.run(number, |process| process.arrive(request));
    }

    /// Runs an action on a process and counts all requests that are dispatched because of it.
    fn run(&mut self, number: u16, action: impl FnOnce(&mut Process) -> Vec<Effect>) {
        let mut effects = action(&mut self.processes[usize::from(number)]);
        while !effects.is_empty() {
            let process = &mut self.processes[usize::from(number)];
            let now = process.now.steady;
            let mut next = Vec::new();
            for dispatch in dispatches(&effects) {
                next.extend(process.end_dispatch(dispatch.ticket, Outcome::Completed));
                let prompt =
                    self.waiting.remove(&(number, dispatch.ticket)).expect("the request was sent");
                *self.served.entry(prompt).or_default() += 1;
                self.dispatched.push_back((now, f64::from(prompt)));
            }
            effects = next;
        }
        self.measure();
    }

    fn measure(&mut self) {
        let now = self.processes[0].now.steady;
        while self.dispatched.front().is_some_and(|(at, _)| now - *at > TOLERANCE_WINDOW) {
            self.dispatched.pop_front();
        }
        let sum = self.dispatched.iter().map(|(_, units)| units).sum();
        self.max_window_units = self.max_window_units.max(sum);
    }

    /// Lets the time of one step pass, in which all connected processes exchange rows.
    fn pass_with_exchange(&mut self, number: u64) {
        self.pass();
        self.exchange();
        if number.is_multiple_of(40) {
            self.register_all();
        }
    }

    /// Lets the time of one step pass.
    fn pass(&mut self) {
        for number in 0..PROCESSES {
            self.run(number, |process| process.advance(STEP));
        }
    }

    /// Lets the time of one step pass while the account sends three times its limit.
    fn overload(&mut self, number: u64, busiest: u16) {
        self.pass();
        if number.is_multiple_of(2) {
            self.exchange();
        }
        if number.is_multiple_of(40) {
            self.register_all();
        }
        // 760 units each 25 ms are three times the limit; most of them go to one process.
        for other in 0..PROCESSES {
            self.send_request(if number.is_multiple_of(3) { other } else { busiest }, 190);
        }
    }
}

/// Returns the most units that may be dispatched within a window.
fn allowed_units() -> f64 {
    let limit = RATE * TOLERANCE_WINDOW.as_secs_f64() + RATE;
    limit * (1.0 + TOLERANCE.ratio) + TOLERANCE.slack
}

proptest! {
    #![proptest_config(proptest_config())]

    /// Guards against any order of faults in which an account's use exceeds its limit by more than the
    /// tolerance.
    #[test]
    fn use_in_any_window_stays_within_the_limit_under_random_faults(
        phases in proptest::collection::vec(phase(), 1..6),
    ) {
        let mut fleet = fleet();
        fleet.register_all();
        let mut steps = 0;
        for phase in phases {
            fleet.inject(phase.fault);
            for _ in 0..phase.steps {
                steps += 1;
                fleet.overload(steps, phase.busiest);
            }
        }
        prop_assert!(
            fleet.max_window_units <= allowed_units(),
            "{} of {}",
            fleet.max_window_units,
            allowed_units()
        );
    }
}

/// Guards against refusals of an account below its limit whose requests all arrive at one process.
#[test]
fn nothing_below_the_limit_is_refused_while_all_processes_are_connected() {
    let mut fleet = fleet();
    fleet.register_all();
    for step in 0..40 {
        fleet.overload(step * 2, 0);
    }
    let before = fleet.dispatched.len();

    for step in 1..=400_u64 {
        fleet.pass_with_exchange(step);
        // 190 units each 25 ms are 0.76 of the limit; all of them go to one process.
        fleet.send_request(2, 190);
    }

    let window =
        usize::try_from(TOLERANCE_WINDOW.as_millis() / STEP.as_millis()).expect("a small number");
    assert!(before > 0);
    assert!(fleet.dispatched.len() >= window, "{} of {window}", fleet.dispatched.len());
}

/// Guards against an incident: after the connection between two processes had been cut for a while, all
/// processes refused accounts far below their limits.
#[test]
fn use_below_the_limit_while_two_processes_were_cut_apart_is_not_charged_afterwards() {
    let mut fleet = fleet();
    fleet.register_all();
    (0..400).for_each(|step| fleet.pass_with_exchange(step));
    fleet.inject(Fault::CutPair(0, 1));
    for step in 400..800_u64 {
        fleet.pass_with_exchange(step);
        // 0.6 of the limit, the same at each process.
        fleet.send_request((step % 4) as u16, 150);
    }
    fleet.inject(Fault::Heal);
    fleet.served.clear();

    for step in 800..880_u64 {
        fleet.pass_with_exchange(step);
        // 0.6 of the limit; all of it at one process that stayed connected to all others.
        fleet.send_request(2, 150);
    }

    let served = fleet.served.get(&150).copied().unwrap_or_default();
    assert_eq!(served, 80);
}

/// Guards against an incident: while two processes of many weren't connected, as after each start of a
/// process, every process refused requests beyond its equal part of their accounts' limits.
#[test]
fn a_process_connected_to_all_uses_more_than_its_part_while_two_others_are_cut_apart() {
    let mut fleet = fleet();
    fleet.register_all();
    (0..400).for_each(|step| fleet.pass_with_exchange(step));
    fleet.inject(Fault::CutPair(0, 3));

    for step in 400..800_u64 {
        fleet.pass_with_exchange(step);
        // 0.76 of the limit; all of it goes to one process.
        fleet.send_request(2, 190);
    }

    let served = fleet.served.get(&190).copied().unwrap_or_default();
    assert_eq!(served, 400);
}

/// Guards against a process that is cut off from its peers, but not from the platform, and no longer
/// counts them as active: it would use the whole limit while they use it too.
#[test]
fn a_peer_that_still_registers_at_the_platform_counts_as_active() {
    let mut fleet = fleet();
    fleet.register_all();
    fleet.inject(Fault::CutPair(0, 1));
    fleet.inject(Fault::CutPair(0, 2));
    fleet.inject(Fault::CutPair(0, 3));
    let steps = (PEER_TIMEOUT * 3).as_millis() / STEP.as_millis();

    for step in 0..u64::try_from(steps).expect("a small number") {
        fleet.overload(step, 0);
    }

    assert!(fleet.processes[0].state.is_missing_peers(fleet.processes[0].now.steady));
    assert!(
        fleet.max_window_units <= allowed_units(),
        "{} of {}",
        fleet.max_window_units,
        allowed_units()
    );
}

/// Guards against two processes that both use the part of a third, which is connected to both, while
/// neither receives the other's rows.
#[test]
fn two_processes_cut_apart_do_not_both_use_the_part_of_a_third() {
    let mut fleet = fleet();
    fleet.register_all();
    fleet.overload(2, 0);
    fleet.inject(Fault::CutPair(0, 1));

    for step in 0..800_u64 {
        fleet.pass_with_exchange(step);
        for process in [0, 1, 0, 1] {
            fleet.send_request(process, 190);
        }
    }

    assert!(
        fleet.max_window_units <= allowed_units(),
        "{} of {}",
        fleet.max_window_units,
        allowed_units()
    );
}

/// Guards against small requests that take all units of a nearly empty bucket, so that large ones never
/// find enough.
#[test]
fn beyond_the_limit_large_requests_are_served_as_often_as_small_ones() {
    let mut fleet = fleet();
    fleet.register_all();

    let sizes = [50, 400];
    for step in 1..=2_400_u64 {
        fleet.pass_with_exchange(step);
        // Both sizes together are 1.8 times the limit, and neither always arrives first.
        let first = usize::from(step % 5 < 2);
        for size in [first, 1 - first] {
            fleet.send_request(1, sizes[size]);
        }
    }

    let [small, large] = sizes.map(|size| fleet.served.get(&size).copied().unwrap_or_default());
    assert!(large * 4 >= small * 3, "{large} large, {small} small");
}

/// Guards against processes that get units at each restart beyond those that the limit allows.
#[test]
fn restarts_in_turn_let_no_account_exceed_its_limit() {
    let mut fleet = overloaded_fleet();

    for step in 0..800_u64 {
        // One process restarts every 300 ms, so each of the four restarts about 17 times.
        if step.is_multiple_of(12) {
            fleet.inject(Fault::Restart(u16::try_from(step / 12 % 4).expect("a small number")));
        }
        fleet.overload(step, u16::try_from(step / 12 % 4).expect("a small number"));
    }

    assert!(
        fleet.max_window_units <= allowed_units(),
        "{} of {}",
        fleet.max_window_units,
        allowed_units()
    );
}

/// Guards against refusals just after a start, when buckets are empty, of requests that would get their
/// units within their wait.
#[test]
fn after_a_restart_of_all_processes_requests_below_the_limit_wait_and_are_served() {
    let mut fleet = fleet();
    fleet.register_all();
    for step in 0..400 {
        fleet.pass_with_exchange(step);
    }
    fleet.inject(Fault::RestartAll);
    fleet.served.clear();

    // 125 units each 25 ms are half of the limit.
    for step in 0..40_u64 {
        fleet.pass_with_exchange(step);
        fleet.send_request(u16::try_from(step % 4).expect("a small number"), 125);
    }

    let served = fleet.served.get(&125).copied().unwrap_or_default();
    assert!(served >= 36, "{served} of 40");
}

/// Guards against extra units after a start that add up over repeated restarts within one window.
#[test_case(3; "three")]
#[test_case(6; "six")]
#[test_case(12; "twelve")]
fn repeated_restarts_of_all_processes_let_no_account_exceed_its_limit(times: u64) {
    let mut fleet = overloaded_fleet();
    // Without requests, all buckets fill up.
    (0..400).for_each(|step| fleet.pass_with_exchange(step));

    for step in 0..400_u64 {
        // All restarts fall within one window, and requests arrive all the time.
        if step >= 40 && (step - 40).is_multiple_of(260 / times) && step < 300 {
            fleet.inject(Fault::RestartAll);
        }
        fleet.overload(step, 0);
    }

    assert!(
        fleet.max_window_units <= allowed_units(),
        "{} of {}",
        fleet.max_window_units,
        allowed_units()
    );
}

/// Guards against an incident: units that one process took and returned, because its requests found no
/// free target, stayed charged at all other processes, which refused the account far below its limit.
#[test]
fn units_that_another_process_gave_back_are_not_counted_as_used() {
    let no_targets = PoolShare { pool: "no-targets".into(), weight: 1 };
    let no_targets = Route { pools: vec![no_targets], ..route("/b/", Repeat::Idempotent) };
    let configuration = Arc::new(configuration(
        1,
        vec![route("/a/", Repeat::Idempotent), no_targets],
        Some(limit(RATE)),
    ));
    let mut processes = [1, 2].map(empty_process);
    for process in &mut processes {
        process.send(Event::ConfigurationRead(Arc::clone(&configuration)));
        process.confirm_configuration();
        process.list_targets(targets(60));
    }
    let pass = |processes: &mut [Process; 2], time: Duration| {
        let rows = processes.each_mut().map(|process| {
            process.advance(time);
            process.confirm_configuration();
            process.state.next_row(process.now.steady)
        });
        let [first, second] = processes;
        let [of_first, of_second] = rows;
        [
            first.send(Event::RowsReceived(vec![of_second])),
            second.send(Event::RowsReceived(vec![of_first])),
        ]
    };
    let request_with_tokens = |ticket, path, prompt| {
        let tokens = Some(Tokens { prompt, max_output: 0 });
        direct::Request { tokens, ..request(ticket, path) }
    };
    (0..20).for_each(|_| drop(pass(&mut processes, Duration::from_millis(200))));

    // Bursts of 18,000 units, nearly twice the account's burst, to a pool without targets.
    for ticket in 0..200 {
        processes[0].arrive(request_with_tokens(ticket, "/b/", 900));
        if ticket % 20 == 19 {
            (0..4).for_each(|_| drop(pass(&mut processes, Duration::from_millis(200))));
        }
    }
    let effects =
        (200..220).flat_map(|ticket| processes[1].arrive(request_with_tokens(ticket, "/a/", 190)));

    assert_eq!(dispatches(&effects.collect::<Vec<Effect>>()).len(), 20);
}

/// Guards against requests that wait for units for most of their time and are refused when it is too late
/// for their callers to retry.
#[test]
fn a_request_that_would_wait_too_long_for_units_is_refused_at_once_with_a_retry_time() {
    // A target latency of 800 ms gives a longest wait of 600 ms, of which 240 ms may pass while a request
    // waits for units: the time that the units of two requests take.
    let configuration =
        configuration(1, vec![route("/a/", Repeat::Idempotent)], Some(limit(1_000.0)));
    let mut process = direct_support::configured_process(configuration, targets(99));
    let request = |ticket| {
        let tokens = Some(Tokens { prompt: 100, max_output: 0 });
        direct::Request { tokens, ..direct_support::request(ticket, "/a/") }
    };

    let effects: Vec<Effect> = (0..40).flat_map(|ticket| process.arrive(request(ticket))).collect();

    let (started, refused) = (dispatches(&effects).len(), refusals(&effects));
    assert_eq!(started + 2 + refused.len(), 40);
    let wait = refused[0].1.retry_after.expect("the refusal states a retry time");
    assert!(wait > Duration::from_millis(240) && wait <= Duration::from_millis(340), "{wait:?}");
}
