//! Batched sending and receiving of datagrams on a socket that several threads share.
//!
//! Each thread owns one batch for receiving and one for sending. Their buffers are allocated
//! once, so a packet costs neither an allocation nor a system call of its own.

use std::io;
use std::mem;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::os::fd::AsRawFd;
use std::ptr;

use crate::address::{empty_sockaddr, from_sockaddr, sockaddr_length, to_sockaddr};
use crate::option::enable_option;

/// Maximum number of datagrams per system call.
pub const BATCH_DATAGRAMS: usize = 32;

/// Size of one datagram buffer. It exceeds the longest datagram that is forwarded, so that
/// oversized ones are detected.
pub const BUFFER_BYTES: usize = 2_048;

/// Size of the buffer for one `IP_PKTINFO` control message.
const CONTROL_BYTES: usize = 64;

/// Pending ICMP errors that a send skips before its datagram counts as refused.
const MAX_PENDING_ERRORS: usize = 4;

/// Aligned like the header of a control message, as the kernel requires.
#[derive(Clone, Copy)]
#[repr(C, align(8))]
struct ControlBuffer([u8; CONTROL_BYTES]);

/// A received datagram, borrowed from its [`ReceiveBatch`].
#[derive(Clone, Copy, Debug)]
pub struct ReceivedDatagram<'a> {
    /// The payload, without what was truncated.
    pub bytes: &'a [u8],
    /// The sender's address.
    pub source: SocketAddrV4,
    /// The local address it was sent to, if [`enable_destination_info`] was called on the socket.
    pub destination: Option<Ipv4Addr>,
    /// Whether the datagram was longer than the buffer and lost its end.
    pub truncated: bool,
}

impl ReceivedDatagram<'_> {
    /// Copies the bytes out of the receive buffers, so that sending does not borrow them.
    /// Returns the number of bytes copied.
    pub fn copy_to(&self, out: &mut [u8; BUFFER_BYTES]) -> usize {
        let length = self.bytes.len().min(out.len());
        out[..length].copy_from_slice(&self.bytes[..length]);
        length
    }
}

/// Makes the kernel report which local address each datagram was sent to (`IP_PKTINFO`).
///
/// # Errors
///
/// The operating system's error.
pub fn enable_destination_info(socket: &UdpSocket) -> io::Result<()> {
    enable_option(socket, libc::IP_PKTINFO)
}

/// Receives up to [`BATCH_DATAGRAMS`] datagrams at a time.
pub struct ReceiveBatch {
    buffers: Box<[[u8; BUFFER_BYTES]]>,
    controls: Box<[ControlBuffer]>,
    sources: Box<[libc::sockaddr_in]>,
    vectors: Vec<libc::iovec>,
    /// Describes the datagrams of the last call. Invariant: its pointers point into the boxes
    /// above, whose heap memory never moves.
    headers: Vec<libc::mmsghdr>,
}

impl Default for ReceiveBatch {
    fn default() -> Self {
        Self::new()
    }
}

impl ReceiveBatch {
    /// Creates an empty batch and allocates its buffers.
    #[must_use]
    pub fn new() -> Self {
        Self {
            buffers: vec![[0; BUFFER_BYTES]; BATCH_DATAGRAMS].into_boxed_slice(),
            controls: vec![ControlBuffer([0; CONTROL_BYTES]); BATCH_DATAGRAMS].into_boxed_slice(),
            sources: vec![empty_sockaddr(); BATCH_DATAGRAMS].into_boxed_slice(),
            vectors: Vec::with_capacity(BATCH_DATAGRAMS),
            headers: Vec::with_capacity(BATCH_DATAGRAMS),
        }
    }

    /// Waits for at least one datagram or the socket's read timeout, then receives all that have
    /// arrived, up to the batch size. Returns their number.
    ///
    /// # Errors
    ///
    /// The operating system's error; `WouldBlock` after the timeout.
    pub fn receive(&mut self, socket: &UdpSocket) -> io::Result<usize> {
        self.prepare();
        // SAFETY: every header points to buffers that this batch owns, with their lengths.
        let count = unsafe {
            libc::recvmmsg(
                socket.as_raw_fd(),
                self.headers.as_mut_ptr(),
                BATCH_DATAGRAMS as libc::c_uint,
                libc::MSG_WAITFORONE,
                ptr::null_mut(),
            )
        };
        usize::try_from(count).map_err(|_| io::Error::last_os_error())
    }

    /// Like [`receive`](Self::receive), but returns 0 for a transient error: no datagram yet, a
    /// signal, or an ICMP error caused by an earlier datagram.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn receive_available(&mut self, socket: &UdpSocket) -> io::Result<usize> {
        match self.receive(socket) {
            Err(error) if is_transient(&error) => Ok(0),
            outcome => outcome,
        }
    }

    /// Returns a datagram of the last `receive`.
    ///
    /// `index` must be less than the number that `receive` returned.
    #[must_use]
    pub fn datagram(&self, index: usize) -> ReceivedDatagram<'_> {
        let header = &self.headers[index];
        let length = (header.msg_len as usize).min(BUFFER_BYTES);
        ReceivedDatagram {
            bytes: &self.buffers[index][..length],
            source: from_sockaddr(&self.sources[index]),
            destination: destination_address(&header.msg_hdr),
            truncated: header.msg_hdr.msg_flags & libc::MSG_TRUNC != 0,
        }
    }

    /// Resets the headers to the full buffers, because the kernel shortens lengths in place.
    fn prepare(&mut self) {
        self.vectors.clear();
        self.headers.clear();
        for buffer in &mut self.buffers {
            self.vectors.push(libc::iovec {
                iov_base: buffer.as_mut_ptr().cast(),
                iov_len: BUFFER_BYTES,
            });
        }
        for index in 0..BATCH_DATAGRAMS {
            let mut header = empty_header();
            header.msg_hdr.msg_name = ptr::from_mut(&mut self.sources[index]).cast();
            header.msg_hdr.msg_namelen = sockaddr_length();
            header.msg_hdr.msg_iov = &raw mut self.vectors[index];
            header.msg_hdr.msg_iovlen = 1;
            header.msg_hdr.msg_control = self.controls[index].0.as_mut_ptr().cast();
            header.msg_hdr.msg_controllen = CONTROL_BYTES;
            self.headers.push(header);
        }
    }
}

/// Collects datagrams and sends them in one system call.
pub struct SendBatch {
    buffers: Vec<Vec<u8>>,
    destinations: Vec<libc::sockaddr_in>,
    vectors: Vec<libc::iovec>,
    headers: Vec<libc::mmsghdr>,
    /// Whether a send reported an ICMP error since the last `take_icmp_error`.
    icmp_error: bool,
}

impl Default for SendBatch {
    fn default() -> Self {
        Self::new()
    }
}

impl SendBatch {
    /// Creates an empty batch with room for [`BATCH_DATAGRAMS`].
    #[must_use]
    pub fn new() -> Self {
        Self {
            buffers: (0..BATCH_DATAGRAMS)
                .map(|_| Vec::with_capacity(BUFFER_BYTES))
                .collect(),
            destinations: Vec::with_capacity(BATCH_DATAGRAMS),
            vectors: Vec::with_capacity(BATCH_DATAGRAMS),
            headers: Vec::with_capacity(BATCH_DATAGRAMS),
            icmp_error: false,
        }
    }

    /// Returns whether the socket reported an ICMP error (port unreachable) for an earlier
    /// datagram since the last call.
    pub fn take_icmp_error(&mut self) -> bool {
        mem::take(&mut self.icmp_error)
    }

    /// Returns the number of queued datagrams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.destinations.len()
    }

    /// Returns whether no datagram is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.destinations.is_empty()
    }

    /// Queues a datagram that `write` fills in. The buffer still holds the bytes of an earlier
    /// datagram. Returns `false` and queues nothing if the batch is full.
    pub fn push(&mut self, destination: SocketAddrV4, write: impl FnOnce(&mut Vec<u8>)) -> bool {
        let index = self.len();
        let Some(buffer) = self.buffers.get_mut(index) else {
            return false;
        };
        write(buffer);
        self.destinations.push(to_sockaddr(destination));
        true
    }

    /// Sends all datagrams and empties the batch. Returns how many the system refused.
    pub fn send(&mut self, socket: &UdpSocket) -> usize {
        self.prepare();
        let mut refused = 0;
        let mut sent = 0;
        while sent < self.headers.len() {
            match send_partial(socket, &mut self.headers[sent..], &mut self.icmp_error) {
                Some(count) => sent += count,
                // The first datagram failed; the rest may have other destinations.
                None => {
                    refused += 1;
                    sent += 1;
                }
            }
        }
        self.destinations.clear();
        refused
    }

    fn prepare(&mut self) {
        self.vectors.clear();
        self.headers.clear();
        let count = self.len();
        for buffer in &mut self.buffers[..count] {
            self.vectors.push(libc::iovec {
                iov_base: buffer.as_mut_ptr().cast(),
                iov_len: buffer.len(),
            });
        }
        for index in 0..count {
            let mut header = empty_header();
            header.msg_hdr.msg_name = ptr::from_mut(&mut self.destinations[index]).cast();
            header.msg_hdr.msg_namelen = sockaddr_length();
            header.msg_hdr.msg_iov = &raw mut self.vectors[index];
            header.msg_hdr.msg_iovlen = 1;
            self.headers.push(header);
        }
    }
}

/// Sends some of the datagrams, at least one. Returns `None` if the first is refused.
///
/// A socket with an ICMP error queue reports a pending error by failing the next send, whatever
/// its destination. The retry keeps that unrelated datagram from being lost.
fn send_partial(
    socket: &UdpSocket,
    headers: &mut [libc::mmsghdr],
    icmp_error: &mut bool,
) -> Option<usize> {
    for _ in 0..=MAX_PENDING_ERRORS {
        match send_once(socket, headers) {
            Ok(count) => return Some(count),
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => *icmp_error = true,
            Err(_) => return None,
        }
    }
    None
}

fn send_once(socket: &UdpSocket, headers: &mut [libc::mmsghdr]) -> io::Result<usize> {
    let length = libc::c_uint::try_from(headers.len()).unwrap_or(libc::c_uint::MAX);
    // SAFETY: every header points to a buffer and an address that outlive the call.
    let count = unsafe { libc::sendmmsg(socket.as_raw_fd(), headers.as_mut_ptr(), length, 0) };
    match usize::try_from(count) {
        Ok(count) if count > 0 => Ok(count),
        _ => Err(io::Error::last_os_error()),
    }
}

fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock
            | io::ErrorKind::TimedOut
            | io::ErrorKind::Interrupted
            | io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
    )
}

fn destination_address(header: &libc::msghdr) -> Option<Ipv4Addr> {
    // SAFETY: the kernel filled in the control buffer and its length; the macros stay inside it.
    unsafe {
        let mut message = libc::CMSG_FIRSTHDR(header);
        while !message.is_null() {
            let found = &*message;
            if found.cmsg_level == libc::IPPROTO_IP && found.cmsg_type == libc::IP_PKTINFO {
                let data = libc::CMSG_DATA(message).cast::<libc::in_pktinfo>();
                let address = ptr::read_unaligned(data).ipi_addr;
                return Some(Ipv4Addr::from(address.s_addr.to_ne_bytes()));
            }
            message = libc::CMSG_NXTHDR(header, message);
        }
    }
    None
}

fn empty_header() -> libc::mmsghdr {
    // SAFETY: all fields are integers or pointers, for which zero is valid.
    unsafe { mem::zeroed() }
}
