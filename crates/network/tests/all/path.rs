//! Sending directly and through a gateway, on loopback.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use lovagelatch_network::{DatagramPath, HEADER_BYTES, PacketEnds, StreamPath, open_header};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, UdpSocket};

const ANY_PORT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

fn ipv4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

/// Far longer than loopback takes; a test that waits for what never comes fails by it.
const LIMIT: Duration = Duration::from_secs(10);

fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        tokio::time::timeout(LIMIT, future)
            .await
            .expect("done in time")
    })
}

#[test]
fn datagrams_go_directly_or_behind_a_header() {
    block_on(async {
        let sender = UdpSocket::bind(ANY_PORT).await.expect("a free port");
        // Until the runtime has first seen the socket writable, a path takes its buffer for full
        // and drops the datagram.
        sender.writable().await.expect("a new socket");
        let receiver = UdpSocket::bind(ANY_PORT).await.expect("a free port");
        let near = ipv4(receiver.local_addr().expect("bound"));
        let far = SocketAddrV4::new(Ipv4Addr::new(127, 9, 9, 9), 9);
        let mut buffer = [0; 128];

        let ends = |destination| PacketEnds {
            source: ANY_PORT,
            destination,
        };
        let direct = DatagramPath::new(None);
        direct
            .send(&sender, &ends(near), b"direct")
            .expect("sent to loopback");
        let (length, _) = receiver.recv_from(&mut buffer).await.expect("received");
        assert_eq!(&buffer[..length], b"direct");

        let through = DatagramPath::new(Some(near));
        through
            .send(&sender, &ends(far), b"through")
            .expect("sent to loopback");
        let (length, _) = receiver.recv_from(&mut buffer).await.expect("received");
        assert_eq!(
            open_header(&buffer[..length]),
            Ok((ends(far), &b"through"[..]))
        );
    });
}

#[test]
fn a_started_datagram_replaces_what_the_buffer_held() {
    let ends = PacketEnds {
        source: ANY_PORT,
        destination: ANY_PORT,
    };
    let mut buffer = vec![1; 50];
    DatagramPath::new(None).start_datagram(&ends, &mut buffer);
    assert!(buffer.is_empty());
    DatagramPath::new(Some(ANY_PORT)).start_datagram(&ends, &mut buffer);
    assert_eq!(buffer.len(), HEADER_BYTES);
}

#[test]
fn streams_go_directly_or_behind_a_header() {
    block_on(async {
        let listener = TcpListener::bind(ANY_PORT).await.expect("a free port");
        let near = ipv4(listener.local_addr().expect("bound"));
        let far = SocketAddrV4::new(Ipv4Addr::new(127, 9, 9, 9), 9);
        let source = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7);
        let direct = StreamPath::new(source, None);
        let (sent, accepted) = tokio::join!(direct.connect(near), listener.accept());
        let (mut sent, (mut accepted, _)) = (sent.expect("connected"), accepted.expect("accepted"));
        sent.write_all(b"x").await.expect("sent");
        assert_eq!(accepted.read_u8().await.expect("received"), b'x');

        let through = StreamPath::new(source, Some(near));
        let (sent, accepted) = tokio::join!(through.connect(far), listener.accept());
        let (_sent, (mut accepted, _)) = (sent.expect("connected"), accepted.expect("accepted"));
        let mut header = [0; HEADER_BYTES];
        accepted.read_exact(&mut header).await.expect("received");
        let ends = PacketEnds {
            source,
            destination: far,
        };
        assert_eq!(open_header(&header), Ok((ends, &[][..])));
    });
}
