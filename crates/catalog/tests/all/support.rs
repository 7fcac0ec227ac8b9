//! A fake store and a group of balancers that exchange messages.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lovagelatch_catalog::{
    AgentStop, Catalog, CatalogAction, CatalogMember, CatalogMessage, CatalogNotice, MEMBER_TICK,
    MemberSettings, PublishedConfig, PublishedRoute, PublishedTarget, RouteShare, StoreAnswer,
    StoreCall, StoreEvent, StoreFailure, TargetName, TargetStart,
};
use lovagelatch_domain::{ConfigRevision, Moment, StoreEra};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smallvec::smallvec;

/// Length of a step.
const STEP: Duration = Duration::from_millis(50);

pub(crate) fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7_735)
}

pub(crate) fn target(name: &str) -> PublishedTarget {
    PublishedTarget {
        name: TargetName(name.into()),
        service: "claims".parse().expect("a service"),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 8_000),
        zone: "hall-a".parse().expect("a zone"),
        slots: 3,
        leaving: false,
        warming_ms: 0,
        start: TargetStart::default(),
    }
}

pub(crate) fn config(version: u64, ports: &[u16]) -> PublishedConfig {
    let route = |&port: &u16| PublishedRoute {
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port),
        name: format!("r-{port}"),
        idempotent: true,
        policy: None,
        homes: Box::default(),
        shares: smallvec![RouteShare {
            service: "claims".parse().expect("a service"),
            weight: 1,
            warmup: None,
            max_flows: None,
        }],
    };
    PublishedConfig {
        version: ConfigRevision(version),
        idle_timeout: Duration::from_secs(15),
        routes: ports.iter().map(route).collect(),
        unrouted: Vec::new(),
        unusable: Vec::new(),
    }
}

/// A store that keeps its full history.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeStore {
    pub(crate) era: StoreEra,
    pub(crate) revision: u64,
    log: Vec<(u64, StoreEvent)>,
    /// Changes up to this revision can no longer be watched.
    pub(crate) compacted: u64,
    pub(crate) calls: u64,
}

impl FakeStore {
    pub(crate) fn write(&mut self, event: StoreEvent) {
        self.revision += 1;
        self.log.push((self.revision, event));
    }

    /// Comes back from the copy that was made at `revision`: later changes are lost, and their
    /// revisions are given out again.
    pub(crate) fn restore(&mut self, revision: u64) {
        self.era.0 += 1;
        self.log.retain(|(written, _)| *written <= revision);
        self.revision = revision;
    }

    /// Returns the names of the targets that the store lists, sorted.
    pub(crate) fn target_names(&self) -> Vec<String> {
        let events = self.list().events.into_iter();
        let names = events.filter_map(|(_, event)| match event {
            StoreEvent::Target(target) => Some(target.name.0.to_string()),
            _ => None,
        });
        names.collect()
    }

    fn list(&self) -> StoreAnswer {
        let mut items: BTreeMap<String, (u64, StoreEvent)> = BTreeMap::new();
        for (revision, event) in &self.log {
            match event {
                StoreEvent::Config(_) => {
                    items.insert(String::new(), (*revision, event.clone()));
                }
                StoreEvent::Target(target) => {
                    items.insert(target.name.0.to_string(), (*revision, event.clone()));
                }
                StoreEvent::TargetRemoved(name) => {
                    items.remove(&*name.0);
                }
                StoreEvent::ZoneEvacuated(zone) => {
                    items.insert(
                        format!("zone {}", zone.as_str()),
                        (*revision, event.clone()),
                    );
                }
                StoreEvent::ZoneRestored(zone) => {
                    items.remove(&format!("zone {}", zone.as_str()));
                }
                StoreEvent::Unreadable { key, target, .. } => {
                    let name = target.as_ref().map(|name| name.0.to_string());
                    items.insert(name.unwrap_or(key.clone()), (*revision, event.clone()));
                }
            }
        }
        StoreAnswer {
            era: self.era,
            events: items.into_values().collect(),
            revision: self.revision,
        }
    }

    /// Returns the answer to a call; `None` while a watch waits.
    fn answer(&self, call: StoreCall) -> Option<Result<StoreAnswer, StoreFailure>> {
        let StoreCall::Watch { after, .. } = call else {
            return Some(Ok(self.list()));
        };
        if after < self.compacted || after > self.revision {
            return Some(Err(StoreFailure::HistoryGone));
        }
        let later = self.log.iter().filter(|(revision, _)| *revision > after);
        let events: Vec<_> = later.cloned().collect();
        (!events.is_empty()).then_some(Ok(StoreAnswer {
            era: self.era,
            events,
            revision: self.revision,
        }))
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) member: CatalogMember,
    pub(crate) catalog: Catalog,
    pub(crate) notices: Vec<CatalogNotice>,
    /// Stop announcements that other balancers relayed.
    pub(crate) stops: Vec<AgentStop>,
    outstanding: Option<(StoreCall, Moment)>,
    /// Calls that are made beside the outstanding one, with the time at which they are answered.
    verifying: Vec<(StoreCall, Moment)>,
    pub(crate) calls: u64,
    /// Cut off from the store: its calls get no answer.
    pub(crate) store_cut: bool,
    /// Cut off from the other balancers.
    pub(crate) peers_cut: bool,
    /// Not running.
    pub(crate) stopped: bool,
    next_tick: Moment,
}

/// A fault that hits the readers.
pub(crate) struct ReaderFault {
    pub(crate) name: &'static str,
    pub(crate) inject: fn(&mut Group, &[u8]),
}

/// Faults that hit all readers at once.
pub(crate) const READER_FAULTS: [ReaderFault; 4] = [
    ReaderFault {
        name: "the readers die",
        inject: |group, readers| {
            for &reader in readers {
                group.node(reader).stopped = true;
            }
        },
    },
    ReaderFault {
        name: "the readers are cut off from the store",
        inject: |group, readers| {
            for &reader in readers {
                group.node(reader).store_cut = true;
            }
        },
    },
    ReaderFault {
        name: "the readers are cut off from the other balancers",
        inject: |group, readers| {
            for &reader in readers {
                group.node(reader).peers_cut = true;
            }
        },
    },
    ReaderFault {
        name: "one dies, the other is cut off from the store",
        inject: |group, readers| {
            group.node(readers[0]).stopped = true;
            group.node(readers[1]).store_cut = true;
        },
    },
];

/// Balancers, a store, and a network without delay.
pub(crate) struct Group {
    pub(crate) store: FakeStore,
    pub(crate) nodes: BTreeMap<SocketAddrV4, Node>,
    pub(crate) now: Moment,
    /// A failure that the store answers to every call.
    pub(crate) failure: Option<StoreFailure>,
    /// Whether answers exceed a datagram and go over a stream, as between real processes.
    pub(crate) large: bool,
    /// Whether balancers advance only at their ticks and when they have something due, as real
    /// processes do, instead of at every step.
    pub(crate) ticking: bool,
    /// Share of the datagrams between balancers that are lost.
    loss: f64,
    random: SmallRng,
}

impl Group {
    pub(crate) fn new(count: u8) -> Self {
        let mut group = Self {
            store: FakeStore::default(),
            nodes: BTreeMap::new(),
            now: Moment::from_millis(1_000),
            failure: None,
            large: false,
            ticking: false,
            loss: 0.0,
            random: SmallRng::seed_from_u64(0),
        };
        group.store.write(StoreEvent::Config(config(1, &[80])));
        group.store.write(StoreEvent::Target(target("i-1")));
        for number in 1..=count {
            group.add(number);
        }
        group
    }

    /// Creates a group and runs it for `span`, after which all balancers hold the first
    /// configuration.
    pub(crate) fn settled(count: u8, span: Duration) -> Self {
        let mut group = Self::new(count);
        group.run(span);
        assert!(group.versions().iter().all(|version| *version == 1));
        group
    }

    /// Loses a share of the datagrams between balancers from now on, chosen by `seed`.
    pub(crate) fn lose_datagrams(&mut self, share: f64, seed: u64) {
        self.loss = share;
        self.random = SmallRng::seed_from_u64(seed);
    }

    /// Writes another configuration.
    pub(crate) fn change(&mut self, version: u64) {
        let config = config(version, &[80, 81]);
        self.store.write(StoreEvent::Config(config));
    }

    /// Starts or ends the evacuation of a zone.
    pub(crate) fn set_evacuated(&mut self, zone: &str, evacuated: bool) {
        let zone = zone.parse().expect("a zone");
        self.store.write(if evacuated {
            StoreEvent::ZoneEvacuated(zone)
        } else {
            StoreEvent::ZoneRestored(zone)
        });
    }

    /// Returns the zones that each running balancer considers evacuated; `None` where it does not
    /// know.
    pub(crate) fn evacuated(&self) -> Vec<Option<Vec<String>>> {
        let running = self.nodes.values().filter(|node| !node.stopped);
        let zones = running.map(|node| {
            let known = node.catalog.zones_revision.is_known();
            let zones = node.catalog.evacuated.iter();
            known.then(|| zones.map(|zone| zone.0.as_str().to_owned()).collect())
        });
        zones.collect()
    }

    /// Returns the running balancers that are elected readers.
    pub(crate) fn readers(&self) -> Vec<u8> {
        let nodes = self.nodes.iter();
        let reading =
            nodes.filter(|(_, node)| !node.stopped && node.member.status(self.now).reader);
        reading
            .map(|(address, _)| address.ip().octets()[3])
            .collect()
    }

    pub(crate) fn add(&mut self, number: u8) {
        let settings = MemberSettings {
            gossip: address(number),
            seeds: smallvec![address(1), address(2)],
        };
        let node = Node {
            member: CatalogMember::new(settings, number.into(), self.now),
            catalog: Catalog::default(),
            notices: Vec::new(),
            stops: Vec::new(),
            outstanding: None,
            verifying: Vec::new(),
            calls: 0,
            store_cut: false,
            peers_cut: false,
            stopped: false,
            next_tick: self.now + MEMBER_TICK * u32::from(number % 5) / 5,
        };
        self.nodes.insert(address(number), node);
    }

    pub(crate) fn node(&mut self, number: u8) -> &mut Node {
        self.nodes.get_mut(&address(number)).expect("a node")
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        let addresses: Vec<_> = self.nodes.keys().copied().collect();
        for at in addresses {
            if self.nodes[&at].stopped {
                continue;
            }
            self.answer_call(at);
            self.answer_verifying_calls(at);
            let now = self.now;
            let node = self.nodes.get_mut(&at).expect("a node");
            let due = node
                .member
                .next_due(now - STEP)
                .is_some_and(|due| due <= now);
            if self.ticking && !due && now < node.next_tick {
                continue;
            }
            node.next_tick = now + MEMBER_TICK;
            let actions = node.member.advance(now);
            self.execute(at, actions);
        }
    }

    fn answer_call(&mut self, at: SocketAddrV4) {
        let now = self.now;
        let node = self.nodes.get_mut(&at).expect("a node");
        let Some((call, since)) = node.outstanding else {
            return;
        };
        let limit = match call {
            StoreCall::Watch { wait, .. } => wait,
            StoreCall::List => Duration::ZERO,
        };
        let outcome = match (node.store_cut, self.failure) {
            (true, _) if now.since(since) < limit + Duration::from_millis(700) => return,
            (true, _) => Err(StoreFailure::Unanswered),
            (false, Some(failure)) => Err(failure),
            (false, None) => match self.store.answer(call) {
                Some(outcome) => outcome,
                None if now.since(since) < limit => return,
                None => Ok(StoreAnswer {
                    era: self.store.era,
                    events: Vec::new(),
                    revision: self.store.revision,
                }),
            },
        };
        node.outstanding = None;
        let actions = node.member.store_answered(call, outcome, now);
        self.execute(at, actions);
    }

    fn answer_verifying_calls(&mut self, at: SocketAddrV4) {
        let now = self.now;
        let node = self.nodes.get_mut(&at).expect("a node");
        let due: Vec<_> = node
            .verifying
            .extract_if(.., |(_, due)| *due <= now)
            .collect();
        let store_cut = node.store_cut;
        for (call, _) in due {
            let outcome = match (store_cut, self.failure) {
                (true, _) => Err(StoreFailure::Unanswered),
                (false, Some(failure)) => Err(failure),
                (false, None) => self.store.answer(call).unwrap_or(Ok(StoreAnswer {
                    era: self.store.era,
                    events: Vec::new(),
                    revision: self.store.revision,
                })),
            };
            let node = self.nodes.get_mut(&at).expect("a node");
            let actions = node.member.store_verified(call, outcome, now);
            self.execute(at, actions);
        }
    }

    /// Makes a balancer request a verification now.
    pub(crate) fn request_verification(&mut self, number: u8) {
        let (at, now) = (address(number), self.now);
        let actions = self.node(number).member.request_verification(now, now);
        self.execute(at, actions);
    }

    fn execute(&mut self, at: SocketAddrV4, actions: Vec<CatalogAction>) {
        for action in actions {
            match action {
                CatalogAction::Send { to, message } => self.deliver(at, to, message),
                CatalogAction::AskByStream { to, ask } => self.answer_stream(at, to, &ask),
                CatalogAction::Call(call) => {
                    let now = self.now;
                    let node = self.nodes.get_mut(&at).expect("a node");
                    node.outstanding = Some((call, now));
                    node.calls += 1;
                    self.store.calls += 1;
                }
                CatalogAction::Verify(call) => {
                    let now = self.now;
                    let node = self.nodes.get_mut(&at).expect("a node");
                    let wait = if node.store_cut {
                        Duration::from_millis(700)
                    } else {
                        STEP
                    };
                    node.verifying.push((call, now + wait));
                    node.calls += 1;
                    self.store.calls += 1;
                }
                CatalogAction::Publish { catalog, .. } => {
                    let node = self.nodes.get_mut(&at).expect("a node");
                    assert!(
                        catalog.version >= node.catalog.version,
                        "{at}: version {} after {}",
                        catalog.version,
                        node.catalog.version
                    );
                    node.catalog = catalog;
                }
                CatalogAction::RecordStops(stops) => {
                    let node = self.nodes.get_mut(&at).expect("a node");
                    node.stops.extend(stops);
                }
                CatalogAction::Notice(notice) => {
                    self.nodes
                        .get_mut(&at)
                        .expect("a node")
                        .notices
                        .push(notice);
                }
            }
        }
    }

    fn are_connected(&self, at: SocketAddrV4, to: SocketAddrV4) -> bool {
        let is_up = |node: &Node| !node.stopped && !node.peers_cut;
        is_up(&self.nodes[&at]) && self.nodes.get(&to).is_some_and(is_up)
    }

    fn deliver(&mut self, at: SocketAddrV4, to: SocketAddrV4, message: CatalogMessage) {
        if !self.are_connected(at, to) || self.random.random_bool(self.loss) {
            return;
        }
        let large = self.large && matches!(message, CatalogMessage::Answer { .. });
        let message = if large {
            CatalogMessage::TooLarge { sender: at }
        } else {
            message
        };
        let now = self.now;
        let node = self.nodes.get_mut(&to).expect("a node");
        let actions = node.member.accept(message, now);
        self.execute(to, actions);
    }

    fn answer_stream(&mut self, at: SocketAddrV4, to: SocketAddrV4, ask: &CatalogMessage) {
        let CatalogMessage::Ask { head, .. } = ask else {
            panic!("not an ask: {ask:?}");
        };
        if !self.are_connected(at, to) {
            return;
        }
        let now = self.now;
        let answer = self.nodes[&to].member.answer_to(head, now);
        let node = self.nodes.get_mut(&at).expect("a node");
        let actions = node.member.accept(answer, now);
        self.execute(at, actions);
    }

    /// Returns the configuration versions that running nodes hold.
    pub(crate) fn versions(&self) -> Vec<u64> {
        let running = self.nodes.values().filter(|node| !node.stopped);
        running.map(|node| node.catalog.version.0).collect()
    }
}
