//! Checks a settings file in three passes: JSON syntax, structure according to the schema, and
//! ranges of the values.

use std::{fs, path::Path};

use garde::Validate;
use jsonschema::error::ValidationErrorKind;
use model::Finding;
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Reads a file as text; an I/O error is returned as a finding.
pub fn read(path: &Path) -> Result<String, Vec<Finding>> {
    fs::read_to_string(path).map_err(|error| vec![Finding::new("file", error.to_string())])
}

/// Parses and checks settings. If a pass has findings, all findings of that pass are returned and
/// later passes are skipped.
pub fn check<T>(text: &str) -> Result<T, Vec<Finding>>
where
    T: DeserializeOwned + JsonSchema + Validate<Context = ()>,
{
    check_value(serde_json::from_str(text).map_err(|error| vec![syntax_finding(&error)])?)
}

/// Checks a JSON value and deserializes it. If a pass has findings, all findings of that pass are
/// returned and later passes are skipped.
pub fn check_value<T>(value: Value) -> Result<T, Vec<Finding>>
where
    T: DeserializeOwned + JsonSchema + Validate<Context = ()>,
{
    let findings = structure_findings::<T>(&value);
    if !findings.is_empty() {
        return Err(findings);
    }
    let settings: T = serde_json::from_value(value)
        .map_err(|error| vec![Finding::new("$", error.to_string())])?;
    match settings.validate() {
        Ok(()) => Ok(settings),
        Err(report) => Err(value_findings(&report)),
    }
}

fn syntax_finding(error: &serde_json::Error) -> Finding {
    let place = format!("line {}, column {}", error.line(), error.column());
    Finding::new(place, format!("not JSON: {error}"))
}

fn structure_findings<T: JsonSchema>(value: &Value) -> Vec<Finding> {
    let schema = schemars::schema_for!(T);
    let schema = serde_json::to_value(schema).expect("a derived schema is JSON");
    let validator = jsonschema::validator_for(&schema).expect("a derived schema is a schema");
    let mut findings: Vec<Finding> =
        validator.iter_errors(value).map(|error| structure_finding(&error)).collect();
    findings.sort();
    findings.dedup();
    findings
}

fn structure_finding(error: &jsonschema::ValidationError<'_>) -> Finding {
    let place = dotted_path(error.instance_path().as_str());
    let message = match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            format!("unknown setting: {}", unexpected.join(", "))
        }
        ValidationErrorKind::Required { property } => format!("missing setting: {property}"),
        _ => error.to_string(),
    };
    Finding::new(place, message)
}

fn value_findings(report: &garde::Report) -> Vec<Finding> {
    let mut findings: Vec<Finding> = report
        .iter()
        .map(|(path, error)| Finding::new(format!("$.{path}"), error.message().to_string()))
        .collect();
    findings.sort();
    findings
}

/// Converts a JSON pointer to a dotted path: `/a/0/b` becomes `$.a[0].b`.
fn dotted_path(pointer: &str) -> String {
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
