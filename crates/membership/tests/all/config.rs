//! Rules by which a configuration is accepted.

use lovagelatch_capacity::rig_text;
use lovagelatch_domain::ConfigRevision;
use lovagelatch_membership::{ConfigError, ConfigOutcome, ConfigTable, TableError};

/// A configuration read from the platform: its revision and content.
#[derive(Clone, Copy, Debug)]
struct Offer(u64, Content);

#[derive(Clone, Copy, Debug)]
enum Content {
    Text(u32),
    Invalid,
}

struct OfferCase {
    name: &'static str,
    offers: &'static [Offer],
    in_force: u64,
    evaluated: u64,
}

fn offer(table: &mut ConfigTable, offer: Offer) -> Result<ConfigOutcome, ConfigError> {
    let text = match offer.1 {
        Content::Text(change) => rig_text(3, 2, change),
        Content::Invalid => "address = 1\n".to_owned(),
    };
    table.offer_text(ConfigRevision(offer.0), &text)
}

#[test]
fn highest_valid_revision_is_in_force() {
    use Content::{Invalid, Text};
    let cases = [
        OfferCase {
            name: "first",
            offers: &[Offer(5, Text(0))],
            in_force: 5,
            evaluated: 5,
        },
        OfferCase {
            name: "lower after higher",
            offers: &[Offer(5, Text(0)), Offer(4, Text(1))],
            in_force: 5,
            evaluated: 5,
        },
        OfferCase {
            name: "invalid between",
            offers: &[Offer(5, Text(0)), Offer(6, Invalid), Offer(7, Text(1))],
            in_force: 7,
            evaluated: 7,
        },
        OfferCase {
            name: "invalid last",
            offers: &[Offer(5, Text(0)), Offer(6, Invalid), Offer(6, Invalid)],
            in_force: 5,
            evaluated: 6,
        },
        OfferCase {
            name: "stale after invalid",
            offers: &[Offer(5, Text(0)), Offer(6, Invalid), Offer(4, Text(1))],
            in_force: 5,
            evaluated: 6,
        },
    ];
    for case in cases {
        let mut table = ConfigTable::default();
        for &step in case.offers {
            let _outcome = offer(&mut table, step);
        }
        assert_eq!(table.revision().0, case.in_force, "{}", case.name);
        assert_eq!(table.evaluated().0, case.evaluated, "{}", case.name);
    }
}

#[test]
fn platform_outranks_a_peer_but_not_itself() {
    let mut platform = ConfigTable::default();
    offer(&mut platform, Offer(3, Content::Text(0))).unwrap();
    let again = offer(&mut platform, Offer(3, Content::Text(1)));
    assert_eq!(again, Err(ConfigError::Conflict { revision: 3 }));

    let mut by_peer = ConfigTable::default();
    by_peer.offer_delta(platform.delta_since(0)).unwrap();
    let mut other = ConfigTable::default();
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
    let mut plain = ConfigTable::default();
    plain.offer_text(ConfigRevision(1), &text).unwrap();
    let mut spaced = ConfigTable::default();
    let with_comment = format!("; a comment\n\n{text}");
    spaced.offer_text(ConfigRevision(1), &with_comment).unwrap();
    assert_eq!(plain.head(), spaced.head());
}

// Guards against a process that holds services nobody published: a delta is applied to a state it
// was not made for, or is damaged, and the digest of the result is not checked.
#[test]
fn delta_that_does_not_fit_changes_nothing() {
    let mut ahead = ConfigTable::default();
    for revision in 1..=4 {
        let change = Content::Text(u32::try_from(revision).unwrap());
        offer(&mut ahead, Offer(revision, change)).unwrap();
    }
    let mut behind = ConfigTable::default();
    offer(&mut behind, Offer(1, Content::Text(1))).unwrap();
    let before = behind.head();
    let gap = behind.offer_delta(ahead.delta_since(3));
    let expected = TableError::Gap { from: 3, held: 1 };
    assert_eq!(gap, Err(ConfigError::Delta(expected)));
    let mut damaged = ahead.delta_since(1);
    // Drops the row that differs between the two revisions.
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
