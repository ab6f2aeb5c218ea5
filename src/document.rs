//! The configuration document, raw and checked.
//!
//! [`raw`] holds the document as operators write it, [`checked`] the form that the rest
//! of the system uses. The only way from one to the other is `TryFrom` in [`check`], which lists
//! every fault with its path.

pub mod check;
pub mod checked;
pub mod faults;
pub(crate) mod hex;
pub mod raw;
mod shape;

pub use checked::Document;
pub use faults::{DocumentFaults, Fault, FaultKind};
pub use raw::RawDocument;

#[cfg(test)]
mod tests;
