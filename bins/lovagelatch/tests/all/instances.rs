//! `status` and `explain`, against a listener that answers like an instance.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

use serde_json::Value;

use crate::{run, stderr, stdout};

/// Answers one request with a JSON body, then ends.
fn answer_once(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("one request");
        let _ = stream.read(&mut [0; 4096]);
        let length = body.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(body.as_bytes());
    });
    address
}

const AT_SEVEN: &str = r#"{"name":"balancer-1","binary":"b","zone":"z","phase":"serving",
    "config_revision":7,"list_revision":3,"services":[{"live":4,"leaving":1,"suspected":0}],
    "counters":{"open_flows":12,"requests.not-run":3,"requests.unknown":1},
    "fleet":{"ready":true,"revision":7,"source":"platform","refused":8,"list_revision":3,
    "instances":5,"platform_age_seconds":1,"reader":true,
    "lagging":[{"peer":"127.0.0.1:9","revision":6,"seconds":40}],"leaving":["127.0.0.1:8"],
    "suspected":[],"lost_zones":["lahore-b"]}}"#;
const AT_SIX: &str = r#"{"name":"balancer-2","binary":"b","zone":"z","phase":"serving",
    "config_revision":6,"list_revision":3,"services":[]}"#;

#[test]
fn status_names_who_lags_and_who_is_silent() {
    let silent = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let addresses = [answer_once(AT_SEVEN), answer_once(AT_SIX), silent].map(|a| a.to_string());
    let output = run(&["status", &addresses[0], &addresses[1], &addresses[2]]);
    let said = stdout(&output);
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert!(said.contains("6 (lags)"), "{said}");
    assert!(
        said.contains("revision 7: 3 asked, 1 lag, 1 silent"),
        "{said}"
    );
}

#[test]
fn status_is_good_when_all_agree() {
    let addresses = [answer_once(AT_SEVEN), answer_once(AT_SEVEN)].map(|a| a.to_string());
    let output = run(&["status", "--json", &addresses[0], &addresses[1]]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["newest_revision"], 7);
    assert_eq!(report["instances"].as_array().map(Vec::len), Some(2));
}

#[test]
fn status_needs_somebody_to_ask() {
    let output = run(&["status"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr(&output).contains("--platform"),
        "{}",
        stderr(&output)
    );
}

#[test]
fn explain_lists_the_candidates_in_order() {
    let instance = answer_once(
        r#"{"address":"127.20.0.1:4433","service":"claims","agency":null,"config_revision":7,
        "reason":"highest weight","candidates":[
        {"target":2,"agent":"127.0.0.1:1","zone":"a","slots":3,"standing":"live"},
        {"target":1,"agent":"127.0.0.1:2","zone":"b","slots":3,"standing":"live"}]}"#,
    )
    .to_string();
    let address = "127.20.0.1:4433";
    let mut arguments = vec!["explain", "flow", "--instance", &instance];
    arguments.extend(["--address", address, "--flow-key", "ab"]);
    let output = run(&arguments);
    let said = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{said}{}", stderr(&output));
    assert!(
        said.contains("service claims") && said.contains("highest weight"),
        "{said}"
    );
    let first = said
        .lines()
        .find(|line| line.starts_with("1 "))
        .unwrap_or_default();
    assert!(first.contains("127.0.0.1:1"), "{said}");
}

#[test]
fn explain_lists_what_a_request_would_cost() {
    let instance = answer_once(
        r#"[{"agent":"127.0.0.1:7","wait":{"secs":0,"nanos":0},"cost":{"secs":0,"nanos":1500000}},
        {"agent":"127.0.0.1:8","wait":{"secs":1,"nanos":0},"cost":{"secs":1,"nanos":0}}]"#,
    )
    .to_string();
    let output = run(&["explain", "request", "--instance", &instance]);
    let said = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{said}{}", stderr(&output));
    let first = said
        .lines()
        .find(|line| line.starts_with("1 "))
        .unwrap_or_default();
    assert!(
        first.contains("127.0.0.1:7") && first.contains("1.5 ms"),
        "{said}"
    );
}

struct OutlookCase {
    name: &'static str,
    answer: &'static str,
    code: i32,
    /// What the command says, in parts.
    says: &'static [&'static str],
}

#[test]
fn explain_opaque_says_where_a_flow_is_and_who_is_asked_for_it() {
    let cases = [
        OutlookCase {
            name: "a balancer that knows it",
            answer: r#"{"version":7,"route":"r-1","service":"claims","agent":"10.1.0.3:7720",
                "complete":true,"candidates":[{"agent":"10.1.0.3:7720","standing":"serving",
                "listed":true,"near":true,"evacuated":false,"slots":3,"in_progress":2,"load_age_ms":40,
                "suspected":false}]}"#,
            code: 0,
            says: &[
                "r-1",
                "claims",
                "version 7",
                "taken to be at 10.1.0.3:7720",
                "serving",
            ],
        },
        OutlookCase {
            name: "a balancer that does not, just after trouble of the store",
            answer: r#"{"version":7,"route":null,"service":null,"agent":null,"complete":false,
                "candidates":[]}"#,
            code: 1,
            says: &["not known here", "may lack targets"],
        },
        OutlookCase {
            name: "the agent that holds it",
            answer: r#"{"service":"claims","held":{"state":"open","balancer":"10.2.0.1:7720",
                "silent_ms":12,"waiting_ms":8}}"#,
            code: 0,
            says: &["open at the target", "claims", "10.2.0.1:7720", "8 ms"],
        },
        OutlookCase {
            name: "another agent",
            answer: r#"{"service":"claims","held":null}"#,
            code: 1,
            says: &["not known to hold"],
        },
    ];
    for case in cases {
        let instance = answer_once(case.answer).to_string();
        let flow = [
            "--client",
            "100.64.0.7:40001",
            "--address",
            "198.18.0.1:443",
        ];
        let asked = ["explain", "opaque", "--instance", &instance];
        let output = run(&[&asked[..], &flow[..]].concat());
        let said = stdout(&output);
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{}: {said}",
            case.name
        );
        for part in case.says {
            assert!(said.contains(part), "{}: {part:?} in {said}", case.name);
        }
    }
}

struct OpaqueCase {
    name: &'static str,
    answers: &'static [&'static str],
    code: i32,
    says: &'static [&'static str],
}

#[test]
fn status_of_opaque_processes_shows_evacuated_zones_and_who_differs() {
    const EVACUATED: &str = r#"{"ready":true,"version":9,"zones_revision":85,"flows":12,"cold_targets":3,
        "evacuated":[{"zone":"hall-a","evacuated_ms":4200}]}"#;
    let cases = [
        OpaqueCase {
            name: "all agree",
            answers: &[
                EVACUATED,
                r#"{"leaving":false,"zones_revision":85,"evacuated":true,"cold_room":5,"flows":4}"#,
            ],
            code: 0,
            says: &[
                "hall-a for 4 s",
                "its own zone",
                "bears 5 more",
                "3 targets",
                "85",
            ],
        },
        OpaqueCase {
            name: "one has not heard",
            answers: &[
                EVACUATED,
                r#"{"ready":true,"version":9,"zones_revision":40,"flows":7,"evacuated":[]}"#,
            ],
            code: 1,
            says: &["balancers differ"],
        },
        OpaqueCase {
            name: "no zone",
            answers: &[
                r#"{"ready":true,"version":9,"zones_revision":40,"flows":7,"evacuated":[]}"#,
            ],
            code: 0,
            says: &["evacuated zones: none"],
        },
    ];
    for case in cases {
        let instances = case
            .answers
            .iter()
            .map(|answer| answer_once(answer).to_string());
        let instances: Vec<String> = instances.collect();
        let mut arguments = vec!["status"];
        arguments.extend(instances.iter().map(String::as_str));
        let output = run(&arguments);
        let said = stdout(&output);
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{}: {said}",
            case.name
        );
        for part in case.says {
            assert!(said.contains(part), "{}: {part:?} in {said}", case.name);
        }
    }
}
