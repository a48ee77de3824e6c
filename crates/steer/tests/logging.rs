//! Tests of how log lines are written.

use lentilreach_steer::process::logging::{MAX_WRITE_BYTES, write_chunks};

/// Lines must not be lost or split because a write exceeds the size of the reader's
/// buffer.
#[test]
fn chunks_consist_of_whole_lines() {
    let long = "x".repeat(MAX_WRITE_BYTES + 10);
    let lines: Vec<String> = (0..500)
        .map(|number| format!("{{\"line\":{number}}}\n"))
        .chain([format!("{long}\n"), "last\n".into()])
        .collect();
    let text = lines.concat();

    let cut: Vec<_> = write_chunks(text.as_bytes()).collect();

    assert_eq!(cut.concat(), text.as_bytes());
    assert!(cut.len() > 3);
    assert!(cut.iter().all(|chunk| chunk.ends_with(b"\n")));
    let is_single =
        |chunk: &[u8]| chunk.iter().filter(|byte| **byte == b'\n').count() == 1;
    assert!(cut.iter().all(|chunk| chunk.len() <= MAX_WRITE_BYTES || is_single(chunk)));
}
