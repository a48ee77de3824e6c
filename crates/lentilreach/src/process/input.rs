//! Reads files in JSON with comments and reports errors with their position.

pub mod reader;

use std::fmt::{self, Display, Formatter};
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

pub use reader::Reader;

use crate::process::name::Name;

/// Maximum size of a file in bytes. The largest plausible configuration, 1,100 services of 150
/// bytes, has about 165 KiB.
pub const MAX_BYTES: usize = 256 * 1024;

/// Maximum nesting depth. The parser is recursive, so deeper files could exhaust the stack.
pub const MAX_DEPTH: usize = 16;

/// An error in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The path of the file as the operator gave it.
    pub file: Name,
    /// The position in the file.
    pub place: Place,
    /// What is wrong.
    pub message: String,
    /// How to correct it, if known.
    pub hint: Option<String>,
}

/// A position in a file, counted from 1. Columns count characters.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The line.
    pub line: u32,
    /// The column.
    pub column: u32,
}

/// All errors in a file, sorted by position. Never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Errors(Vec<Error>);

impl Errors {
    /// Sorts errors by position; `None` if there are none.
    pub fn new(list: Vec<Error>) -> Option<Self> {
        (!list.is_empty()).then(|| Self::sorted(list))
    }

    /// Sorts errors by position. The list must not be empty.
    fn sorted(mut list: Vec<Error>) -> Self {
        list.sort_by_key(|error| error.place);
        Self(list)
    }

    /// The errors, sorted by position.
    pub fn as_slice(&self) -> &[Error] {
        &self.0
    }
}

impl From<Error> for Errors {
    fn from(error: Error) -> Self {
        Self(vec![error])
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Place { line, column } = self.place;
        write!(f, "{}:{line}:{column}: error: {}", self.file, self.message)?;
        match &self.hint {
            Some(hint) => write!(f, "\n  hint: {hint}"),
            None => Ok(()),
        }
    }
}

impl Display for Errors {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            error.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

impl std::error::Error for Errors {}

/// Reads a file of at most [`MAX_BYTES`] as a string.
///
/// # Errors
/// If the file cannot be read, is too long or is not UTF-8.
pub fn load(path: &Path) -> Result<String, Errors> {
    let name: Name = path.display().to_string().into();
    let bytes = read(path).map_err(|error| {
        let hint = (error.kind() == io::ErrorKind::NotFound)
            .then(|| "check the path; it is relative to the working directory".into());
        single_error(&name, file_start(), format!("cannot read the file: {error}"), hint)
    })?;
    decode(&name, bytes)
}

/// Checks the size of a file and decodes it as UTF-8.
///
/// # Errors
/// If it is too long or is not UTF-8.
pub fn decode(file: &Name, bytes: Vec<u8>) -> Result<String, Errors> {
    if bytes.len() > MAX_BYTES {
        let message = format!("the file is longer than {} KiB", MAX_BYTES / 1024);
        let hint = "a configuration is text of a few kilobytes; check the file name";
        return Err(single_error(file, file_start(), message, Some(hint.into())));
    }
    String::from_utf8(bytes).map_err(|error| {
        let valid = error.utf8_error().valid_up_to();
        let text = String::from_utf8_lossy(&error.as_bytes()[..valid]).into_owned();
        let hint = "save the file as UTF-8";
        single_error(
            file,
            end_of(&text),
            "the file is not UTF-8".into(),
            Some(hint.into()),
        )
    })
}

/// The known name that is most similar to a misspelt one, if it is similar enough for a hint.
pub fn nearest<'a>(
    name: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    /// Maximum number of names compared. It bounds the time for a file with many unknown names.
    const MAX_COMPARED: usize = 256;
    /// Minimum similarity of a name that is suggested: two edits in five characters.
    const MIN_SIMILARITY: f64 = 0.6;
    let similarity = |other: &str| strsim::normalized_damerau_levenshtein(name, other);
    let scored =
        known.into_iter().take(MAX_COMPARED).map(|other| (similarity(other), other));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= MIN_SIMILARITY).then_some(best.1)
}

/// The position after the end of a text.
fn end_of(text: &str) -> Place {
    let last = text.rsplit('\n').next().unwrap_or_default();
    let line = text.bytes().filter(|b| *b == b'\n').count() + 1;
    // A file has at most 256 Ki characters, so both numbers fit into `u32`.
    Place { line: line as u32, column: last.chars().count() as u32 + 1 }
}

/// The position of the first character of a file.
fn file_start() -> Place {
    Place { line: 1, column: 1 }
}

/// Builds a list with a single error.
fn single_error(
    file: &Name,
    place: Place,
    message: String,
    hint: Option<String>,
) -> Errors {
    Error { file: file.clone(), place, message, hint }.into()
}

/// Reads at most one byte more than the maximum size, so that a huge file is not read whole.
fn read(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(MAX_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}
