//! Size of the rows that entry processes exchange, for many processes that started together on links of
//! 10 Mbit/s.
//!
//! All rows of 26 processes take 13 KB. If one process sent them to all others in the same exchange, or
//! received them from all, they would fill such a link for a quarter of a second every 5 s.

mod direct_support;

use std::time::Duration;

use direct_support::{Process, empty_process};
use scheduler::direct::{Event, peers, peers::Row};
use test_case::test_case;

/// Number of exchanges in which each process sends all rows once to each other process.
const EXCHANGES_PER_CYCLE: u64 = 20;
/// Capacity of the narrowest link of a host in one direction, in bytes a second: 10 Mbit/s.
const NARROW_LINK: f64 = 1.25e6;

/// Returns idle processes that have current rows of each other.
fn processes(count: u16) -> Vec<Process> {
    let mut processes: Vec<Process> = (1..=count).map(empty_process).collect();
    // A row lists only processes whose rows had arrived before, so it takes two rounds.
    for _ in 0..2 {
        let rows: Vec<Row> =
            processes.iter_mut().map(|it| it.state.next_row(it.now.steady)).collect();
        for process in &mut processes {
            process.send(Event::RowsReceived(rows.clone()));
        }
    }
    processes
}

/// Returns the size of rows in bytes, packed as they are sent.
fn packed_size(rows: &[Row]) -> usize {
    postcard::to_stdvec(rows).expect("rows can be packed").len()
}

/// Guards against a process that sends all rows to many others in one exchange, and so fills its own link.
#[test_case(4, 1)]
#[test_case(25, 2)]
#[test_case(300, 15)]
fn a_process_sends_all_rows_to_few_in_one_exchange_and_to_each_in_turn(
    others: usize,
    max_receivers: usize,
) {
    let mut times_sent = vec![0; others];

    for exchange in 7..7 + EXCHANGES_PER_CYCLE {
        let receivers: Vec<usize> =
            (0..others).filter(|&other| peers::sends_all_rows(exchange, 3, other)).collect();
        assert!(receivers.len() <= max_receivers, "{receivers:?}");
        receivers.into_iter().for_each(|receiver| times_sent[receiver] += 1);
    }

    assert_eq!(times_sent, vec![1; others]);
}

/// Guards against an incident: processes that had started together all sent all rows to the same process
/// in the same exchange. Its link was full for so long that it answered none of them.
#[test_case(5, 1)]
#[test_case(31, 2)]
#[test_case(68, 4)]
#[test_case(301, 15)]
fn a_process_gets_all_rows_from_few_in_the_same_exchange(processes: usize, max_senders: usize) {
    for exchange in 7..7 + EXCHANGES_PER_CYCLE {
        for receiver in 1..processes {
            // A process exchanges with those of higher addresses. Its own address isn't in its list of
            // addresses, so the index of the receiver is one lower there.
            let sends_all = |&own: &usize| peers::sends_all_rows(exchange, own, receiver - 1);

            let senders = (0..receiver).filter(sends_all).count();

            assert!(senders <= max_senders, "{senders} send {receiver} all in exchange {exchange}");
        }
    }
}

/// Guards against an incident: the rows that processes exchanged filled the links of small hosts, over
/// which a confirmed configuration has to arrive. Exchanges were limited in number, not in bytes.
#[test_case(26)]
#[test_case(68)]
#[test_case(301)]
fn rows_leave_room_on_a_narrow_link_for_a_configuration(count: u16) {
    let mut processes = processes(count);
    let others = usize::from(count) - 1;
    let process = &mut processes[others / 2];
    let own_size = packed_size(&[process.state.next_row(process.now.steady)]);
    let full_size = own_size + packed_size(&process.state.peer_rows(process.now.steady));

    // Each pair exchanges once a period; either side sends its own row or all rows.
    let sent = |exchange: u64| {
        let full = (0..others).filter(|&other| peers::sends_all_rows(exchange, others / 2, other));
        let full = full.count();
        full * full_size + (others - full) * own_size
    };
    let sent: usize = (0..EXCHANGES_PER_CYCLE).map(sent).sum();

    let time: Duration = peers::exchange_period(others) * EXCHANGES_PER_CYCLE as u32;
    let rate = sent as f64 / time.as_secs_f64();
    assert!(rate < NARROW_LINK, "{rate:.0} bytes a second of {NARROW_LINK}");
}
