//! Clients of the platform's log, host list, cloud API and weight store.
