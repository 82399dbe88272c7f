//! Tests of the list of hosts that is kept up to date by reading changes.

use model::{
    Host,
    host::State::{self, Leaving, Live},
};
use proptest::prelude::*;
use source::hosts::{List, Page};

fn host(name: &str, state: State) -> Host {
    Host { name: name.to_owned(), zone: "a".to_owned(), state }
}

fn whole_list(version: &str, hosts: Vec<Host>) -> Page {
    Page { version: version.to_owned(), since: None, hosts, gone: Vec::new() }
}

fn changes(since: &str, version: &str, hosts: Vec<Host>, gone: &[&str]) -> Page {
    let gone = gone.iter().map(|name| (*name).to_owned()).collect();
    Page { since: Some(since.to_owned()), gone, ..whole_list(version, hosts) }
}

fn hosts_of(list: &List) -> Vec<Host> {
    list.hosts().cloned().collect()
}

/// Guards against a list that keeps removed hosts or misses added ones.
#[test]
fn changes_add_and_remove_hosts() {
    let mut list = List::default();
    list.apply(whole_list("1", vec![host("h1", Live), host("h2", Live)]));

    let changed = list.apply(changes("1", "2", vec![host("h3", Leaving)], &["h1"]));

    assert!(changed);
    assert_eq!(hosts_of(&list), [host("h2", Live), host("h3", Leaving)]);
}

/// Guards against an update of the whole host list that is sent although nothing changed.
#[test]
fn a_page_without_news_does_not_change_the_list() {
    let mut list = List::default();
    list.apply(whole_list("1", vec![host("h1", Live)]));

    let by_changes = list.apply(changes("1", "1", Vec::new(), &[]));
    let by_whole = list.apply(whole_list("1", vec![host("h1", Live)]));

    assert!(!by_changes && !by_whole);
}

/// Guards against a list that mixes hosts of different versions because the service skipped versions
/// that the client hasn't read.
#[test]
fn changes_since_another_version_are_ignored_until_the_whole_list_is_read() {
    let mut list = List::default();
    list.apply(whole_list("1", vec![host("h1", Live)]));

    let skipped = list.apply(changes("7", "8", vec![host("h2", Live)], &["h1"]));
    let later = list.apply(changes("8", "9", vec![host("h3", Live)], &[]));

    assert!(!skipped && !later);
    assert_eq!(hosts_of(&list), [host("h1", Live)]);
    assert!(list.apply(whole_list("9", vec![host("h2", Live)])));
    assert_eq!(hosts_of(&list), [host("h2", Live)]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::default() })]

    /// Compares the list that is built from changes with a reader that reads the whole list each
    /// time.
    #[test]
    fn reading_changes_gives_the_same_list_as_reading_the_whole_list(
        lists in prop::collection::vec(prop::collection::btree_map(0..6_u8, any::<bool>(), 0..6), 1..6),
    ) {
        let lists: Vec<Vec<Host>> = lists
            .iter()
            .map(|list| list.iter().map(|(name, live)| host(&name.to_string(), if *live { Live } else { Leaving })).collect())
            .collect();
        let mut by_changes = List::default();
        let mut old: Vec<Host> = Vec::new();

        for (version, new) in lists.iter().enumerate() {
            let added = new.iter().filter(|host| !old.contains(host)).cloned().collect();
            let is_gone = |row: &&Host| !new.iter().any(|other| other.name == row.name);
            let gone: Vec<&str> = old.iter().filter(is_gone).map(|row| row.name.as_str()).collect();
            let page = match version {
                0 => whole_list("0", new.clone()),
                _ => changes(&(version - 1).to_string(), &version.to_string(), added, &gone),
            };
            let changed = by_changes.apply(page);

            prop_assert_eq!(changed, old != *new);
            prop_assert_eq!(&hosts_of(&by_changes), new);
            old = new.clone();
        }
    }
}
