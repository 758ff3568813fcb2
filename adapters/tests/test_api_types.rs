//! The committed types of the public bodies match those generated from their schema.

use std::{env, fs, path::Path};

use typify::{TypeSpace, TypeSpaceImpl, TypeSpaceSettings};

const HEAD: &str = "//! Types of the public JSON bodies, generated from `schema/api.json`.\n//!\n\
    //! `YUCCAMUX_REGENERATE=1 cargo test -p yuccamux-adapters --test test_api_types`\n\
    //! writes this file again.\n\n";

#[test]
fn generated_types_match_schema() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let target = root.join("src/api_types.rs");
    let generated = generate(&root.join("../schema/api.json"));
    if env::var_os("YUCCAMUX_REGENERATE").is_some() {
        fs::write(&target, &generated).unwrap();
    }
    let committed = fs::read_to_string(&target).unwrap();
    assert!(committed == generated, "api_types.rs does not match schema/api.json");
}

fn generate(schema: &Path) -> String {
    let text = fs::read_to_string(schema).unwrap();
    let schema: schemars::schema::RootSchema = serde_json::from_str(&text).unwrap();
    let mut settings = TypeSpaceSettings::default();
    let raw_json = "Box<serde_json::value::RawValue>";
    let no_impls = std::iter::empty::<TypeSpaceImpl>();
    settings.with_replacement("RawJson", raw_json, no_impls);
    let mut space = TypeSpace::new(&settings);
    space.add_ref_types(schema.definitions).unwrap();
    let file: syn::File = syn::parse2(space.to_stream()).unwrap();
    let body = prettyplease::unparse(&file);
    format!("{HEAD}{body}")
}
