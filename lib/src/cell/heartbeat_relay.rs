//! Choice of the entries that relay heartbeats to other data centres.
//!
//! Within a data centre each entry sends its heartbeat to every other one. Between data
//! centres that would take a datagram for each pair of entries in the fleet. There, an entry
//! gets the heartbeats of a whole data centre from two of its entries, the relays, so that
//! the loss of one of them delays no news. Rendezvous hashing makes the choice stable:
//! entries learn at different times that a VM has started or was lost, and disagree only on
//! the pairs that this VM is part of.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::prelude::*;

/// Number of entries of a data centre that relay to one entry.
const N_RELAYS: usize = 2;

/// Whether `own` relays to `recipient`; `others` are the other entries of its data centre.
pub(super) fn is_relay(own: &VmName, others: &[&VmName], recipient: &VmName) -> bool {
    let own_weight = weight(own, recipient);
    let heavier = others.iter().filter(|it| own_weight < weight(it, recipient));
    heavier.take(N_RELAYS).count() < N_RELAYS
}

fn weight(relay: &VmName, recipient: &VmName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (relay.as_str(), recipient.as_str()).hash(&mut hasher);
    hasher.finish()
}
