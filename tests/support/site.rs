//! Entries and model engines with their agents, each agent's traffic behind a relay with faults.

use std::{net::SocketAddr, time::Duration};

use model::{
    Host,
    change::Action,
    host,
    refusal::Ran,
    resource::{Backing, Resource, Target},
};
use reqwest::{Client, Response};
use serde_json::{Value, json};
use standin::{
    engine::{self, Engine, Shape},
    fixture::{self, ANY},
    hosts, log,
    relay::{self, Relay},
};
use tokio::task::JoinHandle;

use super::Process;

pub const MODEL: &str = "drawing-7b";
pub const TOKENS: u32 = 12;
/// Life of a grant.
pub const GRANT: Duration = Duration::from_millis(200);

/// What stands in a site.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub entries: usize,
    pub targets: usize,
    /// Requests that run at once at one target.
    pub slots: usize,
    /// Most reservations that wait at one target.
    pub waiting: usize,
    pub step: Duration,
    /// Whether the engines refuse old fencing numbers, and the agents know it.
    pub checks_fence: bool,
}

impl Default for Plan {
    fn default() -> Plan {
        let step = Duration::from_millis(1);
        Plan { entries: 1, targets: 1, slots: 1, waiting: 64, step, checks_fence: false }
    }
}

pub struct Site {
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub engines: Vec<Engine>,
    pub traffic: Vec<Relay>,
    pub log: log::Log,
    pub hosts: hosts::Hosts,
    targets: Vec<Declared>,
}

/// A target as it stands in the configuration.
#[derive(Clone)]
struct Declared {
    resource: Target,
    version: u64,
}

/// A call in progress.
pub type Call = JoinHandle<Outcome>;

/// What a caller got.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    Whole(String),
    Refused {
        reason: String,
        ran: Ran,
    },
    /// The connection to the entry broke.
    Cut,
}

pub async fn open(plan: Plan) -> Site {
    let log = log::bind(ANY).await.unwrap();
    let hosts = hosts::bind(ANY).await.unwrap();
    let mut site = Site {
        entries: Vec::new(),
        agents: Vec::new(),
        engines: Vec::new(),
        traffic: Vec::new(),
        log,
        hosts,
        targets: Vec::new(),
    };
    fixture::seed(&site.log, shared());
    for index in 0..plan.targets {
        add_target(&mut site, plan, index).await;
    }
    for index in 0..plan.entries {
        let name = format!("entry-{index}");
        site.entries.push(super::serve(&fixture::entry(&name, &site.log, &site.hosts)));
    }
    for entry in &site.entries {
        super::ready(entry).await;
    }
    site
}

async fn add_target(site: &mut Site, plan: Plan, index: usize) {
    let shape = Shape { step: plan.step, ..Shape::default() };
    let engine = engine::bind(ANY, shape).await.unwrap();
    let mut settings =
        fixture::agent(&name(index), engine.address, Backing::Model, &site.log, &site.hosts);
    settings.room.slots = plan.slots;
    settings.room.waiting = plan.waiting;
    settings.room.grant = GRANT;
    settings.engine.checks_fence = plan.checks_fence;
    engine.set_setup(|state| state.checks_fence = plan.checks_fence);
    let agent = super::agent(&settings);
    let traffic = relay::bind(ANY, agent.address("traffic")).await.unwrap();
    let address = agent.address("control");
    let resource = fixture::target(&name(index), "drawings", address, traffic.address);
    let Resource::Target(target) = resource.clone() else { unreachable!() };
    let record = serde_json::to_string(&fixture::create(resource)).unwrap();
    let version = site.log.append(source::CONFIG, record);
    site.targets.push(Declared { resource: target, version });
    site.agents.push(agent);
    site.engines.push(engine);
    site.traffic.push(traffic);
}

fn shared() -> Vec<Resource> {
    vec![
        fixture::tier("crew", 0, Duration::from_secs(20)),
        fixture::tier("bulk", 1, Duration::from_secs(20)),
        fixture::account("viewer", &["crew", "bulk"]),
        fixture::model_pool("drawings", &[MODEL]),
    ]
}

pub fn name(target: usize) -> String {
    format!("engine-{target}")
}

impl Site {
    /// Sends a request; the call runs on by itself.
    pub fn call(&self, entry: usize, tier: &str, prompt: &str) -> Call {
        self.call_within(entry, tier, prompt, Duration::from_secs(20))
    }

    /// The same with a deadline.
    pub fn call_within(&self, entry: usize, tier: &str, prompt: &str, deadline: Duration) -> Call {
        let url = format!("http://{}/v1/completions", self.entries[entry].address("callers"));
        let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": TOKENS});
        let request = Client::new()
            .post(url)
            .bearer_auth(fixture::key("viewer"))
            .header("x-wagtailhill-tier", tier)
            .header("x-wagtailhill-deadline-ms", deadline.as_millis().to_string())
            .json(&body);
        tokio::spawn(async move {
            match request.send().await {
                Ok(answer) => outcome(answer).await,
                Err(error) => {
                    println!("cut: {error:?}");
                    Outcome::Cut
                }
            }
        })
    }

    /// How often a prompt reached any engine.
    pub fn runs(&self, prompt: &str) -> usize {
        self.engines.iter().map(|engine| count(engine, prompt)).sum()
    }

    /// Stops all engines or lets them step on.
    pub fn freeze_engines(&self, frozen: bool) {
        self.engines.iter().for_each(|engine| engine.fault(|faults| faults.frozen = frozen));
    }

    /// Fills every target's one slot with a request that runs until the engines are let go.
    pub async fn occupy(&self) -> Vec<Call> {
        self.freeze_engines(true);
        let calls = self.engines.iter().enumerate();
        let calls = calls.map(|(at, _)| self.call(0, "crew", &format!("first-{at}"))).collect();
        super::until(|| self.engines.iter().all(|engine| engine.running() == 1)).await;
        calls
    }

    /// A number of an agent's own metrics.
    pub async fn metric(&self, agent: usize, name: &str) -> i64 {
        number(self.agents[agent].address("operators"), name).await
    }

    /// Waits until as many reservations wait at an agent.
    pub async fn waiting(&self, agent: usize, wanted: i64) {
        let name = "wagtailhill_agent_waiting";
        super::until_async(async || self.metric(agent, name).await == wanted).await;
    }

    /// Waits until as many requests run, or hold a grant, at an agent.
    pub async fn held(&self, agent: usize, wanted: i64) {
        let name = "wagtailhill_agent_running";
        super::until_async(async || self.metric(agent, name).await == wanted).await;
    }

    /// Waits until as many requests wait or run at an entry.
    pub async fn taken(&self, entry: usize, wanted: usize) {
        let address = self.entries[entry].address("operators");
        let wanted = i64::try_from(wanted).unwrap();
        let name = "wagtailhill_open_requests";
        super::until_async(async || number(address, name).await == wanted).await;
    }

    /// Makes the platform's list show a target's host as leaving.
    pub fn list_leaving(&self, target: usize) {
        let row = Host { name: name(target), zone: "a".to_owned(), state: host::State::Leaving };
        self.hosts.set(vec![row]);
    }

    /// Declares a target anew and waits until it is in force at every entry.
    pub async fn declare(&mut self, target: usize, change: impl FnOnce(&mut Target)) {
        change(&mut self.targets[target].resource);
        let Declared { resource, version } = self.targets[target].clone();
        let action = Action::Put(Resource::Target(resource));
        let change = fixture::change(action, version);
        let record = serde_json::to_string(&change).unwrap();
        let version = self.log.append(source::CONFIG, record);
        self.targets[target].version = version;
        for entry in &self.entries {
            let address = entry.address("operators");
            let wanted = i64::try_from(version).unwrap();
            let name = "wagtailhill_config_offset";
            super::until_async(async || number(address, name).await >= wanted).await;
        }
    }
}

/// A number of a process's own metrics.
async fn number(address: SocketAddr, name: &str) -> i64 {
    let url = format!("http://{address}/metrics");
    let text = reqwest::get(url).await.unwrap().text().await.unwrap();
    let line = text.lines().find(|line| line.starts_with(&format!("{name} ")));
    let line = line.unwrap_or_else(|| panic!("no {name} in: {text}"));
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

/// What a call must give if it ends whole.
pub fn whole(prompt: &str) -> Outcome {
    Outcome::Whole(engine::expected(prompt, TOKENS))
}

/// How often a prompt reached an engine.
pub fn count(engine: &Engine, prompt: &str) -> usize {
    engine.runs().iter().filter(|run| run.prompt == prompt).count()
}

async fn outcome(answer: Response) -> Outcome {
    let is_success = answer.status().is_success();
    let Ok(content) = answer.json::<Value>().await else {
        return Outcome::Cut;
    };
    if is_success {
        return Outcome::Whole(content["choices"][0]["text"].as_str().unwrap().to_owned());
    }
    let error = &content["error"];
    Outcome::Refused {
        reason: error["reason"].as_str().unwrap().to_owned(),
        ran: serde_json::from_value(error["ran"].clone()).unwrap(),
    }
}
