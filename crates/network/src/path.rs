//! Sending along a path: direct, or through the gateway.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};

use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};

use crate::header::{PacketEnds, write_header, write_stream_header};

/// The way UDP datagrams leave this process.
#[derive(Clone, Copy, Debug)]
pub struct DatagramPath {
    gateway: Option<SocketAddrV4>,
}

impl DatagramPath {
    /// A path through `gateway`, or directly when there is none.
    #[must_use]
    pub fn new(gateway: Option<SocketAddrV4>) -> Self {
        Self { gateway }
    }

    /// The gateway, when there is one.
    #[must_use]
    pub fn gateway(&self) -> Option<SocketAddrV4> {
        self.gateway
    }

    /// Where a datagram for `destination` is sent in fact.
    #[must_use]
    pub fn next_hop(&self, destination: SocketAddrV4) -> SocketAddr {
        SocketAddr::V4(self.gateway.unwrap_or(destination))
    }

    /// Starts a datagram in `out`: clears it and writes the header the path needs.
    pub fn start_datagram(&self, ends: &PacketEnds, out: &mut Vec<u8>) {
        out.clear();
        if self.gateway.is_some() {
            out.extend_from_slice(&write_header(ends));
        }
    }

    /// Sends one datagram now, or drops it when the socket's buffer is full, as a network may.
    ///
    /// The operating system is asked directly. The runtime would answer `WouldBlock` for a
    /// socket that it has not polled yet, which looks like a full buffer, and the first datagram
    /// of a process would be lost.
    ///
    /// # Errors
    ///
    /// What the operating system said, other than that the buffer is full.
    pub fn send(&self, socket: &UdpSocket, ends: &PacketEnds, payload: &[u8]) -> io::Result<()> {
        let mut datagram = Vec::with_capacity(payload.len() + crate::HEADER_BYTES);
        self.start_datagram(ends, &mut datagram);
        datagram.extend_from_slice(payload);
        let next_hop = self.next_hop(ends.destination).into();
        // A runtime's socket never blocks.
        match SockRef::from(socket).send_to(&datagram, &next_hop) {
            Ok(_) => Ok(()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }
}

/// The way TCP streams leave this process.
#[derive(Clone, Copy, Debug)]
pub struct StreamPath {
    source: SocketAddrV4,
    gateway: Option<SocketAddrV4>,
}

impl StreamPath {
    /// A path for streams from the process that listens on `source`.
    #[must_use]
    pub fn new(source: SocketAddrV4, gateway: Option<SocketAddrV4>) -> Self {
        Self { source, gateway }
    }

    /// Connects to `destination`.
    ///
    /// # Errors
    ///
    /// What the operating system said.
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
