//! How log lines are written.

use lentilreach_steer::process::lines::{PIECE, pieces};

/// Guards against lines that a reader loses or sees cut because one write was too long.
#[test]
fn pieces_hold_whole_lines() {
    let long = "x".repeat(PIECE + 10);
    let lines: Vec<String> = (0..500)
        .map(|number| format!("{{\"line\":{number}}}\n"))
        .chain([format!("{long}\n"), "last\n".into()])
        .collect();
    let text = lines.concat();

    let cut: Vec<_> = pieces(text.as_bytes()).collect();

    assert_eq!(cut.concat(), text.as_bytes());
    assert!(cut.len() > 3);
    assert!(cut.iter().all(|piece| piece.ends_with(b"\n")));
    let is_single =
        |piece: &[u8]| piece.iter().filter(|byte| **byte == b'\n').count() == 1;
    assert!(cut.iter().all(|piece| piece.len() <= PIECE || is_single(piece)));
}
