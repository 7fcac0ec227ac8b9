//! Tests of the HTTP interface for operators.

mod opaque;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use lovagelatch_domain::{AgentAddress, Incarnation};
use lovagelatch_fleet::{FleetClient, FleetRole, FleetSetup};
use lovagelatch_keys::KeyFile;
use lovagelatch_operations::{OperationsServer, ProcessIdentity, ProcessPhase};
use lovagelatch_settings::{CommonSettings, LimitSettings, MAX_TEXT_BYTES};
use lovagelatch_telemetry::{Logger, MetricsRegistry, o};
use rocket::http::{ContentType, Status};
use rocket::local::asynchronous::Client;
use tokio::net::UdpSocket;

const LOOPBACK: &str = "127.0.0.1:40000";
const ELSEWHERE: &str = "192.0.2.7:40000";

/// Settings with an unreachable platform.
fn settings() -> CommonSettings {
    CommonSettings {
        name: "balancer-<b>1</b>".to_owned(),
        zone: "lahore-a".parse().unwrap(),
        control: AgentAddress("127.0.0.1:1".parse().unwrap()),
        operations: "127.0.0.1:0".parse().unwrap(),
        operators: None,
        threads: 1,
        platform: "127.0.0.1:1".parse().unwrap(),
        platform_poll: Duration::from_secs(1),
        key_file: "none".into(),
        gateway: None,
        seeds: Default::default(),
        limits: LimitSettings {
            drain: Duration::from_secs(1),
            request_deadline: Duration::from_secs(1),
            flow_idle: Duration::from_secs(1),
            body_bytes: 1,
            ticket_lifetime: Duration::from_secs(1),
        },
    }
}

async fn start() -> (Client, ProcessIdentity) {
    let settings = settings();
    let keys = KeyFile::generate().unwrap().keys().unwrap();
    let identity = ProcessIdentity::new(
        "lovagelatch-balancer",
        &settings.name,
        "lahore-a",
        Incarnation(7),
    );
    let metrics = MetricsRegistry::new().unwrap();
    metrics
        .meter()
        .u64_counter("lovagelatch.test.events")
        .build()
        .add(3, &[]);
    let fleet = FleetClient::start(FleetSetup {
        settings,
        role: FleetRole::Balancer,
        incarnation: Incarnation(7),
        keys: Arc::new(ArcSwap::from_pointee(keys)),
        socket: Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap()),
        log: Logger::root(lovagelatch_telemetry::discard(), o!()),
    });
    let address = "127.0.0.1:0".parse().unwrap();
    let server = OperationsServer::new(address, identity.clone(), fleet, metrics)
        .with_counters(|| BTreeMap::from([("flows_open".to_owned(), 5)]));
    let client = Client::untracked(server.into_rocket())
        .await
        .expect("valid routes");
    (client, identity)
}

#[rocket::async_test]
async fn health_follows_the_phase() {
    let (client, identity) = start().await;
    for (phase, status) in [
        (ProcessPhase::Starting, Status::ServiceUnavailable),
        (ProcessPhase::Serving, Status::Ok),
        (ProcessPhase::Leaving, Status::ServiceUnavailable),
    ] {
        identity.set_phase(phase);
        let response = client.get("/health").dispatch().await;
        assert_eq!(response.status(), status, "{phase:?}");
        let body = response.into_string().await.unwrap();
        assert!(body.contains(phase.as_str()), "{body}");
    }
}

#[rocket::async_test]
async fn status_metrics_and_explanations_are_served() {
    let (client, _) = start().await;
    let status = client
        .get("/status")
        .dispatch()
        .await
        .into_string()
        .await
        .unwrap();
    let status: serde_json::Value = serde_json::from_str(&status).unwrap();
    assert_eq!(status["binary"], "lovagelatch-balancer");
    assert_eq!(status["counters"]["flows_open"], 5);
    assert_eq!(status["config_revision"], 0);
    let metrics = client
        .get("/metrics")
        .dispatch()
        .await
        .into_string()
        .await
        .unwrap();
    assert!(
        metrics.contains("lovagelatch_test_events_total"),
        "{metrics}"
    );
    let path = "/explain/flow?address=127.20.0.1:4433&key=00ff";
    let explanation = client
        .get(path)
        .dispatch()
        .await
        .into_string()
        .await
        .unwrap();
    assert!(explanation.contains("\"service\":null"), "{explanation}");
    assert_eq!(
        client.get("/explain/request").dispatch().await.status(),
        Status::NotFound
    );
    for invalid in [
        "/explain/flow?address=nowhere",
        "/explain/flow?address=127.20.0.1:4433&key=xyz",
    ] {
        assert_eq!(
            client.get(invalid).dispatch().await.status(),
            Status::BadRequest,
            "{invalid}"
        );
    }
}

struct FormCase {
    name: &'static str,
    from: &'static str,
    form: String,
    status: Status,
    expected: &'static str,
}

#[rocket::async_test]
async fn status_page_checks_texts_only_for_operators() {
    let (client, _) = start().await;
    let valid_form = "text=[service+claims]%0D%0Aaddress+%3D+127.20.0.1:4433%0D%0A";
    let cases = [
        FormCase {
            name: "a valid text",
            from: LOOPBACK,
            form: valid_form.to_owned(),
            status: Status::Ok,
            expected: "add service claims",
        },
        FormCase {
            name: "faults",
            from: LOOPBACK,
            form: "text=[service+claims]%0Aport=1".to_owned(),
            status: Status::Ok,
            expected: "unknown field",
        },
        FormCase {
            name: "markup is escaped",
            from: LOOPBACK,
            form: "text=[<script>alert(1)</script>]".to_owned(),
            status: Status::Ok,
            expected: "&lt;script&gt;",
        },
        FormCase {
            name: "a client that is no operator",
            from: ELSEWHERE,
            form: valid_form.to_owned(),
            status: Status::Forbidden,
            expected: "Check a text",
        },
        FormCase {
            name: "too large",
            from: LOOPBACK,
            form: format!("text={}", "%20".repeat(MAX_TEXT_BYTES + 1_024)),
            status: Status::PayloadTooLarge,
            expected: "Check a text",
        },
        FormCase {
            name: "no text",
            from: LOOPBACK,
            form: "other=1".to_owned(),
            status: Status::PayloadTooLarge,
            expected: "Check a text",
        },
    ];
    for case in cases {
        let from: SocketAddr = case.from.parse().unwrap();
        let request = client
            .post("/")
            .remote(from)
            .header(ContentType::Form)
            .body(case.form);
        let response = request.dispatch().await;
        assert_eq!(response.status(), case.status, "{}", case.name);
        let page = response.into_string().await.unwrap();
        assert!(page.contains(case.expected), "{}: {page}", case.name);
        assert!(
            !page.contains("<script") && !page.contains("<b>1</b>"),
            "{}",
            case.name
        );
    }
}
