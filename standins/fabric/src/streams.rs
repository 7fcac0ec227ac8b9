//! The gateway for TCP streams between processes.
//!
//! Bytes are never lost on a stream: a cut holds them back until it is mended, as
//! retransmission would, and a silent stream holds them back for good.

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

/// Bytes read at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Chunks under way in one direction of a stream.
const CHUNKS_UNDER_WAY: usize = 64;

/// How late the end of a cut may be seen.
const CUT_STEP: Duration = Duration::from_millis(10);

/// How long a new stream may take to send its header.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts streams, for ever.
pub(crate) async fn pass_streams(state: Arc<FabricState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = Arc::clone(&state);
                // A stream that fails ends at both sides, which is all its ends need to see.
                tokio::spawn(async move { pass_stream(state, stream).await });
            }
            Err(_) => sleep(CUT_STEP).await,
        }
    }
}

async fn pass_stream(state: Arc<FabricState>, mut near: TcpStream) -> io::Result<()> {
    near.set_nodelay(true)?;
    let ends = timeout(HEADER_TIMEOUT, read_ends(&mut near)).await??;
    let back = PacketEnds {
        source: ends.destination,
        destination: ends.source,
    };
    let number = state.new_stream();
    let there = StreamLink {
        state: Arc::clone(&state),
        ends,
        number,
    };
    let here = StreamLink {
        state: Arc::clone(&state),
        ends: back,
        number,
    };
    there.wait_until_open().await;
    sleep(there.delay()).await;
    let far = TcpStream::connect(ends.destination).await?;
    far.set_nodelay(true)?;
    state.counters.streams.add_one();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    // Either direction that fails ends the other too.
    tokio::try_join!(
        there.pump(near_read, far_write),
        here.pump(far_read, near_write)
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
struct StreamLink {
    state: Arc<FabricState>,
    ends: PacketEnds,
    number: u64,
}

impl StreamLink {
    fn delay(&self) -> Duration {
        let topology = self.state.topology();
        topology.delay_between(self.ends.source, self.ends.destination)
    }

    async fn wait_until_open(&self) {
        while self.state.is_silent_stream(self.number)
            || self.state.is_cut(self.ends.source, self.ends.destination)
        {
            sleep(CUT_STEP).await;
        }
    }

    async fn pump(&self, read: OwnedReadHalf, write: OwnedWriteHalf) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(CHUNKS_UNDER_WAY);
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
            // An empty chunk carries the end of the stream, with the same delay.
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
