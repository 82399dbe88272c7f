//! A whole site in one process: stand-ins, agents and entry processes.

#![allow(dead_code)]

use std::{error::Error, net::SocketAddr, time::Duration};

use model::{Resource, resource::Backing};
use standin::{
    engine::{self, Engine, Shape},
    fixture, hosts,
    log::{self, Log},
    service::{self, Service},
};
use tokio::time::{sleep, timeout};

const READY_TIMEOUT: Duration = Duration::from_secs(5);

/// Everything that runs.
pub struct Site {
    pub entries: Vec<entry::Handle>,
    pub agents: Vec<agent::Handle>,
    pub engines: Vec<Engine>,
    pub services: Vec<Service>,
    pub log: Log,
    pub hosts: hosts::Hosts,
}

/// Starts the platform's stand-ins and declares resources.
pub async fn open(resources: Vec<Resource>) -> Result<Site, Box<dyn Error>> {
    let log = log::bind(fixture::ANY).await?;
    let hosts = hosts::bind(fixture::ANY).await?;
    fixture::seed(&log, resources);
    let (entries, agents, engines, services) = Default::default();
    Ok(Site { entries, agents, engines, services, log, hosts })
}

impl Site {
    /// Adds an engine with its agent.
    pub async fn add_engine(
        &mut self,
        name: &str,
        pool: &str,
        shape: Shape,
    ) -> Result<(), Box<dyn Error>> {
        let engine = engine::bind(fixture::ANY, shape).await?;
        self.add_agent(name, pool, engine.address, Backing::Model).await?;
        self.engines.push(engine);
        Ok(())
    }

    /// Adds a plain service with its agent.
    pub async fn add_service(&mut self, name: &str, pool: &str) -> Result<(), Box<dyn Error>> {
        let service = service::bind(fixture::ANY, Duration::from_millis(1)).await?;
        self.add_agent(name, pool, service.address, Backing::Service).await?;
        self.services.push(service);
        Ok(())
    }

    /// Adds an entry process and waits until it takes requests.
    pub async fn add_entry(&mut self, name: &str) -> Result<(), Box<dyn Error>> {
        let entry = entry::spawn(fixture::entry(name, &self.log, &self.hosts)).await?;
        let ready = async {
            while !entry.status().ready {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(READY_TIMEOUT, ready).await?;
        self.entries.push(entry);
        Ok(())
    }

    /// Drains everything; gives the log, which holds the evidence.
    pub async fn close(self) -> Result<Log, Box<dyn Error>> {
        for entry in self.entries {
            entry.drain().await?;
        }
        for agent in self.agents {
            agent.drain().await?;
        }
        Ok(self.log)
    }

    async fn add_agent(
        &mut self,
        name: &str,
        pool: &str,
        engine: SocketAddr,
        backing: Backing,
    ) -> Result<(), agent::Error> {
        let settings = fixture::agent(name, engine, backing, &self.log, &self.hosts);
        let agent = agent::spawn(settings).await?;
        let target = fixture::target(name, pool, agent.control_address, agent.traffic_address);
        fixture::seed(&self.log, vec![target]);
        self.agents.push(agent);
        Ok(())
    }
}
