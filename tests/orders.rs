//! Orders to engines by the real programs: an agent frozen past its lease and its successor, with
//! engines that check the fencing number and engines that don't.

mod support;

use model::{
    resource::Backing,
    setup::{Kind, Role, Setup, Weights},
};
use standin::fixture;
use support::site::{self, Plan, Site, whole};
use test_case::test_case;

fn setup(version: &str) -> Setup {
    let name = "drawing-7b".to_owned();
    let weights = Weights { kind: Kind::Model, name, version: version.to_owned() };
    Setup { weights: [weights].into(), role: Role::Both }
}

async fn loaded(site: &Site, version: &str) {
    support::until(|| site.engines[0].setup().setup == setup(version)).await;
}

#[test_case(true; "the engine checks the fence")]
#[test_case(false; "the engine checks nothing")]
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_gets_what_the_operator_wants(checks_fence: bool) {
    let mut site = site::open(Plan { checks_fence, ..Plan::default() }).await;

    site.declare(0, |target| target.setup = Some(setup("1"))).await;
    loaded(&site, "1").await;
    site.engines[0].set_setup(|state| state.busy = 1);
    site.declare(0, |target| target.setup = Some(setup("2"))).await;
    loaded(&site, "2").await;

    assert_eq!(site.call(0, "crew", "p").await.unwrap(), whole("p"));
    assert!(site.engines[0].setup().journal.is_sorted_by_key(|fenced| fenced.fence));
}

#[test_case(true; "the engine checks the fence")]
#[test_case(false; "the engine checks nothing")]
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_wakes_after_its_successor_began_orders_nothing(checks_fence: bool) {
    let mut site = site::open(Plan { checks_fence, ..Plan::default() }).await;
    site.declare(0, |target| target.setup = Some(setup("1"))).await;
    loaded(&site, "1").await;
    let first = site.engines[0].setup().journal.last().unwrap().fence;

    site.agents[0].freeze();
    let engine = site.engines[0].address;
    let name = site::name(0);
    let mut settings = fixture::agent(&name, engine, Backing::Model, &site.log, &site.hosts);
    settings.engine.checks_fence = checks_fence;
    let _successor = support::agent(&settings);
    site.declare(0, |target| target.setup = Some(setup("2"))).await;
    loaded(&site, "2").await;
    site.agents[0].wake();
    site.declare(0, |target| target.setup = Some(setup("3"))).await;
    loaded(&site, "3").await;

    let journal = site.engines[0].setup().journal;
    assert!(journal.is_sorted_by_key(|fenced| fenced.fence), "{journal:?}");
    assert!(journal.last().unwrap().fence > first);
}
