use clap::{Arg, ArgMatches, builder::PossibleValuesParser};

const OUTPUT: &str = "output";
const PLAIN: &str = "plain";
const JSON: &str = "json";

/// Format of a command's output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Plain text.
    #[default]
    Plain,
    /// One JSON document.
    Json,
}

impl OutputFormat {
    pub(crate) fn arg() -> Arg {
        Arg::new(OUTPUT)
            .long("output")
            .value_name("FORMAT")
            .value_parser(PossibleValuesParser::new([PLAIN, JSON]))
            .default_value(PLAIN)
            .global(true)
            .help("Format of the output and of error messages")
    }

    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        match matches.get_one::<String>(OUTPUT).map(String::as_str) {
            Some(JSON) => Self::Json,
            _ => Self::Plain,
        }
    }
}
