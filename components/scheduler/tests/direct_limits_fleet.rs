//! Limits of client accounts that many entry processes enforce together. A row is as old as an exchange
//! period, in which the processes together may admit more units than are left.

mod direct_support;

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use direct_support::{
    Process, TOLERANCE_WINDOW, address, configuration, dispatches, empty_process, limit, refusals,
    request, route, settings, targets,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use scheduler::direct::{
    self, Effect, Event, Outcome, RefusalReason, Registration, Request, Ticket, Tokens,
    allowance::Tolerance,
    peers,
    plan::{PoolShare, Repeat, Route},
};
use test_case::test_case;

/// Steps in each exchange period; in each step a part of the processes start exchanges.
const STEPS_PER_PERIOD: usize = 10;
/// Limit of the account in units a second; also its burst in units.
const RATE: f64 = 100_000.0;
/// Units of a request.
const REQUEST_UNITS: u32 = 400;
const TOLERANCE: Tolerance = Tolerance { ratio: 0.1, slack: 12_000.0, window: TOLERANCE_WINDOW };
/// Time in which rows reach all processes and their buckets fill after the start.
const WARM_UP: Duration = Duration::from_secs(4);
/// Path of a pool with targets.
const SERVED_PATH: &str = "/a/";
/// Path of a pool without targets: its requests are refused after their wait, and their units returned.
const UNSERVED_PATH: &str = "/b/";

/// Requests that the account sends, in units a second as fractions of its limit.
#[derive(Clone, Copy, Debug)]
struct Demand {
    /// Requests to the pool with targets.
    served: f64,
    /// Requests to the pool without targets.
    unserved: f64,
    /// Number of processes to which the requests go.
    processes: usize,
}

/// Entry processes with rows of each other and requests of one account.
struct Fleet {
    processes: Vec<Process>,
    random: StdRng,
    /// Number of processes, the first ones, that can't reach one another.
    cut_apart: usize,
    step: usize,
    last_ticket: Ticket,
    /// Units that demand has added and no request has taken yet, by path.
    owed_units: HashMap<&'static str, f64>,
    /// Dispatch time of each request in the last window, in order.
    dispatched: VecDeque<Instant>,
    /// Most units that were dispatched within any window.
    max_window_units: f64,
    /// Number of requests that were dispatched.
    served: usize,
    /// Number of requests that were refused because of the account's limit.
    limited: usize,
}

/// Returns processes that have started together and know each other's addresses.
fn fleet(count: u16, seed: u64) -> Fleet {
    let no_targets = PoolShare { pool: "no-targets".into(), weight: 1 };
    let routes = vec![
        route(SERVED_PATH, Repeat::Idempotent),
        Route { pools: vec![no_targets], ..route(UNSERVED_PATH, Repeat::Idempotent) },
    ];
    let configuration = Arc::new(configuration(1, routes, Some(limit(RATE))));
    let now = empty_process(0).now;
    let registrations: Vec<Registration> = (1..=count)
        .map(|number| Registration { address: address(number), stamp: u64::from(number) })
        .collect();
    let processes = (1..=count).map(|number| {
        let settings = direct::Settings { tolerance: TOLERANCE, ..settings(number) };
        let address = settings.address;
        let state = direct::open(now.steady, settings);
        let mut process = Process { state, now, address, era: 1 };
        process.send(Event::ConfigurationRead(Arc::clone(&configuration)));
        process.confirm_configuration();
        process.list_targets(targets(60));
        process.send(Event::PeersDiscovered(registrations.clone()));
        process
    });
    Fleet {
        processes: processes.collect(),
        random: StdRng::seed_from_u64(seed),
        cut_apart: 0,
        step: 0,
        last_ticket: 0,
        owed_units: HashMap::new(),
        dispatched: VecDeque::new(),
        max_window_units: 0.0,
        served: 0,
        limited: 0,
    }
}

/// Returns the most units that may be dispatched within a window.
fn allowed_units() -> f64 {
    let limit = RATE * TOLERANCE_WINDOW.as_secs_f64() + RATE;
    limit * (1.0 + TOLERANCE.ratio) + TOLERANCE.slack
}

impl Fleet {
    /// Lets time pass while the account sends requests.
    fn run(&mut self, time: Duration, demand: Demand) {
        let period = peers::exchange_period(self.processes.len() - 1);
        let step = period / STEPS_PER_PERIOD as u32;
        for _ in 0..time.div_duration_f64(step).round() as usize {
            self.step += 1;
            for index in 0..self.processes.len() {
                self.send(index, |process| process.advance(step));
                self.send(index, |process| process.confirm_configuration());
            }
            self.exchange();
            for (path, rate) in [(SERVED_PATH, demand.served), (UNSERVED_PATH, demand.unserved)] {
                self.send_requests(path, rate * RATE * step.as_secs_f64(), demand.processes);
            }
        }
    }

    /// Starts the exchanges of the processes whose turn it is, each with those of higher addresses.
    fn exchange(&mut self) {
        let round = (self.step / STEPS_PER_PERIOD) as u64;
        for own in (self.step % STEPS_PER_PERIOD..self.processes.len()).step_by(STEPS_PER_PERIOD) {
            for other in own + 1..self.processes.len() {
                if other < self.cut_apart {
                    continue;
                }
                let all = peers::sends_all_rows(round, own, other - 1);
                let [of_own, of_other] = [own, other].map(|index| {
                    let process = &mut self.processes[index];
                    let mut rows = vec![process.state.next_row(process.now.steady)];
                    if all {
                        rows.extend(process.state.peer_rows(process.now.steady));
                    }
                    rows
                });
                self.send(other, |process| process.send(Event::RowsReceived(of_own)));
                self.send(own, |process| process.send(Event::RowsReceived(of_other)));
            }
        }
    }

    /// Sends as many requests as the units pay for to randomly chosen processes.
    fn send_requests(&mut self, path: &'static str, units: f64, processes: usize) {
        let owed = self.owed_units.entry(path).or_default();
        *owed += units;
        let count = (*owed / f64::from(REQUEST_UNITS)) as usize;
        *owed -= count as f64 * f64::from(REQUEST_UNITS);
        for _ in 0..count {
            self.last_ticket += 1;
            let tokens = Some(Tokens { prompt: REQUEST_UNITS, max_output: 0 });
            let request = Request { tokens, ..request(self.last_ticket, path) };
            let index = self.random.random_range(0..processes);
            self.send(index, |process| process.arrive(request));
        }
    }

    /// Runs an action on a process, ends all requests that are dispatched because of it, and counts them.
    fn send(&mut self, index: usize, action: impl FnOnce(&mut Process) -> Vec<Effect>) {
        let process = &mut self.processes[index];
        let mut effects = action(process);
        while !effects.is_empty() {
            let limited = refusals(&effects)
                .into_iter()
                .filter(|(_, refusal)| refusal.reason == RefusalReason::AccountLimit);
            self.limited += limited.count();
            let mut next = Vec::new();
            for dispatch in dispatches(&effects) {
                next.extend(process.end_dispatch(dispatch.ticket, Outcome::Completed));
                self.dispatched.push_back(process.now.steady);
                self.served += 1;
            }
            effects = next;
        }
        let now = process.now.steady;
        while self.dispatched.front().is_some_and(|at| now - *at > TOLERANCE_WINDOW) {
            self.dispatched.pop_front();
        }
        let units = self.dispatched.len() as f64 * f64::from(REQUEST_UNITS);
        self.max_window_units = self.max_window_units.max(units);
    }
}

/// Guards against many processes that all spend the same units before they learn of each other's use, also
/// while a part of them is cut apart from one another, and against units that count as returned although
/// their requests ran.
#[test_case(31, 11, 3.0; "of 31 processes with three times the limit")]
#[test_case(68, 24, 3.0; "of 68 processes with three times the limit")]
#[test_case(68, 24, 1.5; "of 68 processes with one and a half times the limit")]
fn use_of_many_processes_stays_within_the_limit(count: u16, cut_apart: usize, served: f64) {
    let mut fleet = fleet(count, 1);
    let demand = Demand { served, unserved: served / 2.0, processes: usize::from(count) };

    fleet.run(WARM_UP, Demand { served: 0.0, unserved: 0.0, ..demand });
    fleet.run(Duration::from_secs(4), demand);
    fleet.cut_apart = cut_apart;
    fleet.run(Duration::from_secs(9), demand);
    fleet.cut_apart = 0;
    fleet.run(Duration::from_secs(5), demand);

    let (units, allowed) = (fleet.max_window_units, allowed_units());
    assert!(units <= allowed, "{units} units of {allowed}");
}

/// Guards against refusals of an account below its limit, of whose requests some find no target and return
/// their units, before and after a part of the processes is cut apart from one another.
#[test_case(31, 11, 31; "of 31 processes")]
#[test_case(68, 24, 68; "of 68 processes")]
#[test_case(68, 24, 3; "of 68 processes, all of them to three")]
fn many_processes_refuse_nothing_below_the_limit(count: u16, cut_apart: usize, used: usize) {
    let mut fleet = fleet(count, 2);
    let demand = Demand { served: 0.6, unserved: 0.2, processes: used };

    fleet.run(WARM_UP, Demand { served: 0.0, unserved: 0.0, ..demand });
    fleet.run(Duration::from_secs(6), demand);
    let limited_before = fleet.limited;
    fleet.cut_apart = cut_apart;
    fleet.run(Duration::from_secs(3), demand);
    fleet.cut_apart = 0;
    // The rows of all processes have reached all others again after this time.
    fleet.run(peers::exchange_period(usize::from(count) - 1) * 2, demand);
    let (served, limited) = (fleet.served, fleet.limited);
    fleet.run(Duration::from_secs(6), demand);

    let limited_after = fleet.limited - limited;
    let served_after = (fleet.served - served) as f64 * f64::from(REQUEST_UNITS);
    assert_eq!((limited_before, limited_after), (0, 0));
    assert!(served_after >= 0.58 * RATE * 6.0, "{served_after} units served");
}

/// Guards against units that come into being where one process takes more than a burst and returns it, while
/// the others cut off the debt that they charge.
#[test_case(4; "of 4 processes")]
#[test_case(31; "of 31 processes")]
fn units_that_one_process_returns_again_and_again_are_no_more_than_it_took(count: u16) {
    let mut fleet = fleet(count, 3);
    let returned = Demand { served: 0.0, unserved: 8.0, processes: 1 };
    let served = Demand { served: 3.0, unserved: 0.0, processes: usize::from(count) };

    fleet.run(WARM_UP, Demand { unserved: 0.0, ..returned });
    for _ in 0..20 {
        fleet.run(Duration::from_millis(400), returned);
        fleet.run(Duration::from_millis(700), served);
    }

    let (units, allowed) = (fleet.max_window_units, allowed_units());
    assert!(units <= allowed, "{units} units of {allowed}");
}
