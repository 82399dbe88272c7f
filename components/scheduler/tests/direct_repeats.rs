//! Retries of requests, counted over all entry processes.
//!
//! Six in ten targets reject seven in ten requests, so that more retries are possible than the retry budget
//! allows. Entry processes are killed and restarted several times within the window of the budget.

mod direct_support;

use std::ops::Range;

use direct_support::{
    settings,
    site::{Agents, Arrival, END_MS, Fault, Rejections, Simulation, Site, simulation},
};
use test_case::test_case;

const SMALL: Site = Site {
    entries: 5,
    targets: 10,
    slots: 4,
    mean_service_ms: 250,
    requests_per_second: 70.0,
    agents: Agents::AtTargets,
};
const FEW_ENTRIES: Site = Site { entries: 3, ..SMALL };
/// Deployment of a plain service, whose targets have no agents.
const PLAIN_SERVICE: Site = Site {
    entries: 5,
    targets: 5,
    slots: 6,
    mean_service_ms: 60,
    requests_per_second: 50.0,
    agents: Agents::Absent,
};
const LARGE: Site = Site {
    entries: 26,
    targets: 40,
    slots: 4,
    mean_service_ms: 250,
    requests_per_second: 300.0,
    agents: Agents::AtTargets,
};

/// Simulates a deployment until its end.
fn simulate(site: Site, fault: Fault) -> Simulation {
    let mut simulation = simulation(site, fault, &[]);
    simulation.rejections = Some(Rejections { targets: site.targets * 6 / 10, fraction: 0.7 });
    while simulation.now_ms < END_MS {
        simulation.step();
    }
    simulation
}

/// Returns the number of retries that arrive at targets and the number allowed, in the window that exceeds
/// its limit by most or comes closest to it. The limit counts the requests of the window itself, of the one
/// before it or of the one that begins half a window earlier, whichever had most: retries that were earned in
/// one window may be made in the next.
fn worst_window(simulation: &Simulation) -> (usize, usize) {
    let rule = settings(1).retry_budget;
    let window = rule.window.as_millis() as u64;
    let requests_in = |range: Range<u64>| {
        simulation.arrival_times_ms.iter().filter(|at| range.contains(at)).count()
    };
    let windows = (0..END_MS - window).step_by(100).map(|start| {
        let previous_window = start.saturating_sub(window)..(start + window).saturating_sub(window);
        let half_earlier = start.saturating_sub(window / 2)..start + window / 2;
        let most_requests = requests_in(start..start + window)
            .max(requests_in(previous_window))
            .max(requests_in(half_earlier));
        let retries = simulation.arrivals.iter().filter(|arrival| arrival.is_repeat);
        let retries =
            retries.filter(|arrival| (start..start + window).contains(&arrival.at)).count();
        (retries, (rule.retries_per_request * most_requests as f64 + rule.extra_retries) as usize)
    });
    windows
        .max_by_key(|&(retries, allowed)| retries as i64 - allowed as i64)
        .expect("the simulation is longer than the window")
}

/// Guards against a retry budget that each restart of a process fills anew, so that processes which are
/// killed repeatedly exceed the limit together.
#[test_case(SMALL, Fault::Nothing; "no kills")]
#[test_case(SMALL, Fault::AllKilled; "all processes killed repeatedly")]
#[test_case(SMALL, Fault::EntriesKilled; "processes killed in turn")]
#[test_case(FEW_ENTRIES, Fault::AllKilled; "few processes all killed repeatedly")]
#[test_case(PLAIN_SERVICE, Fault::AllKilled; "plain services and all processes killed repeatedly")]
#[test_case(PLAIN_SERVICE, Fault::EntriesKilled; "plain services and processes killed in turn")]
#[test_case(LARGE, Fault::AllKilled; "many processes all killed repeatedly")]
#[test_case(LARGE, Fault::EntriesKilled; "many processes killed in turn")]
fn retries_of_all_processes_stay_within_the_common_budget(site: Site, fault: Fault) {
    let simulation = simulate(site, fault);

    let (retries, allowed) = worst_window(&simulation);
    assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
}

/// Guards against targets that reject most requests and still receive as many as targets that serve all.
#[test_case(SMALL; "engines")]
#[test_case(PLAIN_SERVICE; "plain services")]
fn targets_that_reject_requests_receive_fewer_than_others(site: Site) {
    let simulation = simulate(site, Fault::Nothing);

    let rejecting_targets = site.targets * 6 / 10;
    let second_half = simulation.arrivals.iter().filter(|arrival| arrival.at > END_MS / 2);
    let (at_rejecting, at_serving): (Vec<&Arrival>, Vec<&Arrival>) =
        second_half.partition(|arrival| arrival.to < rejecting_targets);
    let mean = |arrivals: usize, targets: u16| arrivals as f64 / f64::from(targets);
    let (per_rejecting, per_serving) = (
        mean(at_rejecting.len(), rejecting_targets),
        mean(at_serving.len(), site.targets - rejecting_targets),
    );
    assert!(
        per_rejecting < 0.5 * per_serving,
        "requests for each target: {per_rejecting} where rejecting, {per_serving} where serving"
    );
}
