//! Tests of rollouts: direct dispatch while a pool's requests are shifted to another version.
//!
//! Load: four entry processes, twelve targets of the old version and twelve of the ordered version, and 150
//! requests a second on two routes. The ordered version is good, or it fails some requests or is slow: from
//! the start or later, on both routes or on one. Processes lose the connection to their peers, and restart.

mod direct_support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use direct_support::{
    Process, address, configuration, dispatches, empty_process, request, route, target,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use scheduler::direct::{
    Effect, Event, LogEntry, Outcome, Target, Ticket,
    peers::Row,
    plan::Repeat,
    relay::Position,
    rollout::{Action, Order, Progress, Report},
};
use test_case::test_case;

/// Virtual time of one simulation step.
const STEP_TIME: Duration = Duration::from_millis(10);
const PROCESSES: usize = 4;
const TARGETS_PER_VERSION: u16 = 12;
/// Mean number of requests that arrive in a step at all processes together.
const REQUESTS_PER_STEP: f64 = 1.5;
/// Time from the order to the deadline of the rollout.
const ROLLOUT_DURATION: Duration = Duration::from_secs(12);
/// Share of the requests that a version may get before it is judged good, as in the fixture's settings.
const EXPOSURE_LIMIT: f64 = 0.1;
/// Requests to the ordered version that are tolerated beyond its share, over all processes.
const EXPOSURE_SLACK: f64 = 50.0;

/// How targets of the ordered version behave.
#[derive(Clone, Copy, Debug)]
struct Behaviour {
    /// Fraction of the requests that fail, from 0 to 1.
    failure_rate: f64,
    /// Factor to the time of a request at a target of the old version.
    slowdown: f64,
    /// Steps after the order before which the version behaves like the old one.
    from_step: u32,
    /// Whether only the requests of the route `/b/` fail or are slow.
    is_one_route_only: bool,
}

const GOOD: Behaviour =
    Behaviour { failure_rate: 0.0, slowdown: 1.0, from_step: 0, is_one_route_only: false };

/// Simulation of the entry processes, the targets and the platform service in virtual time.
struct World {
    processes: Vec<Process>,
    behaviour: Behaviour,
    random: StdRng,
    /// Current step; set to 0 when the order is given.
    step: u32,
    /// Ticket of the newest request.
    last_ticket: Ticket,
    /// Outcome of each dispatch in flight, by the step in which it ends, its process and its ticket.
    in_flight: BTreeMap<(u32, usize, Ticket), Outcome>,
    /// Report that the platform service stores.
    stored_report: Option<Report>,
    /// Processes without a connection to their peers and to the platform service.
    isolated: BTreeSet<usize>,
    /// Fraction of the rows that are lost; the same fraction arrives twice, or after newer ones.
    loss_rate: f64,
    /// Copies of rows to deliver later, with the receiving process.
    delayed_rows: Vec<(usize, Row)>,
    /// Dispatches since the order, over all processes.
    dispatched: u32,
    /// Dispatches to the ordered version since the order, over all processes.
    to_ordered: u32,
    /// Steps in which the ordered version ends a failed or slow answer.
    bad_answer_steps: Vec<u32>,
    /// Steps in which a request was dispatched to the ordered version.
    ordered_dispatch_steps: Vec<u32>,
    /// Step in which the platform service stored a final report.
    decided_step: Option<u32>,
    /// Actions that processes took, in order.
    actions: Vec<Action>,
    /// Requests in flight at targets of the old version when the platform service stored a final report.
    old_in_flight_at_end: usize,
}

fn order() -> Order {
    let position = Position { era: 1, offset: 9 };
    Order { pool: "pool".into(), version: "v2".into(), duration: ROLLOUT_DURATION, position }
}

fn targets(version: &str, first_number: u16) -> Vec<Target> {
    let made = (first_number..first_number + TARGETS_PER_VERSION).map(target);
    made.map(|target| Target { version: version.into(), slots: 9, ..target }).collect()
}

fn all_targets() -> Vec<Target> {
    let mut all = targets("v1", 0);
    all.extend(targets("v2", TARGETS_PER_VERSION));
    all
}

/// Returns a process that has read the configuration and the targets of the old version; its clock is
/// that of `clock`, or the current time for `None`.
fn started_process(number: usize, clock: Option<&Process>) -> Process {
    let mut process = empty_process(number as u16 + 1);
    if let Some(clock) = clock {
        process.now = clock.now;
    }
    let routes = vec![route("/a/", Repeat::Idempotent), route("/b/", Repeat::Never)];
    process.send(Event::ConfigurationRead(configuration(1, routes, None).into()));
    process.confirm_configuration();
    process.list_targets(targets("v1", 0));
    process
}

fn world(behaviour: Behaviour, seed: u64) -> World {
    let mut processes: Vec<Process> =
        (0..PROCESSES).map(|number| started_process(number, None)).collect();
    let now = processes[0].now;
    for process in &mut processes {
        process.now = now;
    }
    World {
        processes,
        behaviour,
        random: StdRng::seed_from_u64(seed),
        step: 0,
        last_ticket: 0,
        in_flight: BTreeMap::new(),
        stored_report: None,
        isolated: BTreeSet::new(),
        loss_rate: 0.0,
        delayed_rows: Vec::new(),
        dispatched: 0,
        to_ordered: 0,
        bad_answer_steps: Vec::new(),
        ordered_dispatch_steps: Vec::new(),
        decided_step: None,
        actions: Vec::new(),
        old_in_flight_at_end: 0,
    }
}

impl World {
    /// Records the rollout actions among the effects of a process, and runs its dispatches.
    fn apply(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in &effects {
            if let Effect::Log(LogEntry::Rollout(step)) = effect {
                self.actions.push(step.action);
            }
        }
        for dispatch in dispatches(&effects) {
            let is_ordered = dispatch.address.port() >= 1_000 + TARGETS_PER_VERSION;
            let is_first_route = dispatch.is_repeatable;
            let is_bad = self.step >= self.behaviour.from_step
                && !(self.behaviour.is_one_route_only && is_first_route);
            let mut held_steps: f64 = self.random.random_range(15.0..35.0);
            let mut outcome = Outcome::Completed;
            self.dispatched += 1;
            if is_ordered {
                self.to_ordered += 1;
                self.ordered_dispatch_steps.push(self.step);
                if is_bad {
                    held_steps *= self.behaviour.slowdown;
                    if self.random.random_bool(self.behaviour.failure_rate) {
                        outcome = Outcome::Failed;
                    }
                    if outcome == Outcome::Failed || self.behaviour.slowdown > 1.5 {
                        self.bad_answer_steps.push(self.step + held_steps as u32);
                    }
                }
            }
            self.in_flight.insert((self.step + held_steps as u32, index, dispatch.ticket), outcome);
        }
    }

    fn send(&mut self, index: usize, event: Event) {
        let effects = self.processes[index].send(event);
        self.apply(index, effects);
    }

    /// Simulates one step: timers, answers that are due, new requests, and every 100 ms the exchange of rows
    /// and reports.
    fn tick(&mut self) {
        self.step += 1;
        for index in 0..self.processes.len() {
            let effects = self.processes[index].advance(STEP_TIME);
            self.apply(index, effects);
        }
        let first_later = (self.step + 1, 0, 0);
        let later = self.in_flight.split_off(&first_later);
        for ((_, index, ticket), outcome) in std::mem::replace(&mut self.in_flight, later) {
            self.send(index, Event::AnswerBegan { ticket });
            let events = 0;
            self.send(index, Event::DispatchEnded { ticket, outcome, begun: false, events });
        }
        let arriving = REQUESTS_PER_STEP as usize
            + usize::from(self.random.random_bool(REQUESTS_PER_STEP.fract()));
        for _ in 0..arriving {
            self.last_ticket += 1;
            let path = if self.random.random_bool(0.7) { "/a/" } else { "/b/" };
            let mut arrived = request(self.last_ticket, path);
            arrived.spread = self.random.random();
            let index = self.random.random_range(0..self.processes.len());
            self.send(index, Event::RequestReceived(arrived));
        }
        if self.step.is_multiple_of(10) {
            self.exchange_rows();
            self.exchange_reports();
        }
    }

    /// Sends the row of each process that isn't isolated to all others that aren't.
    fn exchange_rows(&mut self) {
        for from in 0..self.processes.len() {
            let now = self.processes[from].now.steady;
            let row = self.processes[from].state.next_row(now);
            for to in 0..self.processes.len() {
                if from != to && !self.isolated.contains(&from) && !self.isolated.contains(&to) {
                    self.deliver(to, &row);
                }
            }
        }
    }

    /// Delivers a row to a process: the row may be lost, and copies of earlier rows may follow it.
    fn deliver(&mut self, to: usize, row: &Row) {
        if self.random.random_bool(self.loss_rate) {
            return;
        }
        if self.random.random_bool(self.loss_rate) {
            self.delayed_rows.push((to, row.clone()));
        }
        self.send(to, Event::RowsReceived(vec![row.clone()]));
        if self.random.random_bool(self.loss_rate) && !self.delayed_rows.is_empty() {
            let position = self.random.random_range(0..self.delayed_rows.len());
            let (to, row) = self.delayed_rows.swap_remove(position);
            self.send(to, Event::RowsReceived(vec![row]));
        }
    }

    /// Restarts a process: it loses its state and its requests, and reads the targets and the order again.
    fn restart(&mut self, index: usize) {
        let other = (index + 1) % PROCESSES;
        let clock = Process { now: self.processes[other].now, ..started_process(index, None) };
        self.processes[index] = started_process(index, Some(&clock));
        self.in_flight.retain(|(_, process, _), _| *process != index);
        self.processes[index].list_targets(all_targets());
        self.processes[index].send(Event::RolloutOrdered(order()));
    }

    /// Confirms the configuration to each process that isn't isolated, stores its reports at the platform
    /// service unless a final one is stored there, and sends it the stored report.
    fn exchange_reports(&mut self) {
        for index in 0..self.processes.len() {
            if self.isolated.contains(&index) {
                continue;
            }
            let (boot, era) = (self.processes[index].now.boot, self.processes[index].era);
            self.send(index, Event::ConfigurationConfirmed { boot, version: 1, era });
            for report in self.processes[index].state.reports() {
                let stored = self.stored_report.as_ref();
                let is_open = stored.is_none_or(|stored| stored.progress == Progress::Running);
                if is_open && stored != Some(&report) {
                    if report.progress != Progress::Running {
                        self.decided_step = Some(self.step);
                        let is_old =
                            |key: &(u32, usize, Ticket)| self.is_at_old_target(key.1, key.2);
                        self.old_in_flight_at_end =
                            self.in_flight.keys().filter(|key| is_old(key)).count();
                    }
                    self.stored_report = Some(report);
                }
                let stored = self.stored_report.clone().into_iter().collect();
                self.send(index, Event::RolloutsReported(stored));
            }
        }
    }

    fn is_at_old_target(&self, index: usize, ticket: Ticket) -> bool {
        let process = &self.processes[index];
        let target = process.state.target_of(ticket);
        target.is_some_and(|target| target.version == "v1")
    }

    /// Gives the order to all processes, together with the targets of the ordered version, and restarts the
    /// count of steps and dispatches. All dispatches in flight end in the next step.
    fn start_rollout(&mut self) {
        for index in 0..self.processes.len() {
            let effects = self.processes[index].list_targets(all_targets());
            self.apply(index, effects);
            self.send(index, Event::RolloutOrdered(order()));
        }
        self.step = 0;
        self.in_flight = std::mem::take(&mut self.in_flight)
            .into_iter()
            .map(|((_, index, ticket), outcome)| ((1, index, ticket), outcome))
            .collect();
        (self.dispatched, self.to_ordered) = (0, 0);
    }

    fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.tick();
        }
    }

    fn progress(&self) -> Option<Progress> {
        self.stored_report.as_ref().map(|report| report.progress)
    }

    /// Checks the limits that hold for any behaviour of the ordered version: its share of the requests, and
    /// that it gets none later than 5 s after its fiftieth bad answer.
    fn check_exposure(&self) {
        let limit = EXPOSURE_LIMIT * f64::from(self.dispatched) + EXPOSURE_SLACK;
        assert!(
            f64::from(self.to_ordered) <= limit,
            "{} of {} requests went to the ordered version",
            self.to_ordered,
            self.dispatched
        );
        let mut bad_answer_steps = self.bad_answer_steps.clone();
        bad_answer_steps.sort_unstable();
        if let Some(fiftieth) = bad_answer_steps.get(49) {
            let late =
                self.ordered_dispatch_steps.iter().filter(|&&at| at > fiftieth + 500).count();
            assert_eq!(late, 0, "dispatches later than 5 s after the fiftieth bad answer");
        }
    }
}

/// Steps from the order to the deadline of the rollout.
const ROLLOUT_STEPS: u32 = 1_200;

/// Guards against a rollout that isn't completed before its deadline, or that is completed while old targets
/// still have requests, which the operator's removal of these targets would interrupt.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
#[test_case(4; "seed 4")]
#[test_case(5; "seed 5")]
#[test_case(6; "seed 6")]
fn a_good_version_is_completed_in_time_without_requests_at_old_targets(seed: u64) {
    let mut world = world(GOOD, seed);
    world.run(200);
    world.start_rollout();

    world.run(ROLLOUT_STEPS);

    assert_eq!(world.progress(), Some(Progress::Completed), "{:?}", world.actions);
    assert_eq!(world.old_in_flight_at_end, 0);
}

#[test_case(Behaviour { failure_rate: 0.6, ..GOOD }; "fails most")]
#[test_case(Behaviour { failure_rate: 0.3, ..GOOD }; "fails a third")]
#[test_case(Behaviour { failure_rate: 0.15, ..GOOD }; "fails some")]
#[test_case(Behaviour { slowdown: 3.0, ..GOOD }; "is three times slower")]
#[test_case(Behaviour { slowdown: 8.0, ..GOOD }; "is eight times slower")]
#[test_case(Behaviour { failure_rate: 0.5, is_one_route_only: true, ..GOOD }; "fails on one route")]
#[test_case(Behaviour { failure_rate: 0.5, from_step: 500, ..GOOD }; "fails after five seconds")]
#[test_case(Behaviour { slowdown: 4.0, from_step: 400, ..GOOD }; "turns slow after four seconds")]
fn a_bad_version_is_rolled_back_within_the_exposure_limit(behaviour: Behaviour) {
    check_rolled_back(behaviour);
}

/// Checks with five seeds that a version is rolled back and stays within the exposure limit.
fn check_rolled_back(behaviour: Behaviour) {
    for seed in 0..5 {
        let mut world = world(behaviour, seed);
        world.run(200);
        world.start_rollout();

        world.run(ROLLOUT_STEPS);

        assert_eq!(world.progress(), Some(Progress::RolledBack), "{:?}", world.actions);
        world.check_exposure();
    }
}

/// The version is judged good in the canary phase, and turns bad during the traffic shift.
#[test]
fn a_version_that_turns_bad_in_the_traffic_shift_is_rolled_back_within_the_exposure_limit() {
    check_rolled_back(Behaviour { failure_rate: 0.6, from_step: 850, ..GOOD });
}

/// A process that receives no rows can't learn that its peers found the version bad.
#[test]
fn an_isolated_process_sends_no_more_requests_to_the_ordered_version() {
    let mut world = world(Behaviour { failure_rate: 0.3, ..GOOD }, 1);
    world.run(200);
    world.start_rollout();
    world.run(50);
    world.isolated.insert(0);
    // The rows of its peers stay fresh for a while.
    world.run(100);
    let before = world.processes[0].state.dispatches_to_ordered_version("pool");

    world.run(400);

    assert_eq!(world.processes[0].state.dispatches_to_ordered_version("pool"), before);
}

/// The counts in the rows of a process begin at zero after its restart, so the totals shrink: answers must
/// neither be counted twice nor hide new bad ones.
#[test]
fn a_bad_version_is_rolled_back_within_the_exposure_limit_after_a_process_restart() {
    for seed in 0..5 {
        let mut world = world(Behaviour { failure_rate: 0.3, ..GOOD }, seed);
        world.run(200);
        world.start_rollout();
        world.run(150);
        world.restart(0);

        world.run(ROLLOUT_STEPS - 150);

        assert_eq!(world.progress(), Some(Progress::RolledBack), "{:?}", world.actions);
        world.check_exposure();
    }
}

/// Rows are lost, duplicated and delayed; processes lose their connections and restart in random order.
#[test]
fn a_bad_version_stays_within_the_exposure_limit_despite_lost_rows_and_restarts() {
    for seed in 0..30 {
        let mut random = StdRng::seed_from_u64(seed);
        let failure_rate = random.random_range(0.15..0.9);
        let from_step = random.random_range(0..600);
        let mut world = world(Behaviour { failure_rate, from_step, ..GOOD }, seed);
        world.run(200);
        world.start_rollout();
        world.loss_rate = 0.3;

        for _ in 0..12 {
            match random.random_range(0..4) {
                0 => world.restart(random.random_range(0..PROCESSES)),
                1 => drop(world.isolated.insert(random.random_range(0..PROCESSES))),
                2 => world.isolated.clear(),
                _ => {}
            }
            world.run(ROLLOUT_STEPS / 12);
        }

        let completed = Some(Progress::Completed);
        assert_ne!(world.progress(), completed, "seed {seed}: {:?}", world.actions);
        world.check_exposure();
    }
}

/// Before its order a new version isn't wanted, and until a report is read, an earlier process may have
/// rolled it back.
#[test]
fn a_version_gets_no_requests_before_its_order_and_a_read_report() {
    let mut process = started_process(0, None);
    process.list_targets(all_targets());
    for ticket in 0..200 {
        process.arrive(request(ticket, "/a/"));
    }
    process.send(Event::RolloutOrdered(order()));
    for ticket in 200..400 {
        process.arrive(request(ticket, "/a/"));
    }

    assert_eq!(process.state.dispatches_to_ordered_version("pool"), 0);
    assert_eq!(process.state.reports().len(), 1);
}

/// A process that doesn't reach the platform service gets the order in the row of a peer.
#[test]
fn an_order_is_learnt_from_the_row_of_a_peer() {
    let mut first = started_process(0, None);
    let mut second = started_process(1, None);
    first.send(Event::RolloutOrdered(order()));

    let row = first.state.next_row(first.now.steady);
    second.send(Event::RowsReceived(vec![row]));

    assert_eq!(second.state.reports()[0].version, "v2");
}

/// The first final report that the platform service stores decides for all processes.
#[test]
fn a_stored_completion_ends_the_rollout_of_a_process() {
    let mut process = started_process(0, None);
    process.list_targets(all_targets());
    process.send(Event::RolloutOrdered(order()));
    let stored = Report {
        pool: "pool".into(),
        version: "v2".into(),
        progress: Progress::Completed,
        replaces_report: false,
    };

    process.send(Event::RolloutsReported(vec![stored]));

    let dispatches = dispatches(&process.arrive(request(1, "/a/")));
    assert!(dispatches[0].address.port() >= address(1_000 + TARGETS_PER_VERSION).port());
    assert!(process.state.reports().is_empty());
}

/// A platform service that was restored from an older copy may have lost reports. A peer that hasn't seen the
/// new era yet still states in its row that they are stored.
#[test]
fn reports_are_sent_again_in_a_new_era() {
    let mut first = started_process(0, None);
    let mut second = started_process(1, None);
    let stored = Report {
        pool: "pool".into(),
        version: "v2".into(),
        progress: Progress::RolledBack,
        replaces_report: false,
    };
    for process in [&mut first, &mut second] {
        process.send(Event::RolloutOrdered(order()));
        process.send(Event::RolloutsReported(vec![stored.clone()]));
        assert!(process.state.reports().is_empty());
    }

    first.era += 1;
    first.confirm_configuration();
    let row = second.state.next_row(second.now.steady);
    first.send(Event::RowsReceived(vec![row]));

    assert_eq!(first.state.reports(), [stored]);
}

/// The operator who withdrew the order expects no report of it, also in a new era.
#[test]
fn a_withdrawn_order_is_not_reported() {
    let mut process = started_process(0, None);
    process.send(Event::RolloutOrdered(order()));

    let position = Position { era: 1, offset: 10 };
    process.send(Event::RolloutWithdrawn { pool: "pool".into(), position });

    assert!(process.state.reports().is_empty());
    process.era += 1;
    process.confirm_configuration();
    assert!(process.state.reports().is_empty());
}

/// Without targets of the ordered version there are no answers to judge it by.
#[test]
fn a_rollout_without_targets_of_the_ordered_version_is_rolled_back() {
    let mut world = world(GOOD, 1);
    world.run(100);
    for index in 0..PROCESSES {
        world.send(index, Event::RolloutOrdered(order()));
    }
    world.step = 0;

    world.run(ROLLOUT_STEPS);

    assert_eq!(world.progress(), Some(Progress::RolledBack));
}

/// An operator may replace all old targets by ones of another version without an order: these must serve.
#[test]
fn a_version_is_used_without_an_order_if_no_target_runs_another() {
    let mut process = started_process(0, None);

    process.list_targets(targets("v2", TARGETS_PER_VERSION));
    process.advance(Duration::from_secs(3));

    assert_eq!(dispatches(&process.arrive(request(1, "/a/"))).len(), 1);
}
