use std::{fmt::Display, str::FromStr};

use bronzelb_kernel::error::MeshError;
use clap::{Arg, ArgMatches};

const ANY_LOOPBACK_PORT: &str = "127.0.0.1:0";

/// Defines an address argument whose default is any free port of 127.0.0.1.
pub(crate) fn address_arg(name: &'static str, help: &'static str) -> Arg {
    optional_address_arg(name, help).default_value(ANY_LOOPBACK_PORT)
}

/// Defines an optional address argument without a default.
pub(crate) fn optional_address_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("ADDRESS").help(help)
}

/// Defines a value argument, required unless it has a default.
pub(crate) fn parsed_arg(
    name: &'static str,
    help: &'static str,
    default_value: Option<&'static str>,
) -> Arg {
    let arg = Arg::new(name).long(name).value_name("VALUE").help(help);
    match default_value {
        Some(default_value) => arg.default_value(default_value),
        None => arg.required(true),
    }
}

/// Returns the parsed value of a required argument.
///
/// # Errors
///
/// `Invalid` when the argument is missing or malformed; the message names the argument and the
/// problem.
pub(crate) fn value<T: FromStr<Err: Display>>(
    matches: &ArgMatches,
    name: &str,
) -> Result<T, MeshError> {
    optional_value(matches, name)?
        .ok_or_else(|| MeshError::invalid(format!("argument --{name} is missing")))
}

/// Returns the parsed value of an optional argument, or `None` if it is absent.
///
/// # Errors
///
/// `Invalid` when the argument is malformed; the message names the argument and the problem.
pub(crate) fn optional_value<T: FromStr<Err: Display>>(
    matches: &ArgMatches,
    name: &str,
) -> Result<Option<T>, MeshError> {
    let Some(text) = matches.get_one::<String>(name) else {
        return Ok(None);
    };
    text.parse()
        .map(Some)
        .map_err(|error| MeshError::invalid(format!("argument --{name} {text:?}: {error}")))
}
