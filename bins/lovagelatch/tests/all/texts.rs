//! Tests of `check` and `plan`.

use serde_json::Value;

use crate::{run, scratch_file, stderr, stdout};

const VALID: &str = "[service claims]\naddress = 127.20.0.1:4433 ludhiana\n\
                    depends = certificates\n[service certificates]\naddress = 127.20.1.1:4433\n";
const INVALID: &str = "[service claims]\naddres = 127\ndepends = x\n";
const SMALLER: &str = "[service claims]\naddress = 127.20.0.1:4433 ludhiana\n";
const LARGER: &str = "[service claims]\naddress = 127.20.0.1:4433 ludhiana\n\
                      address = 127.20.0.2:4433 amritsar\ndepends = certificates\n\
                      [service certificates]\naddress = 127.20.1.1:4433\n";

struct TextCase {
    name: &'static str,
    arguments: &'static [&'static str],
    files: &'static [&'static str],
    code: i32,
    expected: &'static [&'static str],
}

const TEXT_CASES: &[TextCase] = &[
    TextCase {
        name: "check-valid",
        arguments: &["check"],
        files: &[VALID],
        code: 0,
        expected: &["valid: 2 services, 2 addresses"],
    },
    TextCase {
        name: "check-invalid",
        arguments: &["check"],
        files: &[INVALID],
        code: 1,
        expected: &[
            ":1: service claims has no address",
            ":2: unknown field 'addres'",
            "3 faults",
        ],
    },
    TextCase {
        name: "plan-same",
        arguments: &["plan"],
        files: &[VALID, VALID],
        code: 0,
        expected: &["nothing changes for callers"],
    },
    TextCase {
        name: "plan-larger",
        arguments: &["plan"],
        files: &[VALID, LARGER],
        code: 0,
        expected: &["add address 127.20.0.2:4433 to claims"],
    },
    TextCase {
        name: "plan-smaller",
        arguments: &["plan"],
        files: &[VALID, SMALLER],
        code: 1,
        expected: &["! ", "remove service certificates", "--allow-high"],
    },
    TextCase {
        name: "plan-smaller-allowed",
        arguments: &["plan", "--allow-high"],
        files: &[VALID, SMALLER],
        code: 0,
        expected: &["remove service certificates"],
    },
    TextCase {
        name: "plan-invalid",
        arguments: &["plan"],
        files: &[VALID, INVALID],
        code: 2,
        expected: &["is not a valid text"],
    },
];

#[test]
fn texts_are_checked_and_planned() {
    for case in TEXT_CASES {
        let mut arguments: Vec<String> = case.arguments.iter().map(ToString::to_string).collect();
        for (index, content) in case.files.iter().enumerate() {
            let path = scratch_file(&format!("{}-{index}.ini", case.name), Some(content));
            arguments.push(path.display().to_string());
        }
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let output = run(&arguments);
        let printed = stdout(&output) + &stderr(&output);
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{}: {printed}",
            case.name
        );
        for part in case.expected {
            assert!(
                printed.contains(part),
                "{}: {part:?} not in {printed}",
                case.name
            );
        }
        assert!(
            !printed.contains('\x1b'),
            "{}: colour without a terminal",
            case.name
        );
    }
}

#[test]
fn json_reports_are_structured() {
    let old = scratch_file("json-old.ini", Some(VALID));
    let new = scratch_file("json-new.ini", Some(SMALLER));
    let paths = [old.display().to_string(), new.display().to_string()];
    let plan = run(&["plan", "--json", &paths[0], &paths[1]]);
    let plan: Value = serde_json::from_slice(&plan.stdout).expect("JSON");
    assert_eq!(plan["risk"], "high");
    assert_eq!(plan["changes"][0]["kind"], "dependency_removed");
    let check = run(&["check", "--json", &paths[0]]);
    let check: Value = serde_json::from_slice(&check.stdout).expect("JSON");
    assert_eq!(check["valid"], true);
    assert_eq!(check["services"], 2);
}

#[test]
fn help_version_and_completion_are_available() {
    for (arguments, part) in [
        (&["--help"][..], "Usage: lovagelatch"),
        (&["plan", "--help"][..], "--allow-high"),
        (&["--version"][..], env!("CARGO_PKG_VERSION")),
        (&["--bpaf-complete-style-bash"][..], "complete"),
    ] {
        let output = run(arguments);
        assert!(output.status.success(), "{arguments:?}");
        assert!(
            stdout(&output).contains(part),
            "{arguments:?}: {}",
            stdout(&output)
        );
    }
    assert!(!run(&["chek"]).status.success());
}
