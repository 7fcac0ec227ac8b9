//! When a backend server's word about itself is believed.

use std::time::Duration;

use lovagelatch_placement::{HealthWord, RequestEvidence, SlotEnd, believed_word};

use crate::support::at;

const WARMING: HealthWord = HealthWord::Warming(Duration::from_secs(5));
const READY: HealthWord = HealthWord::Ready;
const DRAINING: HealthWord = HealthWord::Draining;

struct WordCase {
    name: &'static str,
    word: HealthWord,
    before: Option<HealthWord>,
    /// Ends of own requests, each with its time in milliseconds.
    ends: &'static [(SlotEnd, u64)],
    expected: Option<HealthWord>,
}

// Symptom: p99 nearly triples while a backend server answers every request.
// Sequence: one of five reads of its health says "warming, 5 s"; the gate stops until the next.
// Cause: the word ranked above the answers.
#[test]
fn answers_outrank_the_word_of_the_health_endpoint() {
    #[rustfmt::skip]
    let cases = [
        WordCase { name: "ready", word: READY, before: Some(WARMING), ends: &[], expected: Some(READY) },
        WordCase { name: "a start", word: WARMING, before: None, ends: &[], expected: Some(WARMING) },
        WordCase { name: "answered lately", word: WARMING, before: Some(READY), ends: &[(SlotEnd::Served, 9_000)], expected: None },
        WordCase { name: "answered lately, said twice", word: WARMING, before: Some(WARMING), ends: &[(SlotEnd::Served, 9_000)], expected: None },
        WordCase { name: "answered long ago", word: WARMING, before: Some(READY), ends: &[(SlotEnd::Served, 5_000)], expected: Some(WARMING) },
        WordCase { name: "lost since", word: WARMING, before: Some(READY), ends: &[(SlotEnd::Served, 9_000), (SlotEnd::Lost, 9_500)], expected: Some(WARMING) },
        WordCase { name: "shed since", word: WARMING, before: Some(READY), ends: &[(SlotEnd::Served, 9_000), (SlotEnd::Shed, 9_500)], expected: Some(WARMING) },
        WordCase { name: "answered after a loss", word: WARMING, before: Some(READY), ends: &[(SlotEnd::Lost, 9_000), (SlotEnd::Served, 9_500)], expected: None },
        WordCase { name: "a caller left since", word: WARMING, before: Some(READY), ends: &[(SlotEnd::Served, 9_000), (SlotEnd::Abandoned, 9_500)], expected: None },
        WordCase { name: "draining once", word: DRAINING, before: Some(READY), ends: &[], expected: None },
        WordCase { name: "draining at the first read", word: DRAINING, before: None, ends: &[], expected: None },
        WordCase { name: "draining twice", word: DRAINING, before: Some(DRAINING), ends: &[(SlotEnd::Served, 9_900)], expected: Some(DRAINING) },
    ];
    for case in cases {
        let mut evidence = RequestEvidence::default();
        for (end, millis) in case.ends {
            evidence.note(*end, at(*millis));
        }
        let believed = believed_word(case.word, case.before, evidence, at(10_000));
        assert_eq!(believed, case.expected, "{}", case.name);
    }
}
