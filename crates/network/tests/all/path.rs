//! Tests of sending directly and through a gateway, on loopback.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use lovagelatch_network::{DatagramPath, HEADER_BYTES, PacketEnds, StreamPath, parse_header};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, UdpSocket};

const ANY_PORT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

fn ipv4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

/// Far longer than loopback takes; fails a test that would otherwise wait forever.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        tokio::time::timeout(TEST_TIMEOUT, future)
            .await
            .expect("finished before the timeout")
    })
}

#[test]
fn gateway_datagrams_carry_a_header() {
    block_on(async {
        let sender = UdpSocket::bind(ANY_PORT).await.expect("a free port");
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

        let gateway = DatagramPath::new(Some(near));
        gateway
            .send(&sender, &ends(far), b"through")
            .expect("sent to loopback");
        let (length, _) = receiver.recv_from(&mut buffer).await.expect("received");
        assert_eq!(
            parse_header(&buffer[..length]),
            Ok((ends(far), &b"through"[..]))
        );
    });
}

/// Guards against silent loss of the first datagram of a process, which delays its answer until a
/// retransmission. A runtime that has not yet polled a new socket returns `WouldBlock` for a send,
/// which was mistaken for a full buffer.
#[test]
fn the_first_datagram_of_a_new_socket_is_sent() {
    block_on(async {
        let receiver = UdpSocket::bind(ANY_PORT).await.expect("a free port");
        let near = ipv4(receiver.local_addr().expect("bound"));
        let ends = PacketEnds {
            source: ANY_PORT,
            destination: near,
        };
        let mut buffer = [0; 128];
        for number in 0..20_u8 {
            let sender = UdpSocket::bind(ANY_PORT).await.expect("a free port");
            let sent = DatagramPath::new(None).send(&sender, &ends, &[number]);
            sent.expect("sent to loopback");
            let (length, _) = receiver.recv_from(&mut buffer).await.expect("received");
            assert_eq!(buffer[..length], [number]);
        }
    });
}

/// A full send buffer drops datagrams without blocking or returning an error.
#[test]
fn full_send_buffer_drops_without_blocking() {
    block_on(async {
        let sender = UdpSocket::bind(ANY_PORT).await.expect("a free port");
        let size = socket2::SockRef::from(&sender).set_send_buffer_size(4_096);
        size.expect("a small buffer");
        let receiver = UdpSocket::bind(ANY_PORT).await.expect("a free port");
        let ends = PacketEnds {
            source: ANY_PORT,
            destination: ipv4(receiver.local_addr().expect("bound")),
        };
        for _ in 0..5_000 {
            let sent = DatagramPath::new(None).send(&sender, &ends, &[7; 1_400]);
            sent.expect("sent or dropped");
        }
    });
}

#[test]
fn starting_a_datagram_clears_the_buffer() {
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
fn gateway_streams_start_with_a_header() {
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

        let gateway = StreamPath::new(source, Some(near));
        let (sent, accepted) = tokio::join!(gateway.connect(far), listener.accept());
        let (_sent, (mut accepted, _)) = (sent.expect("connected"), accepted.expect("accepted"));
        let mut header = [0; HEADER_BYTES];
        accepted.read_exact(&mut header).await.expect("received");
        let ends = PacketEnds {
            source,
            destination: far,
        };
        assert_eq!(parse_header(&header), Ok((ends, &[][..])));
    });
}
