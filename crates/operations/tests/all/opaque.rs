//! Tests of the HTTP interface of opaque-packet processes.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::time::Duration;

use lovagelatch_operations::{OpaqueInspector, ReadyFlag, serve_opaque};
use lovagelatch_settings::OpaqueSettings;
use lovagelatch_telemetry::{Logger, MetricsRegistry, o};
use serde_json::{Value, json};

struct FakeInspector;

impl OpaqueInspector for FakeInspector {
    fn status(&self) -> Value {
        json!({ "flows": 3 })
    }

    fn explain(&self, client: SocketAddrV4, address: SocketAddrV4) -> Value {
        json!({ "of": client.to_string(), "to": address.to_string() })
    }
}

/// Returns a loopback address derived from the process ID, so that parallel tests do not collide.
fn process_ip() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 93, high, low.max(1))
}

/// Sends a GET request and returns the status line and body of the response.
fn get(address: SocketAddrV4, path: &str) -> (String, String) {
    let connect = |_| {
        std::thread::sleep(Duration::from_millis(10));
        TcpStream::connect(address).ok()
    };
    let mut stream = (0..1_000).find_map(connect).expect("a listener");
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    let (head, body) = response.split_once("\r\n\r\n").expect("a head");
    let status = head.lines().next().unwrap_or_default();
    (status.to_owned(), body.to_owned())
}

struct PageCase {
    path: &'static str,
    status: &'static str,
    body: &'static str,
}

#[rocket::async_test]
async fn status_and_explanations_are_served() {
    let at = |port| SocketAddrV4::new(process_ip(), port);
    let settings = OpaqueSettings {
        name: "edge-1".to_owned(),
        zone: "hall-a".parse().expect("a zone"),
        frames: at(7_720),
        packets: at(8_172),
        ready: at(8_167),
        operations: at(9_464),
        flow_lifetime: Duration::from_secs(60),
        stop_timeout: Duration::from_secs(6),
    };
    let log = Logger::root(lovagelatch_telemetry::discard(), o!());
    let metrics = MetricsRegistry::new().expect("metrics");
    let ready = ReadyFlag::default();
    serve_opaque(&settings, "/ready", ready, metrics, FakeInspector, &log);
    let cases = [
        PageCase {
            path: "/status",
            status: "200",
            body: r#"{"flows":3}"#,
        },
        PageCase {
            path: "/explain/flow?client=100.64.0.7:40001&address=198.18.0.1:443",
            status: "200",
            body: r#"{"of":"100.64.0.7:40001","to":"198.18.0.1:443"}"#,
        },
        PageCase {
            path: "/explain/flow?client=nobody&address=198.18.0.1:443",
            status: "400",
            body: r#"{"error":"client and address are IP:PORT"}"#,
        },
    ];
    for case in cases {
        let response = tokio::task::spawn_blocking(move || get(at(9_464), case.path));
        let (status, body) = response.await.expect("no panic");
        assert!(status.contains(case.status), "{}: {status}", case.path);
        assert_eq!(body, case.body, "{}", case.path);
    }
}
