//! Parsing, validation and permissions of the key file.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;

use lovagelatch_keys::{KeyFileError, KeyGeneration, RingError, parse_key_file, read_key_file};
use quickcheck::quickcheck;

const FIRST: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const SECOND: &str = "ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// The generations in order, or a predicate on the error.
type Expected = Result<&'static [u8], fn(&KeyFileError) -> bool>;

struct FileCase {
    name: &'static str,
    text: String,
    expected: Expected,
}

fn cases() -> Vec<FileCase> {
    let case = |name, text, expected: Expected| FileCase {
        name,
        text,
        expected,
    };
    vec![
        case(
            "one key",
            format!("[keys]\ncurrent = 1\n1 = {FIRST}\n"),
            Ok(&[1]),
        ),
        case(
            "two keys",
            format!("[keys]\n1 = {FIRST}\n2 = {SECOND}\ncurrent = 2\n"),
            Ok(&[2, 1]),
        ),
        case(
            "empty",
            String::new(),
            Err(|error| matches!(error, KeyFileError::NoCurrent)),
        ),
        case(
            "no current",
            format!("[keys]\n1 = {FIRST}\n"),
            Err(|error| matches!(error, KeyFileError::NoCurrent)),
        ),
        case(
            "current names no key",
            format!("[keys]\ncurrent = 3\n1 = {FIRST}\n"),
            Err(|error| matches!(error, KeyFileError::NoCurrent)),
        ),
        case(
            "short key",
            "[keys]\ncurrent = 1\n1 = 0011\n".to_owned(),
            Err(|error| {
                matches!(
                    error,
                    KeyFileError::InvalidKey {
                        generation: KeyGeneration(1)
                    }
                )
            }),
        ),
        case(
            "not hexadecimal",
            format!("[keys]\ncurrent = 1\n1 = {}\n", "g".repeat(64)),
            Err(|error| matches!(error, KeyFileError::InvalidKey { .. })),
        ),
        case(
            "generation is not a number",
            format!("[keys]\ncurrent = 1\nfirst = {FIRST}\n"),
            Err(|error| matches!(error, KeyFileError::InvalidGeneration { .. })),
        ),
        case(
            "generation out of range",
            format!("[keys]\ncurrent = 256\n256 = {FIRST}\n"),
            Err(|error| matches!(error, KeyFileError::InvalidGeneration { .. })),
        ),
        case(
            "the same key twice",
            format!("[keys]\ncurrent = 1\n1 = {FIRST}\n2 = {FIRST}\n"),
            Err(|error| matches!(error, KeyFileError::Ring(RingError::DuplicateKey(..)))),
        ),
        case(
            "three keys",
            format!(
                "[keys]\ncurrent = 1\n1 = {FIRST}\n2 = {SECOND}\n3 = {}\n",
                "ab".repeat(32)
            ),
            Err(|error| matches!(error, KeyFileError::Ring(RingError::TooMany { count: 3 }))),
        ),
        case(
            "not INI",
            "[keys\ncurrent".to_owned(),
            Err(|error| matches!(error, KeyFileError::InvalidSyntax { .. })),
        ),
    ]
}

#[test]
fn key_files_are_checked() {
    for case in cases() {
        let parsed = parse_key_file(&case.text);
        match (parsed, case.expected) {
            (Ok(keys), Ok(expected)) => {
                let generations: Vec<u8> = keys.generations().map(|g| g.0).collect();
                assert_eq!(generations, expected, "{}", case.name);
            }
            (Err(error), Err(accepts)) => assert!(accepts(&error), "{}: {error}", case.name),
            (parsed, _) => panic!("{}: {parsed:?}", case.name),
        }
    }
}

fn temporary_file(name: &str, text: &[u8], mode: u32) -> PathBuf {
    let name = format!("lovagelatch-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, text).expect("a temporary file");
    fs::set_permissions(&path, fs::Permissions::from_mode(mode)).expect("own file");
    path
}

#[test]
fn a_file_must_be_readable_by_its_owner_alone() {
    let text = format!("[keys]\ncurrent = 1\n1 = {FIRST}\n");
    let good = temporary_file("good", text.as_bytes(), 0o600);
    let open = temporary_file("open", text.as_bytes(), 0o640);
    let large = temporary_file("large", &vec![b'#'; 64 * 1024], 0o600);
    let binary = temporary_file("binary", &[0xff, 0xfe, 0, 1], 0o600);
    let (read, refused) = (read_key_file(&good), read_key_file(&open));
    let (oversized, unreadable) = (read_key_file(&large), read_key_file(&binary));
    for path in [&good, &open, &large, &binary] {
        fs::remove_file(path).expect("own file");
    }
    assert!(read.is_ok());
    assert!(matches!(
        refused,
        Err(KeyFileError::InsecureMode { mode: 0o640, .. })
    ));
    assert!(matches!(oversized, Err(KeyFileError::TooLarge { .. })));
    assert!(matches!(unreadable, Err(KeyFileError::Unreadable { .. })));
    assert!(matches!(
        read_key_file(&good),
        Err(KeyFileError::Unreadable { .. })
    ));
}

#[test]
fn no_key_appears_in_debug_output() {
    let keys = parse_key_file(&format!("[keys]\ncurrent = 1\n1 = {FIRST}\n")).expect("one key");
    assert!(!format!("{keys:?}").contains("0011"));
}

quickcheck! {
    fn any_text_is_checked_without_panic(text: String) -> bool {
        parse_key_file(&text).is_err()
    }

    fn any_fields_are_checked_without_panic(current: u16, name: u16, value: String) -> bool {
        let value = value.replace(['\n', '\r'], "");
        let text = format!("[keys]\ncurrent = {current}\n{name} = {value}\n");
        parse_key_file(&text).is_err()
    }
}
