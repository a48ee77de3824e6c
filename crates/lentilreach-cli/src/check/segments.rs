//! Checks the operators' document of the front end for segments.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use lentilreach::process::input;
use lentilreach::version::lint::Finding;
use lentilreach_platform::config;
use lentilreach_steer::process::documents::Config;
use lentilreach_steer::version::lint;
use serde_json::json;

use super::{Line, report};
use crate::reply::Reply;

/// Checks the document.
pub(super) fn run(matches: &ArgMatches) -> Reply {
    let path = matches.get_one::<PathBuf>("file").map_or(Path::new(""), PathBuf::as_path);
    let (config, mut findings) = match load(path) {
        Ok(loaded) => loaded,
        Err(reply) => return reply,
    };
    findings.extend(lint::findings(&config));
    let differences = match matches.get_one::<PathBuf>("against").map(|path| load(path)) {
        None => None,
        Some(Ok((old, _))) => Some(differences(&old, &config)),
        Some(Err(reply)) => return reply,
    };
    let (routes, services) = (config.routes.len(), config.services.len());
    let version = config.version;
    let summary = format!("version {version}, {routes} routes, {services} services");
    let fields = json!({ "version": version, "routes": routes, "services": services });
    report(matches, &findings, differences, &summary, fields)
}

/// Reads a document, and what is left out of it.
fn load(path: &Path) -> Result<(Config, Vec<Finding>), Reply> {
    let text = input::load(path).map_err(|errors| Reply::errors(&errors))?;
    config::inspect(text.as_bytes())
        .map_err(|error| Reply::bad_input(format!("{}: {}", path.display(), error.cause)))
}

/// The differences between two versions.
fn differences(old: &Config, new: &Config) -> Vec<Line> {
    let differences = lint::differences(old, new).into_iter();
    let line = |difference: lint::Difference| Line {
        text: difference.text,
        effect: difference.effect,
        is_tighter: difference.is_tighter,
    };
    differences.map(line).collect()
}
