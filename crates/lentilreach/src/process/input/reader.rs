//! Reads values from a parsed file and collects all errors.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::errors::{ParseError, ParseErrorKind};
use jsonc_parser::tokens::Token;
use jsonc_parser::{CollectOptions, ParseOptions, ParseStringErrorKind, Scanner};

use crate::process::input::{Error, Errors, MAX_BYTES, MAX_DEPTH, Place, nearest};
use crate::process::name::Name;
use crate::version::config::{MAX_NAME, is_name};

/// Reads one file. Methods that return `None` have recorded an error.
#[derive(Debug)]
pub struct Reader<'a> {
    /// The path of the file as the operator gave it.
    file: Name,
    /// The content of the file.
    text: &'a str,
    /// The byte offset at which each line starts, in ascending order.
    lines: Vec<usize>,
    /// The errors so far.
    errors: Vec<Error>,
}

impl<'a> Reader<'a> {
    /// Creates a reader for the content of a file.
    pub fn new(file: &str, text: &'a str) -> Self {
        // Some editors write a byte order mark at the start of a file.
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let breaks = text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        let lines = std::iter::once(0).chain(breaks.map(|(i, _)| i + 1)).collect();
        Self { file: file.into(), text, lines, errors: Vec::new() }
    }

    /// Returns the value that was read, unless an error was recorded.
    ///
    /// # Errors
    /// If an error was recorded or `read` is `None`.
    pub fn finish<T>(mut self, read: Option<T>) -> Result<T, Errors> {
        let Some(read) = read else {
            // Methods that return `None` have recorded an error. This is a fallback, as the
            // list must not be empty.
            if self.errors.is_empty() {
                self.error(&Range::from_byte_index(0), "the file is not complete", None);
            }
            return Err(Errors::sorted(self.errors));
        };
        Errors::new(self.errors).map_or(Ok(read), Err)
    }

    /// The path of the file as the operator gave it.
    pub fn file(&self) -> &Name {
        &self.file
    }

    /// The position at which a syntax element starts.
    pub fn place(&self, at: &impl Ranged) -> Place {
        let offset = at.start();
        let line = self.lines.partition_point(|start| *start <= offset);
        let before = self.text.get(self.lines[line - 1]..offset).unwrap_or_default();
        // A file has at most 256 Ki characters, so both numbers fit into `u32`.
        Place { line: line as u32, column: before.chars().count() as u32 + 1 }
    }

    /// Records an error.
    pub fn error(
        &mut self,
        at: &impl Ranged,
        message: impl Into<String>,
        hint: Option<String>,
    ) {
        let place = self.place(at);
        let (file, message) = (self.file.clone(), message.into());
        self.errors.push(Error { file, place, message, hint });
    }

    /// Parses the file, which must consist of one object.
    pub fn root(&mut self) -> Option<Object<'a>> {
        let start = Range::from_byte_index(0);
        if self.text.len() > MAX_BYTES {
            let message = format!("the file is longer than {} KiB", MAX_BYTES / 1024);
            self.error(&start, message, None);
            return None;
        }
        if let Err((at, message, hint)) = scan(self.text) {
            self.error(&at, message, hint);
            return None;
        }
        let options = ParseOptions {
            allow_loose_object_property_names: false,
            ..ParseOptions::default()
        };
        let parsed =
            jsonc_parser::parse_to_ast(self.text, &CollectOptions::default(), &options);
        match parsed.map(|result| result.value) {
            Ok(Some(Value::Object(object))) => Some(object),
            Ok(Some(value)) => {
                let message = format!("expected an object, found {}", kind(&value));
                self.error(&value, message, Some("start the file with {".into()));
                None
            }
            Ok(None) => {
                self.error(&start, "the file is empty", None);
                None
            }
            Err(error) => {
                let (at, message, hint) = syntax(&error);
                self.error(&at, message, hint);
                None
            }
        }
    }

    /// Reports keys that are unknown or set twice.
    pub fn check_keys(&mut self, object: &Object<'a>, what: &str, known: &[&str]) {
        self.check_unique(object, what);
        for property in &object.properties {
            let key = property.name.as_str();
            if !known.contains(&key) {
                let hint = match nearest(key, known.iter().copied()) {
                    Some(near) => format!("did you mean {near:?}?"),
                    None => format!("known keys: {}", known.join(", ")),
                };
                let message = format!("unknown key {key:?} in {what}");
                self.error(&property.name, message, Some(hint));
            }
        }
    }

    /// Reports keys that are set twice.
    pub fn check_unique(&mut self, object: &Object<'a>, what: &str) {
        let mut keys: Vec<_> = object.properties.iter().map(|p| &p.name).collect();
        keys.sort_by_key(|key| (key.as_str(), key.start()));
        for pair in keys.windows(2) {
            if pair[0].as_str() == pair[1].as_str() {
                let first = self.place(pair[0]).line;
                let message = format!("{:?} is set twice in {what}", pair[1].as_str());
                let hint = format!("it is already set on line {first}; remove one");
                self.error(pair[1], message, Some(hint));
            }
        }
    }

    /// Finds the value of a required key.
    pub fn require<'o>(
        &mut self,
        object: &'o Object<'a>,
        what: &str,
        key: &str,
    ) -> Option<&'o Value<'a>> {
        let found = object.get(key).map(|property| &property.value);
        if found.is_none() {
            self.error(object, format!("{what} lacks {key:?}"), None);
        }
        found
    }

    /// Reads an object.
    pub fn object<'o>(
        &mut self,
        value: &'o Value<'a>,
        what: &str,
    ) -> Option<&'o Object<'a>> {
        let object = value.as_object();
        self.expect(object, value, what, "an object in { }")
    }

    /// Reads a list.
    pub fn list<'o>(
        &mut self,
        value: &'o Value<'a>,
        what: &str,
    ) -> Option<&'o [Value<'a>]> {
        let list = value.as_array().map(|array| &array.elements[..]);
        self.expect(list, value, what, "a list in [ ]")
    }

    /// Reads a string.
    pub fn string<'o>(&mut self, value: &'o Value<'a>, what: &str) -> Option<&'o str> {
        let text = value.as_string_lit().map(|literal| &*literal.value);
        self.expect(text, value, what, "a string in quotes")
    }

    /// Reads a string that must not be blank, such as a path.
    pub fn non_empty_string<'o>(
        &mut self,
        value: &'o Value<'a>,
        what: &str,
    ) -> Option<&'o str> {
        let text = self.string(value, what)?;
        if text.trim().is_empty() {
            self.error(value, format!("{what} is empty"), None);
            return None;
        }
        Some(text)
    }

    /// Reads a name.
    pub fn name(&mut self, value: &Value<'a>, what: &str) -> Option<Name> {
        let text = self.string(value, what)?;
        self.check_name(value, what, text)
    }

    /// Reads the key of a property as a name.
    pub fn key_name(&mut self, property: &ObjectProp<'a>, what: &str) -> Option<Name> {
        self.check_name(&property.name, what, property.name.as_str())
    }

    /// Reads an address and port.
    pub fn address(&mut self, value: &Value<'a>, what: &str) -> Option<SocketAddr> {
        let text = self.string(value, what)?;
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => Some(address),
            Ok(_) => {
                let hint = "port 0 stands for any free port; use a fixed port";
                self.error(value, format!("{what} has no port"), Some(hint.into()));
                None
            }
            Err(_) => {
                let message = format!("{what} is {text:?}, not an address and port");
                self.error(value, message, Some(address_hint(text)));
                None
            }
        }
    }

    /// Reads a whole number within a range.
    ///
    /// `unit` is `ms` for a time in milliseconds, which adds hints about wrong units, and empty
    /// for a count.
    pub fn integer(
        &mut self,
        value: &Value<'a>,
        what: &str,
        range: RangeInclusive<u64>,
        unit: &str,
    ) -> Option<u64> {
        if let Value::StringLit(text) = value {
            let message = format!("{what} is the string {:?}, not a number", text.value);
            self.error(value, message, string_hint(what, &text.value, unit));
            return None;
        }
        let literal = value.as_number_lit();
        let literal = self.expect(literal, value, what, "a whole number")?.value;
        let (low, high) = range.clone().into_inner();
        match literal.parse::<u64>() {
            Ok(number) if range.contains(&number) => Some(number),
            Ok(number) => {
                let message = format!("{what} is {number}, expected {low} to {high}");
                self.error(value, message, range_hint(number, &range, unit));
                None
            }
            Err(_) => {
                let message = format!(
                    "{what} is {literal}, expected a whole number {low} to {high}"
                );
                self.error(value, message, None);
                None
            }
        }
    }

    /// Reads a decimal number within a range.
    pub fn decimal(
        &mut self,
        value: &Value<'a>,
        what: &str,
        range: RangeInclusive<f64>,
    ) -> Option<f64> {
        let literal = value.as_number_lit();
        let literal = self.expect(literal, value, what, "a number")?.value;
        let number = literal.parse::<f64>().ok().filter(|number| range.contains(number));
        if number.is_none() {
            let (low, high) = range.into_inner();
            let message = format!("{what} is {literal}, expected {low} to {high}");
            self.error(value, message, None);
        }
        number
    }

    /// Reports a wrong type, if `found` is `None`.
    fn expect<T>(
        &mut self,
        found: Option<T>,
        value: &Value<'a>,
        what: &str,
        wanted: &str,
    ) -> Option<T> {
        if found.is_none() {
            let message = format!("{what} is {}, expected {wanted}", kind(value));
            self.error(value, message, None);
        }
        found
    }

    /// Checks a name and reports an invalid one.
    fn check_name(&mut self, at: &impl Ranged, what: &str, text: &str) -> Option<Name> {
        if is_name(text) {
            return Some(text.into());
        }
        let message = if text.is_empty() {
            format!("{what}: the name is empty")
        } else if text.len() > MAX_NAME {
            format!("{what}: the name has {} bytes, the limit is {MAX_NAME}", text.len())
        } else {
            format!("{what}: {text:?} is not a name")
        };
        self.error(at, message, Some(name_hint(text)));
        None
    }
}

/// A syntax error: its position, the message and a hint.
type SyntaxError = (Range, String, Option<String>);

/// Checks the nesting depth and missing commas, which the parser does not check.
fn scan(text: &str) -> Result<(), SyntaxError> {
    let mut scanner = Scanner::new(text);
    let (mut depth, mut after_value) = (0_usize, false);
    while let Some(token) = scanner.scan().map_err(|error| syntax(&error))? {
        let at = Range::new(scanner.token_start(), scanner.token_end());
        let starts = matches!(
            token,
            Token::OpenBrace
                | Token::OpenBracket
                | Token::String(_)
                | Token::Number(_)
                | Token::Boolean(_)
                | Token::Null
        );
        if starts && after_value && depth > 0 {
            return Err((at, "expected a comma or a colon before this".into(), None));
        }
        match token {
            Token::CommentLine(_) | Token::CommentBlock(_) => continue,
            Token::OpenBrace | Token::OpenBracket => {
                depth += 1;
                after_value = false;
            }
            Token::CloseBrace | Token::CloseBracket => {
                depth = depth.saturating_sub(1);
                after_value = true;
            }
            _ => after_value = starts,
        }
        if depth > MAX_DEPTH {
            return Err((at, format!("nested more than {MAX_DEPTH} levels deep"), None));
        }
    }
    Ok(())
}

/// Converts an error of the parser.
fn syntax(error: &ParseError) -> SyntaxError {
    use ParseErrorKind as Kind;
    let (message, hint) = match error.kind() {
        Kind::UnterminatedCommentBlock => {
            ("this comment is not closed", Some("end the comment with */"))
        }
        Kind::UnterminatedObject => {
            ("this { is not closed", Some("end the object with }"))
        }
        Kind::UnterminatedArray => ("this [ is not closed", Some("end the list with ]")),
        Kind::String(ParseStringErrorKind::UnterminatedStringLiteral) => (
            "this string is not closed",
            Some("end the string with a quote on the same line"),
        ),
        Kind::ExpectedStringObjectProperty => {
            ("this key is not in quotes", Some("write keys as \"key\""))
        }
        Kind::ExpectedColonAfterObjectKey => ("expected a colon after the key", None),
        Kind::ExpectedObjectValue => ("expected a value after the colon", None),
        Kind::UnexpectedWord => {
            ("unexpected word", Some("write strings in quotes, as \"text\""))
        }
        Kind::MultipleRootJsonValues => {
            ("unexpected text after the end of the object", Some("remove it"))
        }
        other => return (error.range(), other.to_string().to_lowercase(), None),
    };
    (error.range(), message.into(), hint.map(Into::into))
}

/// The type of a value, for messages.
fn kind(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a string",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(literal) if literal.value => "true",
        Value::BooleanLit(_) => "false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

/// The hint for an invalid name, with a similar valid name if there is one.
fn name_hint(text: &str) -> String {
    let to_valid =
        |c: char| if c.is_ascii_alphanumeric() { c.to_ascii_lowercase() } else { '-' };
    let valid: String = text.chars().take(MAX_NAME).map(to_valid).collect();
    let valid = valid.trim_matches('-');
    let rule = format!("names have 1 to {MAX_NAME} characters of a-z, 0-9 and -");
    if is_name(valid) { format!("{rule}; for example {valid:?}") } else { rule }
}

/// The hint for an invalid address.
fn address_hint(text: &str) -> String {
    if text.parse::<std::net::IpAddr>().is_ok() {
        return format!("add the port, for example \"{}\"", with_port(text));
    }
    match text.rsplit_once(':').map(|(_, port)| port.parse::<u64>()) {
        Some(Ok(port)) if port > u64::from(u16::MAX) => "a port is 1 to 65535".into(),
        _ => "write it as \"127.1.0.1:4433\" or \"[::1]:4433\"; host names are not resolved"
            .into(),
    }
}

/// Adds an example port to an IP address.
fn with_port(ip: &str) -> String {
    if ip.contains(':') { format!("[{ip}]:4433") } else { format!("{ip}:4433") }
}

/// The hint for a number that was written as a string.
fn string_hint(what: &str, text: &str, unit: &str) -> Option<String> {
    let text = text.trim();
    if text.parse::<u64>().is_ok() {
        return Some(format!("write {text} without quotes"));
    }
    if unit != "ms" {
        return None;
    }
    let digits = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, suffix) = text.split_at(digits);
    let factor = match suffix.trim() {
        "ms" => Some(1),
        "s" | "sec" | "seconds" => Some(1_000),
        "m" | "min" | "minutes" => Some(60_000),
        "h" => Some(3_600_000),
        _ => None,
    };
    let ms = factor.and_then(|factor| number.parse::<u64>().ok()?.checked_mul(factor));
    let rule = format!("{what} is a number of milliseconds");
    Some(ms.map_or(rule.clone(), |ms| format!("{rule}; write {ms} without quotes")))
}

/// The hint for a number outside its range, with the unit that was most likely meant.
fn range_hint(number: u64, range: &RangeInclusive<u64>, unit: &str) -> Option<String> {
    if unit != "ms" {
        return None;
    }
    let fits = |ms: &u64| range.contains(ms) && *ms > 0;
    let seconds = number.checked_mul(1_000).filter(fits);
    let micros = Some(number / 1_000).filter(fits);
    match (seconds.filter(|_| number < *range.start()), micros) {
        (Some(ms), _) => {
            Some(format!("the unit is milliseconds; for {number} s write {ms}"))
        }
        (None, Some(ms)) => {
            Some(format!("the unit is milliseconds; for {number} us write {ms}"))
        }
        (None, None) => Some("the unit is milliseconds".into()),
    }
}
