//! UDP socket options that the standard library does not offer.

use std::net::UdpSocket;
use std::os::fd::AsRawFd;
use std::{io, mem, ptr};

/// Enables a boolean socket option at the `IPPROTO_IP` level.
///
/// # Errors
///
/// The operating system's error.
pub fn enable_option(socket: &UdpSocket, option: libc::c_int) -> io::Result<()> {
    let on: libc::c_int = 1;
    #[allow(clippy::cast_possible_truncation)]
    let length = mem::size_of_val(&on) as libc::socklen_t;
    // SAFETY: `on` outlives the call, and `length` is its size.
    let result = unsafe {
        libc::setsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_IP,
            option,
            ptr::from_ref(&on).cast(),
            length,
        )
    };
    match result {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}
