//! Leases on endpoints' slots among the entries of a data centre.
//!
//! Each entry holds a share of every endpoint's slots, which all entries compute alike
//! from the list of live entries. An entry with waiting tasks requests free slots from
//! another; the lender counts them as used until they are returned, the loan expires or
//! the borrower is lost. Leases only save messages and are not needed for safety: where
//! two entries disagree for a moment, the endpoint refuses the excess tasks.

use indexmap::IndexMap;

use crate::{job_key::rendezvous_weight, prelude::*};

/// How slots are divided among entries.
#[derive(Data!, Copy)]
pub enum LeaseRule {
    /// Not divided: each entry uses all slots and counts only its own tasks.
    Uncoordinated,
    /// Each entry has a share of each endpoint's slots, lent on demand.
    Shares,
    /// Each endpoint is used by one entry only.
    SingleOwner,
}

/// A message about leases between two entries.
#[derive(Data!)]
pub enum LeaseMessage {
    /// The sender requests this many slots.
    Request(u32),
    /// Slots lent to the receiver.
    Lend(Vec<(EndpointName, u32)>),
    /// Borrowed slots returned to the receiver.
    Return(Vec<(EndpointName, u32)>),
}

/// Time after which a borrower stops using a loan, in ms.
const BORROWER_TTL_MS: u64 = 5_000;
/// Time after which a lender uses its slots again, in ms; longer than the borrower's, so that
/// both do not use them at once.
const LENDER_TTL_MS: u64 = 7_000;

/// Slots lent or borrowed, and until when.
#[derive(Clone, Debug)]
struct SlotLoan {
    n_slots: u32,
    until: ClockTime,
}

/// This entry's slots on one endpoint.
#[derive(Clone, Debug, Default)]
pub struct SlotLease {
    share: u32,
    lent: IndexMap<VmName, SlotLoan>,
    borrowed: IndexMap<VmName, SlotLoan>,
}

impl SlotLease {
    /// Slots that this entry may use now.
    pub fn capacity(&self) -> u32 {
        let n_lent: u32 = self.lent.values().map(|it| it.n_slots).sum();
        (self.share + self.n_borrowed()).saturating_sub(n_lent)
    }

    /// Slots borrowed from others.
    pub fn n_borrowed(&self) -> u32 {
        self.borrowed.values().map(|it| it.n_slots).sum()
    }

    /// Sets the share, and ends loans with VMs for which `is_member` returns false.
    pub fn set_share(&mut self, share: u32, is_member: impl Fn(&VmName) -> bool) {
        self.share = share;
        self.lent.retain(|vm, _| is_member(vm));
        self.borrowed.retain(|vm, _| is_member(vm));
    }

    /// Ends expired loans, whose return message may have been lost.
    pub fn expire(&mut self, now: ClockTime) {
        self.lent.retain(|_, it| now < it.until);
        self.borrowed.retain(|_, it| now < it.until);
    }

    /// Lends up to `n_slots` of the `n_free` free ones, keeping a quarter of the share.
    pub fn lend(&mut self, to: &VmName, n_slots: u32, n_free: u32, now: ClockTime) -> u32 {
        let reserve = self.share / 4;
        let n_lent = n_slots.min(n_free.saturating_sub(reserve));
        if 0 < n_lent {
            add_loan(&mut self.lent, to, n_lent, now.plus_ms(LENDER_TTL_MS));
        }
        n_lent
    }

    /// Adds slots lent by another entry.
    pub fn borrow(&mut self, from: &VmName, n_slots: u32, now: ClockTime) {
        add_loan(&mut self.borrowed, from, n_slots, now.plus_ms(BORROWER_TTL_MS));
    }

    /// Reclaims slots that another entry returns.
    pub fn reclaim(&mut self, from: &VmName, n_slots: u32) {
        if let Some(loan) = self.lent.get_mut(from) {
            loan.n_slots = loan.n_slots.saturating_sub(n_slots);
        }
        self.lent.retain(|_, it| 0 < it.n_slots);
    }

    /// Returns up to `n_free` borrowed slots, only those of `lender` if it is given.
    pub fn return_borrowed(&mut self, n_free: u32, lender: Option<&VmName>) -> Vec<(VmName, u32)> {
        let mut n_left = n_free;
        let mut returned = Vec::new();
        for (vm, loan) in &mut self.borrowed {
            let n_returned = n_left.min(loan.n_slots);
            if n_returned == 0 || lender.is_some_and(|it| it != vm) {
                continue;
            }
            loan.n_slots -= n_returned;
            n_left -= n_returned;
            returned.push((vm.clone(), n_returned));
        }
        self.borrowed.retain(|_, it| 0 < it.n_slots);
        returned
    }
}

fn add_loan(loans: &mut IndexMap<VmName, SlotLoan>, vm: &VmName, n_slots: u32, until: ClockTime) {
    let loan = loans.entry(vm.clone()).or_insert(SlotLoan { n_slots: 0, until });
    loan.n_slots += n_slots;
    loan.until = until;
}

/// The share of an endpoint's slots that is assigned to `own` among `members`.
///
/// The remainder goes to the members with the highest rendezvous weight for the endpoint,
/// so that the extra slots of different endpoints go to different members.
pub fn slot_share(
    rule: LeaseRule,
    endpoint: &EndpointName,
    n_slots: u32,
    own: &VmName,
    members: &[VmName],
) -> u32 {
    let own_weight = rendezvous_weight(own.as_str(), endpoint.as_str());
    let is_ahead = |it: &&VmName| {
        let weight = rendezvous_weight(it.as_str(), endpoint.as_str());
        *it != own && (own_weight, own) < (weight, it)
    };
    let rank = members.iter().filter(is_ahead).count() as u32;
    match rule {
        LeaseRule::Uncoordinated => n_slots,
        LeaseRule::SingleOwner => {
            if rank == 0 {
                n_slots
            } else {
                0
            }
        }
        LeaseRule::Shares => {
            let n_members = members.len().max(1) as u32;
            n_slots / n_members + u32::from(rank < n_slots % n_members)
        }
    }
}
