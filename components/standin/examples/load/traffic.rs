//! Sends requests at a fixed rate, whatever the answers do.

use std::time::Duration;

use futures::future;
use model::reservation::{Ask, Id};
use serde_json::json;
use standin::fixture;
use tarpc::{client, context, tokio_serde::formats::Bincode};
use tokio::time::{Instant, sleep_until};
use uuid::Uuid;
use wire::AgentClient;

use crate::{
    Failure,
    site::{self, MODEL, SERVICE, Site},
};

/// What is sent.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// A call to the plain service.
    Call,
    /// A streamed completion of so many tokens.
    Stream(u32),
}

/// Sends requests for a time; gives how many were answered whole, in full and in time.
pub async fn run(site: &Site, work: Work, rate: u32, time: Duration) -> Result<u32, Failure> {
    let http = reqwest::Client::builder().no_proxy().build()?;
    let began = Instant::now();
    let count = rate * time.as_secs() as u32;
    let mut running = Vec::new();
    for number in 0..count {
        sleep_until(began + time * number / count).await;
        let request = request(&http, site, work, number);
        running.push(tokio::spawn(async move { is_whole(request, work).await.unwrap_or(false) }));
    }
    let answers = future::join_all(running).await;
    let whole = answers.into_iter().filter(|answer| matches!(answer, Ok(true))).count();
    Ok(whole as u32)
}

/// Makes control calls alone, a reservation and its cancel each; gives how many were granted.
pub async fn reserve(site: &Site, rate: u32, time: Duration) -> Result<u32, Failure> {
    let connection =
        tarpc::serde_transport::tcp::connect(site.service_control(), Bincode::default).await?;
    let client = AgentClient::new(client::Config::default(), connection).spawn();
    let began = Instant::now();
    let count = rate * time.as_secs() as u32;
    let mut granted = 0;
    for number in 0..count {
        sleep_until(began + time * number / count).await;
        let ask = ask();
        let id = ask.id;
        granted += u32::from(client.reserve(context::current(), ask).await?.is_ok());
        client.cancel(context::current(), id).await?;
    }
    Ok(granted)
}

/// A reservation with the fingerprints of a long prompt.
fn ask() -> Ask {
    const BLOCKS: u64 = 8;
    Ask {
        id: Id { request: Uuid::new_v4(), attempt: 1 },
        rank: 0,
        remaining: Duration::from_secs(10),
        prefill: 2_000,
        decode: 300,
        prefix: (0..BLOCKS).collect(),
        order: Default::default(),
        offset: 0,
        body: Default::default(),
    }
}

/// Opens connections, each with one answered call, and keeps them.
pub async fn connect(site: &Site, count: usize) -> Result<Vec<reqwest::Client>, Failure> {
    let mut clients = Vec::new();
    for number in 0..count {
        let http = reqwest::Client::builder().no_proxy().build()?;
        is_whole(request(&http, site, Work::Call, number as u32), Work::Call).await?;
        clients.push(http);
    }
    Ok(clients)
}

fn request(
    http: &reqwest::Client,
    site: &Site,
    work: Work,
    number: u32,
) -> reqwest::RequestBuilder {
    let entry = site.entry.address("callers");
    let request = match work {
        Work::Call => http.get(format!("http://{entry}/v1/services/{SERVICE}/huts/{number}")),
        Work::Stream(tokens) => {
            let prompt = format!("revision {number}: ").repeat(50);
            let body =
                json!({"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": true});
            http.post(format!("http://{entry}/v1/completions")).json(&body)
        }
    };
    request.bearer_auth(fixture::key(&site::account(0)))
}

async fn is_whole(request: reqwest::RequestBuilder, work: Work) -> Result<bool, reqwest::Error> {
    let answer = request.send().await?.error_for_status()?.text().await?;
    Ok(match work {
        Work::Call => answer.ends_with('}'),
        Work::Stream(_) => answer.ends_with("data: [DONE]\n\n"),
    })
}
