//! Stand-ins of all that surrounds swiftsail, as pure machines written from the published protocol:
//! state service, cloud, workers. One set of them serves simulated time in tests ([`world`]) and real
//! sockets in `swiftsail local`.

#![forbid(unsafe_code)]

pub mod cloud;
pub mod cluster;
pub mod constants;
pub mod model_checker;
pub mod quota_model;
pub mod simulation;
pub mod store;
pub mod worker;
