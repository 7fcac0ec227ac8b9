//! Length-prefixed frames on a TCP stream; the length is a 4-byte big-endian integer.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Reads one frame. Returns `None` if the stream ended cleanly before it.
///
/// # Errors
///
/// The operating system's error; `InvalidData` for a length above `limit` bytes;
/// `UnexpectedEof` if the stream ended inside a frame.
pub async fn read_frame<R: AsyncRead + Unpin>(
    stream: &mut R,
    limit: usize,
) -> io::Result<Option<Vec<u8>>> {
    let mut length = [0; 4];
    match stream.read(&mut length).await? {
        0 => return Ok(None),
        count => stream.read_exact(&mut length[count..]).await?,
    };
    let length = usize::try_from(u32::from_be_bytes(length)).unwrap_or(usize::MAX);
    if length > limit {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    Ok(Some(frame))
}

/// Writes one frame and its length prefix in a single write.
///
/// # Errors
///
/// The operating system's error; `InvalidInput` for a frame of 4 GiB or more.
pub async fn write_frame<W: AsyncWrite + Unpin>(stream: &mut W, frame: &[u8]) -> io::Result<()> {
    let length = u32::try_from(frame.len()).map_err(|_| io::ErrorKind::InvalidInput)?;
    let mut bytes = Vec::with_capacity(frame.len() + 4);
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(frame);
    stream.write_all(&bytes).await
}
