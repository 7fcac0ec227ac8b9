//! A configuration moves a route to another service; then the balancers are stopped and started in
//! turn. Punches follow on flows that were open before.
#[path = "../standin.rs"]
mod standin;

use std::net::SocketAddrV4;
use std::process::exit;
use std::thread;
use std::time::{Duration, Instant};

use standin::*;

const FORMER: &str = "jornada";
const NEXT: &str = "jornada-2";

fn main() {
    exit(play().unwrap_or_else(|error| {
        eprintln!("cannot run: {error}");
        2
    }));
}

fn play() -> std::io::Result<i32> {
    let (folder, trouble) = arguments();
    let record = Record::create(&folder.join("record.txt"))?;
    let temp = TempFolder::new()?;
    let mut deployment = Deployment::new(&temp.0);
    deployment.zones = vec![("mx-centro-a".into(), "mx-centro".into())];
    let store = Store::start(deployment.store_address(), &record)?;
    let route = SocketAddrV4::new(deployment.ip(250), 8080);
    store.put(
        "op/config",
        config_json(7, FORMER, &[("punch", route, "unsafe")]).as_bytes(),
    );
    let mut targets = Vec::new();
    let mut agents = Vec::new();
    for (host, service) in [(31, FORMER), (32, FORMER), (33, NEXT), (34, NEXT)] {
        let settings = TargetSettings {
            id: format!("i-{host}"),
            ip: deployment.ip(host),
            published: deployment.ip(host),
            service: service.into(),
            zone: "mx-centro-a".into(),
            slots: 2,
            work: Duration::from_millis(44),
            cold: Duration::ZERO,
        };
        targets.push(Target::start(settings, &store, &record)?);
        let agent = deployment.agent(&format!("side-{host}"), host, "mx-centro-a", service, true)?;
        agent.spawn()?;
        agents.push(agent);
    }
    let mut balancers = Vec::new();
    for host in [11, 12] {
        let balancer = deployment.balancer(&format!("edge-{host}"), host, "mx-centro-a", &[11, 12])?;
        balancer.spawn()?;
        balancers.push(balancer);
    }
    if !balancers
        .iter()
        .all(|balancer| balancer.wait_ready(Duration::from_secs(10)))
    {
        eprintln!("a balancer is not ready");
        return Ok(2);
    }
    record.line("all balancers are ready");
    thread::sleep(Duration::from_millis(1_500));

    let client = Client::start(deployment.ip(101), &record)?;
    let mut flows = Vec::new();
    for index in 0..6 {
        let node = SocketAddrV4::new(balancers[index % 2].ip, PACKET_PORT);
        let Some(mut flow) = client.open(node, route) else {
            continue;
        };
        let id = format!("punch-{index}-a");
        let outcome = client.request(&mut flow, &id, Duration::from_secs(3));
        record.line(format!("{id} on flow {}: {outcome:?}", flow.local));
        if outcome == Outcome::Answered {
            flows.push(flow);
        }
    }
    if flows.len() < 4 {
        eprintln!("only {} flows are open", flows.len());
        return Ok(2);
    }
    let opened = Instant::now();

    store.put(
        "op/config",
        config_json(12, NEXT, &[("punch", route, "unsafe")]).as_bytes(),
    );
    record.line(format!(
        "version 12 acknowledged: the route leads to {NEXT}, {FORMER} is no longer listed"
    ));
    thread::sleep(Duration::from_secs(6));
    for (index, flow) in flows.iter_mut().enumerate() {
        let id = format!("punch-{index}-b");
        let outcome = client.request(flow, &id, Duration::from_secs(3));
        record.line(format!("{id} on open flow {}: {outcome:?}", flow.local));
        if outcome != Outcome::Answered {
            eprintln!("the configuration alone ended a flow");
            return Ok(if outcome == Outcome::ResetBySystem {
                1
            } else {
                2
            });
        }
    }
    if trouble {
        for balancer in &balancers {
            record.line(format!("SIGTERM to {} (planned restart)", balancer.name));
            balancer.signal(SIGTERM);
            let Some(status) = balancer.wait_end(Duration::from_secs(6)) else {
                eprintln!("{} did not stop within grace_s", balancer.name);
                return Ok(2);
            };
            record.line(format!("{} ended: {status}", balancer.name));
            thread::sleep(Duration::from_millis(500));
            balancer.spawn()?;
            if !balancer.wait_ready(Duration::from_secs(10)) {
                eprintln!("{} is not ready again", balancer.name);
                return Ok(2);
            }
            record.line(format!("{} is ready again", balancer.name));
            thread::sleep(Duration::from_millis(1_200));
        }
    }
    let mut broken = 0;
    for (index, flow) in flows.iter_mut().enumerate() {
        let id = format!("punch-{index}-c");
        let outcome = client.request(flow, &id, Duration::from_secs(1));
        let holder = targets.iter().find(|target| target.holds(&flow.key()));
        let holder_name = holder.map_or("nobody", |target| target.settings.id.as_str());
        let ran = targets
            .iter()
            .filter(|target| target.runs.lock().unwrap().contains_key(&id))
            .count();
        record.line(format!(
            "{id} on open flow {} ({} s old): {outcome:?}; flow held by {holder_name}; ran {ran} times",
            flow.local, opened.elapsed().as_secs()
        ));
        let reset_by_holder =
            holder.is_some_and(|target| target.resets.lock().unwrap().contains(&flow.key()));
        if outcome == Outcome::ResetBySystem && holder.is_some() && !reset_by_holder {
            broken += 1;
        }
    }
    record.line(format!("FLOW broken {broken} times"));
    println!("FLOW broken {broken} times");
    Ok(i32::from(broken > 0))
}
