//! Reassembly of answers: an answer that was cut off or corrupted must never count as complete.

use bytes::Bytes;
use model::{id::RequestId, refusal::Ran};
use proptest::prelude::*;
use test_case::test_case;
use uuid::Uuid;
use wire::{
    answer::{self, Piece, Torn},
    frame::{self, Frame, Part},
};

const REQUEST: RequestId = Uuid::from_u128(1);
const OTHER_REQUEST: RequestId = Uuid::from_u128(2);

/// Returns the frames of a complete answer with the given chunks.
fn frames(chunks: &[Vec<u8>]) -> Vec<Frame> {
    let mut hasher = blake3::Hasher::new();
    chunks.iter().for_each(|chunk| {
        hasher.update(chunk);
    });
    let head = Part::Head { status: 200, content_type: "text/plain".to_owned() };
    let end = Part::End { chunks: chunks.len() as u64, digest: *hasher.finalize().as_bytes() };
    let body = chunks.iter().map(|chunk| Part::Chunk(Bytes::from(chunk.clone())));
    let parts = std::iter::once(head).chain(body).chain(std::iter::once(end));
    (0..).zip(parts).map(|(sequence, part)| Frame { request: REQUEST, sequence, part }).collect()
}

/// Returns the body that the frames give, and whether the answer is complete.
fn collect(frames: Vec<Frame>) -> Result<(Vec<u8>, bool), Torn> {
    let mut answer = answer::open(REQUEST);
    let mut bytes = Vec::new();
    for frame in frames {
        for piece in answer.push(frame)? {
            if let Piece::Chunk(chunk) = piece {
                bytes.extend_from_slice(&chunk);
            }
        }
    }
    Ok((bytes, answer.is_whole()))
}

fn two_chunks() -> Vec<Frame> {
    frames(&[b"one".to_vec(), b"two".to_vec()])
}

fn failed(ran: Ran) -> Part {
    Part::Failed { ran, message: String::new() }
}

#[test]
fn frames_are_decoded_from_a_stream_that_arrives_byte_by_byte() {
    let sent = two_chunks();
    let bytes: Vec<u8> = sent.iter().flat_map(|f| frame::encode(f).unwrap()).collect();
    let mut reader = frame::reader();
    let mut received = Vec::new();

    for byte in bytes {
        reader.push(&[byte]);
        received.extend(reader.pull().unwrap());
    }

    assert_eq!(received, sent);
}

#[test]
fn a_frame_over_the_limit_is_an_error() {
    let mut reader = frame::reader();
    reader.push(&u32::MAX.to_be_bytes());

    assert!(matches!(reader.pull(), Err(frame::Error::Length(_))));
}

#[test_case(|f: &mut Vec<Frame>| f[1].request = OTHER_REQUEST => Err(Torn::Crossed(OTHER_REQUEST)); "crossed")]
#[test_case(|f: &mut Vec<Frame>| { f[3].part = Part::End { chunks: 1, digest: [0; 32] } } => Err(Torn::Count); "count")]
#[test_case(|f: &mut Vec<Frame>| f[2].part = Part::Chunk(Bytes::from_static(b"2wo")) => Err(Torn::Digest); "digest")]
#[test_case(|f: &mut Vec<Frame>| { f.remove(0); f.iter_mut().for_each(|f| f.sequence -= 1) } => Err(Torn::Headless); "headless")]
#[test_case(|f: &mut Vec<Frame>| { let mut late = f[1].clone(); late.sequence = 9; f.insert(1, late) } => Err(Torn::AfterEnd); "after the end")]
#[test_case(|f: &mut Vec<Frame>| f.truncate(3) => Ok((b"onetwo".to_vec(), false)); "cut off")]
#[test_case(|f: &mut Vec<Frame>| { let twice = f[2].clone(); f.push(twice) } => Ok((b"onetwo".to_vec(), true)); "doubled")]
#[test_case(|f: &mut Vec<Frame>| f.swap(1, 2) => Ok((b"onetwo".to_vec(), true)); "out of order")]
#[test_case(|f: &mut Vec<Frame>| { f[2].part = failed(Ran::NotRun) } => Err(Torn::Failed { ran: Ran::Yes, message: String::new() }); "not run after the head")]
#[test_case(|f: &mut Vec<Frame>| { f[0].part = failed(Ran::NotRun) } => Err(Torn::Failed { ran: Ran::NotRun, message: String::new() }); "not run before the head")]
fn an_answer_counts_as_whole_only_with_all_its_frames_unchanged(
    fault: fn(&mut Vec<Frame>),
) -> Result<(Vec<u8>, bool), Torn> {
    let mut frames = two_chunks();
    fault(&mut frames);

    collect(frames)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Compares with a simple implementation that has all frames before it sorts them and removes
    /// duplicates.
    #[test]
    fn frames_in_any_order_with_duplicates_give_the_sorted_answer(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..8), 0..8),
        picks in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let sent = frames(&chunks);
        let shuffled: Vec<Frame> = picks.iter().map(|pick| sent[pick.index(sent.len())].clone()).collect();
        let mut sorted = shuffled.clone();
        sorted.sort_by_key(|frame| frame.sequence);
        sorted.dedup();
        let expected_whole = sorted == sent;

        let (bytes, whole) = collect(shuffled).unwrap();

        prop_assert_eq!(whole, expected_whole);
        if whole {
            prop_assert_eq!(bytes, chunks.concat());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(8), failure_persistence: None, ..ProptestConfig::default() })]

    /// An answer that counts as complete must equal the request's own answer, byte for byte, even if
    /// frames are lost, duplicated, renumbered or mixed with those of another answer.
    #[test]
    fn mixed_and_faulty_frames_of_two_answers_never_give_a_wrong_answer(
        own in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..4), 0..6),
        other in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..4), 0..6),
        picks in prop::collection::vec((any::<prop::sample::Index>(), 0..12_u8), 0..40),
    ) {
        let sent = frames(&own);
        let foreign = frames(&other);
        let received = picks.iter().map(|(pick, fault)| {
            let mut frame = pick.get(&sent).clone();
            match fault {
                // The content of the other answer's frame under this request's id.
                0 => frame.part = pick.get(&foreign).part.clone(),
                1 => frame.request = OTHER_REQUEST,
                2 => frame.sequence += 1,
                _ => {}
            }
            frame
        });

        let result = collect(received.collect());

        if let Ok((bytes, true)) = result {
            prop_assert_eq!(bytes, own.concat());
        }
    }

    /// A corrupted byte may make a frame undecodable, but must not change an answer that counts as
    /// complete.
    #[test]
    fn a_corrupted_byte_never_gives_a_wrong_answer(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..4), 1..6),
        at in any::<prop::sample::Index>(),
        flip in 1..=u8::MAX,
    ) {
        let mut bytes: Vec<u8> =
            frames(&chunks).iter().flat_map(|f| frame::encode(f).unwrap()).collect();
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        let mut reader = frame::reader();
        reader.push(&bytes);
        let mut received = Vec::new();

        while let Ok(Some(frame)) = reader.pull() {
            received.push(frame);
        }

        if let Ok((bytes, true)) = collect(received) {
            prop_assert_eq!(bytes, chunks.concat());
        }
    }
}
