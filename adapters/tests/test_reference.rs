//! The tables of the reference pages are made from the code.

use std::{env, fs, path::Path};

use yuccamux::{job_dispatcher::JobDispatcher, policy_settings::PolicySettings, prelude::*};
use yuccamux_adapters::{
    entry_control::ControlStatus,
    entry_metrics::{DispatcherView, EntryMetrics},
};

/// Compares a page's part between two marks with `table`, or writes it.
fn check_table(page: &str, table: &str) {
    const BEGIN: &str = "<!-- made from the code: begin -->\n";
    const END: &str = "<!-- made from the code: end -->\n";
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/reference").join(page);
    let text = fs::read_to_string(&path).unwrap();
    let (head, rest) = text.split_once(BEGIN).expect("the page has a begin mark");
    let (found, tail) = rest.split_once(END).expect("the page has an end mark");
    if env::var_os("YUCCAMUX_REGENERATE").is_some() {
        fs::write(&path, format!("{head}{BEGIN}{table}{END}{tail}")).unwrap();
        return;
    }
    assert_eq!(found, table, "{page} does not match the code");
}

#[test]
fn error_table_matches_code() {
    let mut table =
        "| kind | status | ran | retry after | what to do |\n|---|---|---|---|---|\n".to_owned();
    for kind in ErrorKind::ALL {
        let row = kind.answer();
        let retry = row.retry_after_ms.map_or("".to_owned(), |it| format!("{it} ms"));
        let ran = row.ran.as_str();
        table.push_str(&format!(
            "| `{}` | {} | `{ran}` | {retry} | {} |\n",
            row.name, row.status, row.hint
        ));
    }
    check_table("errors.md", &table);
}

#[test]
fn metric_table_matches_code() {
    let metrics = EntryMetrics::new();
    let dispatcher = JobDispatcher::new(VmName::from("vm"), PolicySettings::default(), 1);
    let text = metrics.encode(&DispatcherView::new(&dispatcher), &ControlStatus::default());
    let mut table = "| metric | what |\n|---|---|\n".to_owned();
    for line in text.lines().filter_map(|it| it.strip_prefix("# HELP ")) {
        let (name, help) = line.split_once(' ').expect("a name and a help text");
        table.push_str(&format!("| `{name}` | {help} |\n"));
    }
    let mut names: Vec<&str> = text
        .lines()
        .filter(|it| it.starts_with("yuccamux_dispatch{") || it.starts_with("yuccamux_control{"))
        .filter_map(|it| it.split_once("} ").map(|it| it.0))
        .collect();
    // A family gives its members in no particular order.
    names.sort_unstable();
    table.push_str("\nNames under `yuccamux_dispatch` and `yuccamux_control`:\n\n");
    for name in names {
        table.push_str(&format!("- `{name}}}`\n"));
    }
    check_table("metrics.md", &table);
}
