//! Three passes over a settings file: JSON, shape by schema, then values.

use std::{fs, path::Path};

use garde::Validate;
use jsonschema::error::ValidationErrorKind;
use model::Finding;
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Reads a file as text.
pub fn read(path: &Path) -> Result<String, Vec<Finding>> {
    fs::read_to_string(path).map_err(|error| vec![Finding::new("file", error.to_string())])
}

/// Gives the settings, or every finding of the first pass that has any.
pub fn check<T>(text: &str) -> Result<T, Vec<Finding>>
where
    T: DeserializeOwned + JsonSchema + Validate<Context = ()>,
{
    check_value(serde_json::from_str(text).map_err(|error| vec![syntax(&error)])?)
}

/// Gives what a JSON value holds, or every finding of the first pass that has any.
pub fn check_value<T>(value: Value) -> Result<T, Vec<Finding>>
where
    T: DeserializeOwned + JsonSchema + Validate<Context = ()>,
{
    let findings = shape::<T>(&value);
    if !findings.is_empty() {
        return Err(findings);
    }
    let settings: T = serde_json::from_value(value)
        .map_err(|error| vec![Finding::new("$", error.to_string())])?;
    match settings.validate() {
        Ok(()) => Ok(settings),
        Err(report) => Err(values(&report)),
    }
}

fn syntax(error: &serde_json::Error) -> Finding {
    let place = format!("line {}, column {}", error.line(), error.column());
    Finding::new(place, format!("not JSON: {error}"))
}

fn shape<T: JsonSchema>(value: &Value) -> Vec<Finding> {
    let schema = schemars::schema_for!(T);
    let schema = serde_json::to_value(schema).expect("a derived schema is JSON");
    let validator = jsonschema::validator_for(&schema).expect("a derived schema is a schema");
    let mut findings: Vec<Finding> = validator.iter_errors(value).map(|e| finding(&e)).collect();
    findings.sort();
    findings.dedup();
    findings
}

fn finding(error: &jsonschema::ValidationError<'_>) -> Finding {
    let place = dotted(error.instance_path().as_str());
    let message = match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            format!("unknown setting: {}", unexpected.join(", "))
        }
        ValidationErrorKind::Required { property } => format!("missing setting: {property}"),
        _ => error.to_string(),
    };
    Finding::new(place, message)
}

fn values(report: &garde::Report) -> Vec<Finding> {
    let mut findings: Vec<Finding> = report
        .iter()
        .map(|(path, error)| Finding::new(format!("$.{path}"), error.message().to_string()))
        .collect();
    findings.sort();
    findings
}

/// Turns a JSON pointer into a path: `/a/0/b` gives `$.a[0].b`.
fn dotted(pointer: &str) -> String {
    let mut path = String::from("$");
    for part in pointer.split('/').skip(1) {
        if part.parse::<usize>().is_ok() {
            path.push_str(&format!("[{part}]"));
        } else {
            path.push('.');
            path.push_str(part);
        }
    }
    path
}
