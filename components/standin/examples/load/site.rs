//! One entry and two agents as processes, with counting relays on their connections.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use model::{Host, Resource, host, resource::Backing};
use standin::{
    engine::{self, Engine, Shape},
    fixture::{self, ANY},
    hosts::{self, Hosts},
    log::{self, Log},
    relay::{self, Relay},
    service::{self, Service},
};

use crate::{
    Failure,
    process::{self, Process, Usage},
};

/// Name of the model.
pub const MODEL: &str = "drawing-7b";
/// Name of the pool of plain services.
pub const SERVICE: &str = "status";
const SLOTS: usize = 4_096;
const TOKENS: u64 = 1 << 40;
const READY_TRIES: u32 = 2_000;

/// How large the deployment looks to its processes.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Client accounts.
    pub accounts: usize,
    /// Targets of the service pool, all with the same agent behind a relay of their own.
    pub targets: usize,
    /// Rows of the platform's list of hosts.
    pub hosts: usize,
}

/// Everything that runs.
pub struct Site {
    /// The entry process.
    pub entry: Process,
    /// Time from its start until it was ready.
    pub ready_after: Duration,
    engine_agent: Process,
    service_agent: Process,
    control: Vec<Relay>,
    traffic: Vec<Relay>,
    list: Relay,
    feed: Relay,
    _engine: Engine,
    _service: Service,
    log: Log,
    _hosts: Hosts,
}

/// What everything used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    /// The entry process.
    pub entry: Usage,
    /// Both agents together.
    pub agents: Usage,
    /// Bytes of control calls between entry and agents, both ways.
    pub control: u64,
    /// Bytes of bodies and answers between entry and agents, both ways.
    pub traffic: u64,
    /// Bytes of the entry's reads of the list of hosts, both ways.
    pub list: u64,
    /// Bytes of the entry's reads of the log, both ways.
    pub feed: u64,
}

/// Evidence in the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Evidence {
    /// Records of the stream.
    pub appends: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// Starts everything and waits until the entry is ready.
pub async fn open(size: Size) -> Result<Site, Failure> {
    let log = log::bind(ANY).await?;
    let hosts = hosts::bind(ANY).await?;
    hosts.set((0..size.hosts).map(host).collect());
    let shape = Shape { step: Duration::from_millis(10), ..Shape::default() };
    let engine = engine::bind(ANY, shape).await?;
    let service = service::bind(ANY, Duration::ZERO).await?;
    let engine_agent = agent("engine", engine.address, Backing::Model, &log, &hosts)?;
    let service_agent = agent("service", service.address, Backing::Service, &log, &hosts)?;
    let list = relay::bind(ANY, hosts.address).await?;
    let feed = relay::bind(ANY, log.address).await?;
    let mut settings = fixture::entry("entry", &log, &hosts);
    settings.platform.hosts = format!("http://{}", list.address);
    settings.platform.log = format!("http://{}", feed.address);
    settings.timing = settings::entry::Timing::default();
    settings.bounds.waiting = SLOTS;
    let (mut control, mut traffic) = (Vec::new(), Vec::new());
    fixture::seed(&log, resources(size.accounts));
    for number in 0..=size.targets {
        let (agent, pool) = match number {
            0 => (&engine_agent, "drawings"),
            _ => (&service_agent, SERVICE),
        };
        control.push(relay::bind(ANY, agent.address("control")).await?);
        traffic.push(relay::bind(ANY, agent.address("traffic")).await?);
        let (control, traffic) = (control[number].address, traffic[number].address);
        let target = fixture::target(&format!("target-{number}"), pool, control, traffic);
        fixture::seed(&log, vec![target]);
    }
    let began = Instant::now();
    let entry = process::start("wagtailhill", &["serve"], &settings)?;
    ready(&entry).await?;
    Ok(Site {
        entry,
        ready_after: began.elapsed(),
        engine_agent,
        service_agent,
        control,
        traffic,
        list,
        feed,
        _engine: engine,
        _service: service,
        log,
        _hosts: hosts,
    })
}

impl Site {
    /// What everything used so far.
    pub fn read(&self) -> Result<Reading, Failure> {
        let engine = self.engine_agent.usage()?;
        let service = self.service_agent.usage()?;
        Ok(Reading {
            entry: self.entry.usage()?,
            agents: Usage {
                control: engine.control + service.control,
                all: engine.all + service.all,
                resident: engine.resident + service.resident,
            },
            control: self.control.iter().map(total).sum(),
            traffic: self.traffic.iter().map(total).sum(),
            list: total(&self.list),
            feed: total(&self.feed),
        })
    }

    /// What stands in the stream of evidence.
    pub fn evidence(&self) -> Evidence {
        let records = self.log.records(source::EVIDENCE);
        let bytes = records.iter().map(|record| record.payload.len() as u64).sum();
        Evidence { appends: records.len() as u64, bytes }
    }

    /// Where the service's agent takes control calls, past a counting relay.
    pub fn service_control(&self) -> SocketAddr {
        self.control[1].address
    }
}

async fn ready(entry: &Process) -> Result<(), Failure> {
    let url = format!("http://{}/health/ready", entry.address("operators"));
    for _ in 0..READY_TRIES {
        if let Ok(answer) = reqwest::get(&url).await
            && answer.status().is_success()
        {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Err("the entry didn't read the configuration".into())
}

fn total(relay: &Relay) -> u64 {
    let bytes = relay.bytes();
    bytes.sent + bytes.answered
}

fn agent(
    name: &str,
    engine: SocketAddr,
    backing: Backing,
    log: &Log,
    hosts: &Hosts,
) -> Result<Process, Failure> {
    let mut settings = fixture::agent(name, engine, backing, log, hosts);
    settings.room.slots = SLOTS;
    settings.room.tokens = TOKENS;
    Ok(process::start("wagtailhill-agent", &[], &settings)?)
}

fn resources(accounts: usize) -> Vec<Resource> {
    let mut resources = vec![
        fixture::tier("crew", 0, Duration::from_secs(60)),
        fixture::model_pool("drawings", &[MODEL]),
        fixture::service_pool(SERVICE),
    ];
    resources.extend((0..accounts).map(|number| fixture::account(&account(number), &["crew"])));
    resources
}

/// Name of a client account.
pub fn account(number: usize) -> String {
    format!("account-{number}")
}

fn host(number: usize) -> Host {
    Host { name: format!("host-{number}"), zone: "zone-a".to_owned(), state: host::State::Live }
}
