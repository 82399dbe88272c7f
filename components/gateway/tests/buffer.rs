//! Memory that answers of targets share.

use bytes::Bytes;
use gateway::buffer::{self, FREE_BYTES, Full};

const MAX_ANSWER_BYTES: usize = 100 * FREE_BYTES;

/// Guards against one faulty target that takes the memory of all other answers.
#[test]
fn an_answer_buffers_no_more_than_its_own_limit() {
    let budget = buffer::open(usize::MAX);
    let mut charge = budget.begin(MAX_ANSWER_BYTES);

    assert_eq!(charge.set(MAX_ANSWER_BYTES), Ok(()));
    assert_eq!(
        charge.set(MAX_ANSWER_BYTES + 1),
        Err(Full::Answer(MAX_ANSWER_BYTES + 1, MAX_ANSWER_BYTES))
    );

    assert_eq!(budget.used_bytes(), MAX_ANSWER_BYTES - FREE_BYTES);
}

/// Guards against many faulty targets that together exhaust the memory of a host, and against answers of usual size that
/// are refused meanwhile.
#[test]
fn all_answers_together_buffer_no_more_than_the_budget() {
    let budget = buffer::open(3 * FREE_BYTES);
    let mut large: Vec<_> = (0..4).map(|_| budget.begin(MAX_ANSWER_BYTES)).collect();

    let allowed: Vec<bool> =
        large.iter_mut().map(|charge| charge.set(2 * FREE_BYTES).is_ok()).collect();
    let usual = budget.begin(MAX_ANSWER_BYTES).set(FREE_BYTES);

    assert_eq!(allowed, [true, true, true, false]);
    assert_eq!(budget.used_bytes(), 3 * FREE_BYTES);
    assert_eq!(usual, Ok(()));
}

/// Guards against memory that stays charged after its answer ended or was passed on.
#[test]
fn what_an_answer_no_longer_buffers_is_free_for_others() {
    let budget = buffer::open(2 * FREE_BYTES);
    let mut one = budget.begin(MAX_ANSWER_BYTES);
    let mut other = budget.begin(MAX_ANSWER_BYTES);
    one.set(3 * FREE_BYTES).expect("the budget is unused");
    assert!(other.set(2 * FREE_BYTES).is_err());

    one.set(0).expect("less is always allowed");
    assert_eq!(other.set(3 * FREE_BYTES), Ok(()));
    drop(other);

    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against answers that count no longer while their callers haven't read them yet.
#[test]
fn bytes_count_until_the_last_reference_to_them_is_dropped() {
    let budget = buffer::open(2 * FREE_BYTES);
    let mut charge = budget.begin(MAX_ANSWER_BYTES);
    charge.set(3 * FREE_BYTES).expect("the budget is unused");
    let mut answer = buffer::hold(Bytes::from(vec![b'.'; 3 * FREE_BYTES]), charge);

    let rest = answer.split_off(FREE_BYTES);
    drop(answer);
    let while_unwritten = budget.used_bytes();
    drop(rest);

    assert_eq!((while_unwritten, budget.used_bytes()), (2 * FREE_BYTES, 0));
}
