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
