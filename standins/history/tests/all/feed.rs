//! The order of a feed's events.

use lovagelatch_history::{FeedFlaw, FeedOrder};

struct FeedCase {
    ids: &'static [u64],
    flaws: &'static [FeedFlaw],
}

#[test]
fn finds_lost_doubled_and_disordered_events() {
    let cases = [
        FeedCase {
            ids: &[1, 2, 3],
            flaws: &[],
        },
        FeedCase {
            ids: &[7, 8, 9],
            flaws: &[],
        },
        FeedCase {
            ids: &[1, 2, 4, 5],
            flaws: &[FeedFlaw::Lost],
        },
        FeedCase {
            ids: &[1, 2, 2, 3],
            flaws: &[FeedFlaw::Doubled],
        },
        FeedCase {
            ids: &[1, 3, 2, 4],
            flaws: &[FeedFlaw::Lost, FeedFlaw::OutOfOrder],
        },
    ];
    for case in cases {
        let mut order = FeedOrder::new();
        let found = case.ids.iter().filter_map(|&id| order.check_event(id));
        let flaws: Vec<FeedFlaw> = found.collect();
        assert_eq!(flaws, case.flaws, "{:?}", case.ids);
    }
}
