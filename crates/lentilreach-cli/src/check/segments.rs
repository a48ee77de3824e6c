//! Checks the operators' document of the front end for segments.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use futures_lite::future;
use lentilreach::Name;
use lentilreach::process::input;
use lentilreach::process::store::{Client, Error, Range, Store as _};
use lentilreach::version::lint::Finding;
use lentilreach_platform::config;
use lentilreach_steer::process::documents::{Config, Kind, Source as _};
use lentilreach_steer::process::roster::membership::{self, Listed};
use lentilreach_steer::version::lint;
use serde_json::json;

use super::{Line, report, unreadable};
use crate::context::Context;
use crate::reply::Reply;
use crate::store;

/// Checks the document.
pub(super) fn run(context: &Context, matches: &ArgMatches) -> Reply {
    check(context, matches).unwrap_or_else(|reply| reply)
}

/// Returns the reply for a document that could be read, and an error for another one.
fn check(context: &Context, matches: &ArgMatches) -> Result<Reply, Reply> {
    let path = matches.get_one::<PathBuf>("file").map_or(Path::new(""), PathBuf::as_path);
    let (config, mut findings) = load(path)?;
    findings.extend(lint::findings(&config));
    let mut old = match matches.get_one::<PathBuf>("against") {
        None => None,
        Some(path) => Some(load(path)?.0),
    };
    if !context.store.is_empty() {
        let client = store::connect(context)?;
        let stored = future::block_on(Stored::read(&client));
        let stored = stored.map_err(|error| unreadable(&error))?;
        findings.extend(lint::empty_domains(&stored.domains_out(), &stored.members()));
        if old.is_none() {
            old = Some(stored.config()?);
        }
    }
    let differences = old.map(|old| differences(&old, &config));
    let (routes, services) = (config.routes.len(), config.services.len());
    let version = config.version;
    let summary = format!("version {version}, {routes} routes, {services} services");
    let fields = json!({ "version": version, "routes": routes, "services": services });
    Ok(report(matches, &findings, differences, &summary, fields))
}

/// Reads a document, and what is left out of it.
fn load(path: &Path) -> Result<(Config, Vec<Finding>), Reply> {
    let text = input::load(path).map_err(|errors| Reply::errors(&errors))?;
    config::inspect(text.as_bytes())
        .map_err(|error| Reply::bad_input(format!("{}: {}", path.display(), error.cause)))
}

/// What the store holds.
struct Stored {
    /// The operators' documents.
    documents: Range,
    /// The entries of members.
    members: Range,
}

impl Stored {
    /// Reads the store.
    async fn read(client: &Client) -> Result<Self, Error> {
        let documents = client.range(config::Source.prefix()).await?;
        let members = client.range(membership::PREFIX).await?;
        Ok(Self { documents, members })
    }

    /// The configuration in force; an empty one if there is none yet.
    fn config(&self) -> Result<Config, Reply> {
        let is_config = |key: &str| matches!(config::Source.kind(key), Kind::Config);
        let entry = self.documents.entries.iter().find(|entry| is_config(&entry.key));
        let Some(entry) = entry else { return Ok(Config::default()) };
        let config = config::Source.config(&entry.value);
        config.map_err(|error| {
            let cause = error.cause;
            Reply::failed(format!("the configuration in force cannot be read: {cause}"))
        })
    }

    /// The failure domains that are out of service.
    fn domains_out(&self) -> Vec<Name> {
        let kinds =
            self.documents.entries.iter().map(|entry| config::Source.kind(&entry.key));
        let domain = |kind| match kind {
            Kind::DomainOut(domain) => Some(domain),
            Kind::Config | Kind::Other => None,
        };
        kinds.filter_map(domain).collect()
    }

    /// The members that are listed; entries that can't be read are left out.
    fn members(&self) -> Vec<Listed> {
        self.members.entries.iter().filter_map(|entry| entry.try_into().ok()).collect()
    }
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
