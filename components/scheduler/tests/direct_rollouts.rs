//! Direct dispatch while a pool's requests move to another version.
//!
//! Load: four entry processes before twelve old targets and as many of the ordered version, 150 requests
//! a second on two routes. The ordered version is good, fails a part of its requests, is slow, is so on
//! one route only, or turns so later; processes are cut off from each other, and start again.

mod direct_support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use direct_support::{Process, address, blank, plan, request, route, starts, target};
use rand::{Rng, SeedableRng, rngs::StdRng};
use scheduler::direct::{
    Effect, Event, Note, Outcome, Target, Ticket,
    peers::Row,
    plan::Repeat,
    relay::Position,
    rollout::{Action, Order, Progress, Report},
};
use test_case::test_case;

const STEP: Duration = Duration::from_millis(10);
const PROCESSES: usize = 4;
const TARGETS: u16 = 12;
/// Of all processes together.
const PER_STEP: f64 = 1.5;
const DURATION: Duration = Duration::from_secs(12);
const ALLOWED: f64 = 0.1;
/// Requests beyond the allowed share, over all processes.
const SLACK: f64 = 50.0;

/// How the ordered version is.
#[derive(Clone, Copy, Debug)]
struct Version {
    failing: f64,
    slower: f64,
    /// Steps after the order at which it turns so.
    from: u32,
    /// Whether only one of the routes is affected.
    one_route: bool,
}

const GOOD: Version = Version { failing: 0.0, slower: 1.0, from: 0, one_route: false };

struct World {
    processes: Vec<Process>,
    version: Version,
    random: StdRng,
    step: u32,
    tickets: Ticket,
    /// When each dispatch ends, and how.
    running: BTreeMap<(u32, usize, Ticket), Outcome>,
    /// What the platform's service says.
    status: Option<Report>,
    /// Processes that hear no other, and don't reach the platform's service.
    cut: BTreeSet<usize>,
    /// Part of the rows that are lost; as many come twice, or after later ones.
    lossy: f64,
    late: Vec<(usize, Row)>,
    dispatched: u32,
    exposed: u32,
    /// Steps at which the ordered version answered badly, and at which it got a request.
    bad: Vec<u32>,
    sent: Vec<u32>,
    decided: Option<u32>,
    actions: Vec<Action>,
    /// Old targets that had something when the status became final.
    cut_off: usize,
}

fn order() -> Order {
    let position = Position { era: 1, offset: 9 };
    Order { pool: "pool".into(), target: "v2".into(), duration: DURATION, position }
}

fn targets(version: &str, from: u16) -> Vec<Target> {
    let made = (from..from + TARGETS).map(target);
    made.map(|target| Target { version: version.into(), slots: 9, ..target }).collect()
}

fn all_targets() -> Vec<Target> {
    let mut all = targets("v1", 0);
    all.extend(targets("v2", TARGETS));
    all
}

/// A process that knows the configuration and the old targets, at a time.
fn joined(number: usize, at: Option<&Process>) -> Process {
    let mut process = blank(number as u16 + 1);
    if let Some(at) = at {
        process.now = at.now;
    }
    let routes = vec![route("/a/", Repeat::Safe), route("/b/", Repeat::Never)];
    process.send(Event::Planned(plan(1, routes, None).into()));
    process.confirm();
    process.list(targets("v1", 0));
    process
}

fn world(version: Version, seed: u64) -> World {
    let mut processes: Vec<Process> = (0..PROCESSES).map(|number| joined(number, None)).collect();
    let now = processes[0].now;
    for process in &mut processes {
        process.now = now;
    }
    World {
        processes,
        version,
        random: StdRng::seed_from_u64(seed),
        step: 0,
        tickets: 0,
        running: BTreeMap::new(),
        status: None,
        cut: BTreeSet::new(),
        lossy: 0.0,
        late: Vec::new(),
        dispatched: 0,
        exposed: 0,
        bad: Vec::new(),
        sent: Vec::new(),
        decided: None,
        actions: Vec::new(),
        cut_off: 0,
    }
}

impl World {
    fn take(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in &effects {
            if let Effect::Note(Note::Rollout(step)) = effect {
                self.actions.push(step.action);
            }
        }
        for start in starts(&effects) {
            let ordered = start.address.port() >= 1_000 + TARGETS;
            let first_route = start.repeatable;
            let turned = self.step >= self.version.from && !(self.version.one_route && first_route);
            let mut held: f64 = self.random.random_range(15.0..35.0);
            let mut outcome = Outcome::Done;
            self.dispatched += 1;
            if ordered {
                self.exposed += 1;
                self.sent.push(self.step);
                if turned {
                    held *= self.version.slower;
                    if self.random.random_bool(self.version.failing) {
                        outcome = Outcome::Failed;
                    }
                    if outcome == Outcome::Failed || self.version.slower > 1.5 {
                        self.bad.push(self.step + held as u32);
                    }
                }
            }
            self.running.insert((self.step + held as u32, index, start.ticket), outcome);
        }
    }

    fn send(&mut self, index: usize, event: Event) {
        let effects = self.processes[index].send(event);
        self.take(index, effects);
    }

    fn tick(&mut self) {
        self.step += 1;
        for index in 0..self.processes.len() {
            let effects = self.processes[index].pass(STEP);
            self.take(index, effects);
        }
        let due = (self.step + 1, 0, 0);
        let later = self.running.split_off(&due);
        for ((_, index, ticket), outcome) in std::mem::replace(&mut self.running, later) {
            self.send(index, Event::Began { ticket });
            let events = 0;
            self.send(index, Event::Ended { ticket, outcome, begun: false, events });
        }
        let arriving = PER_STEP as usize + usize::from(self.random.random_bool(PER_STEP.fract()));
        for _ in 0..arriving {
            self.tickets += 1;
            let path = if self.random.random_bool(0.7) { "/a/" } else { "/b/" };
            let mut arrived = request(self.tickets, path);
            arrived.draw = self.random.random();
            let index = self.random.random_range(0..self.processes.len());
            self.send(index, Event::Arrived(arrived));
        }
        if self.step.is_multiple_of(10) {
            self.exchange();
            self.serve();
        }
    }

    /// All that aren't cut off tell each other.
    fn exchange(&mut self) {
        for from in 0..self.processes.len() {
            let now = self.processes[from].now.steady;
            let row = self.processes[from].state.row(now);
            for to in 0..self.processes.len() {
                if from != to && !self.cut.contains(&from) && !self.cut.contains(&to) {
                    self.tell(to, &row);
                }
            }
        }
    }

    fn tell(&mut self, to: usize, row: &Row) {
        if self.random.random_bool(self.lossy) {
            return;
        }
        if self.random.random_bool(self.lossy) {
            self.late.push((to, row.clone()));
        }
        self.send(to, Event::Heard(vec![row.clone()]));
        if self.random.random_bool(self.lossy) && !self.late.is_empty() {
            let place = self.random.random_range(0..self.late.len());
            let (to, row) = self.late.swap_remove(place);
            self.send(to, Event::Heard(vec![row]));
        }
    }

    /// A process starts again, with nothing that it knew but what it reads.
    fn restart(&mut self, index: usize) {
        let other = (index + 1) % PROCESSES;
        let at = Process { now: self.processes[other].now, ..joined(index, None) };
        self.processes[index] = joined(index, Some(&at));
        self.running.retain(|(_, running, _), _| *running != index);
        self.processes[index].list(all_targets());
        self.processes[index].send(Event::Ordered(order()));
    }

    /// The platform's service takes reports, and says what stands there.
    fn serve(&mut self) {
        for index in 0..self.processes.len() {
            if self.cut.contains(&index) {
                continue;
            }
            let (boot, era) = (self.processes[index].now.boot, self.processes[index].era);
            self.send(index, Event::Confirmed { boot, version: 1, era });
            for report in self.processes[index].state.reports() {
                let open = self.status.as_ref().is_none_or(|s| s.progress == Progress::Running);
                if open && self.status.as_ref() != Some(&report) {
                    if report.progress != Progress::Running {
                        self.decided = Some(self.step);
                        let old = |start: &(u32, usize, Ticket)| self.is_old(start.1, start.2);
                        self.cut_off = self.running.keys().filter(|start| old(start)).count();
                    }
                    self.status = Some(report);
                }
                let stands = self.status.clone().into_iter().collect();
                self.send(index, Event::Reported(stands));
            }
        }
    }

    fn is_old(&self, index: usize, ticket: Ticket) -> bool {
        let process = &self.processes[index];
        let view = process.state.target(ticket);
        view.is_some_and(|target| target.version == "v1")
    }

    /// The order comes together with the targets of its version.
    fn begin(&mut self) {
        for index in 0..self.processes.len() {
            let effects = self.processes[index].list(all_targets());
            self.take(index, effects);
            self.send(index, Event::Ordered(order()));
        }
        self.step = 0;
        self.running = std::mem::take(&mut self.running)
            .into_iter()
            .map(|((_, index, ticket), outcome)| ((1, index, ticket), outcome))
            .collect();
        (self.dispatched, self.exposed) = (0, 0);
    }

    fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.tick();
        }
    }

    fn progress(&self) -> Option<Progress> {
        self.status.as_ref().map(|status| status.progress)
    }

    /// What is owed whatever the version is.
    fn check_exposure(&self) {
        let most = ALLOWED * f64::from(self.dispatched) + SLACK;
        assert!(f64::from(self.exposed) <= most, "{} of {}", self.exposed, self.dispatched);
        let mut bad = self.bad.clone();
        bad.sort_unstable();
        if let Some(fiftieth) = bad.get(49) {
            let late = self.sent.iter().filter(|&&at| at > fiftieth + 500).count();
            assert_eq!(late, 0, "dispatched after the fiftieth bad answer");
        }
    }
}

const END: u32 = 1_200;

#[test_case(1; "one")]
#[test_case(2; "two")]
#[test_case(3; "three")]
#[test_case(4; "four")]
#[test_case(5; "five")]
#[test_case(6; "six")]
fn a_good_version_is_completed_in_time_and_cuts_nothing(seed: u64) {
    let mut world = world(GOOD, seed);
    world.run(200);
    world.begin();

    world.run(END);

    assert_eq!(world.progress(), Some(Progress::Completed), "{:?}", world.actions);
    assert_eq!(world.cut_off, 0);
}

#[test_case(Version { failing: 0.6, ..GOOD }; "fails most")]
#[test_case(Version { failing: 0.3, ..GOOD }; "fails a third")]
#[test_case(Version { failing: 0.15, ..GOOD }; "fails some")]
#[test_case(Version { slower: 3.0, ..GOOD }; "is three times slower")]
#[test_case(Version { slower: 8.0, ..GOOD }; "is eight times slower")]
#[test_case(Version { failing: 0.5, one_route: true, ..GOOD }; "fails on one route")]
#[test_case(Version { failing: 0.5, from: 500, ..GOOD }; "fails after five seconds")]
#[test_case(Version { slower: 4.0, from: 400, ..GOOD }; "turns slow after four seconds")]
fn a_bad_version_is_rolled_back_within_its_share(version: Version) {
    check_rolled_back(version);
}

fn check_rolled_back(version: Version) {
    for seed in 0..5 {
        let mut world = world(version, seed);
        world.run(200);
        world.begin();

        world.run(END);

        assert_eq!(world.progress(), Some(Progress::RolledBack), "{:?}", world.actions);
        world.check_exposure();
    }
}

/// It is judged good, and turns bad when all requests move to it.
#[test]
fn a_version_that_turns_bad_in_the_move_is_rolled_back_within_its_share() {
    check_rolled_back(Version { failing: 0.6, from: 850, ..GOOD });
}

#[test]
fn one_that_hears_nobody_sends_nothing_new() {
    let mut world = world(Version { failing: 0.3, ..GOOD }, 1);
    world.run(200);
    world.begin();
    world.run(50);
    world.cut.insert(0);
    // Rows of the others count for a while.
    world.run(100);
    let before = world.processes[0].state.exposed("pool");

    world.run(400);

    assert_eq!(world.processes[0].state.exposed("pool"), before);
}

#[test]
fn a_process_that_starts_again_counts_nothing_twice() {
    for seed in 0..5 {
        let mut world = world(Version { failing: 0.3, ..GOOD }, seed);
        world.run(200);
        world.begin();
        world.run(150);
        world.restart(0);

        world.run(END - 150);

        assert_eq!(world.progress(), Some(Progress::RolledBack), "{:?}", world.actions);
        world.check_exposure();
    }
}

/// Rows are lost, doubled and late; processes are cut off and start again in any order.
#[test]
fn whatever_happens_to_rows_and_processes_a_bad_version_keeps_to_its_share() {
    for seed in 0..30 {
        let mut random = StdRng::seed_from_u64(seed);
        let failing = random.random_range(0.15..0.9);
        let from = random.random_range(0..600);
        let mut world = world(Version { failing, from, ..GOOD }, seed);
        world.run(200);
        world.begin();
        world.lossy = 0.3;

        for _ in 0..12 {
            match random.random_range(0..4) {
                0 => world.restart(random.random_range(0..PROCESSES)),
                1 => drop(world.cut.insert(random.random_range(0..PROCESSES))),
                2 => world.cut.clear(),
                _ => {}
            }
            world.run(END / 12);
        }

        let completed = Some(Progress::Completed);
        assert_ne!(world.progress(), completed, "seed {seed}: {:?}", world.actions);
        world.check_exposure();
    }
}

#[test]
fn before_the_order_and_without_a_report_the_version_gets_nothing() {
    let mut process = joined(0, None);
    process.list(all_targets());
    for ticket in 0..200 {
        process.arrive(request(ticket, "/a/"));
    }
    process.send(Event::Ordered(order()));
    for ticket in 200..400 {
        process.arrive(request(ticket, "/a/"));
    }

    assert_eq!(process.state.exposed("pool"), 0);
    assert_eq!(process.state.reports().len(), 1);
}

#[test]
fn an_order_is_learnt_from_another_process() {
    let mut first = joined(0, None);
    let mut second = joined(1, None);
    first.send(Event::Ordered(order()));

    let row = first.state.row(first.now.steady);
    second.send(Event::Heard(vec![row]));

    assert_eq!(second.state.reports()[0].target, "v2");
}

#[test]
fn what_the_platform_says_first_decides() {
    let mut process = joined(0, None);
    process.list(all_targets());
    process.send(Event::Ordered(order()));
    let said = Report {
        pool: "pool".into(),
        target: "v2".into(),
        progress: Progress::Completed,
        renews: false,
    };

    process.send(Event::Reported(vec![said]));

    let started = starts(&process.arrive(request(1, "/a/")));
    assert!(started[0].address.port() >= address(1_000 + TARGETS).port());
    assert!(process.state.reports().is_empty());
}

/// Another process that hasn't seen the newer era yet still tells what stood in the older one.
#[test]
fn what_an_older_copy_lacks_is_reported_again() {
    let mut first = joined(0, None);
    let mut second = joined(1, None);
    let said = Report {
        pool: "pool".into(),
        target: "v2".into(),
        progress: Progress::RolledBack,
        renews: false,
    };
    for process in [&mut first, &mut second] {
        process.send(Event::Ordered(order()));
        process.send(Event::Reported(vec![said.clone()]));
        assert!(process.state.reports().is_empty());
    }

    first.era += 1;
    first.confirm();
    let row = second.state.row(second.now.steady);
    first.send(Event::Heard(vec![row]));

    assert_eq!(first.state.reports(), [said]);
}

#[test]
fn an_order_that_is_taken_back_ends_without_a_report() {
    let mut process = joined(0, None);
    process.send(Event::Ordered(order()));

    let position = Position { era: 1, offset: 10 };
    process.send(Event::Withdrawn { pool: "pool".into(), position });

    assert!(process.state.reports().is_empty());
    process.era += 1;
    process.confirm();
    assert!(process.state.reports().is_empty());
}

#[test]
fn a_service_without_targets_of_the_version_is_rolled_back() {
    let mut world = world(GOOD, 1);
    world.run(100);
    for index in 0..PROCESSES {
        world.send(index, Event::Ordered(order()));
    }
    world.step = 0;

    world.run(END);

    assert_eq!(world.progress(), Some(Progress::RolledBack));
}

/// Versions change without an order where all old targets are replaced.
#[test]
fn a_version_is_used_without_an_order_where_no_other_is_left() {
    let mut process = joined(0, None);

    process.list(targets("v2", TARGETS));
    process.pass(Duration::from_secs(3));

    assert_eq!(starts(&process.arrive(request(1, "/a/"))).len(), 1);
}
