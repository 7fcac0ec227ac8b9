//! Without a gateway: the agent responds from a socket that is bound to the service address.

use std::fmt;
use std::io::{self, IoSliceMut};
use std::net::{SocketAddr, SocketAddrV4};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use lovagelatch_domain::ConfigRevision;
use lovagelatch_keys::FleetKeys;
use lovagelatch_wire::{ForwardHeader, seal_forward};
use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, Endpoint, EndpointConfig, Runtime, TokioRuntime, UdpPoller};

use crate::rig::{RigOptions, TestCaller, TestRig, local, service_name, to_v4};

/// A caller's socket whose datagrams go through a balancer; responses arrive directly.
struct ForwardedSocket {
    inner: Arc<dyn AsyncUdpSocket>,
    frames: std::net::UdpSocket,
    agent: SocketAddrV4,
    keys: FleetKeys,
}

impl fmt::Debug for ForwardedSocket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ForwardedSocket").finish()
    }
}

impl AsyncUdpSocket for ForwardedSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Arc::clone(&self.inner).create_io_poller()
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let header = ForwardHeader {
            caller: to_v4(self.inner.local_addr()?),
            service_address: to_v4(transmit.destination),
            service: service_name().id(),
            revision: ConfigRevision(1),
            hops: 0,
        };
        let mut frame = Vec::new();
        seal_forward(&header, transmit.contents, &self.keys, &mut frame);
        self.frames.send_to(&frame, self.agent).map(drop)
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        buffers: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        self.inner.poll_recv(context, buffers, meta)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }
}

fn forwarded_endpoint(rig: &TestRig) -> Endpoint {
    let bind = || std::net::UdpSocket::bind(local(0)).expect("a socket");
    let inner = TokioRuntime.wrap_udp_socket(bind()).expect("a socket");
    let socket = ForwardedSocket {
        inner,
        frames: bind(),
        agent: rig.pairs[0].address.0,
        keys: rig.keys(),
    };
    let config = EndpointConfig::default();
    let runtime = Arc::new(TokioRuntime);
    Endpoint::new_with_abstract_socket(config, None, Arc::new(socket), runtime)
        .expect("an endpoint")
}

// Guards against callers that receive no response, or drop it: without a gateway to set the source
// address, the agent responds from its own address.
#[tokio::test]
async fn responses_come_from_the_service_address() {
    let options = RigOptions {
        direct: true,
        ..RigOptions::default()
    };
    let rig = TestRig::with_agents(1, options).await;
    let endpoint = forwarded_endpoint(&rig);
    let caller = TestCaller::connect_over(endpoint, rig.direct_address(), rig.certificate()).await;
    let reply = caller.get("/big").await;
    assert_eq!(reply.outcome(), "done");
    assert_eq!(reply.body.map(|body| body.len()), Some(200_000));
    assert_eq!(rig.gateway.responses(), 0);
}
