//! Compares the committed OpenAPI document with the one that the server describes.

#[test]
fn the_committed_openapi_document_matches_the_server() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/openapi.json");
    let committed = std::fs::read_to_string(path).unwrap();

    let current = api::document();

    let hint = "run: cargo run --package api --example openapi > docs/openapi.json";
    assert!(committed == current, "{hint}");
}
