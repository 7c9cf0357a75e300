//! The pilot's desk: what an operator may ask any node, what is told, and what is printed of it. Plain functions over
//! plain values: no socket, no clock.

mod diff;
mod doctor;
mod history;
mod operation;
mod plan;
mod status;
mod surveys;
mod tables;
mod tales;
mod terms;
mod told;

pub use diff::{Diff, diff, same_but_edition};
pub use doctor::{Finding, examine, findings_text};
pub use history::History;
pub use operation::operation_text;
pub use plan::{Plan, Planned, plan};
pub use status::{Summary, cut_off, fleet_line, node_text};
pub use surveys::{Surveyed, Surveys};
pub use tables::{history_table, locks_table, nodes_table, routes_table, servers_table};
pub use tales::{tales_text, why_text};
pub use terms::Terms;
pub use told::*;
