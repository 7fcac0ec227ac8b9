//! Waiting until one of several UDP sockets is readable.

use std::io;
use std::net::UdpSocket;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// Waits until one of the sockets is readable or `timeout` expires. Returns for each socket
/// whether it is readable. A signal ends the wait early.
///
/// # Errors
///
/// The operating system's error, except for an interruption by a signal.
pub fn wait_readable<const N: usize>(
    sockets: [&UdpSocket; N],
    timeout: Duration,
) -> io::Result<[bool; N]> {
    let mut polled = sockets.map(|socket| libc::pollfd {
        fd: socket.as_raw_fd(),
        events: libc::POLLIN,
        revents: 0,
    });
    // Rounds up, so that a wait of less than a millisecond does not become a busy loop.
    let millis = timeout.as_micros().div_ceil(1_000);
    let millis = libc::c_int::try_from(millis).unwrap_or(libc::c_int::MAX);
    let count = libc::nfds_t::try_from(N).unwrap_or(0);
    // SAFETY: the pointer points to `N` entries that outlive the call.
    let result = unsafe { libc::poll(polled.as_mut_ptr(), count, millis) };
    if result < 0 {
        let error = io::Error::last_os_error();
        if error.kind() != io::ErrorKind::Interrupted {
            return Err(error);
        }
        return Ok([false; N]);
    }
    // A pending error also counts as readable: the next receive returns it.
    Ok(polled.map(|entry| entry.revents != 0))
}
