//! Topology of the links between the daemons of a fleet, and routing of messages between daemons without a direct link. The
//! crate does no I/O.
//!
//! In a small fleet every daemon links with every other one. In a larger fleet each failure domain has two relays, which all
//! daemons select by the same rule from the list of registered daemons. The other daemons of the domain link only with the
//! relays; relays link with all relays and with all daemons that run batch items. A wrong or outdated selection of relays may
//! cost messages but never affects the correctness of decisions, since no agreement depends on the overlay.
//!
//! - [`topology`]: the relays of each failure domain, and the links that an instance keeps.
//! - [`choice`]: the relays that an instance uses, including substitutes for unreachable ones.
//! - [`router`]: routing of unicast and broadcast messages over the links.
//! - [`loads`]: aggregation of the requests in flight, which relays distribute.
//! - [`source`]: the source from which an instance reads the shared prefixes of the key-value service.

pub mod choice;
pub mod loads;
pub mod router;
pub mod source;
pub mod topology;

pub use choice::RelayChoice;
pub use loads::{Counts, LoadReports, Report};
pub use router::{Frame, Role, Router, RoutingAction};
pub use source::{RelayFailure, RelayView, Source, SourceChoice};
pub use topology::{Dialler, Member, Topology};
