//! What entry processes tell each other of themselves.
//!
//! Pattern: many processes that started together, on links of 10 Mbit/s. All rows of 26 take 13 KB; told
//! to or by all in the same exchange they fill such a link for a quarter of a second, every 5 s.

use scheduler::direct::peers;
use test_case::test_case;

/// Exchanges in which each pair tells all rows once.
const ROUND: u64 = 20;

#[test_case(4, 1)]
#[test_case(25, 2)]
#[test_case(300, 15)]
fn all_rows_are_told_to_few_in_one_exchange_and_to_each_in_turn(others: usize, most: usize) {
    let mut told = vec![0; others];

    for exchange in 7..7 + ROUND {
        let places: Vec<usize> =
            (0..others).filter(|&other| peers::tells_all(exchange, 3, other)).collect();
        assert!(places.len() <= most, "{places:?}");
        places.into_iter().for_each(|place| told[place] += 1);
    }

    assert_eq!(told, vec![1; others]);
}

/// Incident: processes that had started together told all rows to the same one in the same exchange. Its
/// link was full for so long that it answered none of them.
#[test_case(5, 1)]
#[test_case(31, 2)]
#[test_case(68, 4)]
#[test_case(301, 15)]
fn one_is_told_all_rows_by_few_in_the_same_exchange_of_all(processes: usize, most: usize) {
    for exchange in 7..7 + ROUND {
        for told in 1..processes {
            // Each tells those after it, which don't count it among the others.
            let tell = |&own: &usize| peers::tells_all(exchange, own, told - 1);

            let tellers = (0..told).filter(tell).count();

            assert!(tellers <= most, "{tellers} tell {told} in exchange {exchange}");
        }
    }
}
