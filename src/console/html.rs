//! Writes HTML in which every value is escaped.

/// Markup that grows at its end.
#[derive(Debug, Default)]
pub(super) struct Html(String);

/// A name of an attribute with its value.
pub(super) type Attribute<'a> = (&'static str, &'a str);

impl Html {
    /// Opens an element.
    pub fn open(&mut self, tag: &'static str, attributes: &[Attribute<'_>]) {
        self.0.extend(["<", tag]);
        for (name, value) in attributes {
            self.0.extend([" ", *name, "=\""]);
            self.text(value);
            self.0.push('"');
        }
        self.0.push('>');
    }

    /// Closes an element.
    pub fn close(&mut self, tag: &'static str) {
        self.0.extend(["</", tag, ">\n"]);
    }

    /// An element that holds text alone.
    pub fn element(&mut self, tag: &'static str, attributes: &[Attribute<'_>], text: &str) {
        self.open(tag, attributes);
        self.text(text);
        self.close(tag);
    }

    /// Text.
    ///
    /// Names come from operators, callers and the platform. Written as they are, one of them could
    /// bring a script into the page that acts for whoever looks at it.
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

    /// A table with a caption; every row has as many cells as there are columns.
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

    /// The markup.
    pub fn into_string(self) -> String {
        self.0
    }
}
