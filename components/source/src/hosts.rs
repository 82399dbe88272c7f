//! Client of the platform's list of hosts, which lags behind the hosts' real state.

use std::collections::BTreeMap;

use model::{Host, id::HostName};
use serde::{Deserialize, Serialize};

use crate::{CONNECT_TIMEOUT, IDLE_TIMEOUT};

/// Version of the list, an opaque text that the platform chooses.
pub type Version = String;

/// The answer to one read: the whole list, or the changes since a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Version of the list after this page.
    pub version: Version,
    /// The version that the changes start from; `None` if `hosts` is the whole list.
    pub since: Option<Version>,
    /// Hosts that are new or changed, or all hosts if the page is the whole list.
    pub hosts: Vec<Host>,
    /// Names of hosts that were removed from the list.
    pub gone: Vec<HostName>,
}

/// The list of hosts as of the last read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct List {
    /// Version of the list; `None` if the next read has to ask for the whole list.
    version: Option<Version>,
    hosts: BTreeMap<HostName, Host>,
}

/// HTTP client that reads the list of hosts.
#[derive(Clone, Debug)]
pub struct Client {
    base_url: String,
    http: reqwest::Client,
}

/// Returns a client of the list of hosts at a base URL. Sends nothing yet.
pub fn open(base_url: &str) -> Client {
    let http = reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(IDLE_TIMEOUT)
        .no_proxy()
        .build();
    Client { base_url: base_url.to_owned(), http: http.expect("a client without TLS can be built") }
}

impl Client {
    /// Reads what changed and applies it to `list`. Returns whether the list changed.
    pub async fn refresh(&self, list: &mut List) -> Result<bool, reqwest::Error> {
        let mut request = self.http.get(format!("{}/hosts", self.base_url));
        if let Some(version) = &list.version {
            request = request.query(&[("since", version)]);
        }
        let page = request.send().await?.error_for_status()?.json().await?;
        Ok(list.apply(page))
    }
}

impl List {
    /// Returns all hosts, ordered by name.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// Applies a page and returns whether the list changed. A page with changes since another
    /// version than the list's is ignored, and the next read asks for the whole list.
    pub fn apply(&mut self, page: Page) -> bool {
        if page.since.is_some() && page.since != self.version {
            self.version = None;
            return false;
        }
        let old_hosts = page.since.is_none().then(|| std::mem::take(&mut self.hosts));
        let has_rows = !page.hosts.is_empty() || !page.gone.is_empty();
        self.version = Some(page.version);
        self.hosts.extend(page.hosts.into_iter().map(|host| (host.name.clone(), host)));
        self.hosts.retain(|name, _| !page.gone.contains(name));
        old_hosts.map_or(has_rows, |old_hosts| old_hosts != self.hosts)
    }
}
