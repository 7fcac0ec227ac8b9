//! Reads the control socket and dispatches its datagrams.

use std::io;
use std::net::SocketAddrV4;
use std::sync::Arc;

use lovagelatch_domain::AgentAddress;
use lovagelatch_network::PacketEnds;
use lovagelatch_routing::{ArrivalDecision, PacketView};
use lovagelatch_telemetry::{DecisionKind, info, warn};
use lovagelatch_wire::{ForwardHeader, FrameKind, open_forward, seal_forward};
use quinn::Endpoint;
use tokio::net::UdpSocket;

use crate::agent::Agent;
use crate::flow::accept_flows;
use crate::log_limiter::LogLimiter;
use crate::packet::arrival::ArrivalRouter;
use crate::packet::endpoint::PushResult;

/// Receive buffer, large enough for any UDP datagram.
const BUFFER_BYTES: usize = 65_536;

/// Datagrams read before the task yields.
const BATCH_DATAGRAMS: usize = 64;

/// Offset of the frame kind.
const KIND_OFFSET: usize = 1;

/// Refused frames logged per second. All are counted.
const MAX_LOGGED_REFUSALS_PER_SECOND: u32 = 10;

/// The reader of the control socket.
pub(crate) struct PacketIngress {
    agent: Arc<Agent>,
    socket: Arc<UdpSocket>,
    refusals: LogLimiter,
    router: ArrivalRouter,
}

impl PacketIngress {
    pub(crate) fn new(agent: Arc<Agent>, socket: Arc<UdpSocket>) -> Self {
        Self {
            agent,
            socket,
            refusals: LogLimiter::new(MAX_LOGGED_REFUSALS_PER_SECOND),
            router: ArrivalRouter::new(),
        }
    }

    /// Reads datagrams until the task is aborted.
    pub(crate) async fn run(mut self) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            if self.socket.readable().await.is_err() {
                tokio::task::yield_now().await;
                continue;
            }
            self.read_batch(&mut buffer);
            tokio::task::yield_now().await;
        }
    }

    fn read_batch(&mut self, buffer: &mut [u8]) {
        for _ in 0..BATCH_DATAGRAMS {
            match self.socket.try_recv_from(buffer) {
                Ok((length, _)) => self.handle_datagram(&buffer[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // An ICMP error for an earlier response; the socket itself still works.
                Err(_) => {}
            }
        }
    }

    fn handle_datagram(&mut self, datagram: &[u8]) {
        let kind = datagram.get(KIND_OFFSET).copied();
        if kind == Some(FrameKind::Membership as u8) {
            self.agent.fleet.accept_datagram(datagram);
            return;
        }
        let keys = self.agent.keys.load();
        match open_forward(datagram, &keys) {
            Ok((header, packet)) => self.handle_packet(&header, packet),
            Err(error) => {
                self.agent.metrics.frames_refused.add(1, &[]);
                if self.refusals.allows(self.agent.clock.now()) {
                    warn!(self.agent.log, "frame refused";
                        "decision" => DecisionKind::FlowRefused, "error" => error.to_string());
                }
            }
        }
    }

    /// Passes a caller's packet to QUIC, or to the agent that holds or will accept its flow.
    fn handle_packet(&mut self, header: &ForwardHeader, packet: &[u8]) {
        if !self.agent.drain.accepts_packets() {
            self.agent.metrics.packets.count("dropped");
            return;
        }
        let keys = self.agent.keys.load();
        let view = match PacketView::read(packet, header.service_address, &keys) {
            Ok(view) => view,
            Err(error) => {
                self.agent.metrics.packets.count("dropped");
                return self.log_refusal(header, &error.to_string());
            }
        };
        let is_opening = view.token.is_none();
        match self.router.decide(&self.agent, header, view) {
            // QUIC itself sends a stateless reset for an unknown flow.
            ArrivalDecision::Accept => self.push(header, packet),
            ArrivalDecision::Reset => {
                self.agent.metrics.packets.count("reset");
                self.push(header, packet);
            }
            ArrivalDecision::Forward { agent } => {
                if is_opening {
                    self.agent.metrics.flows.count("handed_on");
                    info!(self.agent.log, "flow handed on";
                        "decision" => DecisionKind::FlowHandedOn, "peer" => agent.to_string());
                }
                self.forward_to_peer(header, packet, agent);
            }
            ArrivalDecision::Refuse { reason } => {
                self.agent.metrics.packets.count("wrong_service");
                self.log_refusal(header, &reason.to_string());
            }
        }
    }

    fn push(&mut self, header: &ForwardHeader, packet: &[u8]) {
        let address = header.service_address;
        match self.agent.endpoints.push(address, header.caller, packet) {
            Ok(PushResult::Queued) => {}
            Ok(PushResult::NewEndpoint(endpoint)) => self.serve_endpoint(address, endpoint),
            Ok(PushResult::QueueFull) => self.agent.metrics.packets.count("dropped"),
            Err(error) => {
                self.agent.metrics.packets.count("dropped");
                self.log_refusal(header, &error.to_string());
            }
        }
    }

    /// Logs a refused packet, rate-limited. A packet of another service must never reach this
    /// backend server, and operators need to see which balancer's view caused it.
    fn log_refusal(&mut self, header: &ForwardHeader, reason: &str) {
        if self.refusals.allows(self.agent.clock.now()) {
            warn!(self.agent.log, "packet refused";
                "decision" => DecisionKind::FlowRefused, "reason" => reason,
                "service" => header.service.0, "own_service" => self.agent.service.0,
                "address" => header.service_address.to_string(), "revision" => header.revision.0);
        }
    }

    fn forward_to_peer(&self, header: &ForwardHeader, packet: &[u8], holder: AgentAddress) {
        self.agent.metrics.packets.count("passed_on");
        let header = ForwardHeader {
            hops: header.hops + 1,
            ..*header
        };
        let mut frame = Vec::with_capacity(packet.len() + 96);
        seal_forward(&header, packet, &self.agent.keys.load(), &mut frame);
        let ends = PacketEnds {
            source: self.agent.address().0,
            destination: holder.0,
        };
        // QUIC retransmits a lost datagram.
        let _ = self.agent.datagrams.send(&self.socket, &ends, &frame);
    }

    fn serve_endpoint(&self, address: SocketAddrV4, endpoint: Endpoint) {
        info!(self.agent.log, "service address opened"; "address" => address.to_string());
        tokio::spawn(accept_flows(Arc::clone(&self.agent), address, endpoint));
    }
}
