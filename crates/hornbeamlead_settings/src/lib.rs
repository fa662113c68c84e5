//! Reads and validates settings and release notes, and fills in defaults.
//!
//! All errors in a file are found in one pass and reported together, each with its position, its
//! cause and how to correct it:
//!
//! ```
//! let text = r#"{"role": "entry", "hots": "entry-01"}"#;
//! let findings = hornbeamlead_settings::read_settings("entry.json", text).unwrap_err();
//! let misspelled = findings.iter().find(|finding| finding.cause.contains("hots")).unwrap();
//! let expected = r#"entry.json:1:19: hots is no known key; did you mean "host"?"#;
//! assert_eq!(misspelled.to_string(), expected);
//! ```

#![warn(clippy::unwrap_used)]

mod finding;
mod fleet;
mod machine;
mod name_suggestion;
mod policy;
mod process;
mod section;
mod tool;
mod value;

pub mod note;
pub mod quantity;

pub use finding::{Finding, Findings, MAX_FINDINGS};
pub use fleet::{FleetRole, FleetSettings, has_store, read_fleet_settings};
pub use machine::MachineLimits;
pub use process::{ListenAddresses, ProcessSettings, RoleSettings, read_settings};
pub use tool::{ToolSettings, read_tool_settings};
