//! Messages between the system's own processes, as the decisions see them.
//!
//! Their encoded form lives in the package `hornbeamlead_wire`.

pub mod control;
pub mod request;
