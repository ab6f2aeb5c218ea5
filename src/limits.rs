//! Shares per team, queues and deadlines.
