//! The help text is part of the reference.

use std::{env, fs, path::Path, process::Command};

#[test]
fn help_matches_reference() {
    let output = Command::new(env!("CARGO_BIN_EXE_yuccamux-standin"))
        .arg("--help")
        .env_clear()
        .output()
        .unwrap();
    let help = String::from_utf8(output.stdout).unwrap();
    let page =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/reference/help-yuccamux-standin.txt");
    if env::var_os("YUCCAMUX_REGENERATE").is_some() {
        fs::write(&page, &help).unwrap();
    }
    assert_eq!(fs::read_to_string(&page).unwrap(), help);
}
