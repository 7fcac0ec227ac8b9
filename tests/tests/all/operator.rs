//! The operator's view of a running deployment, through the real command and HTTP requests as a
//! browser sends them.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

use crate::launcher::{LauncherRun, run_command};

/// Instances of the deployment `desai`: 3 balancers and 10 agents.
const INSTANCES: usize = 13;

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let result = run_command(arguments);
    let output = String::from_utf8_lossy(&result.stdout) + String::from_utf8_lossy(&result.stderr);
    (result.status.code(), output.into_owned())
}

/// Sends an HTTP request and returns the response with its head.
fn exchange(address: &str, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the operations address listens");
    let timeout = Some(Duration::from_secs(10));
    stream.set_read_timeout(timeout).expect("a read timeout");
    stream
        .write_all(request.as_bytes())
        .expect("the request is sent");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .expect("a complete response");
    response
}

/// Returns the operations address of the first instance of a binary in the output of
/// `status --json`.
fn instance_address(status: &Value, binary: &str) -> String {
    let instances = status["instances"].as_array().expect("a list of instances");
    let found = instances
        .iter()
        .find(|line| line["status"]["binary"] == binary);
    found.expect(binary)["address"]
        .as_str()
        .expect("an address")
        .to_owned()
}

/// Whether the agent learns its peers' gates within 10 s. Their heartbeats report them every
/// second.
fn explains_peers(agent: &str) -> bool {
    (0..20).any(|_| {
        std::thread::sleep(Duration::from_millis(500));
        let (code, output) = run(&["explain", "request", "--instance", agent]);
        assert_eq!(code, Some(0), "{output}");
        output.lines().count() >= 4
    })
}

#[test]
fn an_operator_can_inspect_the_fleet_and_explain_placement() {
    let mut held = LauncherRun::start(&["desai", "--hold"]);
    let line = held.wait_until_up();
    let platform = line["platform"].as_str().expect("the platform's address");
    let service = line["services"][0]["address"]
        .as_str()
        .expect("a service address");

    let (code, output) = run(&["status", "--platform", platform]);
    assert_eq!(code, Some(0), "{output}");
    assert!(output.contains("13 asked, 0 lag, 0 silent"), "{output}");
    let (_, output) = run(&["status", "--json", "--platform", platform]);
    let status: Value = serde_json::from_str(&output).expect("JSON");
    assert_eq!(
        status["instances"].as_array().map(Vec::len),
        Some(INSTANCES)
    );

    let balancer = instance_address(&status, "lovagelatch-balancer");
    let agent = instance_address(&status, "lovagelatch-agent");
    let mut flow = vec![
        "explain",
        "flow",
        "--instance",
        &balancer,
        "--address",
        service,
    ];
    flow.extend(["--flow-key", "0011223344556677"]);
    let (code, output) = run(&flow);
    assert_eq!(code, Some(0), "{output}");
    assert!(
        output.contains("rendezvous hashing over live targets"),
        "{output}"
    );
    assert!(
        explains_peers(&agent),
        "the gates of the peers are not explained"
    );

    let page = exchange(&balancer, "GET / HTTP/1.0\r\n\r\n");
    for part in [
        "200 OK",
        "reports",
        "maps",
        "<textarea",
        "Platform last spoke",
    ] {
        assert!(page.contains(part), "{part}: {page}");
    }
    let form = "text=[service+new]%0Aaddress+=+127.20.9.9:4433";
    let head = "POST / HTTP/1.0\r\ncontent-type: application/x-www-form-urlencoded";
    let request = format!("{head}\r\ncontent-length: {}\r\n\r\n{form}", form.len());
    let page = exchange(&agent, &request);
    assert!(
        page.contains("add service new") && page.contains("remove service maps"),
        "{page}"
    );

    let end = held.stop(libc::SIGTERM);
    assert_eq!(end.status.code(), Some(0), "{end:#?}");
}
