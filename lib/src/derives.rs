//! Aliases for the two sets of derives that most types use.
//!
//! `#[derive(Data!)]` is for values that are stored or sent, `#[derive(Id!)]`
//! for identifiers, which are also ordered and hashed.

derive_alias! {
    #[derive(Data!)] = #[derive(
        ::core::fmt::Debug,
        ::core::clone::Clone,
        ::core::cmp::PartialEq,
        ::core::cmp::Eq,
        ::serde::Serialize,
        ::serde::Deserialize,
    )];
    #[derive(Id!)] = #[derive(
        ::core::fmt::Debug,
        ::core::clone::Clone,
        ::core::cmp::PartialEq,
        ::core::cmp::Eq,
        ::core::hash::Hash,
        ::core::cmp::PartialOrd,
        ::core::cmp::Ord,
        ::serde::Serialize,
        ::serde::Deserialize,
    )];
}
