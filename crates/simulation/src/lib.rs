//! Fakes of all that surrounds swiftsail, written from the published protocol: state service, cloud, workers. They are
//! state machines without I/O, and serve simulated time in tests ([`simulation`]) as well as real sockets in
//! `swiftsail local`. [`model_checker`] explores every order of events in small models.

#![forbid(unsafe_code)]

pub mod cloud;
pub mod cluster;
pub mod constants;
pub mod model_checker;
pub mod quota_model;
pub mod simulation;
pub mod store;
pub mod worker;
