//! Blocks of addresses, for saying who may ask.

use std::net::Ipv4Addr;
use std::str::FromStr;

/// A block of IPv4 addresses, written `IP/BITS`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressBlock {
    address: Ipv4Addr,
    /// Invariant: at most 32.
    bits: u32,
}

impl AddressBlock {
    /// This machine's own addresses.
    pub const LOOPBACK: Self = Self {
        address: Ipv4Addr::LOCALHOST,
        bits: 8,
    };

    /// Whether `address` is in the block.
    #[must_use]
    pub fn contains(&self, address: Ipv4Addr) -> bool {
        let mask = u32::MAX.checked_shl(32 - self.bits).unwrap_or(0);
        (self.address.to_bits() ^ address.to_bits()) & mask == 0
    }
}

impl FromStr for AddressBlock {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let (address, bits) = text.split_once('/').ok_or(())?;
        let address = address.parse().map_err(|_| ())?;
        let bits = bits.parse().map_err(|_| ())?;
        if bits > 32 {
            return Err(());
        }
        Ok(Self { address, bits })
    }
}
