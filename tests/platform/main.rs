//! Runs nodes as separate processes against stand-ins of the operators' platform.

mod answers;
mod brittle;
mod calm;
mod configuration;
mod crashing_parts;
mod duties;
mod endless;
mod explained;
mod frozen;
mod input;
mod late_copies;
mod leaving;
mod limited;
mod metered;
mod odd_entries;
mod out_of_step;
mod refusals;
mod repeats;
mod rests;
mod rollouts;
mod said_leaving;
mod slow_callers;
mod store;
mod store_copy;
mod support;
mod versions;
