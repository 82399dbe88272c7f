//! Streams that callers resume through an entry process whose list of targets lacks the version that began them.

#[path = "../platform/tests/support/mod.rs"]
mod platform_support;
mod support;

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use http::StatusCode;
use platform_support::{
    Runner, Store,
    runner::{self, Behavior},
    store::{self, RUNNERS_TOPIC},
};
use reqwest::{Client, Response};
use serde_json::{Value, json};
use support::Process;
use test_case::test_case;
use tokio::time::sleep;

/// Timeout of the route, within which each stream ends.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a process has observed the list for as long as a stream may last.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Number of streams that a test begins.
const STREAMS: usize = 6;
const OLD: &str = "v1";
const NEW: &str = "v1.1";

/// Why the process through which callers resume their streams lacks the version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    /// It is cut off from the store and from the other process.
    Cut,
    /// It stands still.
    Frozen,
    /// It started after the targets of the version had left.
    Started,
}

/// Whether the targets have agents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Agents {
    With,
    Without,
}

struct Site {
    /// Process through which callers begin streams.
    first: Process,
    /// Process through which callers resume them.
    second: Process,
    /// Stores of the two processes. Processes with stores of their own know nothing of each other.
    stores: [Store; 2],
    /// Targets of the old version and of the new one.
    runners: [Runner; 2],
    agents: Vec<Process>,
    has_agents: bool,
    /// First port for internal use.
    port: u16,
    client: Client,
}

fn host(number: u8) -> IpAddr {
    IpAddr::from([127, 0, 4, number])
}

fn entry(number: u8, port: u16, store: SocketAddr) -> Process {
    let name = format!("entry-{number}");
    support::gateway(&platform_support::entry_settings(&name, "north", host(number), port, store))
}

impl Site {
    /// Starts two processes that know only the target of the old version.
    async fn start(agents: Agents) -> Site {
        let stores = [store::bind().await, store::bind().await];
        let mut config = platform_support::config(1, &["key"]);
        config["routes"][0]["timeout_ms"] = (ROUTE_TIMEOUT.as_millis() as u64).into();
        let port = support::free_ports(&[1, 2, 3, 4, 5].map(host));
        let has_agents = agents == Agents::With;
        let old = runner::bind_at(host(3), "i-old", Behavior::EndlessStream).await;
        let new = runner::bind_at(host(4), "i-new", Behavior::EndlessStream).await;
        let mut agents = Vec::new();
        for number in [3, 4].into_iter().filter(|_| has_agents) {
            let name = format!("side-{number}");
            let settings = platform_support::agent_settings(&name, host(number), port);
            agents.push(support::admission(&settings));
        }
        for store in &stores {
            store.write_config(&config);
            store.write_runner("i-old", &record(&old, OLD, "ready", has_agents));
        }
        let [first, second] =
            [1, 2].map(|number| entry(number, port, stores[usize::from(number) - 1].address));
        for process in [&first, &second] {
            support::gateway_ready(process).await;
        }
        sleep(OBSERVATION_TIME).await;
        let client = Client::new();
        let runners = [old, new];
        Site { first, second, stores, runners, agents, has_agents, port, client }
    }

    /// Lists the new version at a store, and withdraws or removes the target of the old one.
    fn release(&self, store: &Store, old_state: Option<&str>) {
        let [old, new] = &self.runners;
        store.write_runner("i-new", &record(new, NEW, "ready", self.has_agents));
        match old_state {
            Some(state) => store.write_runner("i-old", &record(old, OLD, state, self.has_agents)),
            None => store.write(RUNNERS_TOPIC, "i-old", ""),
        }
    }

    fn request(&self, process: &Process, id: &str) -> reqwest::RequestBuilder {
        self.client
            .post(format!("http://{}/resume/", process.address("callers")))
            .headers(platform_support::caller_headers(id, ROUTE_TIMEOUT))
    }

    /// Begins a stream and returns the response once the first event was received.
    async fn begin(&self, id: &str) -> Response {
        let mut begun = self.request(&self.first, id).send().await.expect("a response");
        assert_eq!(begun.status(), StatusCode::OK);
        let event = begun.chunk().await.expect("an event").expect("an event");
        assert!(event.starts_with(b"id: 1\n"));
        begun
    }

    /// Resumes a stream after its first event; returns the status of the answer, and the text of a refusal.
    async fn resume(&self, id: &str, first_attempt: Option<&str>) -> (StatusCode, String) {
        let request = self.request(&self.second, id);
        let request = request.headers(platform_support::resumption_headers(1, first_attempt));
        let response = request.send().await.expect("a response");
        let status = response.status();
        let is_answered = status == StatusCode::OK;
        let text = if is_answered { Ok(String::new()) } else { response.text().await };
        (status, text.expect("a whole refusal"))
    }

    /// Returns the requests that the target of a version received, of those with the ID of a stream.
    fn received(&self, version: &str, ids: &[String]) -> usize {
        let runner = &self.runners[usize::from(version == NEW)];
        let of_stream = |id: &str| ids.iter().any(|stream| stream == id);
        runner.received().iter().filter(|of| of.id().is_some_and(of_stream)).count()
    }
}

fn record(runner: &Runner, version: &str, state: &str, has_agent: bool) -> Value {
    let mut record = runner.model_record(version, "north", 20);
    record["state"] = state.into();
    if !has_agent {
        record["models"] = json!([]);
    }
    record
}

/// Guards against streams that go on at another version, since the process through which they are resumed lists
/// only that one: it is out of step while a version joins, or it started after the version had left.
#[test_case(Cause::Cut, Agents::Without, false; "cut off")]
#[test_case(Cause::Cut, Agents::With, false; "cut off, with agents")]
#[test_case(Cause::Cut, Agents::Without, true; "cut off, attempt named")]
#[test_case(Cause::Cut, Agents::With, true; "cut off, attempt named, with agents")]
#[test_case(Cause::Frozen, Agents::Without, false; "frozen")]
#[test_case(Cause::Frozen, Agents::With, false; "frozen, with agents")]
#[test_case(Cause::Frozen, Agents::With, true; "frozen, attempt named, with agents")]
#[test_case(Cause::Started, Agents::Without, false; "started")]
#[test_case(Cause::Started, Agents::With, false; "started, with agents")]
#[test_case(Cause::Started, Agents::Without, true; "started, attempt named")]
#[test_case(Cause::Started, Agents::With, true; "started, attempt named, with agents")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_is_not_resumed_at_the_only_version_of_an_old_list(
    cause: Cause,
    agents: Agents,
    is_named: bool,
) {
    let mut site = Site::start(agents).await;
    let begun_at = if cause == Cause::Started { OLD } else { NEW };
    match cause {
        Cause::Cut => site.stores[1].stop_responding(),
        Cause::Frozen => site.second.freeze(),
        Cause::Started => {}
    }
    let [first_store, second_store] = &site.stores;
    if cause != Cause::Started {
        site.release(first_store, Some("draining"));
    }
    if cause == Cause::Frozen {
        site.release(second_store, Some("draining"));
    }
    let ids: Vec<String> = (0..STREAMS).map(|number| format!("first-{number}")).collect();
    let begun = async || {
        let mut open = Vec::new();
        for id in &ids {
            open.push(site.begin(id).await);
        }
        open
    };
    // The new version serves once no order for it can follow.
    support::until_async(async || {
        let probe = format!("probe-{:?}", std::time::Instant::now());
        drop(site.begin(&probe).await);
        site.received(begun_at, &[probe]) == 1
    })
    .await;
    let open = begun().await;
    assert_eq!(site.received(begun_at, &ids), STREAMS);
    if cause == Cause::Started {
        site.release(second_store, None);
        site.second = entry(5, site.port, second_store.address);
        support::gateway_ready(&site.second).await;
    }

    let resumed: Vec<String> = (0..STREAMS).map(|number| format!("second-{number}")).collect();
    let calls = ids.iter().zip(&resumed);
    let calls = calls.map(|(first, id)| site.resume(id, is_named.then_some(first)));
    let wake = async {
        sleep(Duration::from_millis(100)).await;
        if cause == Cause::Frozen {
            site.second.wake();
        }
    };
    let (answers, ()) = tokio::join!(futures::future::join_all(calls), wake);

    let other = if begun_at == OLD { NEW } else { OLD };
    println!("{cause:?} {agents:?} {is_named}: {answers:?}");
    assert_eq!(site.received(other, &resumed), 0, "joined of two versions: {answers:?}");
    drop((open, &site.agents));
}

/// Guards against streams that are refused although only one version can have begun them.
#[test_case(Agents::Without; "without agents")]
#[test_case(Agents::With; "with agents")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_is_resumed_where_only_its_version_was_listed(agents: Agents) {
    let site = Site::start(agents).await;
    // The store takes appends of runners all the time, so that reads of the list end soon.
    let store = &site.stores[1];
    let open = site.begin("first").await;
    let beats = async {
        for number in 0..20_u64 {
            let mut beat = record(&site.runners[0], OLD, "ready", site.has_agents);
            beat["sequence"] = number.into();
            store.write_runner("i-old", &beat);
            sleep(Duration::from_millis(50)).await;
        }
    };

    let ((status, refusal), ()) = tokio::join!(site.resume("second", None), beats);

    assert_eq!(status, StatusCode::OK, "{refusal}");
    assert_eq!(site.received(OLD, &["second".to_owned()]), 1);
    drop(open);
}
