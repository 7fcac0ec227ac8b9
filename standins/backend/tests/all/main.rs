//! Tests of the backend server stand-in over its HTTP interface.

mod faults;
mod running;
mod slots;
