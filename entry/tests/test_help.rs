//! The help text is part of the reference.

use std::process::Command;

use yuccamux_testutils::reference_page::check_help;

#[test]
fn help_matches_reference() {
    check_help(env!("CARGO_BIN_EXE_yuccamux-entry"), "help-yuccamux-entry.txt");
}

/// What the program says of its settings, with `--check`.
fn check(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_yuccamux-entry"))
        .args(args)
        .arg("--check")
        .env_clear()
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    String::from_utf8(text).unwrap().trim().to_owned()
}

#[test]
fn wrong_settings_name_the_flag() {
    let vms = "entry:a=munich=127.0.0.1:7000,control:c=munich=127.0.0.1:7001";
    let with = |name, vms, listen| check(&["--name", name, "--vms", vms, "--listen", listen]);
    insta::assert_snapshot!(with("a", vms, "127.0.0.1:8000"), @"the settings are valid");
    insta::assert_snapshot!(with("b", vms, "127.0.0.1:8000"), @"Error: --name: VM b is not in --vms, which names a, c");
    insta::assert_snapshot!(with("c", vms, "127.0.0.1:8000"), @"Error: --name: VM c has another role in --vms");
    insta::assert_snapshot!(with("a", "entry:a", "127.0.0.1:8000"), @r#"Error: --vms: "entry:a": expected ROLE:NAME=DATA-CENTRE=IP:PORT, as in entry:entry-1=munich=10.0.0.1:7000"#);
    insta::assert_snapshot!(with("a", vms, "0.0.0.0:8000"), @"Error: 0.0.0.0:8000 is not loopback: give --caller-tokens, or bind to 127.0.0.1");
    insta::assert_snapshot!(with("a", "entry:a=munich=10.0.0.1:7000", "127.0.0.1:8000"), @"Error: 10.0.0.1:7000 is not loopback: give --link-keys, or bind to 127.0.0.1");
}
