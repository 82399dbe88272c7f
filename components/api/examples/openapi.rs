//! Prints the OpenAPI document of the operators' API, for `docs/openapi.json`.

fn main() {
    print!("{}", api::document());
}
