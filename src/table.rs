//! Tables for people.

use api::Item;
use comfy_table::{Table, presets};
use model::{
    Resource,
    resource::{Kind, Limit},
};

/// A table with a row for each resource of one kind.
pub fn resources(kind: Kind, items: &[Item]) -> Table {
    let mut table = plain(columns(kind));
    for item in items {
        let mut row = vec![item.resource.key().name, item.version.to_string()];
        row.extend(cells(&item.resource));
        table.add_row(row);
    }
    table
}

/// A table of names and values.
pub fn pairs(rows: &[(&str, String)]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    for (name, value) in rows {
        table.add_row([*name, value]);
    }
    table
}

fn plain(columns: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(columns);
    table
}

fn columns(kind: Kind) -> &'static [&'static str] {
    match kind {
        Kind::Account => &["ACCOUNT", "VERSION", "TIERS", "CONCURRENCY", "REQUESTS/S"],
        Kind::Tier => &["TIER", "VERSION", "RANK", "DEADLINE"],
        Kind::Pool => &["POOL", "VERSION", "BACKING", "MODELS", "IDEMPOTENT"],
        Kind::Target => &["TARGET", "VERSION", "POOL", "ZONE", "HOST", "DESIRED"],
    }
}

fn cells(resource: &Resource) -> Vec<String> {
    match resource {
        Resource::Account(account) => {
            let limit = |value: fn(&Limit) -> u32| {
                account.limit.as_ref().map_or("-".to_owned(), |limit| value(limit).to_string())
            };
            let concurrency = limit(|limit| limit.concurrency);
            let rate = limit(|limit| limit.requests_per_second);
            vec![account.tiers.join(","), concurrency, rate]
        }
        Resource::Tier(tier) => vec![tier.rank.to_string(), format!("{:?}", tier.deadline)],
        Resource::Pool(pool) => {
            let backing = format!("{:?}", pool.backing).to_lowercase();
            vec![backing, pool.models.join(","), pool.idempotent.to_string()]
        }
        Resource::Target(target) => vec![
            target.pool.clone(),
            target.zone.clone(),
            target.host.clone(),
            format!("{:?}", target.desired).to_lowercase(),
        ],
    }
}
