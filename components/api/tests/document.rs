//! The committed OpenAPI document.

#[test]
fn the_committed_document_is_current() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/openapi.json");
    let committed = std::fs::read_to_string(path).unwrap();

    let current = api::document();

    let hint = "run: cargo run --package api --example openapi > docs/openapi.json";
    assert!(committed == current, "{hint}");
}
