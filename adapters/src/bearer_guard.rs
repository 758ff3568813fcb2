//! Bearer tokens for callers, endpoints and operators.

use std::{fs, path::Path};

use anyhow::{Context, ensure};
use hyper::{HeaderMap, header::AUTHORIZATION};
use yuccamux::prelude::{ErrorKind, RequestError};

/// Accepts requests that carry one of the configured tokens; without tokens, all requests.
#[derive(Clone, Debug, Default)]
pub struct BearerGuard {
    hashes: Vec<blake3::Hash>,
}

impl BearerGuard {
    /// Accepts every request.
    pub fn allow_all() -> BearerGuard {
        BearerGuard::default()
    }

    /// Reads a file with one token per line.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or holds no token.
    pub fn read(path: &Path) -> anyhow::Result<BearerGuard> {
        let text = fs::read_to_string(path)
            .with_context(|| format!("could not read the tokens in {}", path.display()))?;
        let tokens: Vec<&str> = text.lines().map(str::trim).filter(|it| !it.is_empty()).collect();
        ensure!(!tokens.is_empty(), "{} holds no token; write one per line", path.display());
        let hashes = tokens.iter().map(|it| blake3::hash(it.as_bytes())).collect();
        Ok(BearerGuard { hashes })
    }

    /// Whether every request is accepted.
    pub fn allows_all(&self) -> bool {
        self.hashes.is_empty()
    }

    /// Checks the request's token.
    ///
    /// # Errors
    ///
    /// `Unauthorized` when it is missing or not one of the tokens.
    pub fn check(&self, headers: &HeaderMap) -> Result<(), RequestError> {
        if self.allows_all() {
            return Ok(());
        }
        let given = headers.get(AUTHORIZATION).and_then(|it| it.to_str().ok());
        let token = given.and_then(|it| it.strip_prefix("Bearer "));
        // `blake3::Hash` compares in constant time.
        let hash = token.map(|it| blake3::hash(it.trim().as_bytes()));
        match hash {
            Some(hash) if self.hashes.contains(&hash) => Ok(()),
            _ => Err(RequestError::new(ErrorKind::Unauthorized, "a valid bearer token is needed")),
        }
    }
}
