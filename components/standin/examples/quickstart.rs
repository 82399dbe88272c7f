//! Brings the stand-ins, two entry processes and five unlike targets up in this process, sends
//! the traffic of a drawing viewer and of a permit office, and prints a summary by tier and what the
//! evidence says of each rule.
//!
//! Exits with 0 only if every answer was whole and every rule was held.

mod site;

use std::{
    collections::BTreeMap,
    error::Error,
    net::SocketAddr,
    process::ExitCode,
    time::{Duration, Instant},
};

use evidence::{audit::Verdict, read::Range};
use futures::{StreamExt, future};
use model::Resource;
use serde_json::{Value, json};
use site::Site;
use standin::{
    engine::{self, Shape},
    fixture,
    log::Log,
    service,
};

const DRAWING: &str = "drawing-7b";
const PERMIT: &str = "permit-3b";
const REVISIONS: usize = 12;
const DECISIONS: usize = 12;
const LOOKUPS: usize = 60;
const TOKENS: u32 = 24;

/// What one request came to.
struct Outcome {
    tier: &'static str,
    whole: bool,
    took: Duration,
}

/// One request to send.
#[derive(Clone)]
struct Job {
    tier: &'static str,
    account: &'static str,
    path: String,
    body: Option<Value>,
    key: Option<String>,
    /// Text that a whole answer must hold.
    expected: String,
    print: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run_site().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("The site failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_site() -> Result<bool, Box<dyn Error>> {
    let began = Instant::now();
    let site = open().await?;
    let up = began.elapsed().as_millis();
    println!("Up in {up} ms: {} entries, {} targets.", site.entries.len(), site.agents.len());
    let outcomes = send(&site, jobs()).await;
    let whole = outcomes.iter().filter(|outcome| outcome.whole).count();
    summarise(&outcomes);
    println!("{whole} of {} answers were whole.", outcomes.len());
    let log = site.close().await?;
    let held = judge(&log).await?;
    Ok(whole == outcomes.len() && held)
}

/// Judges the evidence that the processes left in the log, as `wagtailhill audit` does.
async fn judge(log: &Log) -> Result<bool, Box<dyn Error>> {
    let client = source::log::open(&log.base());
    let scope = evidence::read::read(&client, Range::default()).await?;
    let report = evidence::audit(&scope.history, scope.span);
    for finding in &report.findings {
        println!("{}: {} ({} cases)", finding.verdict, finding.rule, finding.checked);
    }
    Ok(report.verdict() == Verdict::Held)
}

async fn open() -> Result<Site, Box<dyn Error>> {
    let mut site = site::open(resources()).await?;
    site.add_engine("drawing-1", "drawings", step(1)).await?;
    site.add_engine("drawing-2", "drawings", step(3)).await?;
    site.add_engine("permit-1", "permits", step(1)).await?;
    site.add_engine("permit-2", "permits", step(2)).await?;
    site.add_service("status-1", "status").await?;
    site.add_entry("entry-1").await?;
    site.add_entry("entry-2").await?;
    Ok(site)
}

fn step(millis: u64) -> Shape {
    Shape { step: Duration::from_millis(millis), ..Shape::default() }
}

fn resources() -> Vec<Resource> {
    vec![
        fixture::tier("crew", 0, Duration::from_secs(10)),
        fixture::tier("desk", 1, Duration::from_secs(20)),
        fixture::tier("bulk", 2, Duration::from_secs(30)),
        fixture::account("viewer", &["crew", "bulk"]),
        fixture::account("authority", &["desk", "bulk"]),
        fixture::model_pool("drawings", &[DRAWING]),
        fixture::model_pool("permits", &[PERMIT]),
        fixture::service_pool("status"),
    ]
}

fn jobs() -> Vec<Job> {
    let mut jobs = Vec::new();
    for number in 0..REVISIONS {
        // Revisions of one drawing share a long prefix.
        let drawing = format!("drawing {} ", number % 3).repeat(400);
        let prompt = format!("{drawing}\nrevision {number}: summarise");
        jobs.push(completion("crew", "viewer", DRAWING, prompt, number == 0, None));
    }
    for number in 0..DECISIONS {
        let prompt = format!("route plan {number}: decide");
        let key = Some(format!("decision-{number}"));
        jobs.push(completion("desk", "authority", PERMIT, prompt, number == 0, key));
    }
    for number in 0..LOOKUPS {
        let expected = format!("/huts/{number}?day=today");
        let path = format!("/v1/services/status{expected}");
        let (tier, account) = ("bulk", "authority");
        jobs.push(Job { tier, account, path, body: None, key: None, expected, print: false });
    }
    jobs
}

fn completion(
    tier: &'static str,
    account: &'static str,
    model: &str,
    prompt: String,
    print: bool,
    key: Option<String>,
) -> Job {
    let expected = engine::expected(&prompt, TOKENS);
    let body = json!({"model": model, "prompt": prompt, "max_tokens": TOKENS, "stream": true});
    let path = "/v1/completions".to_owned();
    Job { tier, account, path, body: Some(body), key, expected, print }
}

async fn send(site: &Site, jobs: Vec<Job>) -> Vec<Outcome> {
    let http = reqwest::Client::builder().no_proxy().build().expect("a client can be built");
    let each = jobs.into_iter().enumerate().map(|(index, job)| {
        let entry = site.entries[index % site.entries.len()].callers;
        run(http.clone(), entry, job)
    });
    future::join_all(each).await
}

async fn run(http: reqwest::Client, entry: SocketAddr, job: Job) -> Outcome {
    let began = Instant::now();
    let whole = match call(&http, entry, &job).await {
        Ok(answer) if answer == job.expected => true,
        Ok(answer) => {
            eprintln!("{}: an answer that isn't whole: {answer}", job.path);
            false
        }
        Err(error) => {
            eprintln!("{}: {error}", job.path);
            false
        }
    };
    Outcome { tier: job.tier, whole, took: began.elapsed() }
}

async fn call(
    http: &reqwest::Client,
    entry: SocketAddr,
    job: &Job,
) -> Result<String, Box<dyn Error>> {
    let url = format!("http://{entry}{}", job.path);
    let mut request = match &job.body {
        Some(body) => http.post(url).json(body),
        None => http.get(url),
    };
    request = request.bearer_auth(fixture::key(job.account)).header("x-wagtailhill-tier", job.tier);
    if let Some(key) = &job.key {
        request =
            request.header("idempotency-key", key).header("x-wagtailhill-idempotent", "false");
    }
    let answer = request.send().await?;
    if !answer.status().is_success() {
        return Err(answer.text().await?.into());
    }
    if job.body.is_some() {
        return collect(answer, job.print).await;
    }
    let run: service::Run = answer.json().await?;
    Ok(run.path)
}

/// Reads a stream of events to its last one and puts its texts together.
async fn collect(answer: reqwest::Response, print: bool) -> Result<String, Box<dyn Error>> {
    let mut bytes = Vec::new();
    let mut stream = answer.bytes_stream();
    while let Some(chunk) = stream.next().await {
        bytes.extend_from_slice(&chunk?);
    }
    let mut text = String::new();
    for line in String::from_utf8(bytes)?.lines() {
        match line.strip_prefix("data: ") {
            Some("[DONE]") => {
                if print {
                    println!("A streamed answer: {text}");
                }
                return Ok(text);
            }
            Some(event) => {
                let event: Value = serde_json::from_str(event)?;
                text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
            }
            None => {}
        }
    }
    Err(format!("torn after: {text}").into())
}

fn summarise(outcomes: &[Outcome]) {
    let mut tiers: BTreeMap<&str, Vec<&Outcome>> = BTreeMap::new();
    for outcome in outcomes {
        tiers.entry(outcome.tier).or_default().push(outcome);
    }
    println!("{:<6} {:>6} {:>6} {:>9} {:>9}", "tier", "sent", "whole", "median ms", "worst ms");
    for (tier, outcomes) in tiers {
        let mut millis: Vec<u128> = outcomes.iter().map(|o| o.took.as_millis()).collect();
        millis.sort_unstable();
        let whole = outcomes.iter().filter(|outcome| outcome.whole).count();
        let (sent, median, worst) =
            (outcomes.len(), millis[millis.len() / 2], millis[millis.len() - 1]);
        println!("{tier:<6} {sent:>6} {whole:>6} {median:>9} {worst:>9}");
    }
}
