//! Determines the caller and the service address of a received datagram.

use std::net::SocketAddrV4;

use lovagelatch_network::{HeaderError, parse_header};
use lovagelatch_settings::IngressKind;
use lovagelatch_wire::MAX_DATAGRAM_BYTES;
use thiserror::Error;

use crate::metrics::PacketOutcome;
use lovagelatch_network::ReceivedDatagram;

/// Source and destination of a caller's datagram, as the caller sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketOrigin {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Service address that the caller sent the datagram to.
    pub service_address: SocketAddrV4,
}

/// Errors of received datagrams that cannot be forwarded.
#[derive(Debug, PartialEq, Error)]
pub enum IngressError {
    /// The PROXY header is missing or malformed.
    #[error(transparent)]
    Header(#[from] HeaderError),
    /// The kernel did not report the destination address.
    #[error("datagram without a destination address")]
    NoDestination,
    /// The caller's datagram exceeds the maximum that can be forwarded.
    #[error("datagram too long: {length} bytes, maximum {MAX_DATAGRAM_BYTES}")]
    TooLong {
        /// Length in bytes; if the datagram was truncated, of the part that was received.
        length: usize,
    },
}

impl From<&IngressError> for PacketOutcome {
    fn from(error: &IngressError) -> Self {
        match error {
            IngressError::Header(_) | IngressError::NoDestination => Self::NoEnds,
            IngressError::TooLong { .. } => Self::TooLong,
        }
    }
}

/// Extracts caller, service address and payload from datagrams that arrive at this balancer.
#[derive(Clone, Copy, Debug)]
pub struct PacketIngress {
    kind: IngressKind,
    /// Port of the service addresses, used with direct ingress.
    port: u16,
}

impl PacketIngress {
    /// Creates an ingress of the given kind for datagrams that arrive at `listen`.
    #[must_use]
    pub fn new(kind: IngressKind, listen: SocketAddrV4) -> Self {
        Self {
            kind,
            port: listen.port(),
        }
    }

    /// Returns the origin of a datagram and the bytes that the caller sent.
    ///
    /// # Errors
    ///
    /// Returns an [`IngressError`] if the datagram cannot be forwarded.
    pub fn read<'a>(
        &self,
        received: &ReceivedDatagram<'a>,
    ) -> Result<(PacketOrigin, &'a [u8]), IngressError> {
        let (origin, datagram) = match self.kind {
            IngressKind::ProxyV2 => read_proxied(received.bytes)?,
            IngressKind::Direct => self.read_direct(received)?,
        };
        if received.truncated || datagram.len() > MAX_DATAGRAM_BYTES {
            let length = datagram.len();
            return Err(IngressError::TooLong { length });
        }
        Ok((origin, datagram))
    }

    fn read_direct<'a>(
        &self,
        received: &ReceivedDatagram<'a>,
    ) -> Result<(PacketOrigin, &'a [u8]), IngressError> {
        let address = received.destination.ok_or(IngressError::NoDestination)?;
        let origin = PacketOrigin {
            caller: received.source,
            service_address: SocketAddrV4::new(address, self.port),
        };
        Ok((origin, received.bytes))
    }
}

fn read_proxied(bytes: &[u8]) -> Result<(PacketOrigin, &[u8]), IngressError> {
    let (ends, datagram) = parse_header(bytes)?;
    let origin = PacketOrigin {
        caller: ends.source,
        service_address: ends.destination,
    };
    Ok((origin, datagram))
}
