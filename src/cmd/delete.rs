//! `wagtailhill delete`.

use std::process::ExitCode;

use api::Item;
use clap::ArgMatches;
use model::resource::Key;
use uuid::Uuid;

use crate::{
    cli,
    client::{self, Write},
    cmd,
};

/// Deletes one resource.
pub fn run(matches: &ArgMatches) -> ExitCode {
    cmd::call(matches, async |client| {
        let name: &String = matches.get_one("name").expect("clap requires it");
        let key = Key { kind: cli::kind(matches), name: name.clone() };
        let expected = match matches.get_one::<u64>("version") {
            Some(version) => *version,
            None => client.get::<Item>(&client::path(&key)).await?.version,
        };
        let write = Write {
            change: Uuid::new_v4(),
            expected,
            wait: cli::wait(matches),
            timeout: cli::timeout(matches),
        };
        let written = client.write(&key, None, write).await?;
        match cli::is_json(matches) {
            true => println!("{}", serde_json::to_string(&written).expect("an answer is JSON")),
            false => {
                println!("{} `{name}` deleted at {}", client::kind_name(key.kind), written.version)
            }
        }
        Ok(())
    })
}
