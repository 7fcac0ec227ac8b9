//! Reading and writing history files.

use std::io::Write;

use lovagelatch_history::{BackendRecord, HistoryError, HistoryWriter, read_history};

fn path(name: &str) -> std::path::PathBuf {
    let number = std::process::id();
    std::env::temp_dir().join(format!("lovagelatch-history-{number}-{name}.jsonl"))
}

/// Guards against a history that cannot be read after its process was killed in the middle of a
/// write, which leaves an incomplete last line.
#[test]
fn leaves_out_a_last_line_without_its_end() {
    let path = path("killed");
    let writer = HistoryWriter::create(&path).expect("a file in the temporary directory");
    let record = BackendRecord::Leaving { time_ms: 1.0 };
    writer.append(&record).expect("a writable file");
    let mut file = std::fs::OpenOptions::new();
    let file = file.append(true).open(&path);
    let truncated = file.and_then(|mut file| file.write_all(b"{\"record\":\"leav"));
    truncated.expect("a writable file");
    let records: Vec<BackendRecord> = read_history(&path).expect("a history");
    assert_eq!(records, [record]);
    let _ = std::fs::remove_file(&path);
}

#[test]
fn names_a_line_that_is_no_record() {
    let path = path("garbage");
    let text = "{\"record\":\"leaving\",\"time_ms\":1.0}\nnothing\n";
    std::fs::write(&path, text).expect("a file in the temporary directory");
    let read = read_history::<BackendRecord>(&path);
    assert!(
        matches!(read, Err(HistoryError::Line { line: 2, .. })),
        "{read:?}"
    );
    let _ = std::fs::remove_file(&path);
}
