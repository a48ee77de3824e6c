//! Checks and runs the subcommand `measure`.

#[path = "../src/measure.rs"]
mod measure;

/// Parses arguments as if passed by the shell.
fn parse(arguments: &[&str]) -> Result<clap::ArgMatches, clap::Error> {
    measure::command().try_get_matches_from([&["measure"], arguments].concat())
}

/// Guards against inconsistent definitions of the arguments.
#[test]
fn command_is_consistent() {
    measure::command().debug_assert();
}

/// Guards against values with which nothing can be measured.
#[test]
fn invalid_values_are_refused() {
    for arguments in [
        &["control", "--nodes", "0"][..],
        &["control", "--loss", "101"],
        &["control", "--plan", "unknown"],
        &["control", "--report", "xml"],
        &["rush", "--policy", "unknown"],
        &["rush", "--servers", "0"],
        &["rush", "--silent", "-1"],
        &[],
    ] {
        assert!(parse(arguments).is_err(), "{arguments:?}");
    }
}

/// Guards against a run that fails or whose report cannot be printed.
#[test]
fn small_fleet_is_measured() {
    let arguments = ["control", "--nodes", "6", "--targets", "10", "--seconds", "12"];
    let matches = parse(&arguments).expect("the arguments are valid");

    let status = measure::run(&matches);

    assert_eq!(format!("{status:?}"), format!("{:?}", std::process::ExitCode::SUCCESS));
}

/// Guards against a plot or a report that can't be written.
#[test]
fn a_rush_is_played_and_plotted() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = |name| directory.path().join(name).display().to_string();
    let (plot, waits) = (path("rush.svg"), path("waits.svg"));
    let load = ["rush", "--servers", "3", "--per-s", "50"];
    let plots = ["--svg", &plot, "--waits-svg", &waits];
    let arguments: Vec<_> = load.into_iter().chain(plots).collect();
    let matches = parse(&arguments).expect("the arguments are valid");

    let status = measure::run(&matches);

    let read = |path| std::fs::read_to_string(path).expect("a plot was written");
    let (plot, waits) = (read(&plot), read(&waits));
    assert_eq!(format!("{status:?}"), format!("{:?}", std::process::ExitCode::SUCCESS));
    assert!(plot.starts_with("<svg") && waits.starts_with("<svg"), "{plot:.40}");
    assert_ne!(plot, waits);
}
