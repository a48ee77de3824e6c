//! The result of a subcommand: a status, and its output as text and as JSON.

use std::io::{self, Write};
use std::process::ExitCode;

use lentilreach::process::input::{Error, Errors};
use serde_json::{Map, Value, json};

use crate::context::Format;

/// The result of a subcommand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Exit status.
    pub status: Status,
    /// Text output, without a final line break.
    text: String,
    /// Fields of the JSON output; `status` is added when the reply is printed.
    fields: Map<String, Value>,
}

impl Reply {
    /// Creates a reply from its text and its JSON fields. Unless `fields` is an object, the
    /// reply has no fields.
    pub fn new(status: Status, text: impl Into<String>, fields: Value) -> Self {
        let fields = match fields {
            Value::Object(fields) => fields,
            _ => Map::new(),
        };
        Self { status, text: text.into(), fields }
    }

    /// Creates the reply for a failure.
    pub fn failed(message: impl Into<String>) -> Self {
        Self::message(Status::Failed, message.into())
    }

    /// Creates the reply for bad input.
    pub fn bad_input(message: impl Into<String>) -> Self {
        Self::message(Status::BadInput, message.into())
    }

    /// Creates the reply for errors in a file.
    pub fn errors(errors: &Errors) -> Self {
        let entry = |error: &Error| {
            json!({
                "file": &*error.file,
                "line": error.place.line,
                "column": error.place.column,
                "message": error.message,
                "hint": error.hint,
            })
        };
        let list: Vec<_> = errors.as_slice().iter().map(entry).collect();
        Self::new(Status::BadInput, errors.to_string(), json!({ "errors": list }))
    }

    /// Replaces the status, and appends a line to the text and a field to the JSON output.
    pub fn update(
        mut self,
        status: Status,
        line: &str,
        field: &str,
        value: Value,
    ) -> Self {
        self.status = status;
        self.text = format!("{}\n{line}", self.text);
        self.fields.insert(field.into(), value);
        self
    }

    /// Prints the reply and returns the exit status of the process.
    ///
    /// JSON goes to standard output; text goes there if the status is [`Status::Done`], and to
    /// standard error otherwise.
    pub fn print(&self, format: Format) -> ExitCode {
        let output = match format {
            Format::Text => self.text.clone(),
            Format::Json => self.to_json().to_string(),
        };
        // A closed pipe is not an error: its reader needs no more output.
        let _ = if format == Format::Json || self.status == Status::Done {
            writeln!(io::stdout(), "{output}")
        } else {
            writeln!(io::stderr(), "{output}")
        };
        self.status.into()
    }

    /// Converts the reply to one JSON object.
    fn to_json(&self) -> Value {
        let mut fields = Map::new();
        fields.insert("status".into(), self.status.as_str().into());
        fields.extend(self.fields.clone());
        Value::Object(fields)
    }

    /// Creates a reply that consists of a message.
    fn message(status: Status, message: String) -> Self {
        let fields = json!({ "message": message });
        Self::new(status, format!("error: {message}"), fields)
    }
}

/// Outcome of a subcommand; the value is the exit status of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Done.
    Done = 0,
    /// Failed; nothing was changed.
    Failed = 1,
    /// Wrong usage or an error in a file.
    BadInput = 2,
    /// It is unknown whether the change took effect.
    Unknown = 3,
}

impl Status {
    /// Returns the value of `status` in JSON.
    fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::BadInput => "bad-input",
            Self::Unknown => "unknown",
        }
    }
}

impl From<Status> for ExitCode {
    fn from(status: Status) -> Self {
        Self::from(status as u8)
    }
}
