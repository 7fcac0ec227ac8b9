//! The other balancers that this one knows, and the reader election among them.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddrV4;
use std::time::Duration;

use lovagelatch_domain::Moment;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;

use crate::message::ReaderStatus;

/// Time after which a silent balancer counts as dead: three missed heads. When the first reader
/// fails, the next one must take over well within the 3 s that a change may take.
const PEER_TTL: Duration = Duration::from_millis(1_600);

/// The same for relayed reader status in a large fleet, whose heads go to a few random peers. In a
/// model of heads to three peers every half second, one balancer in a thousand has a status 1.9 s
/// old at 60 balancers, and 2.9 s old at 4,000; a change may take 5 s and more in such fleets.
const STATUS_TTL: Duration = Duration::from_millis(3_500);

/// How long a silent balancer in a large fleet still counts as a reader while confirmations of the
/// store arrive: some balancer reads, and its status may be late by chance.
const CONFIRMED_STATUS_TTL: Duration = Duration::from_secs(8);

/// Confirmations up to this age show that some balancer reads the store.
const MAX_FRESH_AGE: Duration = Duration::from_secs(2);

/// How long heads are still sent to a silent balancer. Longer than any network partition that the
/// users describe (12 s), so that both sides find each other again when it heals.
const CONTACT_TTL: Duration = Duration::from_secs(30);

/// Maximum number of tracked balancers. A head goes to a few of them, so more would only cost
/// memory.
const MAX_PEERS: usize = 64;

/// Up to this number of other balancers, each head goes to all of them; above it, to
/// [`LARGE_FLEET_FANOUT`].
pub(crate) const SMALL_FLEET_FANOUT: usize = 12;

/// Number of peers that each head goes to in a large fleet. With 500 ms between rounds, a node
/// sends about 1 KB/s, half of what the users allow for control traffic.
pub(crate) const LARGE_FLEET_FANOUT: usize = 3;

/// Number of balancers that read the store. One would suffice; with two, the death of one leaves no
/// gap.
pub(crate) const READER_COUNT: usize = 2;

/// Number of peer addresses in a head.
const HEAD_PEERS: usize = 4;

/// Number of lowest-ranked balancers whose status a head carries. Two read; the next two are
/// included so that they learn when to take over, and so that the status of a balancer that cannot
/// read spreads like any other.
const HEAD_READERS: usize = 4;

#[derive(Clone, Copy, Debug)]
struct PeerEntry {
    /// Last head received from it directly; `None` while it is only known from others.
    heard_at: Option<Moment>,
    /// Last sign of life, received directly or relayed.
    active_at: Option<Moment>,
    /// Last time it was heard directly or mentioned by another balancer.
    seen_at: Moment,
    reads: bool,
    leaving: bool,
}

/// The other balancers that this one knows. Invariant: never contains `own_address`.
#[derive(Clone, Debug)]
pub(crate) struct PeerTable {
    own_address: SocketAddrV4,
    seeds: SmallVec<[SocketAddrV4; 3]>,
    peers: BTreeMap<SocketAddrV4, PeerEntry>,
}

impl PeerTable {
    pub(crate) fn new(own_address: SocketAddrV4, seeds: &[SocketAddrV4]) -> Self {
        let mut table = Self {
            own_address,
            seeds: SmallVec::new(),
            peers: BTreeMap::new(),
        };
        table.set_seeds(seeds);
        table
    }

    pub(crate) fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        let others = seeds.iter().copied();
        self.seeds = others.filter(|&seed| seed != self.own_address).collect();
    }

    /// Records a head received from `peer` itself. Returns whether it shows that the store stopped
    /// answering `peer`.
    pub(crate) fn record_head(
        &mut self,
        peer: SocketAddrV4,
        reads: bool,
        leaving: bool,
        random: &mut SmallRng,
        now: Moment,
    ) -> bool {
        if peer == self.own_address {
            return false;
        }
        let lost_store = !reads && self.peers.get(&peer).is_some_and(|known| known.reads);
        self.evict_for(peer, random);
        let heard = PeerEntry {
            heard_at: Some(now),
            active_at: Some(now),
            seen_at: now,
            reads,
            leaving,
        };
        self.peers.insert(peer, heard);
        lost_store
    }

    /// Records that another balancer knows `peer`.
    pub(crate) fn record_mention(&mut self, peer: SocketAddrV4, now: Moment) {
        if peer == self.own_address || self.is_full(peer) {
            return;
        }
        let entry = self.peers.entry(peer).or_insert(PeerEntry {
            heard_at: None,
            active_at: None,
            seen_at: now,
            reads: true,
            leaving: false,
        });
        entry.seen_at = now;
    }

    /// Records a relayed reader status if it is the newest one of that balancer. Returns whether it
    /// shows that the store stopped answering that balancer.
    pub(crate) fn record_status(
        &mut self,
        status: &ReaderStatus,
        random: &mut SmallRng,
        now: Moment,
    ) -> bool {
        if status.address == self.own_address {
            return false;
        }
        let active_at = now - status.age;
        let known = self.peers.get(&status.address);
        if known
            .and_then(|peer| peer.active_at)
            .is_some_and(|at| at >= active_at)
        {
            return false;
        }
        let lost_store = !status.reads && known.is_some_and(|known| known.reads);
        let heard_at = known.and_then(|peer| peer.heard_at);
        self.evict_for(status.address, random);
        let peer = PeerEntry {
            heard_at,
            active_at: Some(active_at),
            seen_at: now,
            reads: status.reads,
            leaving: status.leaving,
        };
        self.peers.insert(status.address, peer);
        lost_store
    }

    /// Returns the known status of the lowest-ranked balancers, this one included.
    pub(crate) fn reader_statuses(
        &self,
        own_status: &ReaderStatus,
        now: Moment,
    ) -> SmallVec<[ReaderStatus; HEAD_READERS]> {
        let ttl = self.status_ttl(None, now);
        let others = self.active_within(ttl, now);
        let others = others.map(|(address, peer, age)| ReaderStatus {
            address,
            age,
            reads: peer.reads,
            leaving: peer.leaving,
        });
        let mut statuses: Vec<ReaderStatus> = others.chain([*own_status]).collect();
        statuses.sort_by_key(|status| rank(status.address));
        statuses.into_iter().take(HEAD_READERS).collect()
    }

    /// Returns how long a silent balancer still counts as a possible reader. `age` is the time
    /// since the store last confirmed the catalog held here.
    fn status_ttl(&self, age: Option<Duration>, now: Moment) -> Duration {
        if !self.is_large(now) {
            return PEER_TTL;
        }
        if age.is_some_and(|age| age < MAX_FRESH_AGE) {
            CONFIRMED_STATUS_TTL
        } else {
            STATUS_TTL
        }
    }

    /// Returns whether the fleet is so large that heads go to a few random peers.
    pub(crate) fn is_large(&self, now: Moment) -> bool {
        self.known_count(now) > SMALL_FLEET_FANOUT
    }

    /// Returns the number of other balancers that showed a sign of life recently, directly or
    /// through others.
    pub(crate) fn known_count(&self, now: Moment) -> usize {
        self.active_within(CONFIRMED_STATUS_TTL, now).count()
    }

    /// Returns the other balancers with a sign of life within `window`, with its age.
    fn active_within(
        &self,
        window: Duration,
        now: Moment,
    ) -> impl Iterator<Item = (SocketAddrV4, &PeerEntry, Duration)> {
        self.peers.iter().filter_map(move |(&address, peer)| {
            let age = now.since(peer.active_at?);
            (age < window).then_some((address, peer, age))
        })
    }

    /// Evicts a random peer for a new one if the table is full, but none of the lowest-ranked ones.
    ///
    /// If new peers were rejected instead, some balancers of a fleet larger than the table would be
    /// in few tables, would rarely be sent heads, and would learn of every change seconds late.
    fn evict_for(&mut self, new: SocketAddrV4, random: &mut SmallRng) {
        if !self.is_full(new) {
            return;
        }
        let mut peers: Vec<SocketAddrV4> = self.peers.keys().copied().collect();
        peers.sort_unstable_by_key(|peer| rank(*peer));
        let others = peers.into_iter().skip(HEAD_READERS);
        if let Some(evicted) = others.choose(random) {
            self.peers.remove(&evicted);
        }
    }

    fn is_full(&self, peer: SocketAddrV4) -> bool {
        self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&peer)
    }

    pub(crate) fn remove_silent(&mut self, now: Moment) {
        self.peers
            .retain(|_, peer| now.since(peer.seen_at) < CONTACT_TTL);
    }

    fn alive(&self, now: Moment) -> impl Iterator<Item = (SocketAddrV4, &PeerEntry)> {
        let is_alive =
            move |peer: &PeerEntry| peer.heard_at.is_some_and(|at| now.since(at) < PEER_TTL);
        self.peers
            .iter()
            .filter(move |(_, peer)| is_alive(peer))
            .map(|(&address, peer)| (address, peer))
    }

    /// Returns whether any other balancer was heard or mentioned recently, or is a configured seed.
    pub(crate) fn knows_others(&self) -> bool {
        !self.peers.is_empty() || !self.seeds.is_empty()
    }

    pub(crate) fn alive_count(&self, now: Moment) -> usize {
        self.alive(now).count()
    }

    /// Returns this balancer's rank among the [`READER_COUNT`] elected readers, 0 for the first, or
    /// `None` if it is not elected. Balancers that the store answers rank before the others;
    /// `store_reachable` says whether it answers this one. Every balancer computes the same ranks,
    /// so none has to appoint the readers; while tables differ, one reader more or fewer may be
    /// elected.
    pub(crate) fn reader_rank(
        &self,
        store_reachable: bool,
        age: Option<Duration>,
        now: Moment,
    ) -> Option<usize> {
        let own_rank = (!store_reachable, rank(self.own_address));
        let ttl = self.status_ttl(age, now);
        let candidates = self.active_within(ttl, now);
        let candidates = candidates.filter(|(_, peer, _)| !peer.leaving);
        let ahead =
            candidates.filter(|&(address, peer, _)| (!peer.reads, rank(address)) < own_rank);
        let position = ahead.take(READER_COUNT).count();
        (position < READER_COUNT).then_some(position)
    }

    /// Returns the elected readers other than this process, as far as it knows, the first one first.
    pub(crate) fn other_readers(
        &self,
        age: Option<Duration>,
        now: Moment,
    ) -> SmallVec<[SocketAddrV4; READER_COUNT]> {
        let ttl = self.status_ttl(age, now);
        let candidates = self.active_within(ttl, now);
        let candidates = candidates.filter(|(_, peer, _)| !peer.leaving);
        let mut ranked: Vec<_> = candidates
            .map(|(address, peer, _)| (!peer.reads, rank(address), address))
            .collect();
        ranked.sort_unstable();
        let readers = ranked.into_iter().take(READER_COUNT);
        readers.map(|(_, _, address)| address).collect()
    }

    /// Returns up to `count` random balancers to send to, including seeds and peers not heard yet.
    pub(crate) fn choose(
        &self,
        count: usize,
        random: &mut SmallRng,
    ) -> SmallVec<[SocketAddrV4; 8]> {
        let known = self.peers.keys().copied();
        let seeds = self.seeds.iter().copied();
        let unknown = seeds.filter(|seed| !self.peers.contains_key(seed));
        known
            .chain(unknown)
            .choose_multiple(random, count)
            .into_iter()
            .collect()
    }

    /// Returns a random sample of live balancers for a head.
    pub(crate) fn sample(&self, now: Moment, random: &mut SmallRng) -> SmallVec<[SocketAddrV4; 4]> {
        self.alive(now)
            .map(|(address, _)| address)
            .choose_multiple(random, HEAD_PEERS)
            .into_iter()
            .collect()
    }
}

/// Returns the election rank of a balancer; the lowest ranks read the store.
fn rank(address: SocketAddrV4) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7265_6164, 0x6572_7300);
    hasher.write(&address.ip().octets());
    hasher.write(&address.port().to_be_bytes());
    hasher.finish()
}
