//! Stand-ins for the systems around balsamturn, for examples and tests only.

pub mod address;
pub mod endpoint;
pub mod estate;
pub mod operator;
pub mod platform;
pub mod process;
pub mod proxy;
