//! Which offers of a configuration are taken.

use lovagelatch_capacity::rig_text;
use lovagelatch_domain::ConfigRevision;
use lovagelatch_membership::{ConfigError, ConfigKeeper, ConfigVerdict, TableError};

/// An offer by the platform: revision, and which text.
#[derive(Clone, Copy, Debug)]
struct Offer(u64, Content);

#[derive(Clone, Copy, Debug)]
enum Content {
    Text(u32),
    Invalid,
}

struct KeeperCase {
    name: &'static str,
    offers: &'static [Offer],
    in_force: u64,
    judged: u64,
}

fn offer(keeper: &mut ConfigKeeper, offer: Offer) -> Result<ConfigVerdict, ConfigError> {
    let text = match offer.1 {
        Content::Text(change) => rig_text(3, 2, change),
        Content::Invalid => "address = 1\n".to_owned(),
    };
    keeper.offer_text(ConfigRevision(offer.0), &text)
}

#[test]
fn highest_sound_revision_is_in_force() {
    use Content::{Invalid, Text};
    let cases = [
        KeeperCase {
            name: "first",
            offers: &[Offer(5, Text(0))],
            in_force: 5,
            judged: 5,
        },
        KeeperCase {
            name: "lower after higher",
            offers: &[Offer(5, Text(0)), Offer(4, Text(1))],
            in_force: 5,
            judged: 5,
        },
        KeeperCase {
            name: "invalid between",
            offers: &[Offer(5, Text(0)), Offer(6, Invalid), Offer(7, Text(1))],
            in_force: 7,
            judged: 7,
        },
        KeeperCase {
            name: "invalid last",
            offers: &[Offer(5, Text(0)), Offer(6, Invalid), Offer(6, Invalid)],
            in_force: 5,
            judged: 6,
        },
        KeeperCase {
            name: "stale after invalid",
            offers: &[Offer(5, Text(0)), Offer(6, Invalid), Offer(4, Text(1))],
            in_force: 5,
            judged: 6,
        },
    ];
    for case in cases {
        let mut keeper = ConfigKeeper::default();
        for &step in case.offers {
            let _judged = offer(&mut keeper, step);
        }
        assert_eq!(keeper.revision().0, case.in_force, "{}", case.name);
        assert_eq!(keeper.judged().0, case.judged, "{}", case.name);
    }
}

#[test]
fn platform_outranks_a_peer_but_not_itself() {
    let mut platform = ConfigKeeper::default();
    offer(&mut platform, Offer(3, Content::Text(0))).unwrap();
    let again = offer(&mut platform, Offer(3, Content::Text(1)));
    assert_eq!(again, Err(ConfigError::Conflict { revision: 3 }));

    let mut by_peer = ConfigKeeper::default();
    by_peer.offer_delta(platform.delta_since(0)).unwrap();
    let mut other = ConfigKeeper::default();
    offer(&mut other, Offer(3, Content::Text(1))).unwrap();
    let conflict = by_peer.offer_delta(other.delta_since(0));
    assert_eq!(conflict, Err(ConfigError::Conflict { revision: 3 }));
    assert_eq!(by_peer.head(), platform.head());
    offer(&mut by_peer, Offer(3, Content::Text(1))).unwrap();
    assert_eq!(by_peer.head(), other.head());
}

#[test]
fn layout_of_a_text_does_not_matter() {
    let text = rig_text(3, 2, 0);
    let mut plain = ConfigKeeper::default();
    plain.offer_text(ConfigRevision(1), &text).unwrap();
    let mut spaced = ConfigKeeper::default();
    let with_comment = format!("; a comment\n\n{text}");
    spaced.offer_text(ConfigRevision(1), &with_comment).unwrap();
    assert_eq!(plain.head(), spaced.head());
}

// Symptom: a process holds services that nobody published.
// Sequence: a delta is applied to another state than the one it was made for, or damaged.
// Cause: the result was not compared with the promised digest.
#[test]
fn delta_that_does_not_fit_changes_nothing() {
    let mut ahead = ConfigKeeper::default();
    for revision in 1..=4 {
        let change = Content::Text(u32::try_from(revision).unwrap());
        offer(&mut ahead, Offer(revision, change)).unwrap();
    }
    let mut behind = ConfigKeeper::default();
    offer(&mut behind, Offer(1, Content::Text(1))).unwrap();
    let before = behind.head();
    let gap = behind.offer_delta(ahead.delta_since(3));
    let expected = TableError::Gap { from: 3, held: 1 };
    assert_eq!(gap, Err(ConfigError::Delta(expected)));
    let mut damaged = ahead.delta_since(1);
    // The row that differs between the two revisions.
    damaged
        .changed
        .retain(|(_, row)| row.name.as_str() != "service-1");
    let wrong = behind.offer_delta(damaged);
    let expected = TableError::WrongDigest { revision: 4 };
    assert_eq!(wrong, Err(ConfigError::Delta(expected)));
    assert_eq!(behind.head(), before);
    behind.offer_delta(ahead.delta_since(1)).unwrap();
    assert_eq!(behind.head(), ahead.head());
    assert_eq!(behind.text(), ahead.text());
}
