//! Settings: flags by `getopts`, environment variables behind them.
//!
//! A flag `--store-address` may also be given as `STACKTACK_STORE_ADDRESS`; the
//! flag wins. All faults are collected and reported together.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use getopts::Options;
use thiserror::Error;

/// Exit code for bad settings.
pub const EXIT_INVALID_SETTINGS: i32 = 2;

/// Exit code for a failure at work, such as a port in use.
pub const EXIT_FAILURE: i32 = 1;

/// One setting that a program takes.
#[derive(Clone, Copy, Debug)]
pub struct Flag {
    /// Long name without dashes.
    pub name: &'static str,
    /// Shape of the value, for `--help`; empty for a switch.
    pub value: &'static str,
    /// Value when neither flag nor variable is given; none makes it required.
    pub default: Option<&'static str>,
    /// One sentence for `--help`.
    pub help: &'static str,
}

impl Flag {
    /// A flag that has to be given.
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

    /// Name of the environment variable behind the flag.
    pub fn variable(&self) -> String {
        format!(
            "STACKTACK_{}",
            self.name.to_ascii_uppercase().replace('-', "_")
        )
    }
}

/// One setting that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Flag as written on the command line.
    pub flag: String,
    /// The value given.
    pub value: String,
    /// What is allowed.
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

/// Settings are not usable.
#[derive(Debug, Error)]
#[error("{}", lines(.0))]
pub struct SettingsError(pub Vec<InvalidSetting>);

fn lines(faults: &[InvalidSetting]) -> String {
    let lines: Vec<String> = faults.iter().map(InvalidSetting::to_string).collect();
    lines.join("\n")
}

/// What the command line asks for.
#[derive(Debug)]
pub enum Invocation {
    /// Print this text and exit 0.
    Print(String),
    /// Run with these settings.
    Run(Settings),
}

/// Values of all flags, with the faults found so far.
#[derive(Debug)]
pub struct Settings {
    values: Vec<(&'static str, Option<String>)>,
    faults: Vec<InvalidSetting>,
    /// Arguments that are no flags.
    pub positional_arguments: Vec<String>,
}

/// Reads a program's settings from arguments (without the program's name) and
/// environment.
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
        faults: Vec::new(),
        positional_arguments: matches.free,
    }))
}

/// Reads settings from the process; prints and exits where that is asked for
/// or the settings are bad.
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

/// Prints the faults and exits with [`EXIT_INVALID_SETTINGS`].
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

    fn fault(&mut self, name: &str, value: &str, allowed: String) {
        self.faults.push(InvalidSetting {
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
            self.fault(name, "nothing", format!("allowed is {allowed}"));
            return placeholder;
        };
        match parse(&text) {
            Some(value) => value,
            None => {
                self.fault(name, &text, format!("allowed is {allowed}"));
                placeholder
            }
        }
    }

    /// A non-empty text.
    pub fn text(&mut self, name: &str) -> String {
        let parse = |text: &str| (!text.is_empty()).then(|| text.to_string());
        self.parse_or(name, "a non-empty text", parse, String::new())
    }

    /// A text that may be empty.
    pub fn optional_text(&mut self, name: &str) -> Option<String> {
        let text = self.raw(name)?.to_string();
        (!text.is_empty()).then_some(text)
    }

    /// Whether a switch is given.
    pub fn switch(&mut self, name: &str) -> bool {
        let parse = |text: &str| match text {
            "true" | "1" => Some(true),
            "false" | "0" | "" => Some(false),
            _ => None,
        };
        self.parse_or(name, "true or false", parse, false)
    }

    /// An IP address and port.
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

    /// A number within a range.
    pub fn number<T>(&mut self, name: &str, range: RangeInclusive<T>) -> T
    where
        T: FromStr + PartialOrd + fmt::Display + Copy,
    {
        let allowed = format!("a number from {} to {}", range.start(), range.end());
        let parse = |text: &str| text.parse().ok().filter(|value| range.contains(value));
        self.parse_or(name, &allowed, parse, *range.start())
    }

    /// Numbers within a range, separated by commas.
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

    /// A span in milliseconds within a range.
    pub fn milliseconds(&mut self, name: &str, range: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.number(name, range))
    }

    /// One of a type's values, by its own parser.
    pub fn choice<T: Copy>(&mut self, name: &str, choices: &[(&str, T)]) -> T {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let allowed = format!("one of {}", names.join(", "));
        let parse = |text: &str| {
            let found = choices.iter().find(|(name, _)| *name == text);
            found.map(|(_, value)| *value)
        };
        self.parse_or(name, &allowed, parse, choices[0].1)
    }

    /// All faults so far, or nothing.
    pub fn check(&mut self) -> Result<(), SettingsError> {
        let positional_arguments = std::mem::take(&mut self.positional_arguments);
        for argument in &positional_arguments {
            self.faults.push(InvalidSetting {
                flag: argument.clone(),
                value: String::from("an argument without a flag"),
                allowed: String::from("--help lists the flags"),
            });
        }
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(SettingsError(std::mem::take(&mut self.faults)))
    }

    /// Exits when there are faults.
    pub fn check_or_exit(&mut self) {
        if let Err(error) = self.check() {
            exit_with(&error);
        }
    }
}
