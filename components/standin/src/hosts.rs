//! Stand-in of the platform's list of hosts.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use http::StatusCode;
use model::{Host, id::HostName};
use source::hosts::{Page, Version};

use crate::server::{self, Server};

/// States of the list whose changes are still known.
const KEPT: usize = 8;

/// A running list.
#[derive(Debug)]
pub struct Hosts {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    _server: Server,
}

#[derive(Debug, Default)]
struct State {
    /// The last states of the list; the newest is last.
    lists: VecDeque<Versioned>,
    /// Counts the states.
    count: u64,
    down: bool,
    reads: u64,
}

#[derive(Debug)]
struct Versioned {
    version: Version,
    hosts: BTreeMap<HostName, Host>,
}

/// Starts an empty list.
pub async fn bind(address: SocketAddr) -> io::Result<Hosts> {
    let state = Arc::new(Mutex::new(State::default()));
    let shared = Arc::clone(&state);
    let handler: server::Handler = Arc::new(move |request| {
        let mut state = shared.lock().unwrap_or_else(PoisonError::into_inner);
        state.reads += 1;
        let query = request.uri().query().unwrap_or_default();
        let answer = match state.down {
            true => server::status(StatusCode::SERVICE_UNAVAILABLE),
            false => server::json(StatusCode::OK, &state.page(query.strip_prefix("since="))),
        };
        Box::pin(async { answer })
    });
    let server = server::bind(address, handler).await?;
    let hosts = Hosts { address: server.address, state, _server: server };
    hosts.set(Vec::new());
    Ok(hosts)
}

impl Hosts {
    /// Base URL for clients.
    pub fn base(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces the list; a test calls this late to make the list lag.
    pub fn set(&self, hosts: Vec<Host>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.count += 1;
        let version = format!("{}-{}", self.address.port(), state.count);
        let hosts = hosts.into_iter().map(|host| (host.name.clone(), host)).collect();
        state.lists.push_back(Versioned { version, hosts });
        while state.lists.len() > KEPT {
            state.lists.pop_front();
        }
    }

    /// How often the list was asked for.
    pub fn reads(&self) -> u64 {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).reads
    }

    /// Makes every call be refused, or not.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).down = down;
    }
}

impl State {
    fn page(&self, since: Option<&str>) -> Page {
        let newest = self.lists.back().expect("a list is set at the start");
        let old = self.lists.iter().find(|list| Some(list.version.as_str()) == since);
        let Some(old) = old else {
            let hosts = newest.hosts.values().cloned().collect();
            return Page { version: newest.version.clone(), since: None, hosts, gone: Vec::new() };
        };
        let differs = |host: &&Host| old.hosts.get(&host.name) != Some(*host);
        let is_gone = |name: &&HostName| !newest.hosts.contains_key(*name);
        Page {
            version: newest.version.clone(),
            since: Some(old.version.clone()),
            hosts: newest.hosts.values().filter(differs).cloned().collect(),
            gone: old.hosts.keys().filter(is_gone).cloned().collect(),
        }
    }
}
