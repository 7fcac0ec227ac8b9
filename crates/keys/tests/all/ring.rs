//! The order of key generations, and the keys taken from the oldest one.

use lovagelatch_keys::KeyGeneration;

use crate::support::ring;

struct AgeCase {
    name: &'static str,
    generations: &'static [u8],
    oldest: u8,
}

/// Guards against ignored stateless resets after the 256th rotation. The reset key comes from the
/// oldest generation, and generation 0 follows 255; taking the lowest number for the oldest would
/// select the new key for flows that were opened under the old one.
#[test]
fn the_oldest_generation_is_found_across_wraparound() {
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
        case("the largest gap with a defined order", &[0, 127], 0),
        case(
            "half the number space apart: the lower is older",
            &[128, 0],
            0,
        ),
        case(
            "half the number space apart, the lower is current",
            &[0, 128],
            0,
        ),
    ];
    for case in cases {
        let keys = ring(case.generations);
        let oldest = keys.reset_key_for(KeyGeneration(case.oldest));
        assert_eq!(Some(keys.reset_key()), oldest, "{}", case.name);
    }
}

/// Guards against processes that place new flows differently during a rotation, and an agent that
/// hands a flow on to an agent that no balancer would choose next. Processes read the rotated key
/// file at different moments, so the seed must not depend on which generation is current.
#[test]
fn the_placement_seed_changes_only_when_the_oldest_key_is_dropped() {
    let steps: [(&[u8], u8); 4] = [(&[1], 1), (&[1, 2], 1), (&[2, 1], 1), (&[2], 2)];
    for (generations, oldest) in steps {
        let seed = ring(generations).placement_seed();
        assert_eq!(seed, ring(&[oldest]).placement_seed(), "{generations:?}");
    }
    assert_ne!(ring(&[1]).placement_seed(), ring(&[2]).placement_seed());
}
