//! Tests of `keys`: creating, verifying and rotating the key file.

use std::os::unix::fs::PermissionsExt;

use crate::{run, scratch_file, stderr, stdout};

#[test]
fn rotation_takes_three_steps() {
    let path = scratch_file("rotation.keys", None);
    let file = path.display().to_string();
    struct Step(&'static str, bool, &'static str);
    const STEPS: &[Step] = &[
        Step("new", true, "generation 1"),
        Step("new", false, "exists"),
        Step("switch", false, "only one key"),
        Step("add", true, "generation 2 is accepted"),
        Step("add", false, "at most two"),
        Step("verify", true, "generations 1, 2"),
        Step("switch", true, "generation 2 is used"),
        Step("verify", true, "generations 2, 1"),
        Step("drop", true, "generation 1 is no longer"),
        Step("drop", false, "only one key"),
        Step("verify", true, "generations 2"),
    ];
    for (number, Step(step, succeeds, expected)) in STEPS.iter().enumerate() {
        let output = run(&["keys", step, &file]);
        let printed = stdout(&output) + &stderr(&output);
        assert_eq!(
            output.status.success(),
            *succeeds,
            "step {number} {step}: {printed}"
        );
        assert!(
            printed.contains(expected),
            "step {number} {step}: {printed}"
        );
    }
    let mode = std::fs::metadata(&path).unwrap().permissions().mode() & 0o777;
    assert_eq!(mode, 0o600);
}

#[test]
fn invalid_key_files_are_rejected_with_the_reason() {
    struct FileCase<'a>(&'a str, &'a str, u32, &'a str);
    let valid = format!("[keys]\ncurrent = 1\n1 = {}\n", "ab".repeat(32));
    let same = format!("{valid}2 = {}\n", "ab".repeat(32));
    let short = "[keys]\ncurrent = 1\n1 = abcd\n";
    let cases = [
        (FileCase("open", &valid, 0o644, "has mode 644"), 2),
        (FileCase("same", &same, 0o600, "hold the same key"), 2),
        (
            FileCase("short", short, 0o600, "is not 64 hexadecimal digits"),
            2,
        ),
        (FileCase("empty", "", 0o600, "needs a field 'current'"), 2),
        (FileCase("good", &valid, 0o600, "valid"), 0),
    ];
    for (FileCase(name, content, mode, expected), code) in cases {
        let path = scratch_file(&format!("bad-{name}.keys"), Some(content));
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
        let output = run(&["keys", "verify", &path.display().to_string()]);
        let printed = stdout(&output) + &stderr(&output);
        assert_eq!(output.status.code(), Some(code), "{name}: {printed}");
        assert!(printed.contains(expected), "{name}: {printed}");
    }
}
