//! `wagtailhill watch`.

use std::{process::ExitCode, time::Duration};

use api::{Event, Failure, Reason, Status};
use clap::ArgMatches;
use model::id::Offset;
use reqwest::Response;
use tokio::time::sleep;

use crate::{
    cli,
    client::{self, Client, Error},
    cmd,
};

/// Wait before a broken connection is opened again.
const PAUSE: Duration = Duration::from_millis(500);

/// Where a watch is and when it ends.
struct Cursor {
    /// First offset that wasn't printed.
    next: Offset,
    /// Offset after which it ends; none is never.
    until: Option<Offset>,
    json: bool,
}

/// Why one connection's lines ended.
enum End {
    Reached,
    Broken,
    Gone(Offset),
}

/// Prints changes as they happen, over as many connections as it takes.
pub fn run(matches: &ArgMatches) -> ExitCode {
    cmd::call_with_code(matches, async |client| {
        let mut cursor = Cursor {
            next: first(matches, client).await?,
            until: matches.get_one::<u64>("until").copied(),
            json: cli::is_json(matches),
        };
        loop {
            match follow(matches, client, &mut cursor).await? {
                End::Reached => return Ok(ExitCode::SUCCESS),
                End::Gone(first) => return Ok(gone(first)),
                End::Broken => sleep(PAUSE).await,
            }
        }
    })
}

async fn first(matches: &ArgMatches, client: &Client) -> Result<Offset, Error> {
    if let Some(from) = matches.get_one::<u64>("from") {
        return Ok(*from);
    }
    Ok(client.get::<Status>("/v1/status").await?.applied + 1)
}

async fn follow(matches: &ArgMatches, client: &Client, cursor: &mut Cursor) -> Result<End, Error> {
    let mut path = format!("/v1/watch?from={}", cursor.next);
    if let Some(kind) = cli::some_kind(matches) {
        path.push_str(&format!("&kind={}", client::kind_name(kind)));
    }
    match client.stream(&path).await {
        Ok(answer) => Ok(read(answer, cursor).await),
        Err(Error::Connect(_)) => Ok(End::Broken),
        Err(error) => match error.failure() {
            Some(Failure { reason: Reason::Gone, offset, .. }) => {
                Ok(End::Gone(offset.unwrap_or_default()))
            }
            _ => Err(error),
        },
    }
}

/// Reads lines until the connection breaks; a line that is cut off is left for the next one.
async fn read(mut answer: Response, cursor: &mut Cursor) -> End {
    let mut buffer = Vec::new();
    while let Ok(Some(chunk)) = answer.chunk().await {
        buffer.extend_from_slice(&chunk);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let Ok(event) = serde_json::from_slice(&line) else {
                return End::Broken;
            };
            if let Some(end) = cursor.take(&event) {
                return end;
            }
        }
    }
    End::Broken
}

impl Cursor {
    fn take(&mut self, event: &Event) -> Option<End> {
        let offset = match event {
            Event::Gone { first } => return Some(End::Gone(*first)),
            Event::Put { offset, .. } | Event::Delete { offset, .. } => *offset,
            Event::Bookmark { offset } => *offset,
        };
        self.print(event);
        self.next = self.next.max(offset + 1);
        self.until.is_some_and(|until| offset >= until).then_some(End::Reached)
    }

    fn print(&self, event: &Event) {
        if self.json {
            return println!("{}", serde_json::to_string(event).expect("an event is JSON"));
        }
        match event {
            Event::Put { offset, resource } => {
                let key = resource.key();
                println!("{offset} put {} `{}`", client::kind_name(key.kind), key.name);
            }
            Event::Delete { offset, key } => {
                println!("{offset} delete {} `{}`", client::kind_name(key.kind), key.name);
            }
            Event::Bookmark { .. } | Event::Gone { .. } => {}
        }
    }
}

fn gone(first: Offset) -> ExitCode {
    eprintln!(
        "Changes before offset {first} are gone. List again (`wagtailhill get`), then watch."
    );
    ExitCode::from(client::GONE)
}
