//! Streams of events are cut at the ends of events, however the bytes arrive.

use proptest::prelude::*;
use test_case::test_case;
use wire::events::{self, Cutter};

fn push_bytes(stream: &[u8]) -> (Vec<u8>, bool) {
    let mut cutter = Cutter::default();
    let given: Vec<u8> = stream.iter().filter_map(|byte| cutter.push(&[*byte])).flatten().collect();
    (given, cutter.is_whole())
}

#[test_case("data: 1\n\ndata: [DONE]\n\n" => true; "the end")]
#[test_case("data: 1\r\n\r\ndata: [DONE]\r\n\r\n" => true; "the end with CR LF")]
#[test_case("data: {\"text\": \"data: [DONE]\"}\n\n" => false; "text that looks like the end")]
#[test_case("data: [DONE]\n\ndata: 2\n\n" => false; "an event after the end")]
#[test_case("data: [DONE]\n\n\n" => true; "a blank line after the end")]
#[test_case("data: 1\n\ndata: [DONE]" => false; "cut within the end")]
#[test_case("data: 1\n\n" => false; "no end")]
fn a_stream_is_whole_only_with_its_last_event(stream: &str) -> bool {
    push_bytes(stream.as_bytes()).1
}

#[test_case(b"" => false; "nothing")]
#[test_case(b"data: [DONE]\n\n" => true; "only the end")]
fn done_is_a_line_of_its_own(events: &[u8]) -> bool {
    events::is_done(events)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// Against the naive version, which has the whole stream before it cuts.
    #[test]
    fn any_cut_of_the_bytes_gives_the_same_events(
        lines in prop::collection::vec(prop_oneof!["data: [a-z]{0,4}", Just("data: [DONE]".to_owned()), Just(String::new())], 0..12),
        crlf in any::<bool>(),
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
        let stream: String = lines.iter().map(|line| format!("{line}{end}")).collect();
        let mut whole = Cutter::default();
        let naive = whole.push(stream.as_bytes()).unwrap_or_default();

        let (given, is_whole) = push_bytes(stream.as_bytes());

        prop_assert_eq!(given, naive.to_vec());
        prop_assert_eq!(is_whole, whole.is_whole());
    }
}
