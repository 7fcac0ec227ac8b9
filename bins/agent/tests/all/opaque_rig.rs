//! An agent process for opaque packets, with sockets in place of its target and of a balancer.

use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use lovagelatch_domain::AgentAddress;
use lovagelatch_flows::{PeerFrame, write_frame};

/// How long a packet may take on a busy machine.
pub(crate) const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(5);

/// An agent process with sockets in place of its target and of a balancer.
pub(crate) struct AgentRig {
    pub(crate) child: Child,
    frames: SocketAddrV4,
    pub(crate) outbound: SocketAddrV4,
    pub(crate) target: UdpSocket,
    pub(crate) balancer: UdpSocket,
    settings: std::path::PathBuf,
}

impl AgentRig {
    pub(crate) fn start(name: &str) -> Self {
        let target = bind();
        let balancer = bind();
        let [frames, packets, ready, operations, outbound] = [0; 5].map(|_| free_address());
        let text = format!(
            "[process]\nname = {name}\nzone = hall-a\ntraffic = opaque\n\
             [network]\nframes = {frames}\npackets = {packets}\nready = {ready}\n\
             operations = {operations}\n\
             [agent]\nservice = claims\nbackend = {}\noutbound = {outbound}\nfirst_start = true\n",
            address_of(&target)
        );
        let settings = std::env::temp_dir().join(format!("{name}-{}.ini", std::process::id()));
        std::fs::write(&settings, text).expect("the settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_lovagelatch-agent"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("an agent");
        let rig = Self {
            child,
            frames,
            outbound,
            target,
            balancer,
            settings,
        };
        rig.wait_until_ready();
        rig
    }

    fn wait_until_ready(&self) {
        let balancer = AgentAddress(address_of(&self.balancer));
        let started = Instant::now();
        let mut answer = [0; 2_048];
        self.balancer
            .set_read_timeout(Some(Duration::from_millis(50)))
            .expect("a time-out");
        while self.balancer.recv(&mut answer).is_err() {
            assert!(
                started.elapsed() < ARRIVAL_TIMEOUT,
                "the agent does not answer"
            );
            self.send_frame(&PeerFrame::Probe { balancer }, &[]);
        }
    }

    pub(crate) fn send_frame(&self, frame: &PeerFrame, packet: &[u8]) {
        let mut bytes = Vec::new();
        write_frame(frame, packet, &mut bytes);
        self.balancer.send_to(&bytes, self.frames).expect("sent");
    }

    /// Sends SIGTERM to the agent.
    pub(crate) fn terminate(&self) {
        let pid = i32::try_from(self.child.id()).expect("a process id");
        // SAFETY: sends a signal to a child process that has not been waited for.
        assert_eq!(unsafe { libc::kill(pid, libc::SIGTERM) }, 0);
    }
}

impl Drop for AgentRig {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

pub(crate) fn bind() -> UdpSocket {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a socket")
}

pub(crate) fn address_of(socket: &UdpSocket) -> SocketAddrV4 {
    match socket.local_addr().expect("an address") {
        std::net::SocketAddr::V4(address) => address,
        std::net::SocketAddr::V6(_) => unreachable!("bound to an IPv4 address"),
    }
}

fn free_address() -> SocketAddrV4 {
    address_of(&bind())
}
