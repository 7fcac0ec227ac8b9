//! Which generation is the oldest.

use lovagelatch_keys::KeyGeneration;

use crate::support::ring;

struct AgeCase {
    name: &'static str,
    generations: &'static [u8],
    oldest: u8,
}

/// Symptom: after the 256th rotation, resets of flows that were opened before it are ignored.
/// Sequence: generation 0 follows on 255; the reset key is taken from the oldest. Cause: the
/// lowest number taken for the oldest generation.
#[test]
fn the_oldest_generation_is_the_one_that_the_other_followed_on() {
    let case = |name, generations, oldest| AgeCase {
        name,
        generations,
        oldest,
    };
    let cases = [
        case("one", &[7], 7),
        case("announced", &[1, 2], 1),
        case("switched", &[2, 1], 1),
        case("announced, numbers wrapped", &[255, 0], 255),
        case("switched, numbers wrapped", &[0, 255], 255),
        case("wrapped, with a gap", &[3, 250], 250),
        case("the widest gap that tells", &[0, 127], 0),
        case("half the numbers apart: neither follows", &[128, 0], 0),
        case("the same, the other current", &[0, 128], 0),
    ];
    for case in cases {
        let keys = ring(case.generations);
        let oldest = keys.reset_key_of(KeyGeneration(case.oldest));
        assert_eq!(Some(keys.reset_key()), oldest, "{}", case.name);
    }
}

/// Symptom: processes place new flows differently, or an agent hands a flow on to an agent that
/// no balancer would choose next. Sequence: the operator rotates the key; processes read the
/// file at different moments. Cause: a seed that depends on which generation is current.
#[test]
fn the_placement_seed_changes_only_when_the_oldest_key_is_dropped() {
    let steps: [(&[u8], u8); 4] = [(&[1], 1), (&[1, 2], 1), (&[2, 1], 1), (&[2], 2)];
    for (generations, oldest) in steps {
        let seed = ring(generations).placement_seed();
        assert_eq!(seed, ring(&[oldest]).placement_seed(), "{generations:?}");
    }
    assert_ne!(ring(&[1]).placement_seed(), ring(&[2]).placement_seed());
}
