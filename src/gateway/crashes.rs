//! Detection of requests, and of parts of prompts, that crash the upstreams that run them.

pub(crate) mod breaks;

#[cfg(test)]
mod tests;
