//! Command-line interface of `bronzelb-emulator`.

mod arguments;
mod backend_command;
mod capacity_command;
mod emulator_command;
mod experiment_command;
mod load_command;
mod platform_command;
mod proxy_command;
mod soak_command;
mod try_command;

pub use emulator_command::run;
