//! The other balancers that this one knows of.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddrV4;
use std::time::Duration;

use lovagelatch_domain::Moment;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;

use crate::message::ReaderNews;

/// How long a silent balancer counts as alive: three missed heads. When the first reader goes
/// silent, the next one must have taken over well within the 3 s that a change may take.
const PEER_LIFETIME: Duration = Duration::from_millis(1_600);

/// The same for what is passed on about the readers in a fleet whose heads go to a few at random. By a model
/// of heads to three others every half second, one in a thousand balancers knows a word of 1.9 s of age
/// at 60 of them, and of 2.9 s at 4,000; a change may take 5 s and more in such fleets.
const NEWS_LIFETIME: Duration = Duration::from_millis(3_500);

/// In such a fleet, how long one that is silent still counts as one that reads while the store's
/// confirmations come: somebody reads, and news of who is late by chance.
const READING_LIFETIME: Duration = Duration::from_secs(8);

/// Confirmations up to this age come from somebody who reads.
const FRESH_AGE: Duration = Duration::from_secs(2);

/// How long a silent balancer is still written to. Longer than any cut that the users describe
/// (12 s), so that both sides of one find each other again when it heals.
const CONTACT_LIFETIME: Duration = Duration::from_secs(30);

/// Balancers remembered at most; a head goes to a few of them, so more would only cost memory.
const MAX_PEERS: usize = 64;

/// Up to this many other balancers each head goes to all of them; above, to [`LARGE_FANOUT`].
pub(crate) const SMALL_FANOUT: usize = 12;

/// Heads sent at a time in a large fleet. With 500 ms between rounds this keeps a node at about
/// 1 KB/s, half of what the users allow for control.
pub(crate) const LARGE_FANOUT: usize = 3;

/// How many balancers read the store. One would do; two, so that the death of one is no gap.
pub(crate) const READERS: usize = 2;

/// How many addresses a head passes on.
const PASSED_ON: usize = 4;

/// Of how many of the lowest draws a head tells. Two read; the next two are told of so that those who
/// take over know it, and so that news of one that cannot read spreads like any other.
const TOLD_DRAWS: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Peer {
    /// When it was last heard itself; `None` while it is only known by name.
    heard: Option<Moment>,
    /// When it last said anything to anybody, as far as is known.
    spoke: Option<Moment>,
    /// When it was named or heard last.
    named: Moment,
    reads: bool,
    leaving: bool,
}

/// Invariant: never holds `own`.
#[derive(Clone, Debug)]
pub(crate) struct PeerTable {
    own: SocketAddrV4,
    seeds: SmallVec<[SocketAddrV4; 3]>,
    peers: BTreeMap<SocketAddrV4, Peer>,
}

impl PeerTable {
    pub(crate) fn new(own: SocketAddrV4, seeds: &[SocketAddrV4]) -> Self {
        let mut table = Self {
            own,
            seeds: SmallVec::new(),
            peers: BTreeMap::new(),
        };
        table.set_seeds(seeds);
        table
    }

    pub(crate) fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        let others = seeds.iter().copied();
        self.seeds = others.filter(|&seed| seed != self.own).collect();
    }

    pub(crate) fn hear(
        &mut self,
        peer: SocketAddrV4,
        reads: bool,
        leaving: bool,
        random: &mut SmallRng,
        now: Moment,
    ) {
        if peer == self.own {
            return;
        }
        self.make_room(peer, random);
        let heard = Peer {
            heard: Some(now),
            spoke: Some(now),
            named: now,
            reads,
            leaving,
        };
        self.peers.insert(peer, heard);
    }

    /// Notes that somebody else has heard of `peer`.
    pub(crate) fn name(&mut self, peer: SocketAddrV4, now: Moment) {
        if peer == self.own || self.is_full(peer) {
            return;
        }
        let entry = self.peers.entry(peer).or_insert(Peer {
            heard: None,
            spoke: None,
            named: now,
            reads: true,
            leaving: false,
        });
        entry.named = now;
    }

    /// Takes what another balancer passes on about one that may read, if it is the newest word of it.
    pub(crate) fn pass_on(&mut self, news: &ReaderNews, random: &mut SmallRng, now: Moment) {
        if news.address == self.own {
            return;
        }
        let spoke = now - news.age;
        let known = self.peers.get(&news.address);
        if known
            .and_then(|peer| peer.spoke)
            .is_some_and(|at| at >= spoke)
        {
            return;
        }
        let heard = known.and_then(|peer| peer.heard);
        self.make_room(news.address, random);
        let peer = Peer {
            heard,
            spoke: Some(spoke),
            named: now,
            reads: news.reads,
            leaving: news.leaving,
        };
        self.peers.insert(news.address, peer);
    }

    /// What is known of the lowest draws, this balancer's own among them.
    pub(crate) fn reader_news(
        &self,
        own: &ReaderNews,
        now: Moment,
    ) -> SmallVec<[ReaderNews; TOLD_DRAWS]> {
        let lifetime = self.news_lifetime(None, now);
        let others = self.spoke_within(lifetime, now);
        let others = others.map(|(address, peer, age)| ReaderNews {
            address,
            age,
            reads: peer.reads,
            leaving: peer.leaving,
        });
        let mut news: Vec<ReaderNews> = others.chain([*own]).collect();
        news.sort_by_key(|news| draw(news.address));
        news.into_iter().take(TOLD_DRAWS).collect()
    }

    /// How long a balancer that says nothing any more counts as one that may read; `age` is how long ago the
    /// store confirmed what this one holds.
    fn news_lifetime(&self, age: Option<Duration>, now: Moment) -> Duration {
        if !self.is_large(now) {
            return PEER_LIFETIME;
        }
        if age.is_some_and(|age| age < FRESH_AGE) {
            READING_LIFETIME
        } else {
            NEWS_LIFETIME
        }
    }

    /// Whether there are so many balancers that heads go to a few of them at random.
    pub(crate) fn is_large(&self, now: Moment) -> bool {
        self.known_count(now) > SMALL_FANOUT
    }

    /// Other balancers that have been heard, or heard of, lately enough to be there.
    pub(crate) fn known_count(&self, now: Moment) -> usize {
        self.spoke_within(READING_LIFETIME, now).count()
    }

    /// Other balancers that said anything within `span`, as far as is known, with how long ago.
    fn spoke_within(
        &self,
        span: Duration,
        now: Moment,
    ) -> impl Iterator<Item = (SocketAddrV4, &Peer, Duration)> {
        self.peers.iter().filter_map(move |(&address, peer)| {
            let age = now.since(peer.spoke?);
            (age < span).then_some((address, peer, age))
        })
    }

    /// Lets some peer go for a new one when the table is full, but none whom the lot draws first.
    ///
    /// What goes wrong if new ones are turned away instead: in a fleet larger than the table some are in few
    /// tables, hardly ever written to, and hear of everything seconds late.
    fn make_room(&mut self, new: SocketAddrV4, random: &mut SmallRng) {
        if !self.is_full(new) {
            return;
        }
        let mut peers: Vec<SocketAddrV4> = self.peers.keys().copied().collect();
        peers.sort_unstable_by_key(|peer| draw(*peer));
        let others = peers.into_iter().skip(TOLD_DRAWS);
        if let Some(chosen) = others.choose(random) {
            self.peers.remove(&chosen);
        }
    }

    fn is_full(&self, peer: SocketAddrV4) -> bool {
        self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&peer)
    }

    pub(crate) fn forget_silent(&mut self, now: Moment) {
        self.peers
            .retain(|_, peer| now.since(peer.named) < CONTACT_LIFETIME);
    }

    fn alive(&self, now: Moment) -> impl Iterator<Item = (SocketAddrV4, &Peer)> {
        let is_alive = move |peer: &Peer| {
            peer.heard
                .is_some_and(|heard| now.since(heard) < PEER_LIFETIME)
        };
        self.peers
            .iter()
            .filter(move |(_, peer)| is_alive(peer))
            .map(|(&address, peer)| (address, peer))
    }

    /// Whether any other balancer was named or heard lately, or stands in the settings.
    pub(crate) fn knows_others(&self) -> bool {
        !self.peers.is_empty() || !self.seeds.is_empty()
    }

    pub(crate) fn alive_count(&self, now: Moment) -> usize {
        self.alive(now).count()
    }

    /// This balancer's place among the [`READERS`] lowest draws, 0 the first; `None` beyond them.
    /// Those whom the store answers go before the others; `reads` says whether it answers this
    /// one. Everybody computes the same draw, so nobody appoints a reader; tables that differ for
    /// a while draw a reader more or less.
    pub(crate) fn draw_place(
        &self,
        reads: bool,
        age: Option<Duration>,
        now: Moment,
    ) -> Option<usize> {
        let mine = (!reads, draw(self.own));
        let lifetime = self.news_lifetime(age, now);
        let there = self.spoke_within(lifetime, now);
        let there = there.filter(|(_, peer, _)| !peer.leaving);
        let ahead = there.filter(|&(address, peer, _)| (!peer.reads, draw(address)) < mine);
        let place = ahead.take(READERS).count();
        (place < READERS).then_some(place)
    }

    /// Up to `count` balancers to write to, unheard ones and seeds included.
    pub(crate) fn choose(
        &self,
        count: usize,
        random: &mut SmallRng,
    ) -> SmallVec<[SocketAddrV4; 8]> {
        let known = self.peers.keys().copied();
        let seeds = self.seeds.iter().copied();
        let unnamed = seeds.filter(|seed| !self.peers.contains_key(seed));
        known
            .chain(unnamed)
            .choose_multiple(random, count)
            .into_iter()
            .collect()
    }

    /// Some living balancers, for a head to pass on.
    pub(crate) fn sample(&self, now: Moment, random: &mut SmallRng) -> SmallVec<[SocketAddrV4; 4]> {
        self.alive(now)
            .map(|(address, _)| address)
            .choose_multiple(random, PASSED_ON)
            .into_iter()
            .collect()
    }
}

fn draw(address: SocketAddrV4) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7265_6164, 0x6572_7300);
    hasher.write(&address.ip().octets());
    hasher.write(&address.port().to_be_bytes());
    hasher.finish()
}
