//! Calls the operators' API for the command line.

use std::{env, fs, path::PathBuf, process::ExitCode, time::Duration};

use api::{Failure, Reason};
use clap::ArgMatches;
use displaydoc::Display;
use model::{
    Finding, Resource,
    id::{ChangeId, Offset},
    resource::{Key, Kind},
};
use reqwest::{Method, RequestBuilder, Response};
use serde::{Deserialize, de::DeserializeOwned};
use thiserror::Error;

use crate::exit;

/// Variable that gives the server where no `--server` does.
pub const SERVER: &str = "WAGTAILHILL_SERVER";
/// Variable that gives the operator's key where no `--key-file` does.
pub const KEY: &str = "WAGTAILHILL_KEY";
/// Wait of a write until its change was read back from the log.
pub const ACCEPTED: &str = "accepted";
/// Wait of a write until its change is in force everywhere.
pub const IN_FORCE: &str = "in_force";
/// Times that a write is sent under one change id before its fate is left open.
const TRIES: u32 = 4;
/// Wait before a write is sent again.
const PAUSE: Duration = Duration::from_millis(250);

/// Exit code where another version stands than was expected.
pub const CONFLICT: u8 = 3;
/// Exit code where a change may have been accepted, or isn't in force everywhere yet.
pub const UNKNOWN: u8 = 4;
/// Exit code where there is no such resource.
pub const NOT_FOUND: u8 = 5;
/// Exit code where a watch is too old to go on.
pub const GONE: u8 = 6;

/// Why a call failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// {0}
    Arguments(String),
    /// the server can't be reached: {0}
    Connect(reqwest::Error),
    /// {0}
    Answer(Box<Answered>),
}

/// {message}
#[derive(Debug, Display)]
pub struct Answered {
    /// What the server said.
    pub failure: Failure,
    message: String,
}

/// Speaks to one entry process as one operator.
pub struct Client {
    server: String,
    key: String,
    http: reqwest::Client,
}

/// How a write is made.
#[derive(Clone, Copy, Debug)]
pub struct Write<'a> {
    /// The change's id, the same each time it is sent.
    pub change: ChangeId,
    /// Version that must stand.
    pub expected: Offset,
    /// What to wait for, as the API names it.
    pub wait: &'a str,
    /// Time for the answer.
    pub timeout: Duration,
}

#[derive(Deserialize)]
struct Refused {
    error: Failure,
}

/// Builds a client from the arguments and the environment.
pub fn open(matches: &ArgMatches) -> Result<Client, Error> {
    let server = matches.get_one::<String>("server").cloned().or_else(|| env::var(SERVER).ok());
    let missing = || Error::Arguments(format!("give --server or set {SERVER}"));
    let server = server.ok_or_else(missing)?;
    let server = match server.contains("://") {
        true => server.trim_end_matches('/').to_owned(),
        false => format!("http://{server}"),
    };
    let http = reqwest::Client::builder().no_proxy().build().map_err(Error::Connect)?;
    Ok(Client { server, key: read_key(matches)?, http })
}

impl Client {
    /// Reads something.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let answer = self.stream(path).await?;
        answer.json().await.map_err(Error::Connect)
    }

    /// Reads something that goes on.
    pub async fn stream(&self, path: &str) -> Result<Response, Error> {
        check(self.request(Method::GET, path).send().await.map_err(Error::Connect)?).await
    }

    /// Waits until an offset is in force everywhere; tells whether it came to that in time.
    pub async fn in_force(&self, offset: Offset, timeout: Duration) -> bool {
        let reached = async {
            loop {
                let status = self.get::<api::Status>("/v1/status").await;
                if status.is_ok_and(|s| s.in_force.is_some_and(|lowest| lowest >= offset)) {
                    return;
                }
                tokio::time::sleep(PAUSE).await;
            }
        };
        tokio::time::timeout(timeout, reached).await.is_ok()
    }

    /// Makes a change; sends it again under the same id while its fate is unknown.
    pub async fn write(
        &self,
        key: &Key,
        body: Option<&Resource>,
        write: Write<'_>,
    ) -> Result<api::Written, Error> {
        let path = format!(
            "{}?expected={}&change={}&wait={}&timeout_ms={}",
            path(key),
            write.expected,
            write.change,
            write.wait,
            write.timeout.as_millis()
        );
        let mut left = TRIES;
        loop {
            left -= 1;
            let request = match body {
                Some(resource) => self.request(Method::PUT, &path).json(resource),
                None => self.request(Method::DELETE, &path),
            };
            match send(request).await {
                Err(error) if left > 0 && error.is_unknown() => tokio::time::sleep(PAUSE).await,
                other => return other,
            }
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.http.request(method, format!("{}{path}", self.server)).bearer_auth(&self.key)
    }
}

impl Error {
    /// What the server said, if it said anything.
    pub fn failure(&self) -> Option<&Failure> {
        match self {
            Error::Answer(answered) => Some(&answered.failure),
            Error::Arguments(_) | Error::Connect(_) => None,
        }
    }

    /// Prints the failure and gives the exit code for it.
    pub fn report(&self) -> ExitCode {
        eprintln!("Failed: {self}");
        ExitCode::from(self.code())
    }

    /// The exit code that scripts see.
    pub fn code(&self) -> u8 {
        match self {
            Error::Arguments(_) => exit::FAULTY,
            Error::Connect(_) => exit::FAILED,
            Error::Answer(answered) => match answered.failure.reason {
                Reason::BadInput => exit::FAULTY,
                Reason::Conflict => CONFLICT,
                Reason::Unknown | Reason::NotInForce => UNKNOWN,
                Reason::NotFound => NOT_FOUND,
                Reason::Gone => GONE,
                Reason::Unauthorized | Reason::Unavailable => exit::FAILED,
            },
        }
    }

    fn is_unknown(&self) -> bool {
        match self {
            Error::Answer(answered) => answered.failure.reason == Reason::Unknown,
            Error::Connect(error) => !error.is_connect(),
            Error::Arguments(_) => false,
        }
    }
}

/// Path of a resource.
pub fn path(key: &Key) -> String {
    format!("{}/{}", kind_path(key.kind), key.name)
}

/// Path of the resources of a kind.
pub fn kind_path(kind: Kind) -> String {
    format!("/v1/resources/{}", kind_name(kind))
}

/// Name of a kind, as the API has it.
pub fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Account => "account",
        Kind::Tier => "tier",
        Kind::Pool => "pool",
        Kind::Target => "target",
    }
}

async fn send<T: DeserializeOwned>(request: RequestBuilder) -> Result<T, Error> {
    let answer = check(request.send().await.map_err(Error::Connect)?).await?;
    answer.json().await.map_err(Error::Connect)
}

async fn check(answer: Response) -> Result<Response, Error> {
    let status = answer.status();
    if status.is_success() {
        return Ok(answer);
    }
    let refused: Refused = answer.json().await.map_err(Error::Connect)?;
    let failure = refused.error;
    let mut message = format!("{} ({status})", failure.message);
    for Finding { place, message: finding } in &failure.findings {
        message.push_str(&format!("\n  {place}: {finding}"));
    }
    Err(Error::Answer(Box::new(Answered { failure, message })))
}

fn read_key(matches: &ArgMatches) -> Result<String, Error> {
    let Some(path) = matches.get_one::<PathBuf>("key-file") else {
        let missing = |_| Error::Arguments(format!("give --key-file or set {KEY}"));
        return env::var(KEY).map_err(missing);
    };
    let text = fs::read_to_string(path);
    let text = text.map_err(|error| Error::Arguments(format!("{}: {error}", path.display())))?;
    Ok(text.trim().to_owned())
}
