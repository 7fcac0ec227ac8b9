//! Searches that an agent makes for a balancer.

use lovagelatch_domain::AgentAddress;
use lovagelatch_flows::{
    AgentStep, ErrandGroup, ErrandWord, FlowAgent, FlowEvent, FramePurpose, SearchErrand,
};
use smallvec::{SmallVec, smallvec};

use crate::agent::old_agent;
use crate::support::{agent, at, balancer, claims, data, flow, note, service};

fn new_agent() -> FlowAgent {
    old_agent()
}

fn errand(claims_agents: &[u8], vault_agents: &[u8]) -> SearchErrand {
    let group = |service, numbers: &[u8]| ErrandGroup {
        service,
        instances: numbers.iter().map(|&n| *agent(n).0.ip()).collect(),
    };
    SearchErrand {
        balancer: balancer(),
        service: claims(),
        others: vec![
            group(claims(), claims_agents),
            group(service("vault").id(), vault_agents),
        ],
    }
}

fn word(silent: SmallVec<[AgentAddress; 4]>) -> Option<(AgentAddress, ErrandWord)> {
    let word = ErrandWord {
        flow: flow(1),
        delegate: agent(1),
        silent,
    };
    Some((balancer(), word))
}

#[test]
fn everybody_named_is_shown_the_packet_and_answers_the_delegate() {
    let mut decisions = new_agent();
    let step = decisions.take_errand(&errand(&[2, 3], &[4]), &data(flow(1)), at(0));
    let (to, own) = step.note.expect("its own word");
    assert_eq!((to, own.event), (balancer(), FlowEvent::Absent));
    assert!(matches!(step.own, AgentStep::Silence(_)));
    let shown: Vec<_> = step.others.iter().map(|(to, _)| *to).collect();
    assert_eq!(shown, [agent(2), agent(3), agent(4)]);
    for (_, frame) in &step.others {
        assert_eq!(frame.purpose, FramePurpose::Search);
        assert_eq!((frame.balancer, frame.asker), (balancer(), Some(agent(1))));
    }
    assert_eq!(step.others[2].1.service, service("vault").id());
}

#[test]
fn the_balancer_gets_one_word_when_all_have_said_no() {
    let mut decisions = new_agent();
    decisions.take_errand(&errand(&[2, 3], &[4]), &data(flow(1)), at(0));
    let absent = |number| note(flow(1), agent(number), FlowEvent::Absent);
    assert_eq!(decisions.take_word(&absent(2)), None);
    assert_eq!(decisions.take_word(&absent(2)), None);
    assert_eq!(decisions.take_word(&absent(4)), None);
    assert_eq!(decisions.take_word(&absent(3)), word(smallvec![]));
    assert_eq!(decisions.due_errands(at(1_000)), []);
}

#[test]
fn those_who_are_silent_are_named_in_time() {
    let mut decisions = new_agent();
    decisions.take_errand(&errand(&[2, 3], &[4]), &data(flow(1)), at(0));
    decisions.take_word(&note(flow(1), agent(3), FlowEvent::Absent));
    assert_eq!(decisions.due_errands(at(59)), []);
    assert_eq!(decisions.next_errand(), Some(at(60)));
    let ended: Vec<_> = word(smallvec![agent(2), agent(4)]).into_iter().collect();
    assert_eq!(decisions.due_errands(at(60)), ended);
    assert_eq!(decisions.next_errand(), None);
}

// Symptom: a flow that lives is reset. Sequence: the one that holds it is asked by another agent,
// hands its packet over and tells the balancer; that word is late. Cause: the errand's end counted
// the holder among those who said no.
#[test]
fn whoever_holds_the_flow_counts_as_silent() {
    let mut decisions = new_agent();
    decisions.take_errand(&errand(&[2], &[]), &data(flow(1)), at(0));
    let held = note(flow(1), agent(2), FlowEvent::Opened);
    assert_eq!(decisions.take_word(&held), None);
    let ended: Vec<_> = word(smallvec![agent(2)]).into_iter().collect();
    assert_eq!(decisions.due_errands(at(60)), ended);
}

#[test]
fn a_later_errand_for_the_same_flow_takes_the_place_of_the_first() {
    let mut decisions = new_agent();
    decisions.take_errand(&errand(&[2], &[]), &data(flow(1)), at(0));
    decisions.take_errand(&errand(&[2, 3], &[]), &data(flow(1)), at(40));
    assert_eq!(decisions.due_errands(at(60)), []);
    let ended: Vec<_> = word(smallvec![agent(2), agent(3)]).into_iter().collect();
    assert_eq!(decisions.due_errands(at(100)), ended);
}

// Symptom: one datagram makes an agent send hundreds. Cause: whatever a frame named was asked.
#[test]
fn an_errand_asks_sixty_four_agents_at_most() {
    let mut decisions = new_agent();
    let all: Vec<u8> = (0..=255).collect();
    let step = decisions.take_errand(&errand(&all, &all), &data(flow(1)), at(0));
    assert_eq!(step.others.len(), 64);
}
