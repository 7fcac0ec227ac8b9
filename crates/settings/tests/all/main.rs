//! Tests of what people write.

mod plan;
mod process;
mod reference;
mod text;

/// Asserts that the faults of one case start, in order, as expected.
fn assert_faults<F: std::fmt::Display>(name: &str, faults: &[F], expected: &[&str]) {
    let messages: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(messages.len(), expected.len(), "{name}: {messages:?}");
    for (message, start) in messages.iter().zip(expected) {
        assert!(message.starts_with(start), "{name}: {message}");
    }
}
