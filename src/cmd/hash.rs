//! `wagtailhill hash`.

use std::{io, process::ExitCode};

use model::credential;

use crate::exit;

/// Hashes a key, so that it needn't stand in a file or in the shell's history.
pub fn run() -> ExitCode {
    let mut line = String::new();
    if let Err(error) = io::stdin().read_line(&mut line) {
        return exit::failed(error);
    }
    match line.trim() {
        "" => {
            eprintln!("No key came in. Write the key to standard input, on one line.");
            ExitCode::from(exit::FAULTY)
        }
        key => {
            println!("{}", credential::hash(key));
            ExitCode::SUCCESS
        }
    }
}
