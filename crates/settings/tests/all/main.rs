//! Tests of service texts, plans and settings files.

mod plan;
mod process;
mod reference;
mod text;

/// Asserts that the messages of the faults start, in order, with the expected texts.
fn assert_faults<F: std::fmt::Display>(name: &str, faults: &[F], expected: &[&str]) {
    let messages: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(messages.len(), expected.len(), "{name}: {messages:?}");
    for (message, prefix) in messages.iter().zip(expected) {
        assert!(message.starts_with(prefix), "{name}: {message}");
    }
}
