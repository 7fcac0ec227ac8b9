//! IPv4 CIDR blocks, which restrict the clients that an endpoint accepts.

use std::net::Ipv4Addr;
use std::str::FromStr;

/// An IPv4 CIDR block, written `IP/BITS`. Host bits of the address are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressBlock {
    address: Ipv4Addr,
    /// Invariant: at most 32.
    prefix_length: u32,
}

impl AddressBlock {
    /// The loopback addresses, 127.0.0.0/8.
    pub const LOOPBACK: Self = Self {
        address: Ipv4Addr::LOCALHOST,
        prefix_length: 8,
    };

    /// Returns whether `address` is in the block.
    #[must_use]
    pub fn contains(&self, address: Ipv4Addr) -> bool {
        let mask = u32::MAX.checked_shl(32 - self.prefix_length).unwrap_or(0);
        (self.address.to_bits() ^ address.to_bits()) & mask == 0
    }
}

impl FromStr for AddressBlock {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let (address, prefix_length) = text.split_once('/').ok_or(())?;
        let address = address.parse().map_err(|_| ())?;
        let prefix_length = prefix_length.parse().map_err(|_| ())?;
        if prefix_length > 32 {
            return Err(());
        }
        Ok(Self {
            address,
            prefix_length,
        })
    }
}
