//! Documents can be told apart by their contents.

use lovagelatch_history::{content_for, content_matches};
use quickcheck::TestResult;

#[test]
fn a_part_of_a_content_matches_its_id_alone() {
    fn property(id: String, other: String, length: u8) -> TestResult {
        let length = usize::from(length);
        if id == other || length < 16 {
            return TestResult::discard();
        }
        let content = content_for(&id, length);
        let whole = content.len() == length && content_matches(&id, &content);
        let part = content_matches(&id, &content[..length / 2]);
        TestResult::from_bool(whole && part && !content_matches(&other, &content))
    }
    quickcheck::quickcheck(property as fn(String, String, u8) -> TestResult);
}
