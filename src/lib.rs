//! swiftsail: a cluster scheduler that places work by its probability of meeting its deadline.
//!
//! The controller ([`swiftsail_controller::controller::Controller`]) is a pure state machine. This crate is its runtime:
//! the actor that owns it and its HTTP clients ([`runtime`]), the HTTP listeners ([`http`], [`admin`]) with admission
//! control ([`admission`]), the command line ([`program`], [`commands`]) and an emulated platform ([`local`]).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admin;
pub mod admission;
pub mod client;
pub mod commands;
pub mod constants;
pub mod http;
pub mod local;
pub mod logging;
pub mod program;
pub mod runtime;
