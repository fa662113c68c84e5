//! Internal messages between processes, in decoded form.
//!
//! The package `hornbeamlead_wire` encodes them.

pub mod control;
pub mod request;
