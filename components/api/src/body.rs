//! Parses a resource from the body of a request and reports all findings of the body together.

use garde::Validate;
use model::{
    Finding, Resource, finding,
    resource::{Account, Key, Kind, Pool, Target, Tier},
};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Parses the body of a request for the resource `key`, which the request's path names. The name in
/// the body must equal the name in the path.
pub fn read_named(key: &Key, body: &[u8]) -> Result<Resource, Vec<Finding>> {
    let resource = read_kind(key.kind, body)?;
    let name = resource.key().name;
    if name != key.name {
        let message = format!("is `{name}`, but the path says `{}`", key.name);
        return Err(vec![Finding::new("body.name", message)]);
    }
    Ok(resource)
}

/// Parses a resource of a kind from JSON. The field `kind` of the body may be absent.
pub fn read_kind(kind: Kind, body: &[u8]) -> Result<Resource, Vec<Finding>> {
    let mut value: Value =
        serde_json::from_slice(body).map_err(|error| vec![syntax_finding(&error)])?;
    remove_kind(kind, &mut value)?;
    let read = match kind {
        Kind::Account => check::<Account>(value).map(Resource::Account),
        Kind::Tier => check::<Tier>(value).map(Resource::Tier),
        Kind::Pool => check::<Pool>(value).map(Resource::Pool),
        Kind::Target => check::<Target>(value).map(Resource::Target),
    };
    read.map_err(prefix_with_body)
}

/// Prefixes the places of findings about a resource (`$.name`) with `body` (`body.name`), because
/// the resource is the body of the operator's request.
pub fn prefix_with_body(findings: Vec<Finding>) -> Vec<Finding> {
    let prefixed = |found: Finding| {
        let path = found.place.trim_start_matches('$').trim_start_matches('.');
        Finding::new(finding::place("body", path), found.message)
    };
    findings.into_iter().map(prefixed).collect()
}

/// Removes the field `kind` from the body and checks it: it may be absent, but must not differ from
/// the kind in the path.
fn remove_kind(kind: Kind, value: &mut Value) -> Result<(), Vec<Finding>> {
    let Some(given) = value.as_object_mut().and_then(|fields| fields.remove("kind")) else {
        return Ok(());
    };
    let wanted = serde_json::to_value(kind).expect("a kind is JSON");
    if given == wanted {
        return Ok(());
    }
    Err(vec![Finding::new("body.kind", format!("is {given}, but the path says {wanted}"))])
}

fn check<T>(value: Value) -> Result<T, Vec<Finding>>
where
    T: DeserializeOwned + JsonSchema + Validate<Context = ()>,
{
    settings::check_value(value)
}

fn syntax_finding(error: &serde_json::Error) -> Finding {
    let place = format!("body, line {}, column {}", error.line(), error.column());
    Finding::new(place, format!("not JSON: {error}"))
}
