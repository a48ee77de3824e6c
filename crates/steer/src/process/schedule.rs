//! Decides which requests a backend server gets, in which order, and how much it bears.

pub mod admission;
pub mod health;
