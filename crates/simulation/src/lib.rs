//! Stand-ins of all that surrounds swiftsail, as pure machines written from the published protocol:
//! state service, cloud, workers. One set of them serves simulated time in tests ([`world`]) and real
//! sockets in `swiftsail local`.

#![forbid(unsafe_code)]

pub mod amounts;
pub mod cloud;
pub mod constants;
pub mod explorer;
pub mod plant;
pub mod store;
pub mod worker;
pub mod world;
