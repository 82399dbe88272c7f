//! Rate limits that targets name in their answers.
//!
//! The targets have more capacity than the load needs. One or two of them name a limit well below the rate at
//! which they got requests before. The tests count the requests that such a target gets in 4 s, from all
//! entry processes and from those that forwarded an answer with a limit at least half a second before.

mod direct_support;

use std::time::Duration;

use direct_support::{
    dispatches, empty_process, request,
    site::{
        Agents, COUNT_WINDOW_MS, END_MS, Fault, LIMIT_CHECK_DELAY_MS, LIMITS_END_MS,
        LIMITS_START_MS, Simulation, Site, entry, simulation, targets,
    },
    target,
};
use model::id::TargetName;
use scheduler::direct::{Event, Outcome, Target};
use test_case::test_case;

/// Few entry processes, but more than a target has slots, and an own agent for each target.
const SMALL: Site = Site {
    entries: 5,
    targets: 9,
    slots: 4,
    mean_service_ms: 250,
    requests_per_second: 60.0,
    agents: Agents::AtTargets,
};
/// Many entry processes and an own agent for each target.
const LARGE: Site = Site {
    entries: 31,
    targets: 20,
    slots: 5,
    mean_service_ms: 250,
    requests_per_second: 200.0,
    agents: Agents::AtTargets,
};
/// So few entry processes that they share the slots by rows and don't use the targets' own agents.
const FEW: Site = Site { entries: 3, ..SMALL };
/// Few entry processes and targets without agents, besides targets of another pool that have agents.
const PLAIN: Site = Site {
    entries: 3,
    targets: 3,
    slots: 6,
    mean_service_ms: 60,
    requests_per_second: 40.0,
    agents: Agents::AtOtherPool,
};
/// Many entry processes and targets without agents, besides targets of another pool that have agents.
const PLAIN_LARGE: Site = Site {
    entries: 31,
    targets: 5,
    slots: 6,
    mean_service_ms: 60,
    requests_per_second: 150.0,
    agents: Agents::AtOtherPool,
};
/// Few entry processes and no agents at all.
const NO_AGENTS: Site = Site { agents: Agents::Absent, ..PLAIN };
/// Many entry processes and no agents at all.
const NO_AGENTS_LARGE: Site = Site { agents: Agents::Absent, ..PLAIN_LARGE };

/// Simulates a deployment in which these targets name these limits, in requests per second.
fn simulate(site: Site, fault: Fault, limits: &[(u16, f64)]) -> Simulation {
    let mut simulation = simulation(site, fault, limits);
    while simulation.now_ms < END_MS {
        simulation.step();
    }
    simulation
}

/// Returns the maximum number of requests that a target with this limit may get in a window: 1.5 times the
/// limit, plus 5.
fn max_requests(limit: f64) -> usize {
    (1.5 * limit * COUNT_WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

/// Returns the name of the target of this number.
fn name(number: u16) -> TargetName {
    target(number).name
}

/// Guards against targets that get a multiple of their rate limit from all entry processes together.
#[test_case(SMALL, Fault::Nothing, 1.0; "engines")]
#[test_case(SMALL, Fault::Nothing, 2.1; "engines with twice the limit")]
#[test_case(FEW, Fault::Nothing, 2.0; "engines at few processes")]
#[test_case(FEW, Fault::EntriesKilled, 2.0; "few processes killed in series")]
#[test_case(LARGE, Fault::Nothing, 2.0; "engines at many processes")]
#[test_case(PLAIN, Fault::Nothing, 3.0; "plain services")]
#[test_case(PLAIN_LARGE, Fault::Nothing, 3.0; "plain services at many processes")]
#[test_case(NO_AGENTS, Fault::Nothing, 3.0; "plain services without agents")]
#[test_case(NO_AGENTS_LARGE, Fault::Nothing, 3.0; "no agents at many processes")]
#[test_case(SMALL, Fault::AgentsUnreachable, 2.0; "unreachable agents")]
#[test_case(LARGE, Fault::AgentsUnreachable, 2.0; "unreachable agents at many processes")]
#[test_case(SMALL, Fault::AgentsUnreachableFromOne, 2.0; "agents that one process cannot reach")]
#[test_case(LARGE, Fault::AgentsUnreachableFromOne, 2.0; "agents that one of many cannot reach")]
#[test_case(SMALL, Fault::AgentsKilled, 2.0; "agents killed in series")]
#[test_case(LARGE, Fault::AgentsKilled, 2.0; "agents killed in series at many processes")]
#[test_case(SMALL, Fault::EntriesKilled, 2.0; "processes killed in series")]
#[test_case(PLAIN, Fault::EntriesKilled, 2.0; "processes of plain services killed in series")]
#[test_case(LARGE, Fault::EntriesKilled, 2.0; "many processes killed in series")]
fn a_target_gets_requests_within_the_rate_limit_that_it_names(
    site: Site,
    fault: Fault,
    limit: f64,
) {
    let simulation = simulate(site, fault, &[(0, limit), (1, limit)]);

    for to in 0..2 {
        let informed = simulation.max_arrivals_in_window(to, |arrival| arrival.is_limit_forwarded);
        let all = simulation.max_arrivals_in_window(to, |_| true);
        assert!(
            informed <= max_requests(limit),
            "{}: {informed} of {} from informed processes",
            name(to),
            max_requests(limit)
        );
        assert!(
            all <= max_requests(limit),
            "{}: {all} of {} from all processes",
            name(to),
            max_requests(limit)
        );
    }
}

/// Guards against limits that delay or refuse requests although other targets have free slots for them.
#[test_case(SMALL, 2.0; "engines")]
#[test_case(LARGE, 2.0; "engines at many processes")]
#[test_case(PLAIN, 3.0; "plain services")]
#[test_case(PLAIN_LARGE, 3.0; "plain services at many processes")]
#[test_case(NO_AGENTS, 3.0; "plain services without agents")]
fn requests_beyond_the_limit_of_a_target_go_to_other_targets(site: Site, limit: f64) {
    let simulation = simulate(site, Fault::Nothing, &[(0, limit)]);

    let slow = simulation.waits_ms.iter().filter(|&&wait| wait > 100).count();
    assert_eq!(simulation.refused, 0);
    assert!(slow * 50 < simulation.waits_ms.len(), "{slow} of {}", simulation.waits_ms.len());
}

/// Guards against limits that remain in force after the target has ceased to name them.
#[test_case(SMALL, 2.0; "engines")]
#[test_case(FEW, 2.0; "engines at few processes")]
#[test_case(LARGE, 1.0; "engines at many processes")]
#[test_case(PLAIN, 3.0; "plain services")]
#[test_case(NO_AGENTS, 3.0; "plain services without agents")]
fn a_target_that_ceases_to_name_a_limit_gets_its_share_of_requests_again(site: Site, limit: f64) {
    let simulation = simulate(site, Fault::Nothing, &[(0, limit)]);

    let (limited, after) = (
        simulation.arrival_rate(0, LIMITS_START_MS + LIMIT_CHECK_DELAY_MS..LIMITS_END_MS),
        simulation.arrival_rate(0, LIMITS_END_MS + 4_000..END_MS),
    );
    assert!(limited <= 1.5 * limit, "{limited}");
    assert!(after >= 0.5 * site.requests_per_second / f64::from(site.targets), "{after}");
}

/// Guards against limits that remain in force after the target that named them has restarted.
#[test]
fn a_restart_of_a_target_lifts_its_limit() {
    let mut entry = entry(0, 0, NO_AGENTS, empty_process(1).now);
    let dispatch = dispatches(&entry.arrive(request(1, "/call/"))).remove(0);
    entry.send(Event::RateLimitStated { ticket: 1, per_second: 1.0 });
    let limited = entry.state.limited_targets();

    let restarted = targets(NO_AGENTS).into_iter().map(|target| {
        let incarnation = if target.name == dispatch.target { 2 } else { 1 };
        Target { incarnation, ..target }
    });
    entry.list_targets(restarted.collect());

    assert_eq!((limited, entry.state.limited_targets()), (1, 0));
}

/// Guards against a limited target that only a process without requests may send to, so that it gets none.
#[test]
fn each_process_gets_its_turn_at_a_limited_target_while_others_send_nothing() {
    let site = Site { entries: 2, targets: 1, ..NO_AGENTS };
    let now = empty_process(1).now;
    let mut turns = Vec::new();
    for number in 0..2 {
        let mut entry = entry(number, 0, site, now);
        let mut other = self::entry(1 - number, 0, site, now);
        entry.arrive(request(1, "/call/"));
        entry.send(Event::RateLimitStated { ticket: 1, per_second: 10.0 });
        for second in 1..=10 {
            entry.advance(Duration::from_secs(1));
            other.advance(Duration::from_secs(1));
            other.confirm_configuration();
            entry.confirm_configuration();
            entry.send(Event::RowsReceived(vec![other.state.next_row(other.now.steady)]));
            let effects = entry.arrive(request(1 + second, "/call/"));
            if !dispatches(&effects).is_empty() {
                turns.push((number, second));
                entry.end_dispatch(1 + second, Outcome::Incomplete { crashed: false });
            }
        }
    }

    let turns_of = |number| turns.iter().filter(move |turn| turn.0 == number).count();
    assert!(turns_of(0) > 0 && turns_of(1) > 0, "{turns:?}");
    assert!(
        turns.iter().all(|&(number, second)| !turns.contains(&(1 - number, second))),
        "{turns:?}"
    );
}

/// Guards against a limit that is lost while an outage of the platform removes the target from the list.
#[test]
fn a_limit_holds_for_a_target_that_is_listed_again_after_an_outage() {
    let mut entry = entry(0, 0, NO_AGENTS, empty_process(1).now);
    dispatches(&entry.arrive(request(1, "/call/"))).remove(0);
    entry.send(Event::RateLimitStated { ticket: 1, per_second: 1.0 });
    entry.end_dispatch(1, Outcome::Completed);
    entry.list_targets(Vec::new());
    entry.advance(Duration::from_secs(5));
    let while_removed = entry.state.limited_targets();

    entry.list_targets(targets(NO_AGENTS));

    assert_eq!((while_removed, entry.state.limited_targets()), (0, 1));
}
