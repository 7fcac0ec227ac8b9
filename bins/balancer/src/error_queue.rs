//! Datagrams returned by ICMP because the destination port is closed.
//!
//! When a process has ended but its host is up, the host answers each datagram to it with an ICMP
//! "port unreachable" message that quotes the datagram. On a socket with `IP_RECVERR`, the kernel
//! puts these messages into the socket's error queue if the quoted header matches a datagram that
//! the socket sent. Without a gateway, this is the fastest way to detect that an agent has ended.
//!
//! ```text
//! balancer --frame--> host, no such port
//!     ^--------ICMP: unreachable, "frame"--/
//! ```
//!
//! At most 520 bytes of a datagram are quoted (RFC 1812, section 4.3.2.3), so longer ones are
//! truncated. A forward frame that is quoted in full can be verified: its tag needs the fleet key.

use std::io;
use std::mem;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::os::fd::AsRawFd;
use std::ptr;

use lovagelatch_network::{empty_sockaddr, enable_option, from_sockaddr, sockaddr_length};

/// Buffer size for the quoted datagram: more than any host quotes.
const QUOTE_BUFFER_BYTES: usize = 2_048;

/// Buffer size for the kernel's extended error and the address of the host that reported it.
const CONTROL_BUFFER_BYTES: usize = 128;

/// Destination unreachable, port unreachable (RFC 792).
const UNREACHABLE_TYPE: u8 = 3;
const PORT_UNREACHABLE_CODE: u8 = 3;

/// Enables the error queue of a socket (`IP_RECVERR`): the kernel then queues ICMP errors for
/// datagrams that the socket sent.
///
/// # Errors
///
/// Returns the operating system's error if the option cannot be set.
pub fn enable_error_queue(socket: &UdpSocket) -> io::Result<()> {
    enable_option(socket, libc::IP_RECVERR)
}

/// A datagram that was returned as undeliverable.
#[derive(Clone, Copy, Debug)]
pub struct ReturnedDatagram<'a> {
    /// Address that the datagram was sent to.
    pub destination: SocketAddrV4,
    /// Quoted part of the datagram: a prefix or all of it.
    pub bytes: &'a [u8],
}

#[repr(C, align(8))]
struct ControlBuffer([u8; CONTROL_BUFFER_BYTES]);

/// Reads the error queue of a socket.
pub struct ErrorQueueReader {
    quote: Box<[u8]>,
    control: Box<ControlBuffer>,
}

impl Default for ErrorQueueReader {
    fn default() -> Self {
        Self::new()
    }
}

impl ErrorQueueReader {
    /// Creates a reader and allocates its buffers.
    #[must_use]
    pub fn new() -> Self {
        Self {
            quote: vec![0; QUOTE_BUFFER_BYTES].into_boxed_slice(),
            control: Box::new(ControlBuffer([0; CONTROL_BUFFER_BYTES])),
        }
    }

    /// Takes one error from the queue without blocking. Returns `Ok(None)` for errors other than
    /// "port unreachable" reported by the destination itself.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error; `WouldBlock` if the queue is empty.
    pub fn read(&mut self, socket: &UdpSocket) -> io::Result<Option<ReturnedDatagram<'_>>> {
        let mut address = empty_sockaddr();
        let mut vector = libc::iovec {
            iov_base: self.quote.as_mut_ptr().cast(),
            iov_len: QUOTE_BUFFER_BYTES,
        };
        // SAFETY: all fields are integers or pointers, for which zero is valid.
        let mut header: libc::msghdr = unsafe { mem::zeroed() };
        header.msg_name = ptr::from_mut(&mut address).cast();
        header.msg_namelen = sockaddr_length();
        header.msg_iov = &raw mut vector;
        header.msg_iovlen = 1;
        header.msg_control = self.control.0.as_mut_ptr().cast();
        header.msg_controllen = CONTROL_BUFFER_BYTES;
        let flags = libc::MSG_ERRQUEUE | libc::MSG_DONTWAIT;
        // SAFETY: the header points to buffers, with their lengths, that outlive the call.
        let length = unsafe { libc::recvmsg(socket.as_raw_fd(), &raw mut header, flags) };
        let length = usize::try_from(length).map_err(|_| io::Error::last_os_error())?;
        let destination = from_sockaddr(&address);
        let reporter = unreachable_reporter(&header);
        let from_destination = reporter == Some(*destination.ip());
        Ok(from_destination.then(|| ReturnedDatagram {
            destination,
            bytes: &self.quote[..length.min(QUOTE_BUFFER_BYTES)],
        }))
    }
}

/// Returns the host that reported the port as unreachable.
fn unreachable_reporter(header: &libc::msghdr) -> Option<Ipv4Addr> {
    // SAFETY: the kernel filled in the control buffer and its length. The macros stay inside the
    // buffer, and the length of each message is checked before it is read.
    unsafe {
        let mut message = libc::CMSG_FIRSTHDR(header);
        while !message.is_null() {
            let message_header = &*message;
            if message_header.cmsg_level == libc::IPPROTO_IP
                && message_header.cmsg_type == libc::IP_RECVERR
            {
                let data = libc::CMSG_DATA(message);
                return read_extended_error(data, message_header.cmsg_len);
            }
            message = libc::CMSG_NXTHDR(header, message);
        }
    }
    None
}

/// Parses an `IP_RECVERR` message; returns the reporting host if the port was unreachable.
///
/// # Safety
///
/// `data` must point to the data of a control message that is `message_length` bytes long,
/// including its header.
unsafe fn read_extended_error(data: *const u8, message_length: usize) -> Option<Ipv4Addr> {
    const ERROR_BYTES: usize = mem::size_of::<libc::sock_extended_err>();
    const ADDRESS_BYTES: usize = mem::size_of::<libc::sockaddr_in>();
    #[allow(clippy::cast_possible_truncation)]
    // SAFETY: only computes a length.
    let needed = unsafe { libc::CMSG_LEN((ERROR_BYTES + ADDRESS_BYTES) as libc::c_uint) };
    if message_length < needed as usize {
        return None;
    }
    // SAFETY: the message is long enough for the error and the address that follows it.
    let (error, address) = unsafe {
        let error = ptr::read_unaligned(data.cast::<libc::sock_extended_err>());
        let address = ptr::read_unaligned(data.add(ERROR_BYTES).cast::<libc::sockaddr_in>());
        (error, address)
    };
    let port_unreachable = error.ee_origin == libc::SO_EE_ORIGIN_ICMP
        && error.ee_type == UNREACHABLE_TYPE
        && error.ee_code == PORT_UNREACHABLE_CODE;
    port_unreachable.then(|| *from_sockaddr(&address).ip())
}
