//! Settings from command-line flags (`getopts`) and environment variables.
//!
//! A flag `--store-address` may also be given as `STACKTACK_STORE_ADDRESS`; the
//! flag takes precedence. All invalid settings are reported together.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use getopts::Options;
use thiserror::Error;

/// Exit code for invalid settings.
pub const EXIT_INVALID_SETTINGS: i32 = 2;

/// Exit code for a failure at run time, such as a port in use.
pub const EXIT_FAILURE: i32 = 1;

/// One setting of a program.
#[derive(Clone, Copy, Debug)]
pub struct Flag {
    /// Long name without the leading dashes.
    pub name: &'static str,
    /// Placeholder of the value in `--help`; empty for a switch.
    pub value: &'static str,
    /// Value if neither flag nor variable is given; `None` for a required setting.
    pub default: Option<&'static str>,
    /// Description in `--help`.
    pub help: &'static str,
}

impl Flag {
    /// A required flag.
    pub const fn required(name: &'static str, value: &'static str, help: &'static str) -> Self {
        Flag {
            name,
            value,
            default: None,
            help,
        }
    }

    /// A flag with a default.
    pub const fn with_default(
        name: &'static str,
        value: &'static str,
        default: &'static str,
        help: &'static str,
    ) -> Self {
        Flag {
            name,
            value,
            default: Some(default),
            help,
        }
    }

    /// A flag without a value.
    pub const fn switch(name: &'static str, help: &'static str) -> Self {
        Flag {
            name,
            value: "",
            default: Some("false"),
            help,
        }
    }

    /// Name of the environment variable of the flag.
    pub fn variable(&self) -> String {
        format!(
            "STACKTACK_{}",
            self.name.to_ascii_uppercase().replace('-', "_")
        )
    }
}

/// An invalid value of one setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The flag with its dashes, the program's name, or a surplus argument.
    pub flag: String,
    /// The given value, or what is wrong.
    pub value: String,
    /// The allowed values, or where they are listed.
    pub allowed: String,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: {} is not allowed; {}",
            self.flag, self.value, self.allowed
        )
    }
}

/// One or more settings are invalid.
#[derive(Debug, Error)]
#[error("{}", join_lines(.0))]
pub struct SettingsError(pub Vec<InvalidSetting>);

fn join_lines(invalid_settings: &[InvalidSetting]) -> String {
    let lines: Vec<String> = invalid_settings
        .iter()
        .map(InvalidSetting::to_string)
        .collect();
    lines.join("\n")
}

/// Action that the command line asks for.
#[derive(Debug)]
pub enum Invocation {
    /// Print this text and exit with code 0.
    Print(String),
    /// Run with these settings.
    Run(Settings),
}

/// Values of all flags, and the invalid ones found so far.
#[derive(Debug)]
pub struct Settings {
    values: Vec<(&'static str, Option<String>)>,
    invalid_settings: Vec<InvalidSetting>,
    /// Arguments that are neither flags nor their values.
    pub positional_arguments: Vec<String>,
}

/// Reads the settings of a program from its arguments (without the program's
/// name) and the environment.
pub fn read(
    program: &str,
    summary: &str,
    flags: &[Flag],
    arguments: &[String],
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Invocation, SettingsError> {
    let options = options_of(flags);
    let matches = options.parse(arguments).map_err(|error| {
        SettingsError(vec![InvalidSetting {
            flag: program.to_string(),
            value: error.to_string(),
            allowed: String::from("--help lists the flags"),
        }])
    })?;
    if matches.opt_present("help") {
        return Ok(Invocation::Print(usage(program, summary, flags, &options)));
    }
    if matches.opt_present("version") {
        let version = env!("CARGO_PKG_VERSION");
        return Ok(Invocation::Print(format!("{program} {version}")));
    }
    let mut values = Vec::new();
    for flag in flags {
        let given = if flag.value.is_empty() {
            matches.opt_present(flag.name).then(|| String::from("true"))
        } else {
            matches.opt_str(flag.name)
        };
        let value = given
            .or_else(|| environment(&flag.variable()))
            .or_else(|| flag.default.map(String::from));
        values.push((flag.name, value));
    }
    Ok(Invocation::Run(Settings {
        values,
        invalid_settings: Vec::new(),
        positional_arguments: matches.free,
    }))
}

/// Reads the settings from the arguments and environment of the process. Exits
/// after printing the help, the version or the errors of the command line.
pub fn read_or_exit(program: &str, summary: &str, flags: &[Flag]) -> Settings {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let variable = |name: &str| std::env::var(name).ok();
    match read(program, summary, flags, &arguments, variable) {
        Ok(Invocation::Run(settings)) => settings,
        Ok(Invocation::Print(text)) => {
            println!("{text}");
            std::process::exit(0);
        }
        Err(error) => exit_with(&error),
    }
}

/// Prints the invalid settings and exits with [`EXIT_INVALID_SETTINGS`].
pub fn exit_with(error: &SettingsError) -> ! {
    eprintln!("{error}");
    std::process::exit(EXIT_INVALID_SETTINGS);
}

fn options_of(flags: &[Flag]) -> Options {
    let mut options = Options::new();
    options.optflag("", "help", "print this text");
    options.optflag("", "version", "print the version");
    for flag in flags {
        let variable = flag.variable();
        let help = match flag.default {
            _ if flag.value.is_empty() => format!("{} [{variable}]", flag.help),
            Some("") => format!("{} [{variable}]", flag.help),
            Some(default) => format!("{} [{variable}, default {default}]", flag.help),
            None => format!("{} [{variable}, required]", flag.help),
        };
        if flag.value.is_empty() {
            options.optflag("", flag.name, &help);
        } else {
            options.optopt("", flag.name, &help, flag.value);
        }
    }
    options
}

fn usage(program: &str, summary: &str, flags: &[Flag], options: &Options) -> String {
    let required: Vec<String> = flags
        .iter()
        .filter(|flag| flag.default.is_none())
        .map(|flag| format!("--{} {}", flag.name, flag.value))
        .collect();
    let brief = format!(
        "{summary}\n\nUsage: {program} {} [flags]",
        required.join(" ")
    );
    options.usage(&brief)
}

impl Settings {
    fn raw(&self, name: &str) -> Option<&str> {
        let entry = self.values.iter().find(|(flag, _)| *flag == name);
        entry.and_then(|(_, value)| value.as_deref())
    }

    fn add_invalid(&mut self, name: &str, value: &str, allowed: String) {
        self.invalid_settings.push(InvalidSetting {
            flag: format!("--{name}"),
            value: value.to_string(),
            allowed,
        });
    }

    fn parse_or<T>(
        &mut self,
        name: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
        placeholder: T,
    ) -> T {
        let Some(text) = self.raw(name).map(String::from) else {
            self.add_invalid(name, "nothing", format!("allowed is {allowed}"));
            return placeholder;
        };
        match parse(&text) {
            Some(value) => value,
            None => {
                self.add_invalid(name, &text, format!("allowed is {allowed}"));
                placeholder
            }
        }
    }

    /// Reads a non-empty text.
    pub fn text(&mut self, name: &str) -> String {
        let parse = |text: &str| (!text.is_empty()).then(|| text.to_string());
        self.parse_or(name, "a non-empty text", parse, String::new())
    }

    /// Reads a text; `None` if it is empty.
    pub fn optional_text(&mut self, name: &str) -> Option<String> {
        let text = self.raw(name)?.to_string();
        (!text.is_empty()).then_some(text)
    }

    /// Reads whether a switch is on.
    pub fn switch(&mut self, name: &str) -> bool {
        let parse = |text: &str| match text {
            "true" | "1" => Some(true),
            "false" | "0" | "" => Some(false),
            _ => None,
        };
        self.parse_or(name, "true or false", parse, false)
    }

    /// Reads an IP address and port.
    pub fn address(&mut self, name: &str) -> SocketAddr {
        let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
        let parse = |text: &str| text.parse().ok();
        self.parse_or(
            name,
            "an IP address and port, such as 127.0.0.1:8080",
            parse,
            placeholder,
        )
    }

    /// Reads a number within a range.
    pub fn number<T>(&mut self, name: &str, range: RangeInclusive<T>) -> T
    where
        T: FromStr + PartialOrd + fmt::Display + Copy,
    {
        let allowed = format!("a number from {} to {}", range.start(), range.end());
        let parse = |text: &str| text.parse().ok().filter(|value| range.contains(value));
        self.parse_or(name, &allowed, parse, *range.start())
    }

    /// Reads numbers within a range, separated by commas.
    pub fn numbers<T>(&mut self, name: &str, range: RangeInclusive<T>) -> Vec<T>
    where
        T: FromStr + PartialOrd + fmt::Display + Copy,
    {
        let allowed = format!(
            "numbers from {} to {}, separated by commas",
            range.start(),
            range.end()
        );
        let parse = |text: &str| {
            let number = |part: &str| part.parse().ok().filter(|value| range.contains(value));
            text.split(',').map(number).collect::<Option<Vec<T>>>()
        };
        self.parse_or(name, &allowed, parse, Vec::new())
    }

    /// Reads a duration in milliseconds within a range.
    pub fn milliseconds(&mut self, name: &str, range: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.number(name, range))
    }

    /// Reads one of the named values in `choices`, which must not be empty.
    pub fn choice<T: Copy>(&mut self, name: &str, choices: &[(&str, T)]) -> T {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let allowed = format!("one of {}", names.join(", "));
        let parse = |text: &str| {
            let found = choices.iter().find(|(name, _)| *name == text);
            found.map(|(_, value)| *value)
        };
        self.parse_or(name, &allowed, parse, choices[0].1)
    }

    /// Fails with all invalid settings found so far; surplus arguments are invalid.
    pub fn check(&mut self) -> Result<(), SettingsError> {
        let positional_arguments = std::mem::take(&mut self.positional_arguments);
        for argument in &positional_arguments {
            self.invalid_settings.push(InvalidSetting {
                flag: argument.clone(),
                value: String::from("an argument without a flag"),
                allowed: String::from("--help lists the flags"),
            });
        }
        if self.invalid_settings.is_empty() {
            return Ok(());
        }
        Err(SettingsError(std::mem::take(&mut self.invalid_settings)))
    }

    /// Exits if there are invalid settings.
    pub fn check_or_exit(&mut self) {
        if let Err(error) = self.check() {
            exit_with(&error);
        }
    }
}
