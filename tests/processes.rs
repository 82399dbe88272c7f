//! The two programs as real processes against the stand-ins, end to end.

mod support;

use std::time::Duration;

use http::StatusCode;
use model::resource::Backing;
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use standin::{
    engine::{self, Engine, Shape},
    fixture::{self, ANY},
    hosts, log,
    service::{self, Service},
};
use support::Process;
use test_case::test_case;

const MODEL: &str = "drawing-7b";
const TOKENS: u32 = 12;

/// One entry, one engine and one plain service, each with its agent.
struct Site {
    entry: Process,
    agents: Vec<Process>,
    engine: Engine,
    service: Service,
    _log: log::Log,
    _hosts: hosts::Hosts,
}

async fn open() -> Site {
    open_with(Shape::default()).await
}

async fn open_with(shape: Shape) -> Site {
    let log = log::bind(ANY).await.unwrap();
    let hosts = hosts::bind(ANY).await.unwrap();
    let engine = engine::bind(ANY, shape).await.unwrap();
    let service = service::bind(ANY, Duration::ZERO).await.unwrap();
    let engine_settings = fixture::agent("engine-1", engine.address, Backing::Model, &log, &hosts);
    let service_settings =
        fixture::agent("service-1", service.address, Backing::Service, &log, &hosts);
    let agents = vec![support::agent(&engine_settings), support::agent(&service_settings)];
    let target = |index: usize, name, pool| {
        let agent: &Process = &agents[index];
        fixture::target(name, pool, agent.address("control"), agent.address("traffic"))
    };
    let resources = vec![
        fixture::tier("crew", 0, Duration::from_secs(20)),
        fixture::tier("bulk", 1, Duration::from_secs(20)),
        fixture::account("viewer", &["crew", "bulk"]),
        fixture::model_pool("drawings", &[MODEL]),
        fixture::service_pool("status"),
        target(0, "engine-1", "drawings"),
        target(1, "service-1", "status"),
    ];
    fixture::seed(&log, resources);
    let entry = support::serve(&fixture::entry("entry-1", &log, &hosts));
    support::ready(&entry).await;
    Site { entry, agents, engine, service, _log: log, _hosts: hosts }
}

fn completion(site: &Site, prompt: &str, stream: bool) -> RequestBuilder {
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": TOKENS, "stream": stream});
    post(site, "/v1/completions").json(&body)
}

fn post(site: &Site, path: &str) -> RequestBuilder {
    let url = format!("http://{}{path}", site.entry.address("callers"));
    Client::new().post(url).bearer_auth(fixture::key("viewer"))
}

async fn refusal(answer: Response) -> Value {
    answer.json::<Value>().await.unwrap()["error"].take()
}

fn text(events: &str) -> String {
    let data = events.lines().filter_map(|line| line.strip_prefix("data: {"));
    let text = data.map(|event| {
        let event: Value = serde_json::from_str(&format!("{{{event}")).unwrap();
        event["choices"][0]["text"].as_str().unwrap().to_owned()
    });
    text.collect()
}

#[tokio::test]
async fn a_completion_comes_back_whole_and_streamed() {
    let site = open().await;

    let whole: Value = completion(&site, "p", false).send().await.unwrap().json().await.unwrap();
    let streamed = completion(&site, "q", true).send().await.unwrap().text().await.unwrap();

    assert_eq!(whole["choices"][0]["text"], engine::expected("p", TOKENS));
    assert_eq!(text(&streamed), engine::expected("q", TOKENS));
    assert!(streamed.ends_with("data: [DONE]\n\n"));
    assert!(site.engine.runs().iter().all(|run| run.whole));
}

#[test_case(|engine| engine.fault(|f| f.say = Some("data: [DONE]".to_owned())) => "data: [DONE]".repeat(12); "text that looks like the end")]
#[test_case(|engine| engine.fault(|f| f.crlf = true) => engine::expected("p", TOKENS); "lines that end in CR LF")]
#[tokio::test]
async fn an_unusual_stream_is_whole(fault: fn(&Engine)) -> String {
    let site = open().await;
    fault(&site.engine);

    let events = completion(&site, "p", true).send().await.unwrap().text().await.unwrap();

    assert_eq!(events.lines().filter(|line| *line == "data: [DONE]").count(), 1, "{events}");
    text(&events)
}

#[tokio::test]
async fn a_plain_service_is_called_with_what_the_caller_sent() {
    let site = open().await;

    let answer = post(&site, "/v1/services/status/huts/7?day=1").body("b").send().await.unwrap();

    let run: service::Run = answer.json().await.unwrap();
    assert_eq!((run.method.as_str(), run.path.as_str()), ("POST", "/huts/7?day=1"));
    assert_eq!(run.body, "b");
    assert_eq!(site.service.runs(), [run]);
}

#[tokio::test]
async fn a_path_reaches_a_plain_service_as_the_caller_wrote_it() {
    let site = open().await;
    let path = "/huts/a%20b%2Fc/?day=1%262";

    let answer = post(&site, &format!("/v1/services/status{path}")).send().await.unwrap();

    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(site.service.runs()[0].path, path);
}

#[tokio::test]
async fn a_pool_with_escapes_in_its_name_is_refused() {
    let site = open().await;

    let answer = post(&site, "/v1/services/%73tatus/huts/7").send().await.unwrap();

    assert_eq!(refusal(answer).await["findings"][0]["place"], "path.pool");
    assert!(site.service.runs().is_empty());
}

#[test_case("{\"model\": ", "body.model"; "broken JSON")]
#[test_case("{\"model\": \"drawing-7b\", \"prompt\": \"p\", \"max_tokens\": -1}", "body.max_tokens"; "wrong type")]
#[test_case("{\"model\": \"none\", \"prompt\": \"p\"}", "body.model"; "unknown model")]
#[test_case("{\"model\": \"drawing-7b\"}", "body"; "no prompt")]
#[tokio::test]
async fn a_faulty_body_is_refused_with_its_place(body: &'static str, place: &str) {
    let site = open().await;

    let answer = post(&site, "/v1/completions").body(body).send().await.unwrap();

    assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
    let refusal = refusal(answer).await;
    assert_eq!(refusal["ran"], "not_run");
    assert_eq!(refusal["findings"][0]["place"], place);
    assert!(completion(&site, "still alive", false).send().await.unwrap().status().is_success());
}

#[tokio::test]
async fn faults_of_headers_and_body_are_told_together() {
    let site = open().await;
    let request = post(&site, "/v1/completions")
        .header("x-wagtailhill-tier", "gold")
        .header("x-wagtailhill-deadline-ms", "soon")
        .header("x-wagtailhill-idempotent", "false")
        .json(&json!({"model": "none", "prompt": "p"}));

    let refusal = refusal(request.send().await.unwrap()).await;

    let findings = refusal["findings"].as_array().unwrap();
    let mut places: Vec<&str> = findings.iter().map(|f| f["place"].as_str().unwrap()).collect();
    places.sort_unstable();
    let expected = [
        "body.model",
        "header.idempotency-key",
        "header.x-wagtailhill-deadline-ms",
        "header.x-wagtailhill-tier",
    ];
    assert_eq!(places, expected);
}

#[tokio::test]
async fn an_unknown_key_opens_nothing() {
    let site = open().await;
    let url = format!("http://{}/v1/completions", site.entry.address("callers"));

    let answer = Client::new().post(url).bearer_auth("guess").body("{}").send().await.unwrap();

    assert_eq!(answer.status(), StatusCode::UNAUTHORIZED);
    assert_eq!(refusal(answer).await["reason"], "unauthorized");
}

#[test_case(None => "not_run"; "without a key")]
#[test_case(Some("key-1") => "may_have_run"; "with a key that an earlier copy may have used")]
#[tokio::test]
async fn a_body_over_the_limit_is_refused(key: Option<&str>) -> String {
    let site = open().await;
    let mut request = post(&site, "/v1/completions").body(vec![b'x'; 2 << 20]);
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }

    let answer = request.send().await.unwrap();

    assert_eq!(answer.status(), StatusCode::PAYLOAD_TOO_LARGE);
    refusal(answer).await["ran"].as_str().unwrap().to_owned()
}

#[test_case(|engine| engine.fault(|f| f.cut_after = Some(3)); "connection cut")]
#[test_case(|engine| engine.fault(|f| f.end_after = Some(3)); "clean end without the last event")]
#[tokio::test]
async fn a_torn_stream_never_passes_as_whole(fault: fn(&Engine)) {
    let site = open().await;
    fault(&site.engine);

    let events = completion(&site, "p", true).send().await.unwrap().text().await.unwrap();

    assert!(!events.contains("[DONE]"), "{events}");
    assert!(events.contains("event: error"), "{events}");
    assert!(events.contains("\"ran\":\"ran\""), "{events}");
}

#[tokio::test]
async fn a_target_that_takes_no_connection_did_not_run_it() {
    let site = open().await;
    site.engine.close().await;

    let answer = completion(&site, "p", false).send().await.unwrap();

    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    let refusal = refusal(answer).await;
    assert_eq!((&refusal["reason"], &refusal["ran"]), (&json!("no_target"), &json!("not_run")));
    assert!(site.engine.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn terminating_both_programs_cuts_nothing() {
    let shape = Shape { step: Duration::from_millis(20), ..Shape::default() };
    let Site { entry, agents, engine, service, _log, _hosts } = open_with(shape).await;
    let site = Site { entry, agents, engine, service, _log, _hosts };
    let answer = completion(&site, "p", true).send().await.unwrap();

    site.agents.iter().for_each(|agent| agent.signal("TERM"));
    site.entry.signal("TERM");
    let events = answer.text().await.unwrap();

    assert_eq!(text(&events), engine::expected("p", TOKENS));
    assert!(site.entry.wait().success());
    for agent in site.agents {
        assert!(agent.wait().success());
    }
}

#[tokio::test]
async fn an_entry_takes_requests_until_the_balancer_had_time_to_see_it_leave() {
    let mut site = open().await;
    let mut settings = fixture::entry("entry-2", &site._log, &site._hosts);
    settings.timing.lame = Duration::from_secs(3_600);
    site.entry = support::serve(&settings);
    support::ready(&site.entry).await;
    site.entry.signal("TERM");
    support::unready(&site.entry).await;

    let answer = completion(&site, "p", false).send().await.unwrap();

    assert!(answer.status().is_success(), "{}", answer.status());
}

#[tokio::test]
async fn metrics_tell_tiers_and_accounts() {
    let site = open().await;
    completion(&site, "p", false).send().await.unwrap().bytes().await.unwrap();

    let url = format!("http://{}/metrics", site.entry.address("operators"));
    let metrics = reqwest::get(url).await.unwrap().text().await.unwrap();

    assert!(metrics.contains("wagtailhill_answer_seconds_count{tier=\"crew\"} 1"), "{metrics}");
    assert!(metrics.contains("wagtailhill_account_answer_seconds_count{account=\"viewer\"} 1"));
}
