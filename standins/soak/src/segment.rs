//! The data of requests under `--hard-load`: two packets each, which state when and to which
//! balancer they were sent.

use std::net::Ipv4Addr;
use std::time::Duration;

use lovagelatch_flows::FlowKey;

/// Number of packets of a request.
pub(crate) const SEGMENT_COUNT: u8 = 2;

/// Data bytes of each packet.
pub(crate) const SEGMENT_BYTES: u32 = 29;

/// The data of one packet of a request. Copies differ in `sent` and `balancer`, which the programs
/// under test never read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestSegment {
    pub(crate) request: u64,
    /// Position in the request, from 0.
    pub(crate) part: u8,
    /// Time of sending, from the start of the log.
    pub(crate) sent: Duration,
    pub(crate) balancer: Ipv4Addr,
}

impl RequestSegment {
    /// Encodes the segment with a check value that covers the packet's flow and sequence number.
    pub(crate) fn encode(&self, flow: &FlowKey, sequence: u32) -> Vec<u8> {
        let sent = u64::try_from(self.sent.as_micros()).unwrap_or(u64::MAX);
        let mut bytes = self.request.to_le_bytes().to_vec();
        bytes.extend(sent.to_le_bytes());
        bytes.extend(self.balancer.octets());
        bytes.push(self.part);
        bytes.extend(check_value(&bytes, flow, sequence).to_le_bytes());
        bytes
    }

    /// Decodes a segment. Returns `None` if anything differs from what the client sent.
    pub(crate) fn decode(bytes: &[u8], flow: &FlowKey, sequence: u32) -> Option<Self> {
        let (fields, check) = bytes.split_last_chunk::<8>()?;
        if *check != check_value(fields, flow, sequence).to_le_bytes() {
            return None;
        }
        let (request, fields) = fields.split_first_chunk::<8>()?;
        let (sent, fields) = fields.split_first_chunk::<8>()?;
        let (balancer, part) = fields.split_first_chunk::<4>()?;
        Some(Self {
            request: u64::from_le_bytes(*request),
            part: *part.first().filter(|part| **part < SEGMENT_COUNT)?,
            sent: Duration::from_micros(u64::from_le_bytes(*sent)),
            balancer: Ipv4Addr::from(*balancer),
        })
    }
}

fn check_value(fields: &[u8], flow: &FlowKey, sequence: u32) -> u64 {
    let start = flow.point() ^ u64::from(sequence);
    let mix = |value: u64, byte: &u8| (value ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    fields.iter().fold(start, mix)
}
