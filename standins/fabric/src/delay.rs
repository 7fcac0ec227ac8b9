//! Delays datagrams on their way.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};

use crate::counters::CounterSet;

/// Limit of datagrams in flight. Further ones are dropped, as by a congested network.
const MAX_IN_FLIGHT: usize = 200_000;

struct DelayedDatagram {
    due: Instant,
    /// Sequence number, which keeps datagrams with the same due time in order.
    order: u64,
    socket: Arc<UdpSocket>,
    destination: SocketAddrV4,
    bytes: Vec<u8>,
}

impl PartialEq for DelayedDatagram {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.order) == (other.due, other.order)
    }
}

impl Eq for DelayedDatagram {}

impl PartialOrd for DelayedDatagram {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for DelayedDatagram {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.order).cmp(&(other.due, other.order))
    }
}

#[derive(Default)]
struct DelayHeap {
    waiting: BinaryHeap<Reverse<DelayedDatagram>>,
    next_order: u64,
}

/// Sends each datagram after its delay, on the thread that calls [`DelayQueue::run`].
#[derive(Default)]
pub(crate) struct DelayQueue {
    heap: Mutex<DelayHeap>,
    changed: Condvar,
}

impl DelayQueue {
    /// Queues a datagram. Returns `false` if too many are in flight.
    pub(crate) fn push(
        &self,
        delay: Duration,
        socket: &Arc<UdpSocket>,
        destination: SocketAddrV4,
        bytes: Vec<u8>,
    ) -> bool {
        let mut heap = self.heap.lock();
        if heap.waiting.len() >= MAX_IN_FLIGHT {
            return false;
        }
        let order = heap.next_order;
        heap.next_order += 1;
        let datagram = DelayedDatagram {
            due: Instant::now() + delay,
            order,
            socket: Arc::clone(socket),
            destination,
            bytes,
        };
        let is_first = heap
            .waiting
            .peek()
            .is_none_or(|Reverse(first)| datagram.due < first.due);
        heap.waiting.push(Reverse(datagram));
        drop(heap);
        if is_first {
            self.changed.notify_one();
        }
        true
    }

    /// Sends datagrams when they are due. Never returns.
    pub(crate) fn run(&self, counters: &CounterSet) {
        loop {
            let datagram = self.wait_for_due();
            let sent = datagram
                .socket
                .send_to(&datagram.bytes, datagram.destination);
            if sent.is_err() {
                counters.not_sent.increment();
            }
        }
    }

    fn wait_for_due(&self) -> DelayedDatagram {
        let mut heap = self.heap.lock();
        loop {
            let due = heap.waiting.peek().map(|Reverse(first)| first.due);
            match due {
                None => self.changed.wait(&mut heap),
                Some(due) if due <= Instant::now() => {
                    if let Some(Reverse(datagram)) = heap.waiting.pop() {
                        return datagram;
                    }
                }
                Some(due) => {
                    self.changed.wait_until(&mut heap, due);
                }
            }
        }
    }
}
