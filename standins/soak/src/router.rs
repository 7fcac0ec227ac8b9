//! Routers, which choose the balancer for each flow's packets.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Duration;

use lovagelatch_adapter::READY_PATH;
use lovagelatch_flows::FlowKey;

use crate::addresses::{PACKETS_PORT, READY_PORT};

/// Interval between two polls of a balancer.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of consecutive failed polls after which a balancer is taken out of rotation.
const MAX_FAILED_POLLS: u32 = 2;

/// Polls balancers and hashes flows over those that are ready.
#[derive(Clone, Debug)]
pub(crate) struct Router {
    ready: Arc<RwLock<Vec<Ipv4Addr>>>,
    /// Whether flows are hashed by modulo, so that a change of the rotation moves nearly all of
    /// them. Otherwise rendezvous hashing is used.
    modulo: bool,
}

impl Router {
    /// Creates a router for these balancers and polls them in the background until `shutdown` is
    /// set.
    pub(crate) fn spawn(balancers: Vec<Ipv4Addr>, modulo: bool, shutdown: Arc<AtomicBool>) -> Self {
        let router = Self {
            ready: Arc::default(),
            modulo,
        };
        for balancer in balancers {
            let router = router.clone();
            let shutdown = Arc::clone(&shutdown);
            std::thread::spawn(move || {
                let mut failed = MAX_FAILED_POLLS;
                while !shutdown.load(Ordering::Relaxed) {
                    failed = if is_ready(balancer) { 0 } else { failed + 1 };
                    router.set_ready(balancer, failed < MAX_FAILED_POLLS);
                    std::thread::sleep(POLL_INTERVAL);
                }
            });
        }
        router
    }

    fn set_ready(&self, balancer: Ipv4Addr, ready: bool) {
        let mut list = self.ready.write().expect("rotation");
        match (list.binary_search(&balancer), ready) {
            (Err(at), true) => list.insert(at, balancer),
            (Ok(at), false) => {
                list.remove(at);
            }
            (Ok(_), true) | (Err(_), false) => {}
        }
    }

    /// Returns the number of balancers in rotation.
    pub(crate) fn ready_count(&self) -> usize {
        self.ready.read().expect("rotation").len()
    }

    /// Chooses the balancer for the next packet of a flow. Returns `None` if none is ready.
    pub(crate) fn choose(&self, flow: &FlowKey) -> Option<SocketAddrV4> {
        let list = self.ready.read().expect("rotation");
        let point = flow.point();
        let chosen = if self.modulo {
            let count = u64::try_from(list.len()).ok().filter(|count| *count > 0)?;
            list.get(usize::try_from(point % count).unwrap_or(0))
        } else {
            list.iter().max_by_key(|ip| {
                let mixed = point ^ u64::from(u32::from(**ip)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                mixed.wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 16
            })
        };
        chosen.map(|ip| SocketAddrV4::new(*ip, PACKETS_PORT))
    }
}

fn is_ready(balancer: Ipv4Addr) -> bool {
    let address = SocketAddr::from((balancer, READY_PORT));
    let Ok(mut stream) = TcpStream::connect_timeout(&address, POLL_TIMEOUT) else {
        return false;
    };
    let request = format!("GET {READY_PATH} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut response = [0; 12];
    let exchange = stream
        .set_read_timeout(Some(POLL_TIMEOUT))
        .and_then(|()| stream.write_all(request.as_bytes()))
        .and_then(|()| stream.read_exact(&mut response));
    exchange.is_ok() && response.ends_with(b"200")
}
