//! Decides on jobs: acceptance, planning, leases and state, without I/O.
//!
//! A job is a graph of steps; a step is a number of equal tasks. Three state machines share the
//! work, each as `handle(now, event) -> effects`:
//!
//! - [`entry`]: takes callers' jobs, makes them durable and tells their state;
//! - [`planner`]: one process at a time decides which task runs where, and records each attempt
//!   before it is ordered;
//! - [`keeper`]: beside each worker, carries out orders, holds leases and reports.
//!
//! What lasts is a stream of [`record::PlanRecord`]s in the platform's store. [`ledger`] is the
//! state that these records add up to.

pub mod config;
pub mod effect;
pub mod entry;
pub mod follow;
pub mod ids;
pub mod index;
pub mod job;
pub mod keeper;
pub mod ledger;
pub mod locator;
pub mod message;
pub mod operators;
pub mod planner;
pub mod record;
pub mod relay;
pub mod snapshot;
pub mod store;
pub mod worker;
