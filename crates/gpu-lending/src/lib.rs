//! GPU loans: which gang was preempted for which job, on which machines, and for whom these machines are reserved when
//! they become free. Each loan is a state machine in a record that outlives leaders.
//!
//! Without I/O: observations are passed in, actions are returned. A loan only says for whom a machine is reserved. It
//! proves nothing and permits nothing: stopping tasks, proving them gone, quota limits and bindings work as without
//! loans.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod constants;
mod gpu_loans;

pub use gpu_loans::{GpuLoan, GpuLoans, LenderRecord, LoanAction, LoanObservation, LoanPhase};
