//! What entry processes tell each other of themselves.
//!
//! Pattern: many processes that started together, on links of 10 Mbit/s. All rows of 26 take 13 KB; told
//! to or by all in the same exchange they fill such a link for a quarter of a second, every 5 s.

mod direct_support;

use std::time::Duration;

use direct_support::{Process, blank};
use scheduler::direct::{Event, peers, peers::Row};
use test_case::test_case;

/// Exchanges in which each pair tells all rows once.
const ROUND: u64 = 20;
/// Bytes a second of the narrowest link of a host in one direction: 10 Mbit/s.
const NARROW: f64 = 1.25e6;

/// Processes that hear each other and have no request.
fn processes(count: u16) -> Vec<Process> {
    let mut processes: Vec<Process> = (1..=count).map(blank).collect();
    // Only who was heard is named in what is told to others.
    for _ in 0..2 {
        let rows: Vec<Row> = processes.iter_mut().map(|it| it.state.row(it.now.steady)).collect();
        for process in &mut processes {
            process.send(Event::Heard(rows.clone()));
        }
    }
    processes
}

/// Bytes of rows as they are told.
fn size(rows: &[Row]) -> usize {
    postcard::to_stdvec(rows).expect("they can be packed").len()
}

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

/// Incident: what processes told each other filled the links of small hosts, over which a confirmed
/// configuration has to come. Exchanges were bounded in number, not in bytes.
#[test_case(26)]
#[test_case(68)]
#[test_case(301)]
fn rows_leave_room_on_a_narrow_link_for_a_configuration(count: u16) {
    let mut processes = processes(count);
    let others = usize::from(count) - 1;
    let one = &mut processes[others / 2];
    let own = size(&[one.state.row(one.now.steady)]);
    let all = own + size(&one.state.rows(one.now.steady));

    // Each pair exchanges once a period; either side tells its own row or all.
    let told = |exchange: u64| {
        let full = (0..others).filter(|&other| peers::tells_all(exchange, others / 2, other));
        let full = full.count();
        full * all + (others - full) * own
    };
    let told: usize = (0..ROUND).map(told).sum();

    let time: Duration = peers::period(others) * ROUND as u32;
    let rate = told as f64 / time.as_secs_f64();
    assert!(rate < NARROW, "{rate:.0} bytes a second of {NARROW}");
}
