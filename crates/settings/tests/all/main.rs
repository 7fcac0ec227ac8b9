//! Tests of what people write.

mod plan;
mod process;
mod reference;
mod text;
