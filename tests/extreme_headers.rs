//! Headers of callers with extreme values: the process serves the requests after them.

#[path = "../platform/tests/support/mod.rs"]
mod platform_support;
mod support;

use std::{net::IpAddr, time::Duration};

use http::StatusCode;
use platform_support::{
    runner::{self, Behavior},
    store,
};
use reqwest::Client;
use serde_json::json;
use support::Process;
use test_case::test_case;

/// Headers of callers that hold numbers, and the form of their values; `@` stands for a number.
const HEADERS: [(&str, &str); 7] = [
    ("deadline-remaining-ms", "@"),
    ("token-usage", "@,10"),
    ("token-usage", "10,@"),
    ("token-usage", "@,@"),
    ("length-hint", "@"),
    ("last-event-id", "@"),
    ("prompt-prefix", "@:@,@:@"),
];
const NUMBERS: [&str; 18] = [
    "0",
    "-1",
    "1e-320",
    "nan",
    "inf",
    "-inf",
    "1e18",
    "1e22",
    "10000000000000000000000",
    "1e300",
    "1e400",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "18446744073709551615",
    "18446744073709551616",
    "99999999999999999999999999999999999999999",
    "",
];
/// Time for which a caller waits for its answer.
const PATIENCE: Duration = Duration::from_secs(2);
const ROUTES: [&str; 4] = ["/safe/", "/unsafe/", "/stream/", "/resume/"];

fn request(
    client: &Client,
    entry: &Process,
    path: &str,
    id: &str,
    header: Option<(&'static str, String)>,
) -> reqwest::RequestBuilder {
    let url = format!("http://{}{path}", entry.address("callers"));
    let mut headers = platform_support::caller_headers(id, PATIENCE);
    if let Some((name, value)) = header {
        headers.insert(name, value.parse().expect("a header value"));
    }
    client.post(url).headers(headers).body(id.to_owned())
}

/// Guards against a caller that ends the scheduler of a process with one header.
#[test_case(false, 1; "without agents")]
#[test_case(true, 2; "with agents")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_number_in_a_header_ends_the_process(has_agent: bool, host: u8) {
    let host = IpAddr::from([127, 0, 8, host]);
    let store = store::bind().await;
    store.write_config(&platform_support::config(1, &["key"]));
    let runner = runner::bind_at(host, "i-1", Behavior::Stream).await;
    let mut record = runner.model_record("v1", "north", 64);
    if !has_agent {
        record["models"] = json!([]);
    }
    store.write_runner("i-1", &record);
    let port = support::free_ports(&[host]);
    let agent_settings = platform_support::agent_settings("side-1", host, port);
    let _agent = has_agent.then(|| support::admission(&agent_settings));
    let settings = platform_support::entry_settings("entry-1", "north", host, port, store.address);
    let entry = support::gateway(&settings);
    support::gateway_ready(&entry).await;
    let client = Client::new();

    let mut unserved = Vec::new();
    for (header, form) in HEADERS {
        for number in NUMBERS {
            for path in ROUTES {
                let value = form.replace('@', number);
                let id = format!("odd-{header}-{value}-{path}").replace(['/', ',', ':'], "_");
                let odd = request(&client, &entry, path, &id, Some((header, value.clone())));
                // What matters is the request after it.
                if let Ok(answer) = odd.send().await {
                    let _ = answer.bytes().await;
                }
                let next = request(&client, &entry, "/safe/", &format!("{id}-next"), None);
                let status = next.send().await.map(|answer| answer.status());
                if !status.as_ref().is_ok_and(|status| *status == StatusCode::OK) {
                    unserved.push(format!("{header}: {value} on {path}: {status:?}"));
                }
            }
        }
    }

    assert!(unserved.is_empty(), "{} of all, first {:?}", unserved.len(), unserved.first());
}
