//! Measures how the costs of the control plane grow with the fleet.
//!
//! [`MemberRig`] runs members of a fleet in one process over their real messages; the tests of
//! the membership library use it too.

mod network;
mod rig;
mod world;

pub use network::{PlatformState, RigNetwork, RigPlatform, RigTraffic};
pub use rig::{MemberRig, RigNode};
pub use world::{rig_address, rig_list, rig_text, rig_text_range};
