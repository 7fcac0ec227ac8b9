//! Searches that an agent runs on behalf of a balancer.

use lovagelatch_domain::AgentAddress;
use lovagelatch_flows::{
    AgentStep, DelegatedSearch, FlowEvent, FlowUpdate, FramePurpose, SearchGroup, SearchResult,
};
use smallvec::{SmallVec, smallvec};

use crate::agent::informed_agent;
use crate::support::{agent, at, balancer, claims, data, flow, flow_update, service};

fn delegated_search(claims_agents: &[u8], vault_agents: &[u8]) -> DelegatedSearch {
    let group = |service, numbers: &[u8]| SearchGroup {
        service,
        instances: numbers.iter().map(|&n| *agent(n).0.ip()).collect(),
    };
    DelegatedSearch {
        balancer: balancer(),
        service: claims(),
        others: vec![
            group(claims(), claims_agents),
            group(service("vault").id(), vault_agents),
        ],
    }
}

/// The agent that the searches below name in the group of `vault`.
const VAULT_AGENT: u8 = 4;

/// An update of an agent of the service that the searches name for it: it does not hold the flow.
fn absent(number: u8) -> FlowUpdate {
    let mut update = flow_update(flow(1), agent(number), FlowEvent::Absent);
    if number == VAULT_AGENT {
        update.load.service = service("vault").id();
    }
    update
}

fn search_result(silent: SmallVec<[AgentAddress; 4]>) -> Option<(AgentAddress, SearchResult)> {
    let result = SearchResult {
        flow: flow(1),
        delegate: agent(1),
        silent,
    };
    Some((balancer(), result))
}

#[test]
fn all_named_agents_receive_the_packet_and_answer_the_delegate() {
    let mut delegate = informed_agent();
    let step =
        delegate.handle_delegated_search(&delegated_search(&[2, 3], &[4]), &data(flow(1)), at(0));
    let (to, update) = step.update.expect("an update of the delegate itself");
    assert_eq!((to, update.event), (balancer(), FlowEvent::Absent));
    assert!(matches!(step.local, AgentStep::Drop(_)));
    let receivers: Vec<_> = step.remote.iter().map(|(to, _)| *to).collect();
    assert_eq!(receivers, [agent(2), agent(3), agent(4)]);
    for (_, frame) in &step.remote {
        assert_eq!(frame.purpose, FramePurpose::Search);
        assert_eq!((frame.balancer, frame.asker), (balancer(), Some(agent(1))));
    }
    assert_eq!(step.remote[2].1.service, service("vault").id());
}

#[test]
fn the_balancer_gets_one_result_when_all_agents_deny_the_flow() {
    let mut delegate = informed_agent();
    delegate.handle_delegated_search(&delegated_search(&[2, 3], &[4]), &data(flow(1)), at(0));
    assert_eq!(delegate.handle_flow_update(&absent(2)), None);
    assert_eq!(delegate.handle_flow_update(&absent(2)), None);
    assert_eq!(delegate.handle_flow_update(&absent(4)), None);
    assert_eq!(
        delegate.handle_flow_update(&absent(3)),
        search_result(smallvec![])
    );
    assert_eq!(delegate.expired_searches(at(1_000)), []);
}

#[test]
fn silent_agents_are_named_after_the_timeout() {
    let mut delegate = informed_agent();
    delegate.handle_delegated_search(&delegated_search(&[2, 3], &[4]), &data(flow(1)), at(0));
    delegate.handle_flow_update(&flow_update(flow(1), agent(3), FlowEvent::Absent));
    assert_eq!(delegate.expired_searches(at(59)), []);
    assert_eq!(delegate.next_search_deadline(), Some(at(60)));
    let ended: Vec<_> = search_result(smallvec![agent(2), agent(4)])
        .into_iter()
        .collect();
    assert_eq!(delegate.expired_searches(at(60)), ended);
    assert_eq!(delegate.next_search_deadline(), None);
}

// Guards against an open flow that is reset. The agent that holds the flow is queried by the
// delegate, delivers the packet and notifies the balancer, but that update is late. The search
// result must not count the holder among the agents that reported the flow as absent.
#[test]
fn the_holder_of_the_flow_counts_as_silent() {
    let mut delegate = informed_agent();
    delegate.handle_delegated_search(&delegated_search(&[2], &[]), &data(flow(1)), at(0));
    let held = flow_update(flow(1), agent(2), FlowEvent::Opened);
    assert_eq!(delegate.handle_flow_update(&held), None);
    let ended: Vec<_> = search_result(smallvec![agent(2)]).into_iter().collect();
    assert_eq!(delegate.expired_searches(at(60)), ended);
}

// Guards against an open flow that is reset: the search names another service than that of the
// agent, which started after its target and denies flows of other services without asking it.
#[test]
fn an_agent_that_is_asked_in_the_name_of_another_service_counts_as_silent() {
    let mut delegate = informed_agent();
    delegate.handle_delegated_search(&delegated_search(&[2], &[3]), &data(flow(1)), at(0));
    delegate.handle_flow_update(&absent(2));
    assert_eq!(delegate.handle_flow_update(&absent(3)), None);
    let ended: Vec<_> = search_result(smallvec![agent(3)]).into_iter().collect();
    assert_eq!(delegate.expired_searches(at(60)), ended);
}

#[test]
fn a_later_search_for_the_same_flow_replaces_the_first() {
    let mut delegate = informed_agent();
    delegate.handle_delegated_search(&delegated_search(&[2], &[]), &data(flow(1)), at(0));
    delegate.handle_delegated_search(&delegated_search(&[2, 3], &[]), &data(flow(1)), at(40));
    assert_eq!(delegate.expired_searches(at(60)), []);
    let ended: Vec<_> = search_result(smallvec![agent(2), agent(3)])
        .into_iter()
        .collect();
    assert_eq!(delegate.expired_searches(at(100)), ended);
}

struct RepeatCase {
    name: &'static str,
    /// Agents that answer before the search is repeated.
    absent: &'static [u8],
    balancer: AgentAddress,
    repeated_at: u64,
    /// Agents that are queried for the repetition.
    queried: &'static [u8],
}

// Guards against agents that are queried several times for one flow while their answers are on their
// way: a balancer that is late sends the same search to the same delegate again, which queried all
// agents each time.
#[test]
fn a_repeated_search_queries_no_agent_again() {
    let first = RepeatCase {
        name: "nobody has answered",
        absent: &[],
        balancer: balancer(),
        repeated_at: 40,
        queried: &[5],
    };
    let cases = [
        RepeatCase { ..first },
        RepeatCase {
            name: "one has answered",
            absent: &[2],
            ..first
        },
        RepeatCase {
            name: "the first search has ended",
            repeated_at: 60,
            queried: &[2, 3, 4, 5],
            ..first
        },
        RepeatCase {
            name: "another balancer searches",
            balancer: agent(100),
            queried: &[2, 3, 4, 5],
            ..first
        },
    ];
    for case in cases {
        let mut delegate = informed_agent();
        let search = delegated_search(&[2, 3], &[4]);
        let step = delegate.handle_delegated_search(&search, &data(flow(1)), at(0));
        assert_eq!(step.remote.len(), 3);
        for &number in case.absent {
            delegate.handle_flow_update(&absent(number));
        }
        let repeated = DelegatedSearch {
            balancer: case.balancer,
            ..delegated_search(&[2, 3, 5], &[4])
        };
        let now = at(case.repeated_at);
        let step = delegate.handle_delegated_search(&repeated, &data(flow(1)), now);
        let mut queried: Vec<_> = step.remote.iter().map(|(to, _)| *to).collect();
        queried.sort_unstable();
        let expected: Vec<_> = case.queried.iter().map(|&number| agent(number)).collect();
        assert_eq!(queried, expected, "{}", case.name);
        // Earlier answers count, and the last one ends the search.
        let missing = [2, 3, 4, 5].into_iter();
        let missing = missing.filter(|number| !case.absent.contains(number));
        let results: Vec<_> = missing
            .filter_map(|number| delegate.handle_flow_update(&absent(number)))
            .collect();
        let [(to, result)] = &results[..] else {
            panic!("{}: {results:?}", case.name);
        };
        assert_eq!((*to, result.silent.len()), (case.balancer, 0));
    }
}

// Guards against a balancer that waits 60 ms for a result that the delegate has: the repeated search
// names only agents that have answered the first one.
#[test]
fn a_repeated_search_whose_answers_are_known_ends_at_once() {
    let mut delegate = informed_agent();
    delegate.handle_delegated_search(&delegated_search(&[2, 3], &[]), &data(flow(1)), at(0));
    delegate.handle_flow_update(&flow_update(flow(1), agent(2), FlowEvent::Absent));
    let step =
        delegate.handle_delegated_search(&delegated_search(&[2], &[]), &data(flow(1)), at(40));
    assert_eq!(step.remote, []);
    assert!(delegate.next_search_deadline() <= Some(at(40)));
    let ended: Vec<_> = search_result(smallvec![]).into_iter().collect();
    assert_eq!(delegate.expired_searches(at(40)), ended);
}

// Guards against one datagram that makes an agent send hundreds, because it queries every agent
// that a frame names.
#[test]
fn a_delegated_search_asks_at_most_sixty_four_agents() {
    let mut delegate = informed_agent();
    let all: Vec<u8> = (0..=255).collect();
    let step =
        delegate.handle_delegated_search(&delegated_search(&all, &all), &data(flow(1)), at(0));
    assert_eq!(step.remote.len(), 64);
}
