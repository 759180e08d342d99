//! Writes the committed border types from their schema.
//!
//! `cyclamen-schemagen` writes the file; `cyclamen-schemagen --check` fails when the file differs
//! from what the schema gives. Both run from the root of the workspace.

use std::fs;
use std::path::Path;

use anyhow::{Context, bail};
use argh::FromArgs;
use schemars::schema::RootSchema;
use serde_json::Value;
use typify::{TypeSpace, TypeSpaceSettings};

const SCHEMA: &str = "schema/declarations.schema.json";
const GENERATED: &str = "crates/declarations/src/generated.rs";
const HEADER: &str = "//! Border types, generated from schema/declarations.schema.json by \
                      cyclamen-schemagen; not edited by hand.\n\n";

/// Checked types that stand for schema definitions of the same name.
const CHECKED_ENUMS: [&str; 5] =
    ["Idempotence", "Criticality", "ClashRule", "DeclarationKind", "OrderAction"];

/// Write the border types of declarations and records from their schema.
#[derive(FromArgs)]
struct Args {
    /// only check that the committed file is what the schema gives
    #[argh(switch)]
    check: bool,
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let schema = fs::read_to_string(SCHEMA)
        .with_context(|| format!("cannot read {SCHEMA}: run this from the workspace root"))?;
    let generated = generate(&schema)?;
    let target = Path::new(GENERATED);
    if !args.check {
        return fs::write(target, generated).with_context(|| format!("cannot write {GENERATED}"));
    }
    if fs::read_to_string(target).unwrap_or_default() != generated {
        bail!("{GENERATED} is stale: run `cargo run --bin cyclamen-schemagen` and commit it");
    }
    Ok(())
}

fn generate(schema: &str) -> anyhow::Result<String> {
    let mut schema: Value = serde_json::from_str(schema).context("the schema is not JSON")?;
    make_optional(&mut schema);
    let schema: RootSchema = serde_json::from_value(schema).context("the schema does not parse")?;
    let mut settings = TypeSpaceSettings::default();
    settings.with_map_type("::std::collections::BTreeMap".to_owned());
    for name in CHECKED_ENUMS {
        settings.with_replacement(name, format!("crate::{name}"), std::iter::empty());
    }
    let mut types = TypeSpace::new(&settings);
    types.add_root_schema(schema).context("the schema has a construct without a type")?;
    let file = syn::parse2(types.to_stream()).context("the generated types do not parse")?;
    Ok(format!("{HEADER}{}", prettyplease::unparse(&file)))
}

/// Drops `required` everywhere: border types hold what was written, and the verifier reports all
/// that is missing at once.
fn make_optional(value: &mut Value) {
    match value {
        Value::Object(map) => {
            if map.get("required").is_some_and(Value::is_array) {
                map.remove("required");
            }
            map.values_mut().for_each(make_optional);
        }
        Value::Array(items) => items.iter_mut().for_each(make_optional),
        _ => {}
    }
}
