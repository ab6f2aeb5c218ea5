//! Writes HTML, escaping all text and attribute values.

/// An append-only HTML buffer.
#[derive(Debug, Default)]
pub(super) struct Html(String);

/// Name and unescaped value of an attribute.
pub(super) type Attribute<'a> = (&'static str, &'a str);

impl Html {
    /// Writes a start tag.
    pub fn open(&mut self, tag: &'static str, attributes: &[Attribute<'_>]) {
        self.0.extend(["<", tag]);
        for (name, value) in attributes {
            self.0.extend([" ", *name, "=\""]);
            self.text(value);
            self.0.push('"');
        }
        self.0.push('>');
    }

    /// Writes an end tag.
    pub fn close(&mut self, tag: &'static str) {
        self.0.extend(["</", tag, ">\n"]);
    }

    /// Writes an element that contains only text.
    pub fn element(&mut self, tag: &'static str, attributes: &[Attribute<'_>], text: &str) {
        self.open(tag, attributes);
        self.text(text);
        self.close(tag);
    }

    /// Writes escaped text.
    ///
    /// Names come from operators, callers and the platform. Without escaping, a name could inject a
    /// script that acts with the session of the operator who views the page.
    pub fn text(&mut self, text: &str) {
        for character in text.chars() {
            match character {
                '&' => self.0.push_str("&amp;"),
                '<' => self.0.push_str("&lt;"),
                '>' => self.0.push_str("&gt;"),
                '"' => self.0.push_str("&quot;"),
                '\'' => self.0.push_str("&#39;"),
                other => self.0.push(other),
            }
        }
    }

    /// Writes a table with a caption; every row has one cell per column.
    pub fn table(&mut self, caption: &str, columns: &[&str], rows: &[Vec<String>]) {
        self.open("table", &[]);
        self.element("caption", &[], caption);
        self.open("tr", &[]);
        for column in columns {
            self.element("th", &[("scope", "col")], column);
        }
        self.close("tr");
        for row in rows {
            self.open("tr", &[]);
            for cell in row {
                self.element("td", &[], cell);
            }
            self.close("tr");
        }
        self.close("table");
    }

    /// Returns the markup.
    pub fn into_string(self) -> String {
        self.0
    }
}
