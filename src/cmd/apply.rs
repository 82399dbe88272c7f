//! `wagtailhill apply`.

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use api::Item;
use clap::ArgMatches;
use model::{Finding, Resource, finding, id::Offset, resource::Kind};
use serde_json::Value;
use uuid::Uuid;

use crate::{
    cli,
    client::{self, Client, Error, Write},
    cmd, exit,
};

/// One resource of the file.
struct Wanted {
    /// Its place in the file.
    place: String,
    resource: Resource,
    /// Version that the file expects; the one that stands where it says none.
    expected: Option<Offset>,
}

/// What became of it.
enum Done {
    Written(Offset),
    Unchanged(Offset),
}

/// What became of all.
struct Applied {
    /// Highest version that stands now; 0 where nothing was accepted.
    highest: Offset,
    /// Exit code of the first failure; 0 where there was none.
    code: u8,
}

impl Done {
    fn version(&self) -> Offset {
        match self {
            Done::Written(version) | Done::Unchanged(version) => *version,
        }
    }
}

/// Applies all resources of a file; goes on after a failure, so that every finding is told.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let path: &PathBuf = matches.get_one("file").expect("clap requires it");
    let mut wanted = match read(path) {
        Ok(wanted) => wanted,
        Err(findings) => return print_findings(path, &findings),
    };
    // What is referred to comes first, in whatever order the file has it.
    wanted.sort_by_key(|wanted| order(wanted.resource.key().kind));
    cmd::call_with_code(matches, async |client| {
        let Applied { highest, mut code } = apply_all(matches, client, path, &wanted).await;
        let waits = cli::wait(matches) == client::IN_FORCE;
        if waits && highest > 0 && !client.in_force(highest, cli::timeout(matches)).await {
            eprintln!("Accepted up to {highest}, but not known to be in force everywhere yet.");
            eprintln!("Run `wagtailhill status` to see who is behind.");
            code = if code == 0 { client::UNKNOWN } else { code };
        }
        Ok(ExitCode::from(code))
    })
}

/// Applies one after another. We wait only for the last to be in force: that says it of all, and
/// before the first target is declared nobody can say it of any.
async fn apply_all(
    matches: &ArgMatches,
    client: &Client,
    path: &Path,
    wanted: &[Wanted],
) -> Applied {
    let mut applied = Applied { highest: 0, code: 0 };
    for wanted in wanted {
        match apply(matches, client, wanted).await {
            Ok(done) => {
                print_done(matches, wanted, &done);
                applied.highest = applied.highest.max(done.version());
            }
            Err(error) => {
                print_failure(path, wanted, &error);
                applied.code = if applied.code == 0 { error.code() } else { applied.code };
            }
        }
    }
    applied
}

async fn apply(matches: &ArgMatches, client: &Client, wanted: &Wanted) -> Result<Done, Error> {
    let key = wanted.resource.key();
    let stands = match client.get::<Item>(&client::path(&key)).await {
        Ok(item) => Some(item),
        Err(error) if error.code() == client::NOT_FOUND => None,
        Err(error) => return Err(error),
    };
    if let Some(item) = &stands
        && item.resource == wanted.resource
    {
        return Ok(Done::Unchanged(item.version));
    }
    let stands = stands.map_or(0, |item| item.version);
    let write = Write {
        change: Uuid::new_v4(),
        expected: wanted.expected.unwrap_or(stands),
        wait: client::ACCEPTED,
        timeout: cli::timeout(matches),
    };
    Ok(Done::Written(client.write(&key, Some(&wanted.resource), write).await?.version))
}

fn read(path: &Path) -> Result<Vec<Wanted>, Vec<Finding>> {
    let text = fs::read_to_string(path).map_err(|e| vec![Finding::new("", e.to_string())])?;
    let value: Value = serde_json::from_str(&text).map_err(|e| {
        let place = format!("line {}, column {}", e.line(), e.column());
        vec![Finding::new(place, format!("not JSON: {e}"))]
    })?;
    let values = match value {
        Value::Array(values) => values,
        one => vec![one],
    };
    let mut wanted = Vec::new();
    let mut findings = Vec::new();
    for (index, value) in values.into_iter().enumerate() {
        match read_one(format!("[{index}]"), value) {
            Ok(one) => wanted.push(one),
            Err(found) => findings.extend(found),
        }
    }
    if findings.is_empty() { Ok(wanted) } else { Err(findings) }
}

/// Reads a resource, bare or with a version as `wagtailhill get --output json` prints it.
fn read_one(place: String, value: Value) -> Result<Wanted, Vec<Finding>> {
    let (expected, value) = match value.get("resource") {
        Some(resource) => (value["version"].as_u64(), resource.clone()),
        None => (None, value),
    };
    let kind = value.get("kind").cloned().unwrap_or_default();
    let kind: Kind = serde_json::from_value(kind).map_err(|_| {
        let place = finding::place(&place, "kind");
        vec![Finding::new(place, "must be account, tier, pool or target")]
    })?;
    let text = serde_json::to_vec(&value).expect("a value is JSON");
    match api::read_resource(kind, &text) {
        Ok(resource) => Ok(Wanted { place, resource, expected }),
        Err(found) => Err(found.into_iter().map(|found| in_file(&place, &found)).collect()),
    }
}

/// Puts a finding that has its place in a request's body below a place in the file.
fn in_file(place: &str, found: &Finding) -> Finding {
    let path = found.place.strip_prefix("body").unwrap_or(&found.place);
    Finding::new(finding::place(place, path.trim_start_matches('.')), found.message.clone())
}

fn order(kind: Kind) -> u8 {
    match kind {
        Kind::Tier => 0,
        Kind::Account => 1,
        Kind::Pool => 2,
        Kind::Target => 3,
    }
}

fn print_findings(path: &Path, findings: &[Finding]) -> ExitCode {
    for found in findings {
        eprintln!("{}: {found}", path.display());
    }
    eprintln!(
        "{} finding(s). Nothing was changed. Mend the file and apply it again.",
        findings.len()
    );
    ExitCode::from(exit::FAULTY)
}

fn print_done(matches: &ArgMatches, wanted: &Wanted, done: &Done) {
    let version = done.version();
    let word = match done {
        Done::Written(_) => "accepted",
        Done::Unchanged(_) => "unchanged",
    };
    if cli::is_json(matches) {
        let item = Item { version, resource: wanted.resource.clone() };
        return println!("{}", serde_json::to_string(&item).expect("an item is JSON"));
    }
    let key = wanted.resource.key();
    println!("{} `{}` {word} at {version}", client::kind_name(key.kind), key.name);
}

fn print_failure(path: &Path, wanted: &Wanted, error: &Error) {
    let findings = error.failure().map(|failure| failure.findings.as_slice()).unwrap_or_default();
    if findings.is_empty() {
        eprintln!("{}: {}: {error}", path.display(), wanted.place);
    }
    for found in findings {
        eprintln!("{}: {}", path.display(), in_file(&wanted.place, found));
    }
}
