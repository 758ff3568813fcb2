//! Durable storage of a control replica: a write-ahead log of checksummed frames.
//!
//! Each batch of changes is one frame, written and synced before anything that
//! depends on it leaves the process. So only the last frame can be torn by a crash: it
//! was never acknowledged and is truncated, with a line in the log. Damage before the last
//! frame is an error. Each file begins with a frame that was synced before a rename put the
//! file in the place of the former one, so damage of the first frame is an error as well.
//!
//! A write that fails, as on a full disk, is retried until it succeeds; meanwhile the
//! replica is blocked, which to the other replicas looks like a disk that hangs.
//!
//! A frame is a magic number, the length and CRC-32 of the body in little endian, then the
//! body in postcard.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{Read, Write},
    path::{Path, PathBuf},
    thread,
    time::Duration,
};

use anyhow::{Context, bail, ensure};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use yuccamux::{
    prelude::VmName,
    replica_effect::{HardState, StoreEffect},
    replica_log::{LogEntry, LogSnapshot, ReplicaLog},
};

/// Pause before a failed write is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Failed writes per warning in the log: one warning each five seconds.
const FAILURES_PER_WARNING: u64 = 50;

const FRAME_MAGIC: [u8; 4] = *b"yxf1";
/// What frames of all versions begin with.
const FRAME_FAMILY: [u8; 3] = *b"yxf";
const FRAME_HEADER_BYTES: usize = 12;
const LOG_NAME: &str = "replica.log";
const NEW_LOG_NAME: &str = "replica.log.new";
const LOCK_NAME: &str = "lock";
const OWNER_NAME: &str = "vm";

/// A change of the stored state; a frame holds a list of them.
#[derive(Serialize, Deserialize)]
enum StoredChange {
    State(HardState),
    Append(Vec<LogEntry>),
    TruncateFrom(u64),
    Snapshot(LogSnapshot),
}

/// The open data folder of a control replica.
pub struct LogStore {
    folder: PathBuf,
    /// None until something is stored.
    file: Option<File>,
    hard: Option<HardState>,
    log: ReplicaLog,
    /// Bytes of whole frames in the file.
    n_bytes: u64,
    /// Byte of the frame with the snapshot that the folder was opened with.
    snapshot_at: usize,
    n_syncs: u64,
    _lock: File,
}

impl LogStore {
    /// Opens the data folder of a VM, creating it if necessary.
    ///
    /// # Errors
    ///
    /// When another process has the folder open, it belongs to another VM, or the log is
    /// damaged before its last frame, cut short in its first one, or of another version. The
    /// error names the file and the byte.
    pub fn open(folder: &Path, vm: &VmName) -> anyhow::Result<LogStore> {
        fs::create_dir_all(folder)
            .with_context(|| format!("could not create the data folder {}", folder.display()))?;
        let lock = lock_folder(folder)?;
        check_owner(folder, vm)?;
        let path = folder.join(LOG_NAME);
        let bytes = read_or_empty(&path)?;
        let (frames, n_whole) =
            split_frames(&bytes).with_context(|| format!("{} is refused", path.display()))?;
        let file = match OpenOptions::new().append(true).open(&path) {
            Ok(it) => Some(it),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => None,
            Err(error) => {
                return Err(error).with_context(|| format!("could not open {}", path.display()));
            }
        };
        // A file comes into being by a rename, with a whole frame in it.
        ensure!(
            file.is_none() || !bytes.is_empty(),
            "{} is cut short, at byte 0; the VM must come back with an empty data folder",
            path.display()
        );
        if let Some(file) = file.as_ref().filter(|_| n_whole < bytes.len()) {
            warn!(
                "{}: the frame at byte {n_whole} is torn, {} bytes that were never synced are \
                 dropped",
                path.display(),
                bytes.len() - n_whole
            );
            file.set_len(n_whole as u64)?;
            file.sync_all()?;
        }
        let mut store = LogStore {
            folder: folder.to_owned(),
            file,
            hard: None,
            log: ReplicaLog::default(),
            n_bytes: n_whole as u64,
            snapshot_at: 0,
            n_syncs: 0,
            _lock: lock,
        };
        for StoredFrame { at, body } in frames {
            let changes: Vec<StoredChange> = postcard::from_bytes(body).with_context(|| {
                format!("{}: the frame at byte {at} is of another version", path.display())
            })?;
            for change in changes {
                if matches!(change, StoredChange::Snapshot(_)) {
                    store.snapshot_at = at;
                }
                store.replay(change);
            }
        }
        sync_folder(folder)?;
        Ok(store)
    }

    /// The recovered state, or `None` in an empty folder.
    pub fn stored(&self) -> Option<(HardState, ReplicaLog)> {
        Some((self.hard.clone()?, self.log.clone()))
    }

    /// Checks the snapshot's state, if it has one, with the function that decodes it.
    ///
    /// # Errors
    ///
    /// When `decode` fails; the error names the file and the byte.
    pub fn check_state<S, E>(&self, decode: impl Fn(&[u8]) -> Result<S, E>) -> anyhow::Result<()>
    where
        E: std::error::Error + Send + Sync + 'static,
    {
        let state = &self.log.snapshot().state;
        if !state.is_empty() {
            decode(state).with_context(|| {
                let (path, at) = (self.folder.join(LOG_NAME), self.snapshot_at);
                format!("{}: the snapshot at byte {at} is of another version", path.display())
            })?;
        }
        Ok(())
    }

    /// Number of disk syncs.
    pub fn n_syncs(&self) -> u64 {
        self.n_syncs
    }

    /// Stores changes in order; all of them are durable on return.
    ///
    /// # Errors
    ///
    /// When a change cannot be encoded; a failed write is retried instead.
    pub fn commit(&mut self, effects: Vec<StoreEffect>) -> anyhow::Result<()> {
        let mut changes = Vec::new();
        for effect in effects {
            match effect {
                StoreEffect::SaveState(hard) => changes.push(StoredChange::State(hard)),
                StoreEffect::Append(entries) => changes.push(StoredChange::Append(entries)),
                StoreEffect::TruncateFrom(index) => changes.push(StoredChange::TruncateFrom(index)),
                StoreEffect::SaveSnapshot(snapshot) => {
                    self.append(std::mem::take(&mut changes))?;
                    self.replay(StoredChange::Snapshot(snapshot));
                    self.rewrite()?;
                }
                StoreEffect::Reset(hard) => {
                    changes.clear();
                    self.log = ReplicaLog::default();
                    self.hard = Some(hard);
                    self.rewrite()?;
                }
            }
        }
        self.append(changes)
    }

    fn append(&mut self, changes: Vec<StoredChange>) -> anyhow::Result<()> {
        if changes.is_empty() {
            return Ok(());
        }
        if self.file.is_none() {
            changes.into_iter().for_each(|it| self.replay(it));
            return self.rewrite();
        }
        let frame = frame(&changes)?;
        self.retry_write(|store| {
            let Some(file) = store.file.as_mut() else { return Ok(()) };
            // Removes what a failed write has left behind.
            file.set_len(store.n_bytes)?;
            file.write_all(&frame)?;
            file.sync_data()
        });
        self.n_bytes += frame.len() as u64;
        self.n_syncs += 1;
        changes.into_iter().for_each(|it| self.replay(it));
        Ok(())
    }

    /// Writes the whole state to a new file, which then replaces the old one.
    fn rewrite(&mut self) -> anyhow::Result<()> {
        let mut changes = vec![StoredChange::Snapshot(self.log.snapshot().clone())];
        changes.extend(self.hard.clone().map(StoredChange::State));
        let first = self.log.snapshot().index + 1;
        let entries = self.log.entries_from(first, usize::MAX, usize::MAX).to_vec();
        changes.push(StoredChange::Append(entries));
        let frame = frame(&changes)?;
        let new_path = self.folder.join(NEW_LOG_NAME);
        let path = self.folder.join(LOG_NAME);
        self.retry_write(|store| {
            let mut file = File::create(&new_path)?;
            file.write_all(&frame)?;
            file.sync_all()?;
            fs::rename(&new_path, &path)?;
            File::open(&store.folder)?.sync_all()?;
            store.file = Some(OpenOptions::new().append(true).open(&path)?);
            Ok(())
        });
        self.n_bytes = frame.len() as u64;
        self.n_syncs += 1;
        Ok(())
    }

    /// Repeats `write` until it succeeds.
    fn retry_write(&mut self, write: impl Fn(&mut LogStore) -> std::io::Result<()>) {
        let mut n_tries = 0;
        while let Err(error) = write(self) {
            if n_tries % FAILURES_PER_WARNING == 0 {
                warn!("the data folder {} takes no writes: {error}", self.folder.display());
            }
            n_tries += 1;
            thread::sleep(RETRY_PAUSE);
        }
        if 0 < n_tries {
            info!("the data folder {} takes writes again", self.folder.display());
        }
    }

    /// Applies a change to the copy in memory.
    fn replay(&mut self, change: StoredChange) {
        match change {
            StoredChange::State(hard) => self.hard = Some(hard),
            StoredChange::Append(entries) => entries.into_iter().for_each(|it| self.log.push(it)),
            StoredChange::TruncateFrom(index) => self.log.truncate_from(index),
            StoredChange::Snapshot(snapshot) => self.log.install(snapshot),
        }
    }
}

fn lock_folder(folder: &Path) -> anyhow::Result<File> {
    let lock = File::create(folder.join(LOCK_NAME))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => bail!(
            "the data folder {} is in use by another process; \
             stop that process or give another --data-folder",
            folder.display()
        ),
        Err(TryLockError::Error(error)) => Err(error).context("could not lock the data folder"),
    }
}

fn check_owner(folder: &Path, vm: &VmName) -> anyhow::Result<()> {
    let path = folder.join(OWNER_NAME);
    let owner = String::from_utf8(read_or_empty(&path)?).unwrap_or_default();
    if owner.is_empty() {
        let mut file = File::create(&path)?;
        file.write_all(vm.as_str().as_bytes())?;
        file.sync_all()?;
        return Ok(());
    }
    ensure!(
        owner == vm.as_str(),
        "the data folder {} belongs to VM {owner}, not to {vm}; \
         give the folder of {vm}, or an empty one to start it without its state",
        folder.display()
    );
    Ok(())
}

fn read_or_empty(path: &Path) -> anyhow::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    match File::open(path) {
        Ok(mut file) => file.read_to_end(&mut bytes).map(|_| bytes).map_err(Into::into),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(bytes),
        Err(error) => Err(error).with_context(|| format!("could not read {}", path.display())),
    }
}

fn sync_folder(folder: &Path) -> anyhow::Result<()> {
    File::open(folder)?.sync_all().context("could not sync the data folder")
}

fn frame(changes: &[StoredChange]) -> anyhow::Result<Vec<u8>> {
    let body = postcard::to_stdvec(changes)?;
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + body.len());
    frame.extend_from_slice(&FRAME_MAGIC);
    frame.extend_from_slice(&u32::try_from(body.len())?.to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// A whole frame of the file.
struct StoredFrame<'a> {
    /// Its first byte in the file.
    at: usize,
    body: &'a [u8],
}

/// All whole frames, and the length up to the end of the last one.
fn split_frames(bytes: &[u8]) -> anyhow::Result<(Vec<StoredFrame<'_>>, usize)> {
    let mut frames = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let Some(body) = whole_frame(&bytes[at..]) else {
            let rest = &bytes[at..];
            let is_other_version = rest.starts_with(&FRAME_FAMILY)
                && rest.get(..FRAME_MAGIC.len()).is_some_and(|it| it != FRAME_MAGIC);
            ensure!(
                !is_other_version,
                "the frame at byte {at} is of another version; start the version that wrote it"
            );
            ensure!(
                at != 0,
                "the frame at byte 0 is damaged or cut short, at {} bytes; \
                 the VM must come back with an empty data folder",
                bytes.len()
            );
            // Only the last frame can be torn, so no whole frame may follow.
            let follows = (at + 1..bytes.len()).any(|it| whole_frame(&bytes[it..]).is_some());
            ensure!(
                !follows,
                "the frame at byte {at} is damaged and others follow; \
                 the VM must come back with an empty data folder"
            );
            break;
        };
        frames.push(StoredFrame { at, body });
        at += FRAME_HEADER_BYTES + body.len();
    }
    Ok((frames, at))
}

fn whole_frame(bytes: &[u8]) -> Option<&[u8]> {
    let rest = bytes.strip_prefix(&FRAME_MAGIC)?;
    let n_body = u32::from_le_bytes(rest.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(rest.get(4..8)?.try_into().ok()?);
    let body = rest.get(8..8 + n_body)?;
    (crc32fast::hash(body) == checksum).then_some(body)
}
