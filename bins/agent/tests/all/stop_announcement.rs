//! Whom an agent process for opaque packets notifies of its stop.

use std::net::UdpSocket;
use std::time::Duration;

use lovagelatch_domain::AgentAddress;
use lovagelatch_flows::{LoadReport, PeerFrame, read_frame};

use crate::opaque_rig::{ARRIVAL_TIMEOUT, AgentRig, address_of, bind};

/// Returns the next load report that announces a stop.
fn receive_announcement(balancer: &UdpSocket) -> LoadReport {
    balancer
        .set_read_timeout(Some(ARRIVAL_TIMEOUT))
        .expect("a time-out");
    let mut bytes = [0; 2_048];
    loop {
        let length = balancer.recv(&mut bytes).expect("an announcement");
        if let Ok((PeerFrame::Load(report), _)) = read_frame(&bytes[..length])
            && report.leaving
        {
            return report;
        }
    }
}

fn hello(balancer: &UdpSocket) -> PeerFrame {
    PeerFrame::Hello {
        balancer: AgentAddress(address_of(balancer)),
    }
}

// Guards against open flows that are reset at a planned restart because the balancer that gets their
// next packets never sent a frame to the agent, and so was not notified.
#[test]
fn a_balancer_that_said_hello_is_notified_of_a_stop() {
    let rig = AgentRig::start("stop-hello");
    let other = bind();
    rig.send_frame(&hello(&other), &[]);
    // The frame is handled before the signal.
    std::thread::sleep(Duration::from_millis(50));
    rig.terminate();
    receive_announcement(&other);
}
