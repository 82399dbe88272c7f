//! Create, read, update, delete and list.

use std::{sync::Arc, time::Duration};

use dropshot::{
    ApiDescription, HttpResponseCreated, HttpResponseOk, Path, Query, RequestContext, UntypedBody,
    endpoint,
};
use model::{
    Change,
    change::{Action, SCHEMA},
    id::{ChangeId, Offset},
    resource::{Key, Kind},
};
use schemars::JsonSchema;
use serde::Deserialize;
use tokio::time::Instant;
use tracing::info;
use uuid::Uuid;

use crate::{
    Context, body,
    fault::{Failure, Fault, Reason, authenticate},
    view::{Item, Page, Wait, Written},
    write::{self, Order},
};

/// Most resources of one part of a list.
const PAGE_LIMIT: u32 = 500;
/// Time for a write's answer where the operator gives none.
const TIMEOUT_MS: u64 = 10_000;
/// Longest time that an operator may ask for.
const TIMEOUT_LIMIT_MS: u64 = 300_000;

#[derive(Deserialize, JsonSchema)]
struct KindPath {
    kind: Kind,
}

#[derive(Deserialize, JsonSchema)]
struct NamePath {
    kind: Kind,
    name: String,
}

#[derive(Deserialize, JsonSchema)]
struct ListQuery {
    /// Name after which the list goes on.
    after: Option<String>,
    /// Most resources to give; 500 at most.
    limit: Option<u32>,
}

#[derive(Deserialize, JsonSchema)]
struct WriteQuery {
    /// Version that must stand; 0 where none may.
    expected: Option<Offset>,
    /// Id of the change; a repeat with the same id has no second effect.
    change: Option<ChangeId>,
    /// What to wait for: `accepted` (default) or `in_force`.
    wait: Option<Wait>,
    /// Time for the answer, in ms.
    timeout_ms: Option<u64>,
}

/// Adds the endpoints.
pub fn register(api: &mut ApiDescription<Arc<Context>>) {
    api.register(list).expect("the path is free");
    api.register(create).expect("the path is free");
    api.register(get).expect("the path is free");
    api.register(put).expect("the path is free");
    api.register(delete).expect("the path is free");
}

/// Lists the resources of a kind.
#[endpoint { method = GET, path = "/v1/resources/{kind}" }]
async fn list(
    context: RequestContext<Arc<Context>>,
    path: Path<KindPath>,
    query: Query<ListQuery>,
) -> Result<HttpResponseOk<Page>, Fault> {
    authenticate(&context)?;
    let kind = path.into_inner().kind;
    let query = query.into_inner();
    let limit = query.limit.unwrap_or(PAGE_LIMIT).clamp(1, PAGE_LIMIT) as usize;
    let page = context.context().ask(move |state| {
        let after = query.after.unwrap_or_default();
        let mut left = state.list_after(kind, &after);
        let items: Vec<Item> = left.by_ref().take(limit).map(Item::from).collect();
        let last = items.last().map(|item| item.resource.key().name);
        Page { offset: state.applied(), items, after: last.filter(|_| left.next().is_some()) }
    });
    Ok(HttpResponseOk(page.await.ok_or_else(Failure::stopping)?))
}

/// Creates a resource.
#[endpoint { method = POST, path = "/v1/resources/{kind}" }]
async fn create(
    context: RequestContext<Arc<Context>>,
    path: Path<KindPath>,
    query: Query<WriteQuery>,
    body: UntypedBody,
) -> Result<HttpResponseCreated<Written>, Fault> {
    let operator = authenticate(&context)?;
    let kind = path.into_inner().kind;
    let resource = body::read_kind(kind, body.as_bytes()).map_err(Failure::bad_input)?;
    let query = WriteQuery { expected: Some(0), ..query.into_inner() };
    let written = change(&context, &operator, query, Action::Put(resource)).await?;
    Ok(HttpResponseCreated(written))
}

/// Reads a resource.
#[endpoint { method = GET, path = "/v1/resources/{kind}/{name}" }]
async fn get(
    context: RequestContext<Arc<Context>>,
    path: Path<NamePath>,
) -> Result<HttpResponseOk<Item>, Fault> {
    authenticate(&context)?;
    let key = key(path);
    let missing = format!("there is no {:?} `{}`", key.kind, key.name).to_lowercase();
    let item = context.context().ask(move |state| state.get(&key).map(Item::from));
    let item = item.await.ok_or_else(Failure::stopping)?;
    Ok(HttpResponseOk(item.ok_or_else(|| Failure::new(Reason::NotFound, missing))?))
}

/// Replaces a resource, or creates it where version 0 is expected.
#[endpoint { method = PUT, path = "/v1/resources/{kind}/{name}" }]
async fn put(
    context: RequestContext<Arc<Context>>,
    path: Path<NamePath>,
    query: Query<WriteQuery>,
    body: UntypedBody,
) -> Result<HttpResponseOk<Written>, Fault> {
    let operator = authenticate(&context)?;
    let resource = body::read(&key(path), body.as_bytes()).map_err(Failure::bad_input)?;
    let action = Action::Put(resource);
    Ok(HttpResponseOk(change(&context, &operator, query.into_inner(), action).await?))
}

/// Deletes a resource.
#[endpoint { method = DELETE, path = "/v1/resources/{kind}/{name}" }]
async fn delete(
    context: RequestContext<Arc<Context>>,
    path: Path<NamePath>,
    query: Query<WriteQuery>,
) -> Result<HttpResponseOk<Written>, Fault> {
    let operator = authenticate(&context)?;
    let action = Action::Delete(key(path));
    Ok(HttpResponseOk(change(&context, &operator, query.into_inner(), action).await?))
}

async fn change(
    context: &RequestContext<Arc<Context>>,
    operator: &str,
    query: WriteQuery,
    action: Action,
) -> Result<Written, Failure> {
    let expected = query.expected.ok_or_else(write::missing_version)?;
    let id = query.change.unwrap_or_else(Uuid::new_v4);
    let timeout = query.timeout_ms.unwrap_or(TIMEOUT_MS).min(TIMEOUT_LIMIT_MS);
    let key = action.key();
    let order = Order {
        change: Change { schema: SCHEMA, id, expected, action },
        wait: query.wait.unwrap_or_default(),
        deadline: Instant::now() + Duration::from_millis(timeout),
    };
    let written = write::write(context.context(), order).await;
    let (kind, name) = (key.kind, key.name);
    match &written {
        Ok(written) => info!(operator, change = %id, ?kind, name, written.version, "accepted"),
        Err(failure) => {
            info!(operator, change = %id, ?kind, name, reason = ?failure.reason, "not accepted");
        }
    }
    written
}

fn key(path: Path<NamePath>) -> Key {
    let path = path.into_inner();
    Key { kind: path.kind, name: path.name }
}
