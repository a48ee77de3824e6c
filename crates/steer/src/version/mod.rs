//! State that lives for one version of the operators' documents.

pub mod history;
pub mod lint;
pub mod routing;
