//! Direct and gateway paths for datagrams and streams.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};

use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};

use crate::header::{PacketEnds, write_header, write_stream_header};

/// How UDP datagrams leave this process: directly or through a gateway.
#[derive(Clone, Copy, Debug)]
pub struct DatagramPath {
    gateway: Option<SocketAddrV4>,
}

impl DatagramPath {
    /// Creates a path through `gateway`, or a direct path for `None`.
    #[must_use]
    pub fn new(gateway: Option<SocketAddrV4>) -> Self {
        Self { gateway }
    }

    /// Returns the gateway, if there is one.
    #[must_use]
    pub fn gateway(&self) -> Option<SocketAddrV4> {
        self.gateway
    }

    /// Returns the address that a datagram for `destination` is sent to: the gateway, if any.
    #[must_use]
    pub fn next_hop(&self, destination: SocketAddrV4) -> SocketAddr {
        SocketAddr::V4(self.gateway.unwrap_or(destination))
    }

    /// Starts a datagram in `out`: clears the buffer and writes the header that the path needs.
    pub fn start_datagram(&self, ends: &PacketEnds, out: &mut Vec<u8>) {
        out.clear();
        if self.gateway.is_some() {
            out.extend_from_slice(&write_header(ends));
        }
    }

    /// Sends one datagram immediately, or drops it if the socket's buffer is full, as the
    /// network may drop it too.
    ///
    /// Bypasses the runtime, which returns `WouldBlock` for a socket that it has not polled yet.
    /// That looks like a full buffer, and the first datagram of a process would be lost.
    ///
    /// # Errors
    ///
    /// The operating system's error, except for a full buffer.
    pub fn send(&self, socket: &UdpSocket, ends: &PacketEnds, payload: &[u8]) -> io::Result<()> {
        let mut datagram = Vec::with_capacity(payload.len() + crate::HEADER_BYTES);
        self.start_datagram(ends, &mut datagram);
        datagram.extend_from_slice(payload);
        let next_hop = self.next_hop(ends.destination).into();
        // Sockets of the runtime are non-blocking.
        match SockRef::from(socket).send_to(&datagram, &next_hop) {
            Ok(_) => Ok(()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }
}

/// How TCP streams leave this process: directly or through a gateway.
#[derive(Clone, Copy, Debug)]
pub struct StreamPath {
    source: SocketAddrV4,
    gateway: Option<SocketAddrV4>,
}

impl StreamPath {
    /// Creates a path for streams from the process that listens on `source`.
    #[must_use]
    pub fn new(source: SocketAddrV4, gateway: Option<SocketAddrV4>) -> Self {
        Self { source, gateway }
    }

    /// Connects to `destination`, with `TCP_NODELAY` set.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub async fn connect(&self, destination: SocketAddrV4) -> io::Result<TcpStream> {
        let Some(gateway) = self.gateway else {
            let stream = TcpStream::connect(destination).await?;
            stream.set_nodelay(true)?;
            return Ok(stream);
        };
        let mut stream = TcpStream::connect(gateway).await?;
        stream.set_nodelay(true)?;
        let ends = PacketEnds {
            source: self.source,
            destination,
        };
        stream.write_all(&write_stream_header(&ends)).await?;
        Ok(stream)
    }
}
