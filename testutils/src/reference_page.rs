//! Pages of the reference that are made from the code and compared with it.

use std::{env, fs, path::PathBuf, process::Command};

/// Mark before the part of a page that is made from the code.
const BEGIN: &str = "<!-- made from the code: begin -->\n";
/// Mark after that part.
const END: &str = "<!-- made from the code: end -->\n";

/// Whether pages are to be written and not compared.
fn regenerates() -> bool {
    env::var_os("YUCCAMUX_REGENERATE").is_some()
}

fn page_path(page: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../docs/reference").join(page)
}

/// Compares a page's part between two marks with `table`, or writes it.
///
/// # Panics
///
/// When they differ or the page has no marks.
pub fn check_table(page: &str, table: &str) {
    let path = page_path(page);
    let text = fs::read_to_string(&path).expect("the page exists");
    let (head, rest) = text.split_once(BEGIN).expect("the page has a begin mark");
    let (found, tail) = rest.split_once(END).expect("the page has an end mark");
    if regenerates() {
        let text = format!("{head}{BEGIN}{table}{END}{tail}");
        fs::write(&path, text).expect("the page can be written");
        return;
    }
    assert_eq!(found, table, "{page} does not match the code");
}

/// Compares a program's help text with its page, or writes it.
///
/// # Panics
///
/// When they differ or the program cannot be run.
pub fn check_help(program: &str, page: &str) {
    let output = Command::new(program).arg("--help").env_clear().output();
    let help = String::from_utf8(output.expect("the program runs").stdout).expect("help is text");
    let path = page_path(page);
    if regenerates() {
        fs::write(&path, &help).expect("the page can be written");
    }
    assert_eq!(fs::read_to_string(&path).expect("the page exists"), help, "{page}");
}
