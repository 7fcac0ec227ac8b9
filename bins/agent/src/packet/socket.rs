//! A virtual QUIC socket: it receives forwarded datagrams from a queue and sends to callers from
//! a service address.

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

/// Datagrams queued for QUIC before more are dropped. QUIC recovers from the loss; without the
/// limit, the queue of a stalled process would grow until it is killed with all its flows.
const MAX_QUEUED_DATAGRAMS: usize = 4096;

/// A caller's datagram in the queue.
struct QueuedDatagram {
    caller: SocketAddrV4,
    bytes: Vec<u8>,
}

#[derive(Default)]
struct ReceiveQueue {
    datagrams: VecDeque<QueuedDatagram>,
    waker: Option<Waker>,
}

/// The socket of one service address.
pub(crate) struct ServiceSocket {
    address: SocketAddrV4,
    path: DatagramPath,
    /// Only sends; callers' datagrams arrive through the queue.
    send_socket: Arc<UdpSocket>,
    queue: Mutex<ReceiveQueue>,
}

impl ServiceSocket {
    pub(crate) fn new(
        address: SocketAddrV4,
        path: DatagramPath,
        send_socket: Arc<UdpSocket>,
    ) -> Self {
        Self {
            address,
            path,
            send_socket,
            queue: Mutex::default(),
        }
    }

    /// Queues a caller's datagram; returns `false` if the queue is full and it was dropped.
    pub(crate) fn push(&self, caller: SocketAddrV4, datagram: &[u8]) -> bool {
        let bytes = datagram.to_vec();
        let mut queue = self.queue.lock();
        if queue.datagrams.len() >= MAX_QUEUED_DATAGRAMS {
            return false;
        }
        queue.datagrams.push_back(QueuedDatagram { caller, bytes });
        let waker = queue.waker.take();
        drop(queue);
        if let Some(waker) = waker {
            waker.wake();
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
        let send_socket = Arc::clone(&self.send_socket);
        let make_future = move || wait_writable(Arc::clone(&send_socket));
        Box::pin(WritablePoller {
            make_future,
            pending: Mutex::new(None),
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
            .send_socket
            .try_send_to(&datagram, self.path.next_hop(caller))
        {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(error),
            // Any other error means one lost datagram: the system may report the failure of an
            // earlier datagram to another caller. Returned, it would close this connection.
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
        queue.waker = Some(context.waker().clone());
        Poll::Pending
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(SocketAddr::V4(self.address))
    }
}

async fn wait_writable(socket: Arc<UdpSocket>) -> io::Result<()> {
    socket.writable().await
}

/// Waits until the send socket is writable. Each connection has its own poller, because a socket
/// keeps only the waker of the last task that polled it directly.
struct WritablePoller<M, F> {
    make_future: M,
    /// Boxed so that the poller itself is `Unpin`.
    pending: Mutex<Option<Pin<Box<F>>>>,
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
        let pending = poller.pending.get_mut();
        let future = pending.get_or_insert_with(|| Box::pin((poller.make_future)()));
        let result = future.as_mut().poll(context);
        if result.is_ready() {
            *pending = None;
        }
        result
    }
}
