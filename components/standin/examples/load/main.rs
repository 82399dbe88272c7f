//! Measures what a request, a token, a connection and a row of configuration cost the two
//! programs, as real processes: processor time, control bytes and memory.
//!
//! Build the programs first, then name a table or none for all:
//!
//!     cargo build --release
//!     cargo run --release --package standin --example load -- rates

mod process;
mod site;
mod traffic;

use std::{env, error::Error, time::Duration};

use site::{Reading, Site, Size};
use tokio::time::sleep;
use traffic::Work;

/// Any reason why a measurement failed.
pub type Failure = Box<dyn Error + Send + Sync>;

const RUN: Duration = Duration::from_secs(3);
/// Longer than a period of evidence.
const APPENDED: Duration = Duration::from_millis(2_500);
const SETTLE: Duration = Duration::from_millis(500);
const SMALL: Size = Size { accounts: 5, targets: 1, hosts: 20 };

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let wanted = env::args().nth(1);
    let wants = |table: &str| wanted.as_deref().is_none_or(|wanted| wanted == table);
    if wants("rates") {
        rates().await?;
    }
    if wants("calls") {
        calls().await?;
    }
    if wants("evidence") {
        evidence().await?;
    }
    if wants("idle") {
        idle().await?;
    }
    if wants("memory") {
        memory().await?;
        streams().await?;
    }
    Ok(())
}

/// Processor time and bytes of a request at several rates.
async fn rates() -> Result<(), Failure> {
    println!("Per request, over {} s each; idle cost not taken off.", RUN.as_secs());
    println!(
        "{:<12} {:>6} {:>6} {:>10} {:>10} {:>10} {:>10} {:>9} {:>9}",
        "work",
        "rate",
        "whole",
        "entry us",
        "its ctl us",
        "agent us",
        "its ctl us",
        "ctl B",
        "data B"
    );
    for (work, rates) in [
        (Work::Call, [50, 200, 800]),
        (Work::Stream(16), [25, 50, 100]),
        (Work::Stream(64), [25, 50, 100]),
    ] {
        for rate in rates {
            let site = site::open(SMALL).await?;
            warm(&site, work).await?;
            let before = site.read()?;
            let whole = traffic::run(&site, work, rate, RUN).await?;
            let after = site.read()?;
            print_rate(work, rate, whole, before, after);
        }
    }
    Ok(())
}

/// Cost of control calls alone: a reservation with eight prefix blocks, and its cancel.
async fn calls() -> Result<(), Failure> {
    println!("Per pair of control calls (reserve, cancel), over {} s each.", RUN.as_secs());
    println!("{:>6} {:>8} {:>10} {:>10} {:>8}", "rate", "granted", "agent us", "ctl us", "bytes");
    for rate in [50, 200, 800] {
        let site = site::open(SMALL).await?;
        traffic::reserve(&site, 50, Duration::from_secs(1)).await?;
        let before = site.read()?;
        let granted = traffic::reserve(&site, rate, RUN).await?;
        let after = site.read()?;
        let count = f64::from(rate) * RUN.as_secs_f64();
        println!(
            "{rate:>6} {granted:>8} {:>10.0} {:>10.0} {:>8.0}",
            (after.agents.all - before.agents.all).as_secs_f64() * 1e6 / count,
            (after.agents.control - before.agents.control).as_secs_f64() * 1e6 / count,
            (after.control - before.control) as f64 / count,
        );
    }
    Ok(())
}

/// Evidence that a request leaves in the log, and appends a second.
async fn evidence() -> Result<(), Failure> {
    println!("Evidence over {} s, an append in 2 s, and until all is in the log.", RUN.as_secs());
    println!("{:<12} {:>6} {:>6} {:>9} {:>10}", "work", "rate", "whole", "appends", "B/request");
    for (work, rates) in [(Work::Call, [0, 50, 200]), (Work::Stream(16), [0, 25, 50])] {
        for rate in rates {
            let site = site::open(SMALL).await?;
            sleep(APPENDED).await;
            let before = site.evidence();
            let whole = traffic::run(&site, work, rate, RUN).await?;
            sleep(if rate == 0 { RUN + APPENDED } else { APPENDED }).await;
            let after = site.evidence();
            let bytes = after.bytes - before.bytes;
            let requests = (rate * RUN.as_secs() as u32).max(1);
            println!(
                "{:<12} {rate:>6} {whole:>6} {:>9} {:>10.0}",
                format!("{work:?}"),
                after.appends - before.appends,
                bytes as f64 / f64::from(requests)
            );
        }
    }
    Ok(())
}

async fn warm(site: &Site, work: Work) -> Result<(), Failure> {
    traffic::run(site, work, 20, Duration::from_secs(1)).await?;
    Ok(())
}

fn print_rate(work: Work, rate: u32, whole: u32, before: Reading, after: Reading) {
    let count = f64::from(rate) * RUN.as_secs_f64();
    let micros = |spent: Duration| spent.as_secs_f64() * 1e6 / count;
    let each = |bytes: u64| bytes as f64 / count;
    println!(
        "{:<12} {rate:>6} {whole:>6} {:>10.0} {:>10.0} {:>10.0} {:>10.0} {:>9.0} {:>9.0}",
        format!("{work:?}"),
        micros(after.entry.all - before.entry.all),
        micros(after.entry.control - before.entry.control),
        micros(after.agents.all - before.agents.all),
        micros(after.agents.control - before.agents.control),
        each(after.control - before.control),
        each(after.traffic - before.traffic),
    );
}

/// What an entry reads at its start, and spends while idle, as the deployment grows.
async fn idle() -> Result<(), Failure> {
    println!("Start, then idle for {} s: an entry and two agents.", RUN.as_secs());
    println!(
        "{:>8} {:>8} {:>9} {:>11} {:>11} {:>11} {:>11}",
        "hosts", "accounts", "ready ms", "log B read", "entry us/s", "list B/s", "log B/s"
    );
    for (hosts, accounts) in [(20, 5), (1_000, 5), (11_800, 5), (20, 1_000), (20, 43_000)] {
        let site = site::open(Size { hosts, accounts, ..SMALL }).await?;
        let ready = site.ready_after.as_millis();
        sleep(SETTLE).await;
        let before = site.read()?;
        sleep(RUN).await;
        let after = site.read()?;
        let second = |amount: f64| amount / RUN.as_secs_f64();
        println!(
            "{hosts:>8} {accounts:>8} {ready:>9} {:>11} {:>11.0} {:>11.0} {:>11.0}",
            before.feed,
            second((after.entry.all - before.entry.all).as_secs_f64() * 1e6),
            second((after.list - before.list) as f64),
            second((after.feed - before.feed) as f64),
        );
    }
    Ok(())
}

/// Resident memory of an entry as its state grows.
async fn memory() -> Result<(), Failure> {
    println!(
        "{:>8} {:>8} {:>10} {:>10} {:>11}",
        "accounts", "targets", "callers", "entry KiB", "agents KiB"
    );
    let shapes = [(5, 1, 0), (5, 1, 200), (5, 1, 1_000), (5, 200, 0), (43_000, 1, 0)];
    for (accounts, targets, callers) in shapes {
        let site = site::open(Size { accounts, targets, ..SMALL }).await?;
        let clients = traffic::connect(&site, callers + targets).await?;
        sleep(SETTLE).await;
        let reading = site.read()?;
        println!(
            "{accounts:>8} {targets:>8} {callers:>10} {:>10} {:>11}",
            reading.entry.resident >> 10,
            reading.agents.resident >> 10
        );
        drop(clients);
    }
    Ok(())
}

/// Resident memory while streams are open, each on a connection of its own.
async fn streams() -> Result<(), Failure> {
    const TOKENS: u32 = 150;
    println!("{:>8} {:>8} {:>10} {:>11}", "streams", "whole", "entry KiB", "agents KiB");
    for streams in [10, 200, 500] {
        let site = site::open(SMALL).await?;
        let second = Duration::from_secs(1);
        let run = traffic::run(&site, Work::Stream(TOKENS), streams, second);
        let look = async {
            sleep(second + SETTLE / 2).await;
            site.read()
        };
        let (whole, reading) = tokio::join!(run, look);
        let (whole, reading) = (whole?, reading?);
        println!(
            "{streams:>8} {whole:>8} {:>10} {:>11}",
            reading.entry.resident >> 10,
            reading.agents.resident >> 10
        );
    }
    Ok(())
}
