//! Exit codes that scripts can rely on.

use std::{fmt::Display, path::Path, process::ExitCode};

use model::Finding;

/// A process that can't run or was cut short, or a call that failed.
pub const FAILED: u8 = 1;
/// Faulty settings, input or arguments.
pub const FAULTY: u8 = 2;

/// Prints every finding of a file.
pub fn faulty(path: &Path, findings: &[Finding]) -> ExitCode {
    for finding in findings {
        eprintln!("{}: {finding}", path.display());
    }
    let count = findings.len();
    eprintln!("{count} finding(s). Mend the file and run `wagtailhill check` again.");
    ExitCode::from(FAULTY)
}

/// Prints why something failed.
pub fn failed(error: impl Display) -> ExitCode {
    eprintln!("Failed: {error}");
    ExitCode::from(FAILED)
}
