//! Authentication tags of frames.

use lovagelatch_keys::KeyGeneration;
use quickcheck::quickcheck;

use crate::support::{ring, rotation_cases};

#[test]
fn two_generations_verify_frames() {
    for case in rotation_cases() {
        let (generation, tag) = case.sealed_by.tag_frame(&[b"message"]);
        let verified = case.opened_by.verify_frame(generation, &[b"message"], &tag);
        assert_eq!(verified, case.opens, "{}", case.name);
    }
}

#[test]
fn a_tag_is_valid_only_for_its_own_generation() {
    let keys = ring(&[1, 2]);
    let (_, tag) = keys.tag_frame(&[b"message"]);
    assert!(keys.verify_frame(KeyGeneration(1), &[b"message"], &tag));
    assert!(!keys.verify_frame(KeyGeneration(2), &[b"message"], &tag));
    assert!(!keys.verify_frame(KeyGeneration(3), &[b"message"], &tag));
}

quickcheck! {
    fn a_tag_does_not_depend_on_how_a_frame_is_split(message: Vec<u8>, at: usize) -> bool {
        let keys = ring(&[1]);
        let at = at % (message.len() + 1);
        let (first, second) = message.split_at(at);
        keys.tag_frame(&[first, second]) == keys.tag_frame(&[&message])
    }

    fn a_changed_message_is_refused(message: Vec<u8>, position: usize, change: u8) -> bool {
        let keys = ring(&[1]);
        let (generation, tag) = keys.tag_frame(&[&message]);
        let mut changed = message.clone();
        if let Some(length) = std::num::NonZero::new(changed.len()) {
            changed[position % length] ^= change;
        }
        keys.verify_frame(generation, &[&changed], &tag) == (changed == message)
    }
}
