//! Tests of the backend server stand-in, over its own HTTP face.

mod faults;
mod running;
mod slots;
