//! Fakes of the services around swiftsail, written from the published protocol: state service, cloud and workers. They
//! are state machines without I/O, used with simulated time in tests ([`simulation`]) and behind real sockets in
//! `swiftsail local`. [`model_checker`] explores every order of steps in small models.

#![forbid(unsafe_code)]

pub mod cloud;
pub mod cluster;
pub mod constants;
pub mod model_checker;
pub mod quota_model;
pub mod simulation;
pub mod store;
pub mod worker;
