//! Validation of TOML files that reports all faults at once.
//!
//! A [`Reader`] reads one table of a file. For a missing, unknown or invalid key it records a
//! [`Fault`] and returns a placeholder, so that reading continues with the next key. The resulting
//! value is used only if no fault was recorded.

use {
    displaydoc::Display,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::{fmt, fs, net::SocketAddr, ops::RangeInclusive, path::Path},
    toml::Value,
};

/// Longest name in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Jaro-Winkler similarity, from 0 to 1, at which a known key is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;
/// Description of a valid address, for faults.
const ADDRESS: &str = "an IP number and a port, such as 127.0.0.1:7000";

/// Result of reading a file: the value, or every fault.
pub type Result<T> = std::result::Result<T, Vec<Fault>>;

/// A fault of a file.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[displaydoc("{file}: {key} {found}: {wanted}")]
pub struct Fault {
    /// File.
    pub file: String,
    /// Key with the tables that contain it, or a position in the file.
    pub key: String,
    /// What the file has there.
    pub found: Found,
    /// What would be valid.
    pub wanted: String,
}

/// What a file has at an invalid key.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Found {
    /// = {0}
    Value(String),
    /// is missing
    Missing,
    /// is unknown
    Unknown,
    /// stands twice
    Twice,
    /// can not be read
    Unreadable,
}

/// Reads a file as one TOML table.
pub fn load(path: &Path) -> Result<(String, toml::Table)> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => parse(&file, &text).map(|table| (file, table)),
        Err(error) => Err(vec![Fault {
            key: String::from("file"),
            found: Found::Unreadable,
            wanted: error.to_string(),
            file,
        }]),
    }
}

/// Parses text as one TOML table.
pub fn parse(file: &str, text: &str) -> Result<toml::Table> {
    text.parse::<toml::Table>().map_err(|error| {
        let start = error.span().map_or(0, |span| span.start);
        let line = text.get(..start).unwrap_or_default().matches('\n').count() + 1;
        vec![Fault {
            file: String::from(file),
            key: format!("line {line}"),
            found: Found::Unreadable,
            wanted: error.message().replace('\n', ", "),
        }]
    })
}

/// Reads one table and records its faults.
pub struct Reader<'a> {
    file: &'a str,
    path: String,
    table: &'a toml::Table,
    known: IndexSet<&'static str>,
    /// Whether the table may have any names as keys.
    any_keys: bool,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of a file's outermost table.
    pub fn new(file: &'a str, table: &'a toml::Table) -> Self {
        let (known, faults) = (IndexSet::new(), Vec::new());
        Self { file, path: String::new(), table, known, any_keys: false, faults }
    }

    /// Records a fault of a key of this table.
    pub fn fault(&mut self, key: &str, found: Found, wanted: impl Into<String>) {
        let file = String::from(self.file);
        self.faults.push(Fault { file, key: self.path(key), found, wanted: wanted.into() });
    }

    /// Records an invalid value of a key of this table.
    pub fn bad_value(&mut self, key: &str, value: &impl fmt::Display, wanted: impl Into<String>) {
        self.fault(key, Found::Value(value.to_string()), wanted);
    }

    /// Returns a key with the tables that contain it.
    fn path(&self, key: &str) -> String {
        match self.path.as_str() {
            "" => String::from(key),
            path => format!("{path}.{key}"),
        }
    }

    /// Returns the value of a key and registers the key as known.
    fn get(&mut self, key: &'static str) -> Option<&'a Value> {
        self.known.insert(key);
        self.table.get(key)
    }

    /// Reads an optional value with `read`; `wanted` describes a valid value.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        wanted: &str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let value = self.get(key)?;
        let found = read(value);
        if found.is_none() {
            self.bad_value(key, value, format!("must be {wanted}"));
        }
        found
    }

    /// Reads a required value with `read`; `wanted` describes a valid value.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        wanted: &str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        if self.get(key).is_none() {
            self.fault(key, Found::Missing, format!("must be {wanted}"));
        }
        self.optional(key, wanted, read)
    }

    /// Reads a required name.
    pub fn name(&mut self, key: &'static str) -> String {
        self.required(key, &name_wanted(), |v| v.as_str().filter(|n| is_name(n)).map(String::from))
            .unwrap_or_default()
    }

    /// Reads a whole number in `range`.
    pub fn number(&mut self, key: &'static str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let wanted = format!("a whole number from {} to {}", range.start(), range.end());
        let read = |value: &Value| {
            let number = u64::try_from(value.as_integer()?).ok()?;
            range.contains(&number).then_some(number)
        };
        self.optional(key, &wanted, read).unwrap_or(default)
    }

    /// Reads a whole number in `range` that fits into 32 bits.
    pub fn count(&mut self, key: &'static str, range: RangeInclusive<u32>, default: u32) -> u32 {
        let wide = u64::from(*range.start())..=u64::from(*range.end());
        u32::try_from(self.number(key, wide, u64::from(default))).unwrap_or(default)
    }

    /// Reads `true` or `false`.
    pub fn boolean(&mut self, key: &'static str, default: bool) -> bool {
        self.optional(key, "true or false", Value::as_bool).unwrap_or(default)
    }

    /// Reads a required address.
    pub fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.required(key, ADDRESS, address)
    }

    /// Reads an optional address.
    pub fn optional_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.optional(key, ADDRESS, address)
    }

    /// Reads a list of addresses.
    pub fn addresses(&mut self, key: &'static str) -> Vec<SocketAddr> {
        let wanted = format!("a list of addresses, each {ADDRESS}");
        let read = |value: &Value| value.as_array()?.iter().map(address).collect();
        self.optional(key, &wanted, read).unwrap_or_default()
    }

    /// Reads a table with `read`; a missing one is read as empty.
    pub fn table<T>(&mut self, key: &'static str, read: impl Fn(&mut Reader<'_>) -> T) -> T {
        let empty = toml::Table::new();
        let table = match self.get(key) {
            None => &empty,
            Some(Value::Table(table)) => table,
            Some(value) => {
                self.bad_value(key, value, format!("must be a table, [{}]", self.path(key)));
                &empty
            }
        };
        self.nested(key, table, read)
    }

    /// Reads a table that has any number of named tables, each with `read`.
    pub fn tables<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&mut Reader<'_>) -> T,
    ) -> IndexMap<String, T> {
        self.table(key, |reader| {
            let table = reader.table;
            reader.any_keys = true;
            table.iter().filter_map(|(name, value)| reader.item(name, value, &read)).collect()
        })
    }

    fn item<T>(
        &mut self,
        name: &str,
        value: &Value,
        read: impl Fn(&mut Reader<'_>) -> T,
    ) -> Option<(String, T)> {
        if !is_name(name) {
            self.fault(name, Found::Unknown, format!("the name must be {}", name_wanted()));
        }
        match value {
            Value::Table(table) => Some((String::from(name), self.nested(name, table, read))),
            value => {
                self.bad_value(name, value, format!("must be a table, [{}]", self.path(name)));
                None
            }
        }
    }

    /// Reads a nested table and takes over its faults.
    fn nested<T>(
        &mut self,
        key: &str,
        table: &toml::Table,
        read: impl Fn(&mut Reader<'_>) -> T,
    ) -> T {
        let mut reader = Reader { path: self.path(key), ..Reader::new(self.file, table) };
        let value = read(&mut reader);
        self.faults.extend(reader.finish());
        value
    }

    /// Returns every fault. Must be called after all known keys were read, as any other key of the
    /// table is reported as unknown.
    pub fn finish(mut self) -> Vec<Fault> {
        if self.any_keys {
            return self.faults;
        }
        for key in self.table.keys().filter(|key| !self.known.contains(key.as_str())) {
            let file = String::from(self.file);
            let wanted = self.suggestion(key);
            self.faults.push(Fault { file, key: self.path(key), found: Found::Unknown, wanted });
        }
        self.faults
    }

    /// Returns the most similar known key, or the list of known keys if none is similar enough.
    fn suggestion(&self, key: &str) -> String {
        let similarity = |known: &&&str| strsim::jaro_winkler(key, known);
        let nearest = self.known.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
        match nearest.filter(|known| similarity(known) >= MIN_SIMILARITY) {
            Some(known) => format!("did you mean {known:?}?"),
            None => {
                format!("must be one of {}", Vec::from_iter(self.known.iter().copied()).join(", "))
            }
        }
    }
}

fn address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

/// Returns whether text may name an object. Names appear unescaped in URLs, metrics and log lines.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed)
}

fn name_wanted() -> String {
    format!("1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'")
}
