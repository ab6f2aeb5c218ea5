//! Command line and environment variables: definition, parsing and validation.

pub mod arguments;
pub mod generate;
mod reader;
pub mod secret;
pub mod serve;
pub mod settings;

pub use secret::Secret;
pub use serve::ServeSettings;
pub use settings::{Action, ClientSettings, Settings, SettingsFault, SettingsFaults};

#[cfg(test)]
mod tests;
