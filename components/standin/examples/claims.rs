//! Measures claims against the naive version, an append to the log before each request: the time
//! of a small call to a plain service, appends, and what is refused at a rate and in an outage.

mod site;

use std::{
    error::Error,
    time::{Duration, Instant},
};

use futures::{StreamExt, stream};
use site::Site;
use standin::fixture;

const AGENTS: usize = 3;
const CALLS: usize = 500;
/// Calls at a rate, and how many of them are open at once.
const RATE_CALLS: usize = 2_000;
const OPEN: usize = 32;
/// What the stand-in of the log takes.
const APPENDS_PER_SECOND: u32 = 300;
const APPEND_TIME: Duration = Duration::from_millis(5);
const STREAM: &str = "claims-naive";

/// How a call is kept from running twice.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// Not at all.
    Open,
    /// By a claim at the key's home.
    Claim,
    /// By an append to the log.
    Append,
}

struct Bench {
    site: Site,
    http: reqwest::Client,
    log: source::log::Client,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let site = open().await?;
    let http = reqwest::Client::builder().no_proxy().build()?;
    let log = source::log::open(&site.log.base());
    let bench = Bench { site, http, log };
    bench.call(Way::Claim, "first").await;
    for way in [Way::Open, Way::Claim, Way::Append] {
        bench.one_by_one(way).await;
    }
    for way in [Way::Claim, Way::Append] {
        bench.at_a_rate(way).await;
    }
    bench.site.log.fault(|faults| faults.down = true);
    for way in [Way::Claim, Way::Append] {
        bench.in_an_outage(way).await;
    }
    bench.site.log.fault(|faults| faults.down = false);
    bench.site.close().await?;
    Ok(())
}

async fn open() -> Result<Site, Box<dyn Error>> {
    let resources = vec![
        fixture::tier("crew", 0, Duration::from_secs(60)),
        fixture::account("routing", &["crew"]),
        fixture::service_pool("permits"),
    ];
    let mut site = site::open(resources).await?;
    for number in 1..=AGENTS {
        site.add_service(&format!("permit-{number}"), "permits").await?;
    }
    site.add_entry("entry-1").await?;
    site.log.fault(|faults| {
        faults.appends_per_second = APPENDS_PER_SECOND;
        faults.slow = APPEND_TIME;
    });
    Ok(site)
}

impl Bench {
    /// Makes one call; gives whether it ran.
    async fn call(&self, way: Way, key: &str) -> bool {
        if matches!(way, Way::Append) && self.log.append(STREAM, key).await.is_err() {
            return false;
        }
        let url = format!("http://{}/v1/services/permits/1", self.site.entries[0].callers);
        let mut request = self.http.post(url).bearer_auth(fixture::key("routing"));
        if matches!(way, Way::Claim) {
            request = request.header("idempotency-key", key);
        }
        match request.send().await {
            Ok(answer) => answer.status().is_success() && answer.bytes().await.is_ok(),
            Err(_) => false,
        }
    }

    async fn one_by_one(&self, way: Way) {
        let appends = self.site.log.appends();
        let mut times = Vec::new();
        let mut refused = 0;
        for number in 0..CALLS {
            let began = Instant::now();
            let ran = self.call(way, &format!("one-{way:?}-{number}")).await;
            refused += usize::from(!ran);
            times.push(began.elapsed());
        }
        times.sort_unstable();
        let at = |percent: usize| times[(times.len() - 1) * percent / 100];
        println!(
            "one by one  {way:?}: p50 {:?}, p99 {:?}, appends {}, refused {refused} of {CALLS}",
            at(50),
            at(99),
            self.site.log.appends() - appends,
        );
    }

    async fn at_a_rate(&self, way: Way) {
        let appends = self.site.log.appends();
        let began = Instant::now();
        let refused = self.refused(way, "rate", RATE_CALLS).await;
        println!(
            "{OPEN} at once  {way:?}: {RATE_CALLS} in {:?}, appends {}, refused {refused}",
            began.elapsed(),
            self.site.log.appends() - appends,
        );
    }

    async fn in_an_outage(&self, way: Way) {
        let refused = self.refused(way, "outage", CALLS).await;
        println!("log is down {way:?}: refused {refused} of {CALLS}");
    }

    async fn refused(&self, way: Way, name: &str, calls: usize) -> usize {
        let keys = (0..calls).map(|number| format!("{name}-{way:?}-{number}"));
        let ran = keys.map(|key| async move { self.call(way, &key).await });
        let ran = stream::iter(ran).buffer_unordered(OPEN);
        ran.filter(|ran| std::future::ready(!*ran)).count().await
    }
}
