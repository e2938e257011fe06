//! Simulated endpoints, platform, operator and network for examples and tests.

pub mod address;
pub mod endpoint;
pub mod estate;
pub mod operator;
pub mod platform;
pub mod process;
pub mod proxy;
