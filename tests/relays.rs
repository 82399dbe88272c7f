//! Processes that read the configuration from a few agents instead of the log.

mod support;

use std::time::Duration;

use model::{Resource, resource::Backing};
use scheduler::{config, presence};
use standin::{
    fixture::{self, ANY},
    hosts, log,
};
use support::{
    Process, operator,
    way::{self, Way},
};
use tokio::time::{Instant, sleep};

/// Enough targets for two keepers of reports.
const TARGETS: usize = presence::TARGETS_PER_KEEPER + 1;
const POLL: Duration = Duration::from_millis(50);
/// Time after which a change that hasn't come counts as lost.
const LOST: Duration = Duration::from_secs(30);

struct Site {
    entry: Process,
    relays: Vec<Process>,
    log: log::Log,
    /// The entry's way to the log.
    way: Way,
    /// The relays' way to the log.
    relay_way: Way,
    _hosts: hosts::Hosts,
}

async fn open() -> Site {
    let log = log::bind(ANY).await.unwrap();
    let hosts = hosts::bind(ANY).await.unwrap();
    let (way, relay_way) = (way::open(&log).await, way::open(&log).await);
    let relays = start_keepers(&log, &hosts, &relay_way);
    let mut settings = fixture::entry("entry-1", &log, &hosts);
    settings.operators = vec![operator::setting()];
    settings.platform.log = way.base();
    settings.timing.poll = POLL;
    let entry = support::serve(&settings);
    support::ready(&entry).await;
    Site { entry, relays, log, way, relay_way, _hosts: hosts }
}

fn name(number: usize) -> String {
    format!("engine-{number}")
}

fn resources() -> Vec<Resource> {
    let target = |number| fixture::target(&name(number), "drawings", ANY, ANY);
    let pool = fixture::model_pool("drawings", &["drawing-7b"]);
    [pool].into_iter().chain((0..TARGETS).map(target)).collect()
}

/// Starts the agents of those targets that keep reports; the others need none here.
fn start_keepers(log: &log::Log, hosts: &hosts::Hosts, way: &Way) -> Vec<Process> {
    let mut state = config::State::default();
    for (resource, offset) in resources().into_iter().zip(1..) {
        let record = serde_json::to_string(&fixture::create(resource)).unwrap();
        state.apply(offset, &record).unwrap();
    }
    let names: Vec<String> = presence::keepers(&state).iter().map(|t| t.name.clone()).collect();
    let mut configured = resources();
    let mut agents = Vec::new();
    for name in names {
        let mut settings = fixture::agent(&name, ANY, Backing::Model, log, hosts);
        settings.poll = POLL;
        settings.platform.log = way.base();
        let agent = support::agent(&settings);
        let (control, traffic) = (agent.address("control"), agent.address("traffic"));
        configured.retain(|resource| resource.key().name != name);
        configured.push(fixture::target(&name, "drawings", control, traffic));
        agents.push(agent);
    }
    fixture::seed(log, configured);
    agents
}

impl Site {
    /// Appends a record, and tells whether it comes into force in the entry.
    async fn reaches(&self) -> bool {
        let tier = fixture::tier("crew", 0, Duration::from_secs(1));
        let record = serde_json::to_string(&fixture::create(tier)).unwrap();
        let offset = self.log.append(source::CONFIG, record);
        let due = Instant::now() + LOST;
        while Instant::now() < due {
            let status = operator::get(&self.entry, "/v1/status").await.body;
            if status["applied"] == offset {
                return true;
            }
            sleep(Duration::from_millis(10)).await;
        }
        false
    }

    /// Waits until the entry reads nothing from the log itself any more.
    async fn relayed(&self) {
        let due = Instant::now() + LOST;
        let mut before = self.way.reads();
        while Instant::now() < due {
            sleep(POLL * 10).await;
            let now = self.way.reads();
            if now == before {
                return;
            }
            before = now;
        }
        panic!("the entry goes on reading the log itself");
    }
}

#[tokio::test]
async fn changes_come_through_a_relay_without_a_read_of_the_log() {
    let site = open().await;
    site.relayed().await;
    site.way.cut();
    let before = site.way.reads();

    let first = site.reaches().await;
    let second = site.reaches().await;

    assert!(first && second);
    assert_eq!(site.way.reads(), before);
}

#[tokio::test]
async fn an_entry_whose_relays_are_frozen_reads_the_log_itself() {
    let site = open().await;
    site.relayed().await;
    site.relays.iter().for_each(|relay| relay.signal("STOP"));

    let reached = site.reaches().await;

    site.relays.iter().for_each(|relay| relay.signal("CONT"));
    assert!(reached);
}

#[tokio::test]
async fn an_entry_whose_relays_are_gone_reads_the_log_itself() {
    let mut site = open().await;
    site.relayed().await;
    site.relays.clear();

    let reached = site.reaches().await;

    assert!(reached);
}

#[tokio::test]
async fn an_entry_whose_relays_hear_nothing_from_the_log_reads_it_itself() {
    let site = open().await;
    site.relayed().await;
    site.relay_way.cut();
    // Reads that are under way end without a record.
    sleep(POLL * 3).await;

    let reached = site.reaches().await;

    assert!(reached);
}
