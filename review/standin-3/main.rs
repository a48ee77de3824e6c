//! Plays a case against the project's own programs:
//! `standin-3 CASE FOLDER with|without`, from the root of the repository: with the disruption or
//! without it, as `run.sh` of the case says by `TROUBLE`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod client;
mod drill;
mod json;
mod odd;
mod packet;
mod skew;
mod stale;
mod store;
mod target;
mod world;

use std::path::Path;

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, folder, disruption] = &arguments[..] else {
        eprintln!("standin-3 CASE FOLDER with|without");
        std::process::exit(2);
    };
    let has_trouble = match &**disruption {
        "with" => true,
        "without" => false,
        _ => {
            eprintln!("standin-3 CASE FOLDER with|without");
            std::process::exit(2);
        }
    };
    // A run that lasts too long couldn't show anything.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(112));
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let folder = Path::new(folder);
    let verdict = match &**case {
        "drill" => drill::play(folder, has_trouble),
        "odd" => odd::play(folder, has_trouble),
        "stale" => stale::play(folder, has_trouble),
        "skew" => skew::play(folder, has_trouble),
        _ => Err("no such case".to_owned()),
    };
    match verdict {
        Ok(true) => println!("the rule held"),
        Ok(false) => {
            println!("the rule was broken");
            std::process::exit(1);
        }
        Err(cause) => {
            eprintln!("the case couldn't run: {cause}");
            std::process::exit(2);
        }
    }
}
