//! Tests of `status` and `explain` against a listener that responds like an instance.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

use serde_json::Value;

use crate::{run, stderr, stdout};

/// Starts a listener that answers one request with a JSON body.
fn respond_once(body: &'static str) -> SocketAddr {
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

const STATUS_REVISION_7: &str = r#"{"name":"balancer-1","binary":"b","zone":"z","phase":"serving",
    "config_revision":7,"list_revision":3,"services":[{"live":4,"leaving":1,"suspected":0}],
    "counters":{"open_flows":12,"requests.not-run":3,"requests.unknown":1},
    "fleet":{"ready":true,"revision":7,"source":"platform","refused":8,"list_revision":3,
    "instances":5,"platform_age_seconds":1,"reader":true,
    "lagging":[{"peer":"127.0.0.1:9","revision":6,"seconds":40}],"leaving":["127.0.0.1:8"],
    "suspected":[],"lost_zones":["lahore-b"]}}"#;
const STATUS_REVISION_6: &str = r#"{"name":"balancer-2","binary":"b","zone":"z","phase":"serving",
    "config_revision":6,"list_revision":3,"services":[]}"#;

#[test]
fn status_reports_lagging_and_silent_instances() {
    let unreachable = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let addresses = [
        respond_once(STATUS_REVISION_7),
        respond_once(STATUS_REVISION_6),
        unreachable,
    ]
    .map(|a| a.to_string());
    let output = run(&["status", &addresses[0], &addresses[1], &addresses[2]]);
    let printed = stdout(&output);
    assert_eq!(output.status.code(), Some(1), "{printed}");
    assert!(printed.contains("6 (lags)"), "{printed}");
    assert!(
        printed.contains("revision 7: 3 asked, 1 lag, 1 silent"),
        "{printed}"
    );
}

#[test]
fn status_succeeds_when_all_agree() {
    let addresses = [
        respond_once(STATUS_REVISION_7),
        respond_once(STATUS_REVISION_7),
    ]
    .map(|a| a.to_string());
    let output = run(&["status", "--json", &addresses[0], &addresses[1]]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["newest_revision"], 7);
    assert_eq!(report["instances"].as_array().map(Vec::len), Some(2));
}

#[test]
fn status_requires_an_instance_or_platform() {
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
    let instance = respond_once(
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
    let printed = stdout(&output);
    assert_eq!(
        output.status.code(),
        Some(0),
        "{printed}{}",
        stderr(&output)
    );
    assert!(
        printed.contains("service claims") && printed.contains("highest weight"),
        "{printed}"
    );
    let first = printed
        .lines()
        .find(|line| line.starts_with("1 "))
        .unwrap_or_default();
    assert!(first.contains("127.0.0.1:1"), "{printed}");
}

#[test]
fn explain_lists_the_cost_at_each_gate() {
    let instance = respond_once(
        r#"[{"agent":"127.0.0.1:7","wait":{"secs":0,"nanos":0},"cost":{"secs":0,"nanos":1500000}},
        {"agent":"127.0.0.1:8","wait":{"secs":1,"nanos":0},"cost":{"secs":1,"nanos":0}}]"#,
    )
    .to_string();
    let output = run(&["explain", "request", "--instance", &instance]);
    let printed = stdout(&output);
    assert_eq!(
        output.status.code(),
        Some(0),
        "{printed}{}",
        stderr(&output)
    );
    let first = printed
        .lines()
        .find(|line| line.starts_with("1 "))
        .unwrap_or_default();
    assert!(
        first.contains("127.0.0.1:7") && first.contains("1.5 ms"),
        "{printed}"
    );
}

struct ExplainCase {
    name: &'static str,
    response: &'static str,
    code: i32,
    /// Texts that the output must contain.
    expected: &'static [&'static str],
}

#[test]
fn explain_opaque_reports_the_holder_and_search_candidates() {
    let cases = [
        ExplainCase {
            name: "a balancer that knows the flow",
            response: r#"{"version":7,"route":"r-1","service":"claims","agent":"10.1.0.3:7720",
                "complete":true,"candidates":[{"agent":"10.1.0.3:7720","standing":"serving",
                "listed":true,"near":true,"evacuated":false,"slots":3,"in_progress":2,"load_age_ms":40,
                "suspected":false}]}"#,
            code: 0,
            expected: &[
                "r-1",
                "claims",
                "version 7",
                "assumed to be at 10.1.0.3:7720",
                "serving",
            ],
        },
        ExplainCase {
            name: "a balancer that does not know the flow and has an incomplete view",
            response: r#"{"version":7,"route":null,"service":null,"agent":null,"complete":false,
                "candidates":[]}"#,
            code: 1,
            expected: &["not known here", "may lack targets"],
        },
        ExplainCase {
            name: "the agent that holds the flow",
            response: r#"{"service":"claims","held":{"state":"open","balancer":"10.2.0.1:7720",
                "silent_ms":12,"waiting_ms":8}}"#,
            code: 0,
            expected: &["open at the target", "claims", "10.2.0.1:7720", "8 ms"],
        },
        ExplainCase {
            name: "another agent",
            response: r#"{"service":"claims","held":null}"#,
            code: 1,
            expected: &["not known to hold"],
        },
    ];
    for case in cases {
        let instance = respond_once(case.response).to_string();
        let flow = [
            "--client",
            "100.64.0.7:40001",
            "--address",
            "198.18.0.1:443",
        ];
        let command = ["explain", "opaque", "--instance", &instance];
        let output = run(&[&command[..], &flow[..]].concat());
        let printed = stdout(&output);
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{}: {printed}",
            case.name
        );
        for part in case.expected {
            assert!(
                printed.contains(part),
                "{}: {part:?} in {printed}",
                case.name
            );
        }
    }
}

struct OpaqueCase {
    name: &'static str,
    responses: &'static [&'static str],
    code: i32,
    expected: &'static [&'static str],
}

#[test]
fn opaque_status_reports_evacuated_zones_and_disagreement() {
    const EVACUATED: &str = r#"{"ready":true,"version":9,"zones_revision":85,"flows":12,"cold_targets":3,
        "evacuated":[{"zone":"hall-a","evacuated_ms":4200}]}"#;
    let cases = [
        OpaqueCase {
            name: "all agree",
            responses: &[
                EVACUATED,
                r#"{"leaving":false,"zones_revision":85,"evacuated":true,"cold_room":5,"flows":4}"#,
            ],
            code: 0,
            expected: &[
                "hall-a for 4 s",
                "its own zone",
                "room for 5 more",
                "3 targets",
                "85",
            ],
        },
        OpaqueCase {
            name: "a balancer that does not know of the evacuation",
            responses: &[
                EVACUATED,
                r#"{"ready":true,"version":9,"zones_revision":40,"flows":7,"evacuated":[]}"#,
            ],
            code: 1,
            expected: &["balancers differ"],
        },
        OpaqueCase {
            name: "an agent at which requests wait",
            responses: &[
                r#"{"leaving":false,"zones_revision":40,"evacuated":false,"flows":4,"in_service":9,"full":10,"waiting":3}"#,
            ],
            code: 0,
            expected: &["REQUESTS", "9 of 10, 3 waiting"],
        },
        OpaqueCase {
            name: "no evacuated zone",
            responses: &[
                r#"{"ready":true,"version":9,"zones_revision":40,"flows":7,"evacuated":[]}"#,
            ],
            code: 0,
            expected: &["evacuated zones: none"],
        },
    ];
    for case in cases {
        let instances = case
            .responses
            .iter()
            .map(|response| respond_once(response).to_string());
        let instances: Vec<String> = instances.collect();
        let mut arguments = vec!["status"];
        arguments.extend(instances.iter().map(String::as_str));
        let output = run(&arguments);
        let printed = stdout(&output);
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{}: {printed}",
            case.name
        );
        for part in case.expected {
            assert!(
                printed.contains(part),
                "{}: {part:?} in {printed}",
                case.name
            );
        }
    }
}
