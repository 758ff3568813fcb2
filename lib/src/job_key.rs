//! Idempotency keys: their home data centre and the time they were made.
//!
//! `<data-centre>/<uuidv7>` names its home. A bare UUIDv7 carries a time only,
//! any other key neither; both have their home by rendezvous hash.

use std::fmt;

use uuid::Uuid;

use crate::prelude::*;

/// Longest key accepted, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// A caller's idempotency key.
#[derive(Id!)]
pub struct JobKey(String);

impl JobKey {
    /// Parses a key as sent by a caller.
    ///
    /// # Errors
    ///
    /// `InvalidKey` when it is empty, longer than [`MAX_KEY_BYTES`] or not visible ASCII.
    pub fn parse(text: &str) -> Result<JobKey, RequestError> {
        if text.is_empty() || MAX_KEY_BYTES < text.len() {
            let message = format!("a key has 1 to {MAX_KEY_BYTES} bytes, not {}", text.len());
            return Err(RequestError::new(ErrorKind::InvalidKey, message));
        }
        if !text.bytes().all(|it| it.is_ascii_graphic()) {
            let message = "a key has visible ASCII characters only";
            return Err(RequestError::new(ErrorKind::InvalidKey, message));
        }
        Ok(JobKey(text.to_owned()))
    }

    /// Makes a key that carries its home and time.
    pub fn mint(home: &DataCentre, now: ClockTime, random: &[u8; 10]) -> JobKey {
        let uuid = uuid::Builder::from_unix_timestamp_millis(now.0, random).into_uuid();
        JobKey(format!("{home}/{uuid}"))
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// When the key was made, if it carries a time.
    pub fn minted_at(&self) -> Option<ClockTime> {
        let tail = self.0.rsplit('/').next().unwrap_or(&self.0);
        let uuid = Uuid::try_parse(tail).ok()?;
        if uuid.get_version_num() != 7 {
            return None;
        }
        let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
        Some(ClockTime(seconds * 1000 + u64::from(nanos) / 1_000_000))
    }

    /// The data centre whose ledger alone may claim the key.
    pub fn home<'a>(&self, centres: &'a [DataCentre]) -> Option<&'a DataCentre> {
        if let Some((prefix, _)) = self.0.split_once('/')
            && let Some(home) = centres.iter().find(|it| it.as_str() == prefix)
        {
            return Some(home);
        }
        centres.iter().max_by_key(|it| rendezvous_weight(it.as_str(), &self.0))
    }

    /// Digest by which tasks name their job.
    pub fn digest(&self) -> u128 {
        let hash = blake3::hash(self.0.as_bytes());
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.as_bytes()[..16]);
        u128::from_be_bytes(bytes)
    }
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Weight of `name` for `key` in a rendezvous hash.
pub fn rendezvous_weight(name: &str, key: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(bytes)
}
