//! Renders the form's fields, each with its label, faults and conflicts.

use super::Editor;
use crate::console::fields::{FieldVisitor, Group, ReferencedList};
use crate::console::form::{CHECKED, ENGINE_KIND, NEW_TOKEN_SUFFIX, SERVICE_KIND};
use crate::console::html::Html;
use crate::console::page::hidden;
use crate::document::faults::FaultPath;
use crate::document::raw::{RawPoolHosts, RawPoolKind, Scalar};

/// Renders the form of an [`Editor`].
pub(super) struct Writer<'a> {
    html: &'a mut Html,
    editor: &'a Editor,
}

impl<'a> Writer<'a> {
    pub fn new(html: &'a mut Html, editor: &'a Editor) -> Self {
        Self { html, editor }
    }

    fn names_in(&self, list: ReferencedList) -> Vec<String> {
        let document = &self.editor.document;
        match list {
            ReferencedList::FailureDomains => {
                entry_names(&document.failure_domains, |entry| &entry.name)
            }
            ReferencedList::HostClasses => entry_names(&document.host_classes, |entry| &entry.name),
            ReferencedList::Models => entry_names(&document.models, |entry| &entry.name),
            ReferencedList::LatencyClasses => {
                entry_names(&document.latency_classes, |entry| &entry.name)
            }
        }
    }

    fn is_faulty(&self, path: &FaultPath) -> bool {
        let is_at_or_below = |fault_path: &str| {
            let rest = fault_path.strip_prefix(path.as_str());
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('['))
        };
        (self.editor.faults.iter()).any(|fault| is_at_or_below(fault.path.as_str()))
    }

    /// Writes the faults and conflicts at `path`.
    fn write_remarks(&mut self, path: &FaultPath) {
        for fault in self
            .editor
            .faults
            .iter()
            .filter(|fault| fault.path == *path)
        {
            let text = fault.kind.to_string();
            self.html.element("p", &[("class", "fault")], &text);
        }
        let conflicts = self.editor.conflicts.iter();
        for conflict in conflicts.filter(|conflict| conflict.path == *path) {
            let theirs = super::display_text(conflict.theirs.as_ref());
            let text = format!("Revision {} has {theirs}", self.editor.base_revision);
            self.html.element("p", &[("class", "conflict")], &text);
        }
    }

    /// Writes the remarks on each entry of a list of names, with the id that fault links point to.
    fn write_entry_remarks(&mut self, list: &FaultPath, entries: usize) {
        for position in 0..entries {
            let path = list.index(position);
            self.html.open("div", &[("id", path.as_str())]);
            self.write_remarks(&path);
            self.html.close("div");
        }
    }

    /// Writes the label, input and remarks of `path`.
    ///
    /// `input` gets the id of the remarks, for `aria-describedby`.
    fn labelled_field(
        &mut self,
        path: &FaultPath,
        label: &str,
        input: impl FnOnce(&mut Self, &str),
    ) {
        let id = path.as_str();
        let remarks_id = format!("{id}.remarks");
        self.html.open("div", &[]);
        self.html.element("label", &[("for", id)], label);
        input(self, &remarks_id);
        self.html.open("div", &[("id", &remarks_id)]);
        self.write_remarks(path);
        self.html.close("div");
        self.html.close("div");
    }

    fn input(&mut self, path: &FaultPath, mode: &str, shown: &str, remarks_id: &str) {
        let invalid = if self.is_faulty(path) {
            "true"
        } else {
            "false"
        };
        let attributes = [
            ("type", "text"),
            ("id", path.as_str()),
            ("name", path.as_str()),
            ("inputmode", mode),
            ("value", shown),
            ("aria-invalid", invalid),
            ("aria-describedby", remarks_id),
        ];
        self.html.open("input", &attributes);
    }

    fn checkbox(&mut self, id: &str, name: &str, value: &str, label: &str, is_checked: bool) {
        let all = [
            ("type", "checkbox"),
            ("id", id),
            ("name", name),
            ("value", value),
            ("checked", "checked"),
        ];
        let shown = if is_checked { &all[..] } else { &all[..4] };
        self.html.open("div", &[]);
        self.html.open("input", shown);
        self.html.open("label", &[("for", id), ("class", "tick")]);
        self.html.text(label);
        self.html.close("label");
        self.html.close("div");
    }

    fn button(&mut self, action: &str, label: &str) {
        let attributes = [("type", "submit"), ("name", "action"), ("value", action)];
        self.html.element("button", &attributes, label);
    }

    fn option(&mut self, value: &str, label: &str, is_selected: bool) {
        let all = [("value", value), ("selected", "selected")];
        let shown = if is_selected { &all[..] } else { &all[..1] };
        self.html.element("option", shown, label);
    }
}

impl FieldVisitor for Writer<'_> {
    fn text(&mut self, path: &FaultPath, label: &'static str, value: &mut Scalar) {
        let shown = value.display_text();
        self.labelled_field(path, label, |writer, remarks| {
            writer.input(path, "text", &shown, remarks);
        });
    }

    fn number(&mut self, path: &FaultPath, label: &'static str, value: &mut Scalar) {
        let shown = value.display_text();
        self.labelled_field(path, label, |writer, remarks| {
            writer.input(path, "decimal", &shown, remarks);
        });
    }

    fn flag(&mut self, path: &FaultPath, label: &'static str, value: &mut Scalar) {
        let is_checked = value.display_text() == CHECKED;
        self.html.open("div", &[]);
        self.checkbox(path.as_str(), path.as_str(), CHECKED, label, is_checked);
        self.write_remarks(path);
        self.html.close("div");
    }

    fn token(&mut self, path: &FaultPath, value: &mut Scalar) {
        self.text(path, "SHA-256 of the bearer token", value);
        let new = format!("{}{NEW_TOKEN_SUFFIX}", path.as_str());
        self.html.open("div", &[]);
        let label = "New bearer token, kept as its SHA-256 only";
        self.html.element("label", &[("for", &new)], label);
        let attributes = [
            ("type", "password"),
            ("id", new.as_str()),
            ("name", new.as_str()),
            ("autocomplete", "new-password"),
        ];
        self.html.open("input", &attributes);
        self.html.close("div");
    }

    fn reference(
        &mut self,
        path: &FaultPath,
        label: &'static str,
        list: ReferencedList,
        value: &mut Scalar,
    ) {
        let shown = value.display_text();
        let mut names = self.names_in(list);
        if !shown.is_empty() && !names.contains(&shown) {
            names.push(shown.clone());
        }
        self.labelled_field(path, label, |writer, remarks| {
            let id = path.as_str();
            let attributes = [("id", id), ("name", id), ("aria-describedby", remarks)];
            writer.html.open("select", &attributes);
            writer.option("", "(choose)", shown.is_empty());
            for name in &names {
                writer.option(name, name, *name == shown);
            }
            writer.html.close("select");
        });
    }

    fn references(
        &mut self,
        path: &FaultPath,
        label: &'static str,
        list: ReferencedList,
        values: &mut Vec<Scalar>,
    ) {
        let chosen: Vec<String> = values.iter().map(Scalar::display_text).collect();
        let mut names = self.names_in(list);
        // A selected name that the list no longer has keeps its checkbox, so that the operator
        // can see and clear it.
        let missing = chosen.iter().filter(|name| !names.contains(name));
        let missing: Vec<String> = missing.cloned().collect();
        names.extend(missing);
        self.html.open("fieldset", &[("id", path.as_str())]);
        self.html.element("legend", &[], label);
        for (position, name) in names.iter().enumerate() {
            let id = format!("{}.{position}", path.as_str());
            self.checkbox(&id, path.as_str(), name, name, chosen.contains(name));
        }
        self.write_remarks(path);
        self.write_entry_remarks(path, values.len());
        self.html.close("fieldset");
    }

    fn word_list(&mut self, path: &FaultPath, label: &'static str, values: &mut Vec<Scalar>) {
        let shown: Vec<String> = values.iter().map(Scalar::display_text).collect();
        let shown = shown.join(", ");
        self.labelled_field(path, label, |writer, remarks| {
            writer.input(path, "text", &shown, remarks);
        });
        self.write_entry_remarks(path, values.len());
    }

    fn pool_kind(&mut self, path: &FaultPath, kind: &mut RawPoolKind) {
        let (value, label) = match kind {
            RawPoolKind::Engine(_) => (ENGINE_KIND, "Model engines"),
            RawPoolKind::Service(_) => (SERVICE_KIND, "Plain services"),
        };
        hidden(self.html, path.as_str(), value);
        self.html.element("p", &[("id", path.as_str())], label);
    }

    fn pool_hosts(&mut self, path: &FaultPath, hosts: &mut Vec<RawPoolHosts>) {
        let mut rows = hosts.clone();
        for name in self.names_in(ReferencedList::FailureDomains) {
            if !rows
                .iter()
                .any(|row| row.failure_domain.display_text() == name)
            {
                let failure_domain = Scalar::from(name);
                rows.push(RawPoolHosts {
                    failure_domain,
                    ..RawPoolHosts::default()
                });
            }
        }
        self.html.open(
            "fieldset",
            &[("id", path.as_str()), ("class", "entry wide")],
        );
        self.html
            .element("legend", &[], "Hosts in each failure domain");
        for (position, row) in rows.iter().enumerate() {
            let path = path.index(position);
            let domain = row.failure_domain.display_text();
            let domain_path = path.field("failure_domain");
            hidden(self.html, domain_path.as_str(), &domain);
            let count_path = path.field("count");
            let count = row.count.display_text();
            self.labelled_field(&count_path, &domain, |writer, remarks| {
                writer.input(&count_path, "numeric", &count, remarks);
                writer.write_remarks(&domain_path);
            });
        }
        self.write_remarks(path);
        self.html.close("fieldset");
    }

    fn section(&mut self, title: &'static str, hint: &'static str, fields: impl FnOnce(&mut Self)) {
        self.html
            .open("fieldset", &[("class", "entry"), ("id", "measure")]);
        self.html.element("legend", &[], title);
        self.html.element("p", &[("class", "hint wide")], hint);
        fields(self);
        self.write_remarks(&FaultPath::root().field("measure"));
        self.html.close("fieldset");
    }

    fn group<T: Default>(
        &mut self,
        group: &Group<T>,
        entries: &mut Vec<T>,
        entry: fn(&mut Self, &FaultPath, &mut T),
    ) {
        let list = FaultPath::root().field(group.field);
        self.html.open("fieldset", &[("id", list.as_str())]);
        self.html.element("legend", &[], group.title);
        self.html.element("p", &[("class", "hint")], group.hint);
        self.write_remarks(&list);
        for (position, item) in entries.iter_mut().enumerate() {
            let path = list.index(position);
            let name = match (group.name)(item).display_text() {
                name if name.is_empty() => String::from("(new)"),
                name => name,
            };
            self.html
                .open("fieldset", &[("id", path.as_str()), ("class", "entry")]);
            self.html.element("legend", &[], &name);
            entry(self, &path, item);
            self.html.open("div", &[("class", "wide")]);
            self.write_remarks(&path);
            self.button(
                &format!("remove {}", path.as_str()),
                &format!("Remove {name}"),
            );
            self.html.close("div");
            self.html.close("fieldset");
        }
        for button in group.add_buttons {
            self.button(button.action, button.label);
        }
        self.html.close("fieldset");
    }
}

fn entry_names<T>(entries: &[T], name: fn(&T) -> &Scalar) -> Vec<String> {
    let names = entries.iter().map(|entry| name(entry).display_text());
    names.filter(|name| !name.is_empty()).collect()
}
