//! Checks that evidence that isn't in the log yet is kept in bounded memory, and that losses are
//! recorded.

mod support;

use std::time::{Duration, Instant};

use evidence::{
    Batch, Fact, batch,
    history::{self, Flaw, Read},
    outbox::{self, BATCH_RECORD_LIMIT, BUFFERED_RECORD_LIMIT, Handed, UNCONFIRMED_RECORD_LIMIT},
};
use support::at;

const LEASE: Duration = Duration::from_secs(30);

fn open_outbox() -> outbox::Outbox {
    outbox::open(support::agent("t1").process, at(0))
}

fn applied(offset: usize) -> Fact {
    Fact::Applied { offset: offset as u64 }
}

fn unsealed(handed: &[Handed]) -> Vec<Batch> {
    handed.iter().map(|handed| batch::unseal(&handed.sealed).unwrap()).collect()
}

fn flaws(handed: Vec<Handed>) -> Vec<Flaw> {
    let stream: Vec<Read> = support::reads(handed.into_iter().map(|h| h.sealed).collect());
    history::assemble(stream).gaps.into_iter().map(|gap| gap.flaw).collect()
}

// Guards against batches that are appended twice at the same time, or never again after a caller
// failed.
#[test]
fn batches_are_returned_again_after_their_lease_until_they_are_confirmed() {
    let mut outbox = open_outbox();
    outbox.buffer().push(at(1), applied(1));
    outbox.seal(at(2));
    let now = Instant::now();

    let first = outbox.hand_over(now, LEASE);
    let during_lease = outbox.hand_over(now, LEASE);
    let after_lease = outbox.hand_over(now + LEASE, LEASE);
    outbox.confirm(&[1]);

    assert_eq!((first.len(), during_lease.len()), (1, 0));
    assert_eq!(after_lease, first);
    assert!(outbox.is_empty());
}

// Guards against an outbox that grows without limit while the log is unreachable, and against lost
// records that the next batch doesn't count.
#[test]
fn a_long_outage_uses_bounded_memory_and_the_number_of_lost_records_is_recorded() {
    let mut outbox = open_outbox();
    let records = BUFFERED_RECORD_LIMIT + UNCONFIRMED_RECORD_LIMIT + 1_000;

    for number in 0..records {
        outbox.buffer().push(at(1), applied(number));
        if number % 1_000 == 0 {
            outbox.seal(at(2));
        }
    }
    let mut handed = outbox.hand_over(Instant::now(), LEASE);
    let unconfirmed: usize = unsealed(&handed).iter().map(|batch| batch.records.len()).sum();
    outbox.confirm(&handed.iter().map(|handed| handed.sequence).collect::<Vec<_>>());
    outbox.seal(at(3));
    let rest = outbox.hand_over(Instant::now(), LEASE);
    let batches = unsealed(&rest);

    assert!(unconfirmed < UNCONFIRMED_RECORD_LIMIT + BUFFERED_RECORD_LIMIT);
    assert!(batches.iter().all(|batch| batch.records.len() <= BATCH_RECORD_LIMIT));
    let late: usize = batches.iter().map(|batch| batch.records.len()).sum();
    let accounted = unconfirmed + late + batches[0].lost as usize;
    assert_eq!(accounted, records);
    handed.extend(rest);
    let found = flaws(handed);
    let lost = batches[0].lost;
    assert!(matches!(found.as_slice(), [Flaw::Lost { count, .. }] if *count == lost), "{found:?}");
}
