//! The help text is part of the reference.

use yuccamux_testutils::reference_page::check_help;

#[test]
fn help_matches_reference() {
    check_help(env!("CARGO_BIN_EXE_yuccamux-control"), "help-yuccamux-control.txt");
}
