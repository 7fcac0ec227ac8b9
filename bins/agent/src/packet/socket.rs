//! A QUIC socket without a socket of its own: fed with forwarded datagrams, answering callers
//! from a service address.

use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::io::{self, IoSliceMut};
use std::net::{SocketAddr, SocketAddrV4};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use lovagelatch_network::{DatagramPath, PacketEnds};
use parking_lot::Mutex;
use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, UdpPoller};
use tokio::net::UdpSocket;

/// Datagrams that may wait for QUIC before more are dropped. QUIC repairs the loss; without the
/// bound a stalled process would grow until it is killed with all its flows.
const QUEUE_DATAGRAMS: usize = 4096;

/// One caller datagram that waits to be processed.
struct QueuedDatagram {
    caller: SocketAddrV4,
    bytes: Vec<u8>,
}

#[derive(Default)]
struct ReceiveQueue {
    datagrams: VecDeque<QueuedDatagram>,
    reader: Option<Waker>,
}

/// The socket of one service address.
pub(crate) struct ServiceSocket {
    address: SocketAddrV4,
    path: DatagramPath,
    /// Sends only; what arrives for callers' flows comes through the queue.
    outlet: Arc<UdpSocket>,
    queue: Mutex<ReceiveQueue>,
}

impl ServiceSocket {
    pub(crate) fn new(address: SocketAddrV4, path: DatagramPath, outlet: Arc<UdpSocket>) -> Self {
        Self {
            address,
            path,
            outlet,
            queue: Mutex::default(),
        }
    }

    /// Hands in a caller's datagram; `false` when the queue is full and it was dropped.
    pub(crate) fn push(&self, caller: SocketAddrV4, datagram: &[u8]) -> bool {
        let bytes = datagram.to_vec();
        let mut queue = self.queue.lock();
        if queue.datagrams.len() >= QUEUE_DATAGRAMS {
            return false;
        }
        queue.datagrams.push_back(QueuedDatagram { caller, bytes });
        let reader = queue.reader.take();
        drop(queue);
        if let Some(reader) = reader {
            reader.wake();
        }
        true
    }
}

impl fmt::Debug for ServiceSocket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ServiceSocket")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl AsyncUdpSocket for ServiceSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        let outlet = Arc::clone(&self.outlet);
        let make = move || wait_writable(Arc::clone(&outlet));
        Box::pin(WritablePoller {
            make,
            waiting: Mutex::new(None),
        })
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let SocketAddr::V4(caller) = transmit.destination else {
            return Ok(());
        };
        let ends = PacketEnds {
            source: self.address,
            destination: caller,
        };
        let mut datagram = Vec::with_capacity(transmit.contents.len() + 32);
        self.path.start_datagram(&ends, &mut datagram);
        datagram.extend_from_slice(transmit.contents);
        match self
            .outlet
            .try_send_to(&datagram, self.path.next_hop(caller))
        {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(error),
            // Any other error is one datagram lost: the system reports here what an earlier
            // datagram to some other caller met. Passed on, it would close this connection.
            _ => Ok(()),
        }
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        buffers: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut queue = self.queue.lock();
        let mut count = 0;
        while count < buffers.len().min(meta.len()) {
            let Some(datagram) = queue.datagrams.pop_front() else {
                break;
            };
            let length = datagram.bytes.len();
            if length > buffers[count].len() {
                continue;
            }
            buffers[count][..length].copy_from_slice(&datagram.bytes);
            meta[count] = RecvMeta {
                addr: SocketAddr::V4(datagram.caller),
                len: length,
                stride: length,
                ecn: None,
                dst_ip: None,
            };
            count += 1;
        }
        if count > 0 {
            return Poll::Ready(Ok(count));
        }
        queue.reader = Some(context.waker().clone());
        Poll::Pending
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(SocketAddr::V4(self.address))
    }
}

async fn wait_writable(outlet: Arc<UdpSocket>) -> io::Result<()> {
    outlet.writable().await
}

/// Waits until the outlet takes datagrams again. Each connection has its own, since a socket
/// remembers only the last task that polled it directly.
struct WritablePoller<M, F> {
    make: M,
    /// Boxed so that the poller itself need not be pinned in place.
    waiting: Mutex<Option<Pin<Box<F>>>>,
}

impl<M, F> fmt::Debug for WritablePoller<M, F> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("WritablePoller").finish()
    }
}

impl<M, F> UdpPoller for WritablePoller<M, F>
where
    M: Fn() -> F + Send + Sync + Unpin + 'static,
    F: Future<Output = io::Result<()>> + Send + 'static,
{
    fn poll_writable(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poller = self.get_mut();
        let waiting = poller.waiting.get_mut();
        let future = waiting.get_or_insert_with(|| Box::pin((poller.make)()));
        let result = future.as_mut().poll(context);
        if result.is_ready() {
            *waiting = None;
        }
        result
    }
}
