//! The `swiftsail` binary. All code is in the library.

#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    swiftsail::program::main()
}
