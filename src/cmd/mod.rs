//! One file for each subcommand.

pub mod apply;
pub mod audit;
pub mod check;
pub mod delete;
pub mod gateway;
pub mod get;
pub mod hash;
pub mod serve;
pub mod status;
pub mod watch;

use std::process::ExitCode;

use clap::ArgMatches;
use tokio::runtime;

use crate::{
    client::{self, Client, Error},
    exit,
};

/// Runs calls to the operators' API; success is exit code 0.
fn call(matches: &ArgMatches, calls: impl AsyncFnOnce(&Client) -> Result<(), Error>) -> ExitCode {
    call_with_code(matches, async |client| {
        calls(client).await?;
        Ok(ExitCode::SUCCESS)
    })
}

/// Runs calls that give an exit code of their own.
fn call_with_code(
    matches: &ArgMatches,
    calls: impl AsyncFnOnce(&Client) -> Result<ExitCode, Error>,
) -> ExitCode {
    let client = match client::open(matches) {
        Ok(client) => client,
        Err(error) => return error.report(),
    };
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return exit::failed(error),
    };
    runtime.block_on(calls(&client)).unwrap_or_else(|error| error.report())
}
