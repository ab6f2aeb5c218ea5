mod decisions;
mod failures;
mod fleet;
mod load;
