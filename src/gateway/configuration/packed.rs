//! Packs configuration documents for peers.
//!
//! A document repeats the same fields for each route and team. Unpacked, one of some thousand routes
//! would fill the link of a small node for a second each time that it is sent.

use bytes::Bytes;
use miniz_oxide::deflate::{CompressionLevel, compress_to_vec_zlib};
use miniz_oxide::inflate::{TINFLStatus, decompress_to_vec_zlib_with_limit};
use thiserror::Error;

/// Largest document that is unpacked; bounds the memory that one message can take.
const MAX_UNPACKED_BYTES: usize = 16 * 1024 * 1024;

/// Why a packed document cannot be read.
#[derive(Debug, Error)]
#[error("the packed document is damaged or exceeds {MAX_UNPACKED_BYTES} bytes: {status:?}")]
pub(crate) struct UnpackError {
    status: TINFLStatus,
}

/// Packs a document.
#[must_use]
pub(crate) fn pack(document: &[u8]) -> Bytes {
    // Best speed: a small node packs in the task that serves its callers.
    compress_to_vec_zlib(document, CompressionLevel::BestSpeed as u8).into()
}

/// Unpacks a document.
///
/// # Errors
///
/// If the bytes were not packed by [`pack`], or the document is too large.
pub(crate) fn unpack(packed: &[u8]) -> Result<Vec<u8>, UnpackError> {
    decompress_to_vec_zlib_with_limit(packed, MAX_UNPACKED_BYTES).map_err(|error| UnpackError {
        status: error.status,
    })
}

#[cfg(test)]
mod tests;
