//! Authentication of messages between yuccamux processes.
//!
//! Each frame ends with a keyed BLAKE3 hash. During key rotation two keys are valid: frames
//! are sealed with the first and accepted with either. Without a secret the key is all
//! zeros, and the hash only detects corruption.

use std::{fs, path::Path};

use anyhow::{Context, ensure};

/// Length of the truncated hash at the end of each frame.
const TAG_BYTES: usize = 16;

/// The keys with which frames are accepted; the first one seals.
#[derive(Clone)]
pub struct LinkKeys {
    keys: Vec<[u8; 32]>,
    is_secret: bool,
}

impl LinkKeys {
    /// A public, all-zero key: for processes on one VM.
    pub fn without_secret() -> LinkKeys {
        LinkKeys { keys: vec![[0; 32]], is_secret: false }
    }

    /// Reads a file with one or two keys, one per line, of at least 16 characters.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, or its keys are too many, too few or too short.
    pub fn read(path: &Path) -> anyhow::Result<LinkKeys> {
        let text = fs::read_to_string(path)
            .with_context(|| format!("could not read the link keys in {}", path.display()))?;
        let lines: Vec<&str> = text.lines().map(str::trim).filter(|it| !it.is_empty()).collect();
        ensure!(
            (1..=2).contains(&lines.len()),
            "{} must hold one or two keys, one per line, not {}",
            path.display(),
            lines.len()
        );
        for line in &lines {
            ensure!(16 <= line.len(), "a link key in {} is under 16 characters", path.display());
        }
        let derive = |it: &&str| blake3::derive_key("yuccamux link key", it.as_bytes());
        Ok(LinkKeys { keys: lines.iter().map(derive).collect(), is_secret: true })
    }

    /// Whether frames are sealed with a secret.
    pub fn is_secret(&self) -> bool {
        self.is_secret
    }

    /// Appends the hash to a frame.
    pub fn seal(&self, frame: &mut Vec<u8>) {
        let tag = tag(&self.keys[0], frame);
        frame.extend_from_slice(&tag);
    }

    /// The frame without its hash, or `None` when no key matches the hash.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Option<&'a [u8]> {
        let at = sealed.len().checked_sub(TAG_BYTES)?;
        let (frame, given) = sealed.split_at(at);
        // `blake3::Hash` compares in constant time.
        let is_valid = self.keys.iter().any(|key| {
            let mut expected = [0; 32];
            expected[..TAG_BYTES].copy_from_slice(&tag(key, frame));
            let mut padded = [0; 32];
            padded[..TAG_BYTES].copy_from_slice(given);
            blake3::Hash::from_bytes(expected) == blake3::Hash::from_bytes(padded)
        });
        is_valid.then_some(frame)
    }
}

fn tag(key: &[u8; 32], frame: &[u8]) -> [u8; TAG_BYTES] {
    let hash = blake3::keyed_hash(key, frame);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
    tag
}
