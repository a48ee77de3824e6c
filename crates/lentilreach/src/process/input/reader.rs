//! Reads values out of a parsed file and collects every mistake on the way.

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

/// Reads one file. Methods that return `None` have noted a mistake.
#[derive(Debug)]
pub struct Reader<'a> {
    /// The file as the operator named it.
    file: Name,
    /// Its content.
    text: &'a str,
    /// The byte offsets at which lines start, rising.
    lines: Vec<usize>,
    /// The mistakes so far.
    errors: Vec<Error>,
}

impl<'a> Reader<'a> {
    /// Reads a file that is already in memory.
    pub fn new(file: &str, text: &'a str) -> Self {
        // Some editors begin a file with a byte order mark.
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let breaks = text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        let lines = std::iter::once(0).chain(breaks.map(|(i, _)| i + 1)).collect();
        Self { file: file.into(), text, lines, errors: Vec::new() }
    }

    /// Ends reading: what was read, unless there are mistakes.
    ///
    /// # Errors
    /// If a mistake was noted or nothing was read.
    pub fn finish<T>(mut self, read: Option<T>) -> Result<T, Errors> {
        let Some(read) = read else {
            // Whatever returned `None` has noted why; this keeps the list from being empty.
            if self.errors.is_empty() {
                self.fault(&Range::from_byte_index(0), "the file is not complete", None);
            }
            return Err(Errors::sorted(self.errors));
        };
        Errors::new(self.errors).map_or(Ok(read), Err)
    }

    /// The file as the operator named it.
    pub fn file(&self) -> &Name {
        &self.file
    }

    /// The place where something starts.
    pub fn place(&self, at: &impl Ranged) -> Place {
        let offset = at.start();
        let line = self.lines.partition_point(|start| *start <= offset);
        let before = self.text.get(self.lines[line - 1]..offset).unwrap_or_default();
        // A file has at most 256 Ki characters, so both fit.
        Place { line: line as u32, column: before.chars().count() as u32 + 1 }
    }

    /// Notes a mistake.
    pub fn fault(
        &mut self,
        at: &impl Ranged,
        message: impl Into<String>,
        hint: Option<String>,
    ) {
        let place = self.place(at);
        let (file, message) = (self.file.clone(), message.into());
        self.errors.push(Error { file, place, message, hint });
    }

    /// Parses the file, which must hold one object.
    pub fn root(&mut self) -> Option<Object<'a>> {
        let start = Range::from_byte_index(0);
        if self.text.len() > MAX_BYTES {
            let message = format!("the file is longer than {} KiB", MAX_BYTES / 1024);
            self.fault(&start, message, None);
            return None;
        }
        if let Err((at, message, hint)) = scan(self.text) {
            self.fault(&at, message, hint);
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
                self.fault(&value, message, Some("start the file with {".into()));
                None
            }
            Ok(None) => {
                self.fault(&start, "the file is empty", None);
                None
            }
            Err(error) => {
                let (at, message, hint) = syntax(&error);
                self.fault(&at, message, hint);
                None
            }
        }
    }

    /// Notes keys that are unknown or set twice.
    pub fn keys(&mut self, object: &Object<'a>, what: &str, known: &[&str]) {
        self.unique(object, what);
        for property in &object.properties {
            let key = property.name.as_str();
            if !known.contains(&key) {
                let hint = match nearest(key, known.iter().copied()) {
                    Some(near) => format!("did you mean {near:?}?"),
                    None => format!("known keys: {}", known.join(", ")),
                };
                let message = format!("unknown key {key:?} in {what}");
                self.fault(&property.name, message, Some(hint));
            }
        }
    }

    /// Notes keys that are set twice.
    pub fn unique(&mut self, object: &Object<'a>, what: &str) {
        let mut keys: Vec<_> = object.properties.iter().map(|p| &p.name).collect();
        keys.sort_by_key(|key| (key.as_str(), key.start()));
        for pair in keys.windows(2) {
            if pair[0].as_str() == pair[1].as_str() {
                let first = self.place(pair[0]).line;
                let message = format!("{:?} is set twice in {what}", pair[1].as_str());
                let hint = format!("it is already set in line {first}; remove one");
                self.fault(pair[1], message, Some(hint));
            }
        }
    }

    /// Finds a value that must be there.
    pub fn require<'o>(
        &mut self,
        object: &'o Object<'a>,
        what: &str,
        key: &str,
    ) -> Option<&'o Value<'a>> {
        let found = object.get(key).map(|property| &property.value);
        if found.is_none() {
            self.fault(object, format!("{what} lacks {key:?}"), None);
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

    /// Reads a text.
    pub fn text<'o>(&mut self, value: &'o Value<'a>, what: &str) -> Option<&'o str> {
        let text = value.as_string_lit().map(|literal| &*literal.value);
        self.expect(text, value, what, "a text in quotes")
    }

    /// Reads a text that is not empty, such as a path.
    pub fn filled<'o>(&mut self, value: &'o Value<'a>, what: &str) -> Option<&'o str> {
        let text = self.text(value, what)?;
        if text.trim().is_empty() {
            self.fault(value, format!("{what} is empty"), None);
            return None;
        }
        Some(text)
    }

    /// Reads a name.
    pub fn name(&mut self, value: &Value<'a>, what: &str) -> Option<Name> {
        let text = self.text(value, what)?;
        self.check_name(value, what, text)
    }

    /// Reads the key of a property as a name.
    pub fn key_name(&mut self, property: &ObjectProp<'a>, what: &str) -> Option<Name> {
        self.check_name(&property.name, what, property.name.as_str())
    }

    /// Reads an address and port.
    pub fn address(&mut self, value: &Value<'a>, what: &str) -> Option<SocketAddr> {
        let text = self.text(value, what)?;
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => Some(address),
            Ok(_) => {
                let hint = "port 0 takes any free port; name the port";
                self.fault(value, format!("{what} has no port"), Some(hint.into()));
                None
            }
            Err(_) => {
                let message = format!("{what} is {text:?}, not an address and port");
                self.fault(value, message, Some(address_hint(text)));
                None
            }
        }
    }

    /// Reads a whole number within a range.
    ///
    /// `unit` states the unit in hints; a time in milliseconds has the unit `ms`.
    pub fn integer(
        &mut self,
        value: &Value<'a>,
        what: &str,
        range: RangeInclusive<u64>,
        unit: &str,
    ) -> Option<u64> {
        if let Value::StringLit(text) = value {
            let message = format!("{what} is the text {:?}, not a number", text.value);
            self.fault(value, message, text_hint(what, &text.value, unit));
            return None;
        }
        let literal = value.as_number_lit();
        let literal = self.expect(literal, value, what, "a whole number")?.value;
        let (low, high) = range.clone().into_inner();
        match literal.parse::<u64>() {
            Ok(number) if range.contains(&number) => Some(number),
            Ok(number) => {
                let message = format!("{what} is {number}, expected {low} to {high}");
                self.fault(value, message, range_hint(number, &range, unit));
                None
            }
            Err(_) => {
                let message = format!(
                    "{what} is {literal}, expected a whole number {low} to {high}"
                );
                self.fault(value, message, None);
                None
            }
        }
    }

    /// Reads a number that may have a fraction, within a range.
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
            self.fault(value, message, None);
        }
        number
    }

    /// Notes a wrong type.
    fn expect<T>(
        &mut self,
        found: Option<T>,
        value: &Value<'a>,
        what: &str,
        wanted: &str,
    ) -> Option<T> {
        if found.is_none() {
            let message = format!("{what} is {}, expected {wanted}", kind(value));
            self.fault(value, message, None);
        }
        found
    }

    /// Notes an invalid name.
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
        self.fault(at, message, Some(name_hint(text)));
        None
    }
}

/// A mistake in the syntax: where, what, how to correct it.
type Syntax = (Range, String, Option<String>);

/// Checks nesting and commas, which the parser does not.
fn scan(text: &str) -> Result<(), Syntax> {
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

/// A mistake that the parser found, in terms of the file.
fn syntax(error: &ParseError) -> Syntax {
    use ParseErrorKind as Kind;
    let (message, hint) = match error.kind() {
        Kind::UnterminatedCommentBlock => {
            ("this comment is left open", Some("end the comment with */"))
        }
        Kind::UnterminatedObject => {
            ("this { is left open", Some("end the object with }"))
        }
        Kind::UnterminatedArray => ("this [ is left open", Some("end the list with ]")),
        Kind::String(ParseStringErrorKind::UnterminatedStringLiteral) => {
            ("this text is left open", Some("end the text with a quote in the same line"))
        }
        Kind::ExpectedStringObjectProperty => {
            ("this key is not in quotes", Some("write keys as \"key\""))
        }
        Kind::ExpectedColonAfterObjectKey => ("expected a colon after the key", None),
        Kind::ExpectedObjectValue => ("expected a value after the colon", None),
        Kind::UnexpectedWord => {
            ("unexpected word", Some("write texts in quotes, as \"text\""))
        }
        Kind::MultipleRootJsonValues => {
            ("unexpected text after the end of the object", Some("remove it"))
        }
        other => return (error.range(), other.to_string().to_lowercase(), None),
    };
    (error.range(), message.into(), hint.map(Into::into))
}

/// The type of a value in the terms of the file.
fn kind(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(literal) if literal.value => "true",
        Value::BooleanLit(_) => "false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

/// A valid name near an invalid one.
fn name_hint(text: &str) -> String {
    let kept =
        |c: char| if c.is_ascii_alphanumeric() { c.to_ascii_lowercase() } else { '-' };
    let near: String = text.chars().take(MAX_NAME).map(kept).collect();
    let near = near.trim_matches('-');
    let rule = format!("names have 1 to {MAX_NAME} characters of a-z, 0-9 and -");
    if is_name(near) { format!("{rule}; for example {near:?}") } else { rule }
}

/// What is likely wrong with an address.
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

/// An IP address with an example port.
fn with_port(ip: &str) -> String {
    if ip.contains(':') { format!("[{ip}]:4433") } else { format!("{ip}:4433") }
}

/// How to write a number that was given as a text.
fn text_hint(what: &str, text: &str, unit: &str) -> Option<String> {
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

/// Which unit was likely meant by a number outside its range.
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
