//! Shows cases of the review on the project's programs: stand-ins for clients, targets and the
//! platform's store, and one scenario a case.
//!
//! Usage: `standin CASE RECORD`, from the root of the repository. With `TROUBLE=0` in the
//! environment the disruption is left out. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case couldn't run.

mod check;
mod client;
mod deployment;
mod http;
mod packet;
mod record;
mod scenario;
mod store;
mod target;

use std::path::Path;
use std::process::{ExitCode, exit};
use std::thread;
use std::time::Duration;

/// Time after which a run is given up.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    if let Err(error) = record::start(Path::new(path)) {
        eprintln!("{path}: {error}");
        return ExitCode::from(2);
    }
    thread::spawn(|| {
        thread::sleep(LIMIT);
        deployment::kill_all();
        record::say("could not run: time is up");
        exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = std::panic::catch_unwind(|| scenario::run(case, has_trouble));
    deployment::kill_all();
    match result {
        Ok(Ok(true)) => {
            record::say("broken");
            ExitCode::from(1)
        }
        Ok(Ok(false)) => {
            record::say("held");
            ExitCode::SUCCESS
        }
        Ok(Err(cause)) => {
            record::say(&format!("could not run: {cause}"));
            ExitCode::from(2)
        }
        Err(_) => {
            record::say("could not run: the stand-in failed");
            ExitCode::from(2)
        }
    }
}
