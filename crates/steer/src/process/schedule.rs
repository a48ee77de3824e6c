//! Decides which jobs a backend server gets, in which order, and how much it bears.
//!
//! A job is an opening or a request on an open flow. [`admission`] makes the decisions; the
//! other modules hold what they are based on.

pub mod admission;
pub mod backlog;
pub mod durations;
pub mod fairness;
pub mod health;
pub mod pressure;
pub mod queue;
