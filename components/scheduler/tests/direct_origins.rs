//! Agents that record which version began a stream: their choice and their records.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use model::id::{StreamKey, ZoneName};
use scheduler::{direct::homes::Homes, origins::Origins};

const SECOND: Duration = Duration::from_secs(1);
/// Number of availability zones of the largest deployment.
const ZONES: u32 = 12;
/// Number of agents of the largest deployment.
const AGENTS: u32 = 10_000;

fn zone(number: u32) -> ZoneName {
    format!("zone-{number:02}")
}

fn key(number: u32) -> StreamKey {
    let mut key = StreamKey::default();
    key[..4].copy_from_slice(&number.to_be_bytes());
    key
}

/// Returns the agents that are listed, without those that `is_missing`.
fn homes(agents: u32, zones: u32, is_missing: impl Fn(u32) -> bool) -> Homes {
    let listed = (0..agents).filter(|&agent| !is_missing(agent)).map(|agent| {
        (zone(agent % zones), SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + agent), 9)))
    });
    let mut homes = Homes::default();
    homes.replace(listed.collect());
    homes
}

/// Guards against connections and records that grow with the number of targets.
#[test]
fn a_process_records_its_streams_at_a_limited_number_of_agents() {
    let homes = homes(AGENTS, ZONES, |_| false);

    let mut records: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for stream in 0..20_000 {
        for agent in homes.near(&zone(3), &key(stream)).into_iter().take(2) {
            *records.entry(agent).or_default() += 1;
        }
    }

    let most = records.values().max().copied().unwrap_or_default();
    println!("{} agents, at most {most} of 40,000 records at one", records.len());
    assert!(records.len() <= 256, "{}", records.len());
    // 128 agents of a zone get a record of each of its 20,000 streams: 156 each on average.
    assert!(most < 4 * 156, "{most}");
}

/// Guards against streams whose version isn't found since the caller returns in another zone, or since two
/// processes have different lists of targets.
#[test]
fn each_process_asks_the_agents_at_which_another_one_recorded_a_stream() {
    let (recording, asking) = (homes(36, 3, |_| false), homes(36, 3, |agent| agent % 12 == 5));

    for stream in 0..2_000 {
        for other in 0..3 {
            let recorded: Vec<_> =
                recording.near(&zone(0), &key(stream)).into_iter().take(2).collect();
            let asked = asking.all(&zone(other), &key(stream));
            assert!(recorded.iter().any(|agent| asked.contains(agent)), "{recorded:?} {asked:?}");
        }
        let near: BTreeSet<_> = asking.near(&zone(0), &key(stream)).into_iter().collect();
        let same = recording.near(&zone(0), &key(stream)).into_iter().take(2);
        assert!(same.filter(|agent| near.contains(agent)).count() >= 1, "stream {stream}");
    }
}

/// Guards against both records of a stream in one zone, which is lost as a whole.
#[test]
fn a_stream_is_recorded_in_two_zones() {
    let homes = homes(36, 3, |_| false);
    let zone_of = |agent: &SocketAddr| match agent.ip() {
        std::net::IpAddr::V4(ip) => (u32::from(ip) - 0x0a00_0000) % 3,
        std::net::IpAddr::V6(_) => unreachable!("all agents have IPv4 addresses"),
    };

    for stream in 0..200 {
        let recorded = homes.near(&zone(1), &key(stream));

        assert_eq!((zone_of(&recorded[0]), zone_of(&recorded[1])), (1, 2));
    }
}

/// Guards against records that outlive their caller, and against more of them than an agent has memory for.
#[test]
fn records_expire_with_their_caller_and_are_limited_in_number() {
    let (mut origins, now) = (Origins::default(), Instant::now());
    origins.record(now, key(0), "v1".into(), SECOND);
    origins.record(now, key(1), "v1".into(), 5 * SECOND);

    let found = origins.find(now + SECOND / 2, &key(0)).cloned();
    let expired = origins.find(now + SECOND, &key(0)).cloned();
    assert_eq!((found.as_deref(), expired, origins.len()), (Some("v1"), None, 1));

    for stream in 0..50_000 {
        origins.record(now, key(stream), "v1".into(), 5 * SECOND + SECOND * stream / 50_000);
    }
    assert_eq!(origins.len(), 20_000);
    assert_eq!(origins.find(now, &key(49_999)).map(String::as_str), Some("v1"));
    origins.remove_expired(now + 10 * SECOND);
    assert!(origins.is_empty());
}

/// Guards against streams that go on at the version of another stream whose attempt has the same ID, and against
/// versions that fill the memory.
#[test]
fn a_stream_that_was_recorded_with_two_versions_has_none() {
    let (mut origins, now) = (Origins::default(), Instant::now());
    origins.record(now, key(0), "v1".into(), SECOND);
    origins.record(now, key(0), "v2".into(), SECOND);
    origins.record(now, key(0), "v1".into(), SECOND);

    assert_eq!(origins.find(now, &key(0)), None);
    assert!(!origins.record(now, key(1), "v".repeat(1_000), SECOND));
}
