//! `wagtailhill check`.

use std::{path::PathBuf, process::ExitCode};

use clap::ArgMatches;

use crate::exit;

/// Checks a settings file.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let path: &PathBuf = matches.get_one("settings").expect("clap requires it");
    let checked = if matches.get_flag("platform") {
        platform::load_entry(path).map(drop)
    } else if matches.get_flag("agent") {
        settings::load_agent(path).map(drop)
    } else {
        settings::load_entry(path).map(drop)
    };
    match checked {
        Ok(()) => {
            println!("{}: no findings", path.display());
            ExitCode::SUCCESS
        }
        Err(findings) => exit::faulty(path, &findings),
    }
}
