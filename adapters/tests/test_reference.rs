//! The tables of the reference pages match the code.

use yuccamux::{
    cell::decision_record::DecisionEvent, job_dispatcher::JobDispatcher,
    policy_settings::PolicySettings, prelude::*,
};
use yuccamux_adapters::{
    connection_guard::ConnectionGuard,
    entry_control::ControlStatus,
    entry_metrics::{DispatcherView, EntryMetrics},
};
use yuccamux_testutils::reference_page::check_table;

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
    let guard = ConnectionGuard::default().encode_metrics();
    let view = DispatcherView::new(&dispatcher);
    let text = guard + &metrics.encode(&view, &ControlStatus::default());
    let mut table = "| metric | what |\n|---|---|\n".to_owned();
    for line in text.lines().filter_map(|it| it.strip_prefix("# HELP ")) {
        let (name, help) = line.split_once(' ').expect("a name and a help text");
        table.push_str(&format!("| `{name}` | {help} |\n"));
    }
    let mut names: Vec<&str> = text
        .lines()
        .filter(|it| {
            let families = [
                "yuccamux_dispatch{",
                "yuccamux_control{",
                "yuccamux_http_guard_events_",
                "yuccamux_http_peer_events_",
            ];
            families.iter().any(|family| it.starts_with(family))
        })
        .filter_map(|it| it.split_once("} ").map(|it| it.0))
        .collect();
    // A metric family yields its members in no particular order.
    names.sort_unstable();
    table.push_str(
        "\nNames under `yuccamux_dispatch`, `yuccamux_control`, `yuccamux_http_guard_events` and \
         `yuccamux_http_peer_events`:\n\n",
    );
    for name in names {
        table.push_str(&format!("- `{name}}}`\n"));
    }
    check_table("metrics.md", &table);
}

#[test]
fn event_table_matches_code() {
    let mut table = "Events:\n\n".to_owned();
    for event in DecisionEvent::ALL {
        table.push_str(&format!("- `{}`: {}\n", event.name(), event.meaning()));
    }
    check_table("logs.md", &table);
}
