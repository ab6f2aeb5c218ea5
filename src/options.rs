//! Command line and settings.
