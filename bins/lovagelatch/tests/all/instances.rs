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
