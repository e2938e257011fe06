//! Benches of the whole workspace; those of a single crate are in its own `benches/` folder.
