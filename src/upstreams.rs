//! Clients of model engines and plain services.
