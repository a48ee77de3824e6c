//! Files that are too long, too deeply nested or damaged.

use lentilreach::process::input;
use lentilreach::process::settings::{Agent, Balancer};
use lentilreach::version::config::Document;

/// The errors in a configuration file as they are printed.
fn report(text: &str) -> String {
    match Document::parse("weilheim.jsonc", text) {
        Ok(_) => "no errors".into(),
        Err(errors) => errors.to_string(),
    }
}

/// Parses a text as each kind of file and returns the errors of each.
fn parse(text: &str) -> [Option<input::Errors>; 3] {
    [
        Document::parse("x", text).err(),
        Balancer::parse("x", text).err(),
        Agent::parse("x", text).err(),
    ]
}

/// Guards against a stack overflow of the recursive parser.
#[test]
fn deep_nesting_is_refused() {
    let text = format!("{{ \"domains\": {}", "[".repeat(100_000));

    assert_eq!(
        report(&text),
        "weilheim.jsonc:1:29: error: nested more than 16 levels deep"
    );
}

/// Guards against a huge file that is read whole, and against an off-by-one error in the limit.
#[test]
fn long_files_are_refused() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("long.jsonc");
    std::fs::write(&path, vec![b' '; 10_000_000]).expect("a file of 10 MB");
    let limit = 256 * 1024;

    let from_file = input::load(&path).expect_err("too long");
    let from_text = report(&" ".repeat(limit + 1));
    let at_limit = report(&format!("{{{}", " ".repeat(limit - 1)));

    assert_eq!(from_file.as_slice()[0].message, "the file is longer than 256 KiB");
    assert_eq!(from_text, "weilheim.jsonc:1:1: error: the file is longer than 256 KiB");
    assert!(at_limit.contains("this { is not closed"), "{at_limit}");
}

/// Guards against a panic on a file that is missing or not UTF-8.
#[test]
fn unreadable_files() {
    let directory = tempfile::tempdir().expect("a directory");

    let missing =
        input::load(&directory.path().join("missing.jsonc")).expect_err("missing");
    let binary = input::decode(&"x".into(), b"{\n  \"\xc3\xa4\" \xff".to_vec());

    assert_eq!(missing.as_slice()[0].place, input::Place { line: 1, column: 1 });
    assert_eq!(
        binary.expect_err("not UTF-8").to_string(),
        "x:2:7: error: the file is not UTF-8\n  hint: save the file as UTF-8"
    );
}

/// Guards against a panic, or a position outside the file, for files that are truncated or
/// damaged at any byte.
#[test]
fn damaged_files_are_reported() {
    let texts = [
        include_str!("../../../examples/weilheim.jsonc"),
        include_str!("../../../examples/peakline-balancer.jsonc"),
        include_str!("../../../examples/peakline-agent.jsonc"),
    ];
    let mut random = fastrand::Rng::with_seed(1);
    for text in texts {
        for cut in 0..text.len() {
            let mut bytes = text.as_bytes().to_vec();
            bytes[cut] =
                random.choice(b"{}[]\"'\\:,/*-0eE \n".iter()).copied().unwrap_or(0);
            let damaged = String::from_utf8_lossy(&bytes).into_owned();
            for text in [&text[..cut], &damaged] {
                let lines = text.lines().count().max(1) as u32 + 1;

                let errors = parse(text);

                let places = errors.iter().flatten().flat_map(|errors| errors.as_slice());
                assert!(places.into_iter().all(|e| e.place.line <= lines), "{text}");
                // The kinds of files have different keys, so at most one of them accepts the
                // text.
                assert!(errors.iter().flatten().count() >= 2, "{text}");
            }
        }
    }
}
