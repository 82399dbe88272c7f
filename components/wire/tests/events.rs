//! Streams of server-sent events are split at the ends of events, however the bytes are divided when
//! they arrive.

use proptest::prelude::*;
use test_case::test_case;
use wire::events::{self, Cutter};

/// Pushes a stream byte by byte; returns the bytes of all events and whether the stream is complete.
fn push_bytes(stream: &[u8]) -> (Vec<u8>, bool) {
    let mut cutter = Cutter::default();
    let returned: Vec<u8> =
        stream.iter().filter_map(|byte| cutter.push(&[*byte])).flatten().collect();
    (returned, cutter.is_whole())
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
fn events_are_done_only_if_the_last_line_is_the_end_mark(events: &[u8]) -> bool {
    events::is_done(events)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// Compares with pushing the whole stream at once.
    #[test]
    fn a_stream_pushed_byte_by_byte_gives_the_same_events_as_pushed_at_once(
        lines in prop::collection::vec(prop_oneof!["data: [a-z]{0,4}", Just("data: [DONE]".to_owned()), Just(String::new())], 0..12),
        crlf in any::<bool>(),
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
        let stream: String = lines.iter().map(|line| format!("{line}{end}")).collect();
        let mut cutter_at_once = Cutter::default();
        let expected = cutter_at_once.push(stream.as_bytes()).unwrap_or_default();

        let (returned, is_whole) = push_bytes(stream.as_bytes());

        prop_assert_eq!(returned, expected.to_vec());
        prop_assert_eq!(is_whole, cutter_at_once.is_whole());
    }
}
