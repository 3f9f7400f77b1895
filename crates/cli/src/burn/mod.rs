//! The report on service-level burn.

mod burn_command;
mod burn_gather;
mod burn_page;
mod burn_plot;
mod burn_text;

pub(crate) use burn_command::REPORT_COMMAND;
