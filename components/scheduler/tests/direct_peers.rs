//! What entry processes tell each other of themselves.
//!
//! Pattern: many processes that started together, on links of 10 Mbit/s. All rows of 26 take 13 KB; told
//! to and by all in the same exchange they fill such a link for a quarter of a second, every 5 s.

use scheduler::direct::peers;
use test_case::test_case;

/// Exchanges in which each pair tells all rows once.
const ROUND: u64 = 20;

#[test_case(4, 0, 1)]
#[test_case(25, 0, 2)]
#[test_case(25, 11, 2)]
#[test_case(300, 299, 15)]
fn all_rows_are_told_to_few_in_one_exchange_and_to_each_in_turn(
    others: usize,
    teller: usize,
    most: usize,
) {
    let mut told = vec![0; others];

    for exchange in 7..7 + ROUND {
        let places: Vec<usize> =
            (0..others).filter(|&place| peers::tells_all(exchange, teller, place)).collect();
        assert!(places.len() <= most, "{places:?}");
        places.into_iter().for_each(|place| told[place] += 1);
    }

    assert_eq!(told, vec![1; others]);
}

/// Most processes that tell all rows to the same one in the same exchange, where all started at once. Each tells
/// those whose address is higher, and its peers are in the order of their addresses, without itself.
fn most_at_one(processes: usize) -> usize {
    let tellers = |exchange: u64, told: usize| {
        (0..told).filter(|&teller| peers::tells_all(exchange, teller, told - 1)).count()
    };
    let each = |exchange| (0..processes).map(move |told| tellers(exchange, told)).max();
    (0..ROUND).filter_map(each).max().unwrap_or_default()
}

/// Guards against all rows of all that come to one process at once and fill its link.
#[test_case(31)]
#[test_case(68)]
fn all_rows_do_not_come_to_one_process_from_all_at_once(processes: usize) {
    let most = most_at_one(processes);

    // An equal part of them in each exchange of a round, and one more.
    assert!(most <= processes.div_ceil(ROUND as usize) + 1, "{most} of {processes}");
}
