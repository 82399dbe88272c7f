//! The bench itself: the same seeds give the same figures, and every request ends once.

use std::{fs, path::PathBuf, time::Duration};

use bench::{
    Policy, Scenario,
    arrival::{self, Plan},
    plan, plot, report,
    scenario::Span,
    workload::{self, Workload},
    world,
};
use test_case::test_case;

fn workloads() -> Vec<Workload> {
    let load = |path: &PathBuf| workload::load(path).expect("the shipped files are sound");
    workload::shipped().iter().map(load).collect()
}

fn brief(scenario: Scenario, load: f64) -> Plan {
    Plan { load, seed: 5, scenario, span: Duration::from_secs(3) }
}

fn all() -> Span {
    Span { from: Duration::ZERO, to: Duration::from_secs(60) }
}

#[test]
fn the_same_seeds_give_the_same_table_on_any_number_of_threads() {
    let workloads = workloads();

    let first = plan::run(&workloads, &plan::short(1));
    let second = plan::run(&workloads, &plan::short(3));

    assert_eq!(report::table(&workloads, &first), report::table(&workloads, &second));
    assert_eq!(report::json_lines(&workloads, &first), report::json_lines(&workloads, &second));
    let plots = [&first, &second].map(|rows| plot::svg(&workloads, rows).expect("it is drawn"));
    assert_eq!(plots[0], plots[1]);
}

#[test]
fn another_seed_sends_other_requests() {
    let workload = &workloads()[0];
    let plan = brief(Scenario::Steady, 0.5);

    let same = arrival::draw(workload, &plan) == arrival::draw(workload, &plan);
    let other = arrival::draw(workload, &Plan { seed: 6, ..plan });

    assert!(same);
    assert_ne!(arrival::draw(workload, &plan), other);
}

#[test_case(Policy::LeastLoad, Scenario::Steady, 2)]
#[test_case(Policy::PrefixHash, Scenario::ZoneLoss, 13)]
#[test_case(Policy::First, Scenario::ZoneLoss, 13)]
#[test_case(Policy::Own, Scenario::Steady, 2)]
#[test_case(Policy::Own, Scenario::LogOutage, 13)]
#[test_case(Policy::Own, Scenario::ZoneLoss, 13)]
fn every_request_ends_exactly_once(policy: Policy, scenario: Scenario, seconds: u64) {
    let workload = &workloads()[1];
    let plan = Plan { span: Duration::from_secs(seconds), ..brief(scenario, 1.0) };

    let outcome = world::run(workload, policy, &plan, all());

    let total = outcome.tally.total();
    assert_eq!(outcome.jobs, outcome.ended);
    assert_eq!(total.offered, outcome.jobs as u64);
    assert_eq!(total.good + total.late + total.refused + total.lost, total.offered);
}

#[test]
fn a_faulty_workload_file_names_each_fault_with_its_place() {
    let text = fs::read_to_string(&workload::shipped()[0]).expect("the file is there");
    let faulty = text.replace("\"tier\": \"office\"", "\"tier\": \"nobody\"");
    let faulty = faulty.replace("\"share\": 0.38", "\"share\": 0.1");
    let path = std::env::temp_dir().join(format!("faulty-{}.json", std::process::id()));
    fs::write(&path, faulty).expect("the directory takes files");

    let error = workload::load(&path).expect_err("it is faulty").to_string();

    fs::remove_file(&path).expect("it was written");
    assert!(error.contains("accounts: the shares sum to"), "{error}");
    assert!(error.contains("pools[0].classes[2].tier: there is no tier `nobody`"), "{error}");
    assert!(error.contains("pools[1].classes[1].tier"), "{error}");
}
