//! Which daemons of a fleet link with which, and how word reaches those that are not linked. No I/O.
//!
//! In a small fleet every daemon links with every other one. In a larger one each failure domain has two relays, chosen from
//! the list of registered daemons by the same rule everywhere. The other daemons of the domain link with the relays alone;
//! relays link with all relays and with all daemons that run batch items. A wrong or outdated choice of relays costs
//! messages, and never the truth of what is decided, since nothing is agreed on by way of them.
//!
//! - [`topology`]: the relays of each failure domain, and the links that an instance keeps.
//! - [`choice`]: which relays of its failure domain an instance uses while some of them cannot be reached.
//! - [`router`]: how messages to one instance, or to all, pass over the links.
//! - [`loads`]: the sums of requests in flight that relays pass on.
//! - [`source`]: where an instance reads what all of them follow in the key-value service.

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
