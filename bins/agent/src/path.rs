//! Path normalization.
//!
//! `/claims`, `//claims` and `/%63laims` reach the same handler in most backend servers. If only
//! one spelling matched a once-only route, a caller (or an attacker) could use another one to
//! bypass the ledger or to reach the reserved endpoints.

/// Returns the path without its query, percent-decoded, with empty and dot segments removed.
pub(crate) fn normalize_path(path: &str) -> String {
    let path = path.split(['?', '#']).next().unwrap_or(path);
    let decoded = percent_decode(path);
    let mut segments: Vec<&str> = Vec::new();
    for segment in decoded.split('/') {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            other => segments.push(other),
        }
    }
    format!("/{}", segments.join("/"))
}

fn percent_decode(path: &str) -> String {
    let bytes = path.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let digits = bytes.get(index + 1..index + 3);
        let value = digits.filter(|_| bytes[index] == b'%').and_then(hex_value);
        match value {
            Some(value) => {
                decoded.push(value);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn hex_value(digits: &[u8]) -> Option<u8> {
    let high = char::from(digits[0]).to_digit(16)?;
    let low = char::from(digits[1]).to_digit(16)?;
    u8::try_from(high << 4 | low).ok()
}
