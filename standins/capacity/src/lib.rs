//! Measures how the costs of the control plane grow with the fleet.
//!
//! [`MemberRig`] runs the members of a fleet in one process over the real message types. The
//! tests of the membership library use it too.

mod fixtures;
mod network;
mod rig;

pub use fixtures::{rig_address, rig_list, rig_text, rig_text_range};
pub use network::{PlatformState, RigNetwork, RigPlatform, RigTraffic};
pub use rig::{MemberRig, RigNode};
