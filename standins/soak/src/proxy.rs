//! Proxies on the loopback network, which inject faults between processes.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use rand::Rng;

/// How a proxy treats traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProxyMode {
    /// Forwards everything.
    Forward,
    /// Forwards nothing; open connections hang.
    Blackhole,
    /// Drops a third of the datagrams at random; delays the data of connections by 300 ms.
    Degraded,
    /// Resets connections.
    Reset,
    /// Forwards what the client sends, but no responses.
    OneWay,
}

impl ProxyMode {
    fn from_number(number: u8) -> Self {
        match number {
            1 => Self::Blackhole,
            2 => Self::Degraded,
            3 => Self::Reset,
            4 => Self::OneWay,
            _ => Self::Forward,
        }
    }
}

/// Sets the mode of a running proxy. Clones control the same proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProxyControl(Arc<AtomicU8>);

impl ProxyControl {
    pub(crate) fn set(&self, mode: ProxyMode) {
        self.0.store(mode as u8, Ordering::Relaxed);
    }

    fn mode(&self) -> ProxyMode {
        ProxyMode::from_number(self.0.load(Ordering::Relaxed))
    }
}

/// Interval at which an idle connection checks the mode.
const MODE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Delay of each read from a degraded connection.
const DEGRADED_DELAY: Duration = Duration::from_millis(300);

/// Starts a proxy that forwards datagrams from `listen` to `to` until the process ends.
pub(crate) fn spawn_datagram_proxy(
    listen: SocketAddrV4,
    to: SocketAddrV4,
) -> io::Result<ProxyControl> {
    let socket = UdpSocket::bind(listen)?;
    let control = ProxyControl::default();
    let proxy_control = control.clone();
    std::thread::spawn(move || {
        let mut buffer = [0; 4_096];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let dropped = match proxy_control.mode() {
                ProxyMode::Forward => false,
                ProxyMode::Degraded => rand::rng().random_ratio(1, 3),
                ProxyMode::Blackhole | ProxyMode::Reset | ProxyMode::OneWay => true,
            };
            if !dropped {
                // Lost if the receiver is down.
                let _sent = socket.send_to(&buffer[..length], to);
            }
        }
    });
    Ok(control)
}

/// Starts a proxy that relays connections from `listen` to `to` until the process ends.
pub(crate) fn spawn_stream_proxy(
    listen: SocketAddrV4,
    to: SocketAddrV4,
) -> io::Result<ProxyControl> {
    let listener = TcpListener::bind(listen)?;
    let control = ProxyControl::default();
    let proxy_control = control.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let connection_control = proxy_control.clone();
            std::thread::spawn(move || relay_connection(&stream, to, &connection_control));
        }
    });
    Ok(control)
}

/// Relays one connection. An error closes it, which is all that the two ends need to see.
fn relay_connection(client: &TcpStream, to: SocketAddrV4, control: &ProxyControl) {
    if control.mode() == ProxyMode::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(to) else {
        return;
    };
    let (Ok(from_client), Ok(to_client)) = (client.try_clone(), client.try_clone()) else {
        return;
    };
    let (Ok(from_server), Ok(to_server)) = (server.try_clone(), server.try_clone()) else {
        return;
    };
    let response_control = control.clone();
    let responses = std::thread::spawn(move || {
        copy_stream(from_server, to_client, &response_control, true);
    });
    copy_stream(from_client, to_server, control, false);
    // The copy above shuts both streams down, which ends this thread if it still runs.
    let _ended = responses.join();
}

fn copy_stream(mut from: TcpStream, mut to: TcpStream, control: &ProxyControl, responses: bool) {
    let mut buffer = [0; 16 * 1024];
    let _set = from.set_read_timeout(Some(MODE_CHECK_INTERVAL));
    loop {
        let count = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if is_timeout(&error) && control.mode() != ProxyMode::Reset => continue,
            Err(_) => break,
        };
        match control.mode() {
            ProxyMode::Forward => {}
            ProxyMode::Degraded => std::thread::sleep(DEGRADED_DELAY),
            ProxyMode::Reset => break,
            // The data is dropped, not sent later.
            ProxyMode::Blackhole => continue,
            ProxyMode::OneWay if responses => continue,
            ProxyMode::OneWay => {}
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _closed = from.shutdown(Shutdown::Both);
    let _closed = to.shutdown(Shutdown::Both);
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
