//! The TCP gateway: forwards streams between processes.
//!
//! A stream never loses bytes. A cut stalls it until the cut ends, as TCP retransmission would, and
//! a silenced stream stalls until the fault is cleared.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_network::{HEADER_BYTES, PacketEnds, parse_header};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::state::FabricState;

/// Size of the read buffer.
const CHUNK_BYTES: usize = 16 * 1024;

/// Limit of chunks in flight in one direction of a stream.
const CHUNKS_IN_FLIGHT: usize = 64;

/// Interval at which a stalled stream checks for the end of a cut. Also the backoff after a failed
/// accept.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time in which a new stream must send its header.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts and forwards streams. Never returns.
pub(crate) async fn forward_streams(state: Arc<FabricState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = Arc::clone(&state);
                // A failed stream closes both connections, so the error needs no other report.
                tokio::spawn(async move { forward_stream(state, stream).await });
            }
            Err(_) => sleep(CUT_POLL_INTERVAL).await,
        }
    }
}

async fn forward_stream(state: Arc<FabricState>, mut inbound: TcpStream) -> io::Result<()> {
    inbound.set_nodelay(true)?;
    let ends = timeout(HEADER_TIMEOUT, read_ends(&mut inbound)).await??;
    let reversed = PacketEnds {
        source: ends.destination,
        destination: ends.source,
    };
    let number = state.new_stream_number();
    let forward = StreamDirection {
        state: Arc::clone(&state),
        ends,
        number,
    };
    let backward = StreamDirection {
        state: Arc::clone(&state),
        ends: reversed,
        number,
    };
    forward.wait_until_open().await;
    sleep(forward.delay()).await;
    let outbound = TcpStream::connect(ends.destination).await?;
    outbound.set_nodelay(true)?;
    state.counters.streams.increment();
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    // A failure of one direction also ends the other.
    tokio::try_join!(
        forward.copy(inbound_read, outbound_write),
        backward.copy(outbound_read, inbound_write)
    )?;
    Ok(())
}

async fn read_ends(stream: &mut TcpStream) -> io::Result<PacketEnds> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await?;
    let (ends, _) = parse_header(&header).map_err(|_| io::ErrorKind::InvalidData)?;
    Ok(ends)
}

/// One direction of a stream.
struct StreamDirection {
    state: Arc<FabricState>,
    ends: PacketEnds,
    number: u64,
}

impl StreamDirection {
    fn delay(&self) -> Duration {
        let topology = self.state.topology();
        topology.delay_between(self.ends.source, self.ends.destination)
    }

    async fn wait_until_open(&self) {
        while self.state.is_silent_stream(self.number)
            || self.state.is_cut(self.ends.source, self.ends.destination)
        {
            sleep(CUT_POLL_INTERVAL).await;
        }
    }

    async fn copy(&self, read: OwnedReadHalf, write: OwnedWriteHalf) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
        tokio::try_join!(
            self.read_chunks(read, sender),
            self.write_chunks(receiver, write)
        )?;
        Ok(())
    }

    async fn read_chunks(
        &self,
        mut read: OwnedReadHalf,
        sender: mpsc::Sender<(Instant, Vec<u8>)>,
    ) -> io::Result<()> {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let length = read.read(&mut buffer).await?;
            let due = Instant::now() + self.delay();
            // An empty chunk marks the end of the stream, with the same delay.
            let sent = sender.send((due, buffer[..length].to_vec())).await;
            if length == 0 || sent.is_err() {
                return Ok(());
            }
        }
    }

    async fn write_chunks(
        &self,
        mut receiver: mpsc::Receiver<(Instant, Vec<u8>)>,
        mut write: OwnedWriteHalf,
    ) -> io::Result<()> {
        while let Some((due, chunk)) = receiver.recv().await {
            sleep_until(due).await;
            self.wait_until_open().await;
            if chunk.is_empty() {
                return write.shutdown().await;
            }
            write.write_all(&chunk).await?;
        }
        Ok(())
    }
}
