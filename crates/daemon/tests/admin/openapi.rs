//! Checks that the committed OpenAPI document is up to date.

use std::path::Path;

/// Environment variable that makes the test write the document before it compares.
const UPDATE_VARIABLE: &str = "UPDATE_OPENAPI";

#[test]
fn openapi_document_up_to_date() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi/admin.json");
    let document = cyclamen_daemon::admin::openapi().expect("a document");
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        std::fs::write(&path, &document).expect("a file that can be written");
    }
    let committed = std::fs::read_to_string(&path).expect("the committed document");
    assert!(
        committed == document,
        "docs/openapi/admin.json is stale: run UPDATE_OPENAPI=1 cargo test -p cyclamen-daemon \
         --test admin openapi"
    );
}
