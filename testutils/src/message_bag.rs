//! Messages on their way, in virtual time.

use std::collections::BTreeMap;

use indexmap::IndexSet;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use yuccamux::prelude::*;

/// How badly a bag treats messages.
#[derive(Clone, Copy, Debug)]
pub struct BagFaults {
    /// Share of messages that are lost.
    pub drop: f64,
    /// Share of messages that come twice.
    pub repeat: f64,
    /// Longest delay, in ms; delays differ, so messages overtake each other.
    pub max_delay_ms: u64,
}

/// What a bag did.
#[derive(Clone, Copy, Debug, Default)]
pub struct BagCounts {
    /// Messages put in.
    pub n_sent: u64,
    /// Messages lost at random.
    pub n_dropped: u64,
    /// Messages that came twice.
    pub n_repeated: u64,
    /// Messages lost to a cut.
    pub n_cut: u64,
}

/// A message on its way.
#[derive(Clone, Debug)]
pub struct BagMessage<T> {
    /// Sender.
    pub from: VmName,
    /// Receiver.
    pub to: VmName,
    /// Content.
    pub body: T,
}

/// All messages on their way.
#[derive(Clone, Debug)]
pub struct MessageBag<T> {
    faults: BagFaults,
    cuts: IndexSet<(VmName, VmName)>,
    waiting: BTreeMap<(ClockTime, u64), BagMessage<T>>,
    next: u64,
    counts: BagCounts,
}

impl<T: Clone> MessageBag<T> {
    /// An empty bag.
    pub fn new(faults: BagFaults) -> MessageBag<T> {
        MessageBag {
            faults,
            cuts: IndexSet::new(),
            waiting: BTreeMap::new(),
            next: 0,
            counts: BagCounts::default(),
        }
    }

    /// What the bag did so far.
    pub fn counts(&self) -> BagCounts {
        self.counts
    }

    /// Messages on their way.
    pub fn n_waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Treats messages better or worse from now on.
    pub fn set_faults(&mut self, faults: BagFaults) {
        self.faults = faults;
    }

    /// Loses every message from one VM to another, those on their way too.
    pub fn cut(&mut self, from: &VmName, to: &VmName) {
        self.cuts.insert((from.clone(), to.clone()));
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Puts a message in.
    pub fn put(&mut self, message: BagMessage<T>, now: ClockTime, rng: &mut ChaCha8Rng) {
        self.counts.n_sent += 1;
        if rng.random_bool(self.faults.drop) {
            self.counts.n_dropped += 1;
            return;
        }
        if rng.random_bool(self.faults.repeat) {
            self.counts.n_repeated += 1;
            self.put_once(message.clone(), now, rng);
        }
        self.put_once(message, now, rng);
    }

    fn put_once(&mut self, message: BagMessage<T>, now: ClockTime, rng: &mut ChaCha8Rng) {
        let delay_ms = rng.random_range(0..=self.faults.max_delay_ms);
        self.next += 1;
        self.waiting.insert((now.plus_ms(delay_ms), self.next), message);
    }

    /// Takes the next message that is due.
    pub fn take_due(&mut self, now: ClockTime) -> Option<BagMessage<T>> {
        loop {
            let (due_at, _) = self.waiting.first_key_value()?.0;
            if now < *due_at {
                return None;
            }
            let (_, message) = self.waiting.pop_first()?;
            if !self.cuts.contains(&(message.from.clone(), message.to.clone())) {
                return Some(message);
            }
            self.counts.n_cut += 1;
        }
    }
}
