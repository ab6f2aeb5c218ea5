//! The configuration document, raw and checked.
//!
//! `raw` holds the document as operators write it, [`checked`] the form that the rest
//! of the system uses. The only way from one to the other is `TryFrom`, which lists every fault.

pub mod checked;

pub use checked::Document;
