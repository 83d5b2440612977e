//! The commands, one module per command.

pub mod accounts;
pub mod apply;
pub mod burn;
pub mod check;
pub mod edit;
pub mod evacuate;
pub mod evacuations;
pub mod explain;
pub mod jobs;
pub mod keys;
pub mod load;
pub mod show;
pub mod status;
