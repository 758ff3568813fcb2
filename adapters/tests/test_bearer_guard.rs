//! Requests are accepted only with one of the configured tokens.

use std::fs;

use hyper::{HeaderMap, header::AUTHORIZATION};
use tempfile::TempDir;
use yuccamux_adapters::bearer_guard::BearerGuard;

fn guard(text: &str) -> anyhow::Result<BearerGuard> {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("tokens");
    fs::write(&path, text).unwrap();
    BearerGuard::read(&path)
}

fn check(guard: &BearerGuard, value: Option<&str>) -> bool {
    let mut headers = HeaderMap::new();
    if let Some(value) = value {
        headers.insert(AUTHORIZATION, value.parse().unwrap());
    }
    guard.check(&headers).is_ok()
}

#[test]
fn any_configured_token_is_accepted() {
    let guard = guard("first\nsecond\n").unwrap();
    assert!(check(&guard, Some("Bearer first")));
    assert!(check(&guard, Some("Bearer second")));
    for wrong in [None, Some("Bearer third"), Some("first"), Some("Bearer "), Some("Basic first")] {
        assert!(!check(&guard, wrong), "{wrong:?}");
    }
}

#[test]
fn guard_without_tokens_accepts_all_and_empty_file_is_an_error() {
    assert!(check(&BearerGuard::allow_all(), None));
    assert!(guard("\n").is_err());
}
