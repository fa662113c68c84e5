//! Job acceptance, scheduling, leases and state as state machines without I/O.
//!
//! A job is a graph of steps; a step is a number of identical tasks. There are three state
//! machines, each of the form `handle(now, event) -> effects`:
//!
//! - [`entry`]: accepts jobs from callers, stores them and reports their state;
//! - [`planner`]: runs in one elected process, places tasks on workers and records each attempt
//!   before the worker is ordered to start it;
//! - [`supervisor`]: supervises the worker of a host: carries out orders, renews leases and reports.
//!
//! The durable state is a stream of [`record::PlanRecord`]s in the platform's store; [`ledger`]
//! holds the state that results from applying them.

pub mod config;
pub mod config_check;
pub mod effect;
pub mod entry;
pub mod follow;
pub mod ids;
pub mod index;
pub mod job;
pub mod journal;
pub mod ledger;
pub mod load;
pub mod locator;
pub mod message;
pub mod notice;
pub mod notice_board;
pub mod operators;
pub mod placed;
pub mod planner;
pub mod record;
pub mod relay;
pub mod snapshot;
mod snapshot_retry;
pub mod store;
pub mod supervisor;
pub mod worker;
