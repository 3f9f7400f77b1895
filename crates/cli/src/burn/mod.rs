//! Report on the burn rates of service-level objectives.

mod burn_collector;
mod burn_command;
mod burn_page;
mod burn_plot;
mod burn_text;

pub(crate) use burn_command::REPORT_COMMAND;
