//! Tests of length-prefixed frames.

use std::io;

use lovagelatch_network::{read_frame, write_frame};
use quickcheck::quickcheck;

const MAX_FRAME_BYTES: usize = 64;

fn block_on<F: Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime")
        .block_on(future)
}

fn read_all(mut bytes: &[u8]) -> Vec<Result<Vec<u8>, io::ErrorKind>> {
    let mut frames = Vec::new();
    loop {
        match block_on(read_frame(&mut bytes, MAX_FRAME_BYTES)) {
            Ok(Some(frame)) => frames.push(Ok(frame)),
            Ok(None) => return frames,
            Err(error) => {
                frames.push(Err(error.kind()));
                return frames;
            }
        }
    }
}

#[test]
fn streams_are_split_into_frames() {
    struct StreamCase {
        name: &'static str,
        bytes: Vec<u8>,
        expected: Vec<Result<Vec<u8>, io::ErrorKind>>,
    }
    let case = |name, bytes: &[u8], expected: &[Result<Vec<u8>, io::ErrorKind>]| StreamCase {
        name,
        bytes: bytes.to_vec(),
        expected: expected.to_vec(),
    };
    let truncated = [Err(io::ErrorKind::UnexpectedEof)];
    let too_long = [Err(io::ErrorKind::InvalidData)];
    let cases = [
        case("empty", &[], &[]),
        case("an empty frame", &[0, 0, 0, 0], &[Ok(vec![])]),
        case(
            "two frames",
            &[0, 0, 0, 1, 7, 0, 0, 0, 2, 8, 9],
            &[Ok(vec![7]), Ok(vec![8, 9])],
        ),
        case("truncated in the length", &[0, 0], &truncated),
        case("truncated in the frame", &[0, 0, 0, 3, 1], &truncated),
        case("longer than the limit", &[0, 0, 0, 65], &too_long),
        case("maximum length", &[0xff, 0xff, 0xff, 0xff, 1], &too_long),
    ];
    for case in cases {
        assert_eq!(read_all(&case.bytes), case.expected, "{}", case.name);
    }
}

quickcheck! {
    fn written_frames_are_read_back(frames: Vec<Vec<u8>>) -> bool {
        let frames: Vec<Vec<u8>> = frames
            .into_iter()
            .map(|frame| frame.into_iter().take(MAX_FRAME_BYTES).collect())
            .collect();
        let mut bytes = Vec::new();
        for frame in &frames {
            block_on(write_frame(&mut bytes, frame)).expect("writing to a vector");
        }
        let read: Result<Vec<Vec<u8>>, _> = read_all(&bytes).into_iter().collect();
        read == Ok(frames)
    }

    fn arbitrary_bytes_do_not_panic(bytes: Vec<u8>) -> bool {
        let frames = read_all(&bytes);
        frames.iter().flatten().all(|frame| frame.len() <= MAX_FRAME_BYTES)
    }
}
