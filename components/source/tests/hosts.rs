//! The list of hosts, read by changes.

use model::{
    Host,
    host::State::{self, Leaving, Live},
};
use proptest::prelude::*;
use source::hosts::{List, Page};

fn host(name: &str, state: State) -> Host {
    Host { name: name.to_owned(), zone: "a".to_owned(), state }
}

fn whole(version: &str, hosts: Vec<Host>) -> Page {
    Page { version: version.to_owned(), since: None, hosts, gone: Vec::new() }
}

fn changes(since: &str, version: &str, hosts: Vec<Host>, gone: &[&str]) -> Page {
    let gone = gone.iter().map(|name| (*name).to_owned()).collect();
    Page { since: Some(since.to_owned()), gone, ..whole(version, hosts) }
}

fn rows(list: &List) -> Vec<Host> {
    list.hosts().cloned().collect()
}

#[test]
fn changes_are_added_and_taken_away() {
    let mut list = List::default();
    list.apply(whole("1", vec![host("h1", Live), host("h2", Live)]));

    let changed = list.apply(changes("1", "2", vec![host("h3", Leaving)], &["h1"]));

    assert!(changed);
    assert_eq!(rows(&list), [host("h2", Live), host("h3", Leaving)]);
}

#[test]
fn nothing_new_changes_nothing() {
    let mut list = List::default();
    list.apply(whole("1", vec![host("h1", Live)]));

    let by_changes = list.apply(changes("1", "1", Vec::new(), &[]));
    let by_whole = list.apply(whole("1", vec![host("h1", Live)]));

    assert!(!by_changes && !by_whole);
}

#[test]
fn changes_since_another_version_are_left_out_until_the_whole_list_comes() {
    let mut list = List::default();
    list.apply(whole("1", vec![host("h1", Live)]));

    let skipped = list.apply(changes("7", "8", vec![host("h2", Live)], &["h1"]));
    let late = list.apply(changes("8", "9", vec![host("h3", Live)], &[]));

    assert!(!skipped && !late);
    assert_eq!(rows(&list), [host("h1", Live)]);
    assert!(list.apply(whole("9", vec![host("h2", Live)])));
    assert_eq!(rows(&list), [host("h2", Live)]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::default() })]

    /// Against the naive reader, which reads the whole list each time.
    #[test]
    fn reading_changes_gives_the_same_list_as_reading_all(
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
                0 => whole("0", new.clone()),
                _ => changes(&(version - 1).to_string(), &version.to_string(), added, &gone),
            };
            let changed = by_changes.apply(page);

            prop_assert_eq!(changed, old != *new);
            prop_assert_eq!(&rows(&by_changes), new);
            old = new.clone();
        }
    }
}
