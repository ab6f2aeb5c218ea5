//! The configuration document in its raw and its validated form.
//!
//! [`raw`] contains the document as operators write it, and [`checked`] the form that the rest of
//! the system uses. Only the `TryFrom` in [`check`] converts one to the other; it reports every
//! fault with its path.

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
