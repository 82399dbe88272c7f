//! Measures what the path adds: the time of a small call to a plain service, one after another,
//! and the gaps between the tokens of one streamed answer.

mod site;

use std::{
    error::Error,
    time::{Duration, Instant},
};

use futures::StreamExt;
use serde_json::json;
use site::Site;
use standin::{engine::Shape, fixture};

const CALLS: usize = 200;
const TOKENS: u32 = 400;
const STEP: Duration = Duration::from_millis(10);

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let site = open().await?;
    let http = reqwest::Client::builder().no_proxy().build()?;
    print("call", calls(&site, &http).await?);
    print("gap", gaps(&site, &http).await?);
    site.close().await?;
    Ok(())
}

async fn open() -> Result<Site, Box<dyn Error>> {
    let resources = vec![
        fixture::tier("crew", 0, Duration::from_secs(60)),
        fixture::account("viewer", &["crew"]),
        fixture::model_pool("drawings", &["drawing-7b"]),
        fixture::service_pool("status"),
    ];
    let mut site = site::open(resources).await?;
    let shape = Shape { step: STEP, ..Shape::default() };
    site.add_engine("drawing-1", "drawings", shape).await?;
    site.add_service("status-1", "status").await?;
    site.add_entry("entry-1").await?;
    Ok(site)
}

async fn calls(site: &Site, http: &reqwest::Client) -> Result<Vec<Duration>, Box<dyn Error>> {
    let url = format!("http://{}/v1/services/status/huts/1", site.entries[0].callers);
    let mut times = Vec::new();
    for _ in 0..CALLS {
        let began = Instant::now();
        let answer = http.get(&url).bearer_auth(fixture::key("viewer")).send().await?;
        answer.error_for_status()?.bytes().await?;
        times.push(began.elapsed());
    }
    Ok(times)
}

async fn gaps(site: &Site, http: &reqwest::Client) -> Result<Vec<Duration>, Box<dyn Error>> {
    let url = format!("http://{}/v1/completions", site.entries[0].callers);
    let body = json!({"model": "drawing-7b", "prompt": "p", "max_tokens": TOKENS, "stream": true});
    let request = http.post(url).bearer_auth(fixture::key("viewer")).json(&body);
    let mut stream = request.send().await?.error_for_status()?.bytes_stream();
    let mut times = Vec::new();
    let mut last = Instant::now();
    while let Some(chunk) = stream.next().await {
        chunk?;
        times.push(last.elapsed());
        last = Instant::now();
    }
    Ok(times)
}

fn print(what: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100].as_secs_f64() * 1_000.0;
    let count = times.len();
    println!(
        "{what}: {count}, ms: median {:.1}, p95 {:.1}, p99 {:.1}, worst {:.1}",
        at(50),
        at(95),
        at(99),
        at(100)
    );
}
