//! Client of the platform's lagging list of hosts.

use std::collections::BTreeMap;

use model::{Host, id::HostName};
use serde::{Deserialize, Serialize};

use crate::{CONNECT_TIMEOUT, SILENCE};

/// Names one state of the list; the platform chooses it.
pub type Version = String;

/// What one read gives: the whole list, or what changed since a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The state that the list has now.
    pub version: Version,
    /// The version that the changes start from; `None` where `hosts` is the whole list.
    pub since: Option<Version>,
    /// Rows that are new or differ.
    pub hosts: Vec<Host>,
    /// Hosts that are listed no more.
    pub gone: Vec<HostName>,
}

/// The list as read so far.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct List {
    /// `None` until the whole list was read.
    version: Option<Version>,
    hosts: BTreeMap<HostName, Host>,
}

/// Reads the list of hosts.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    http: reqwest::Client,
}

/// Gives a client of the list at a base URL; nothing is sent yet.
pub fn open(base: &str) -> Client {
    let http = reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(SILENCE)
        .no_proxy()
        .build();
    Client { base: base.to_owned(), http: http.expect("a client without TLS can be built") }
}

impl Client {
    /// Brings a list up to date; tells whether it changed.
    pub async fn refresh(&self, list: &mut List) -> Result<bool, reqwest::Error> {
        let mut request = self.http.get(format!("{}/hosts", self.base));
        if let Some(version) = &list.version {
            request = request.query(&[("since", version)]);
        }
        let page = request.send().await?.error_for_status()?.json().await?;
        Ok(list.apply(page))
    }
}

impl List {
    /// All rows, in the order of their names.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// Takes a page in; tells whether the list changed. Changes since a version that we don't
    /// have are left out, and the next read asks for the whole list.
    pub fn apply(&mut self, page: Page) -> bool {
        if page.since.is_some() && page.since != self.version {
            self.version = None;
            return false;
        }
        let before = page.since.is_none().then(|| std::mem::take(&mut self.hosts));
        let changed = !page.hosts.is_empty() || !page.gone.is_empty();
        self.version = Some(page.version);
        self.hosts.extend(page.hosts.into_iter().map(|host| (host.name.clone(), host)));
        self.hosts.retain(|name, _| !page.gone.contains(name));
        before.map_or(changed, |before| before != self.hosts)
    }
}
