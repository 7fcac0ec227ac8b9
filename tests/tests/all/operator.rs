//! What an operator sees of a running deployment, by the real command and a browser's requests.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

use crate::launcher::{LauncherRun, run_command};

/// Instances of Desai's deployment: three balancers and ten agents.
const INSTANCES: usize = 13;

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output = run_command(arguments);
    let said = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    (output.status.code(), said.into_owned())
}

/// One HTTP exchange as a browser would make it; the answer with its head.
fn exchange(address: &str, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the operations address listens");
    let limit = Some(Duration::from_secs(10));
    stream.set_read_timeout(limit).expect("a limit");
    stream
        .write_all(request.as_bytes())
        .expect("the request is taken");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .expect("an answer to its end");
    answer
}

/// The operations address of an instance of this binary, from `status --json`.
fn instance_of(status: &Value, binary: &str) -> String {
    let instances = status["instances"].as_array().expect("a list of instances");
    let found = instances
        .iter()
        .find(|line| line["status"]["binary"] == binary);
    found.expect(binary)["address"]
        .as_str()
        .expect("an address")
        .to_owned()
}

/// Whether the agent comes to know its peers' gates, which their heartbeats tell each second.
fn explains_peers(agent: &str) -> bool {
    (0..20).any(|_| {
        std::thread::sleep(Duration::from_millis(500));
        let (code, said) = run(&["explain", "request", "--instance", agent]);
        assert_eq!(code, Some(0), "{said}");
        said.lines().count() >= 4
    })
}

#[test]
fn an_operator_sees_the_fleet_and_why_work_goes_where_it_goes() {
    let mut held = LauncherRun::start(&["desai", "--hold"]);
    let line = held.wait_until_up();
    let platform = line["platform"].as_str().expect("the platform's address");
    let service = line["services"][0]["address"]
        .as_str()
        .expect("a service address");

    let (code, said) = run(&["status", "--platform", platform]);
    assert_eq!(code, Some(0), "{said}");
    assert!(said.contains("13 asked, 0 lag, 0 silent"), "{said}");
    let (_, said) = run(&["status", "--json", "--platform", platform]);
    let status: Value = serde_json::from_str(&said).expect("JSON");
    assert_eq!(
        status["instances"].as_array().map(Vec::len),
        Some(INSTANCES)
    );

    let balancer = instance_of(&status, "lovagelatch-balancer");
    let agent = instance_of(&status, "lovagelatch-agent");
    let mut flow = vec![
        "explain",
        "flow",
        "--instance",
        &balancer,
        "--address",
        service,
    ];
    flow.extend(["--flow-key", "0011223344556677"]);
    let (code, said) = run(&flow);
    assert_eq!(code, Some(0), "{said}");
    assert!(
        said.contains("rendezvous hashing over live targets"),
        "{said}"
    );
    assert!(explains_peers(&agent), "peers' gates are not explained");

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
