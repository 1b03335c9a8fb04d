//! The header fields of a message.

/// Number of fields for which a received message allocates memory in advance.
const INITIAL_FIELD_CAPACITY: usize = 8;

/// The position of a field in the text of its [`Headers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FieldSpan {
    name_start: u32,
    value_start: u32,
    end: u32,
}

/// Header fields in the order in which they were received or added. Look-ups ignore the ASCII case of names; `==` does
/// not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    /// The names and values of all fields, concatenated to need only one allocation.
    text: String,
    spans: Vec<FieldSpan>,
}

impl Headers {
    /// Creates an empty collection with capacity for `bytes` bytes of names and values.
    pub(crate) fn with_capacity(bytes: usize) -> Headers {
        Headers {
            text: String::with_capacity(bytes),
            spans: Vec::with_capacity(INITIAL_FIELD_CAPACITY),
        }
    }

    /// Adds a field. Control characters in the value are replaced by spaces, so that a value from an untrusted source
    /// can't inject further fields.
    pub fn push(&mut self, name: &str, value: &str) {
        let name_start = self.text.len() as u32;
        self.text.push_str(name);
        let value_start = self.text.len() as u32;
        if value.contains(char::is_control) {
            let without_controls = value.chars().map(|c| if c.is_control() { ' ' } else { c });
            self.text.extend(without_controls);
        } else {
            self.text.push_str(value);
        }
        self.spans.push(FieldSpan {
            name_start,
            value_start,
            end: self.text.len() as u32,
        });
    }

    /// Iterates over the fields as pairs of name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        let slice = |start: u32, end: u32| &self.text[start as usize..end as usize];
        self.spans.iter().map(move |span| {
            let name = slice(span.name_start, span.value_start);
            (name, slice(span.value_start, span.end))
        })
    }

    /// Returns the value of the first field of that name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Iterates over the values of all fields of that name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.iter()
            .filter(move |(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the number of fields.
    pub fn len(&self) -> usize {
        self.spans.len()
    }

    /// Returns whether there are no fields.
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    /// Returns whether the comma-separated list of a field of that name contains the token, ignoring ASCII case.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(','))
            .any(|listed| listed.trim().eq_ignore_ascii_case(token))
    }

    /// Returns the memory in bytes that the fields occupy, with spare capacity.
    pub(crate) fn capacity_bytes(&self) -> usize {
        self.text.capacity() + self.spans.capacity() * size_of::<FieldSpan>()
    }

    /// Returns the size of all names and values in bytes.
    pub(crate) fn text_bytes(&self) -> usize {
        self.text.len()
    }
}
