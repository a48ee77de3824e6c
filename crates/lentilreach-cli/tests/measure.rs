//! The subcommand `measure`.

#[path = "../src/measure.rs"]
mod measure;

/// The arguments as the shell passes them.
fn matches(arguments: &[&str]) -> Result<clap::ArgMatches, clap::Error> {
    measure::command().try_get_matches_from([&["measure"], arguments].concat())
}

/// Guards against arguments that conflict or lack a parser.
#[test]
fn command_is_consistent() {
    measure::command().debug_assert();
}

/// Guards against values that would make the measurement meaningless.
#[test]
fn invalid_values_are_refused() {
    for arguments in [
        &["control", "--nodes", "0"][..],
        &["control", "--loss", "101"],
        &["control", "--plan", "unknown"],
        &["control", "--report", "xml"],
        &[],
    ] {
        assert!(matches(arguments).is_err(), "{arguments:?}");
    }
}

/// Guards against a run that fails or cannot be printed.
#[test]
fn small_fleet_is_measured() {
    let arguments = ["control", "--nodes", "6", "--targets", "10", "--seconds", "12"];
    let matches = matches(&arguments).expect("the arguments are valid");

    let status = measure::run(&matches);

    assert_eq!(format!("{status:?}"), format!("{:?}", std::process::ExitCode::SUCCESS));
}
