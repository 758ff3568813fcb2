//! Leases on endpoints' slots among the entries of a data centre.
//!
//! Each entry holds a share of every endpoint's slots, worked out alike by all from
//! the entries that are alive. An entry with tasks waiting asks another for slots
//! that are free there; the lender counts them as used until they are returned or
//! the borrower is lost. A lease saves messages and is no matter of safety: where two
//! entries disagree for a moment, the endpoint refuses and says so.

use indexmap::IndexMap;

use crate::{job_key::rendezvous_weight, prelude::*};

/// How slots are divided among entries.
#[derive(Data!, Copy)]
pub enum LeaseRule {
    /// Not at all: each entry sees only its own tasks.
    Uncoordinated,
    /// A share of each endpoint for each entry, lent on demand.
    Shares,
    /// One entry for each endpoint.
    SingleOwner,
}

/// A message about leases between two entries.
#[derive(Data!)]
pub enum LeaseMessage {
    /// The sender has this many tasks waiting.
    Request(u32),
    /// Slots lent to the receiver.
    Lend(Vec<(EndpointName, u32)>),
    /// Slots given back to the receiver.
    Return(Vec<(EndpointName, u32)>),
}

/// Time after which a borrower no longer uses a loan, in ms.
const BORROW_MS: u64 = 5_000;
/// Time after which a lender uses its slots again, in ms; the longer one.
const LEND_MS: u64 = 7_000;

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

    /// Sets the share, and ends loans with VMs for which `is_member` says no.
    pub fn set_share(&mut self, share: u32, is_member: impl Fn(&VmName) -> bool) {
        self.share = share;
        self.lent.retain(|vm, _| is_member(vm));
        self.borrowed.retain(|vm, _| is_member(vm));
    }

    /// Ends loans whose time is over: a return may have been lost.
    pub fn expire(&mut self, now: ClockTime) {
        self.lent.retain(|_, it| now < it.until);
        self.borrowed.retain(|_, it| now < it.until);
    }

    /// Lends up to `n_slots` of the `n_free` free ones, keeping a quarter of the share.
    pub fn lend(&mut self, to: &VmName, n_slots: u32, n_free: u32, now: ClockTime) -> u32 {
        let reserve = self.share / 4;
        let n_lent = n_slots.min(n_free.saturating_sub(reserve));
        if 0 < n_lent {
            add_loan(&mut self.lent, to, n_lent, now.plus_ms(LEND_MS));
        }
        n_lent
    }

    /// Takes slots lent by another.
    pub fn borrow(&mut self, from: &VmName, n_slots: u32, now: ClockTime) {
        add_loan(&mut self.borrowed, from, n_slots, now.plus_ms(BORROW_MS));
    }

    /// Takes back slots that another returns.
    pub fn reclaim(&mut self, from: &VmName, n_slots: u32) {
        if let Some(loan) = self.lent.get_mut(from) {
            loan.n_slots = loan.n_slots.saturating_sub(n_slots);
        }
        self.lent.retain(|_, it| 0 < it.n_slots);
    }

    /// Gives up to `n_free` borrowed slots back, those of `lender` only if it is given.
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

/// The share of an endpoint's slots that falls to `own` among `members`.
///
/// What does not divide evenly goes to the members with the highest weight for the
/// endpoint, so that the odd slots of different endpoints fall to different members.
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
