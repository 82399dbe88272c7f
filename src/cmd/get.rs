//! `wagtailhill get`.

use std::process::ExitCode;

use api::{Item, Page};
use clap::ArgMatches;
use model::resource::{Key, Kind};

use crate::{
    cli,
    client::{self, Client, Error},
    cmd, table,
};

/// Prints one resource, or all of a kind.
pub fn run(matches: &ArgMatches) -> ExitCode {
    cmd::call(matches, async |client| {
        let kind = cli::kind(matches);
        let items = match matches.get_one::<String>("name") {
            Some(name) => vec![client.get(&client::path(&Key { kind, name: name.clone() })).await?],
            None => list(client, kind).await?,
        };
        match cli::is_json(matches) {
            true => println!("{}", serde_json::to_string_pretty(&items).expect("items are JSON")),
            false => println!("{}", table::resources(kind, &items)),
        }
        Ok(())
    })
}

async fn list(client: &Client, kind: Kind) -> Result<Vec<Item>, Error> {
    let mut items = Vec::new();
    let mut after = String::new();
    loop {
        let page: Page = client.get(&format!("{}?after={after}", client::kind_path(kind))).await?;
        items.extend(page.items);
        match page.after {
            Some(last) => after = last,
            None => return Ok(items),
        }
    }
}
