//! Which hosts to hold and which models to load.
