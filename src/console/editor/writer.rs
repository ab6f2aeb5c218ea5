//! Writes the fields of the form, each with its label and what is wrong with it.

use super::Editor;
use crate::console::fields::{FieldVisitor, Group, Named};
use crate::console::form::{ENGINE_KIND, NEW_TOKEN_SUFFIX, SERVICE_KIND, TICKED};
use crate::console::html::Html;
use crate::console::page::hidden;
use crate::document::faults::FaultPath;
use crate::document::raw::{RawPoolHosts, RawPoolKind, Scalar};

/// Writes the form of an editor.
pub(super) struct Writer<'a> {
    html: &'a mut Html,
    editor: &'a Editor,
}

impl<'a> Writer<'a> {
    pub fn new(html: &'a mut Html, editor: &'a Editor) -> Self {
        Self { html, editor }
    }

    fn names(&self, list: Named) -> Vec<String> {
        let document = &self.editor.document;
        match list {
            Named::FailureDomains => names(&document.failure_domains, |entry| &entry.name),
            Named::HostClasses => names(&document.host_classes, |entry| &entry.name),
            Named::Models => names(&document.models, |entry| &entry.name),
            Named::LatencyClasses => names(&document.latency_classes, |entry| &entry.name),
        }
    }

    fn is_faulty(&self, at: &FaultPath) -> bool {
        let within = |path: &str| {
            let rest = path.strip_prefix(at.as_str());
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('['))
        };
        (self.editor.faults.iter()).any(|fault| within(fault.path.as_str()))
    }

    /// What is wrong at a place, and what another operator wants there.
    fn remarks(&mut self, at: &FaultPath) {
        for fault in self.editor.faults.iter().filter(|fault| fault.path == *at) {
            let text = fault.kind.to_string();
            self.html.element("p", &[("class", "fault")], &text);
        }
        let conflicts = self.editor.conflicts.iter();
        for conflict in conflicts.filter(|conflict| conflict.path == *at) {
            let theirs = super::shown(conflict.theirs.as_ref());
            let text = format!("Revision {} has {theirs}", self.editor.base_revision);
            self.html.element("p", &[("class", "conflict")], &text);
        }
    }

    /// Remarks on the entries of a list of names, each a place of its own to which a link leads.
    fn entry_remarks(&mut self, list: &FaultPath, entries: usize) {
        for position in 0..entries {
            let at = list.index(position);
            self.html.open("div", &[("id", at.as_str())]);
            self.remarks(&at);
            self.html.close("div");
        }
    }

    /// A place's label, input and remarks; the remarks are what describes the input.
    fn field(&mut self, at: &FaultPath, label: &str, input: impl FnOnce(&mut Self, &str)) {
        let id = at.as_str();
        let remarks_id = format!("{id}.remarks");
        self.html.open("div", &[]);
        self.html.element("label", &[("for", id)], label);
        input(self, &remarks_id);
        self.html.open("div", &[("id", &remarks_id)]);
        self.remarks(at);
        self.html.close("div");
        self.html.close("div");
    }

    fn input(&mut self, at: &FaultPath, mode: &str, shown: &str, remarks_id: &str) {
        let invalid = if self.is_faulty(at) { "true" } else { "false" };
        let attributes = [
            ("type", "text"),
            ("id", at.as_str()),
            ("name", at.as_str()),
            ("inputmode", mode),
            ("value", shown),
            ("aria-invalid", invalid),
            ("aria-describedby", remarks_id),
        ];
        self.html.open("input", &attributes);
    }

    fn tick_box(&mut self, id: &str, name: &str, value: &str, label: &str, ticked: bool) {
        let all = [
            ("type", "checkbox"),
            ("id", id),
            ("name", name),
            ("value", value),
            ("checked", "checked"),
        ];
        let shown = if ticked { &all[..] } else { &all[..4] };
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

    fn option(&mut self, value: &str, label: &str, selected: bool) {
        let all = [("value", value), ("selected", "selected")];
        let shown = if selected { &all[..] } else { &all[..1] };
        self.html.element("option", shown, label);
    }
}

impl FieldVisitor for Writer<'_> {
    fn text(&mut self, at: &FaultPath, label: &'static str, value: &mut Scalar) {
        let shown = value.shown();
        self.field(at, label, |writer, remarks| {
            writer.input(at, "text", &shown, remarks);
        });
    }

    fn number(&mut self, at: &FaultPath, label: &'static str, value: &mut Scalar) {
        let shown = value.shown();
        self.field(at, label, |writer, remarks| {
            writer.input(at, "decimal", &shown, remarks);
        });
    }

    fn flag(&mut self, at: &FaultPath, label: &'static str, value: &mut Scalar) {
        let ticked = value.shown() == TICKED;
        self.html.open("div", &[]);
        self.tick_box(at.as_str(), at.as_str(), TICKED, label, ticked);
        self.remarks(at);
        self.html.close("div");
    }

    fn token(&mut self, at: &FaultPath, value: &mut Scalar) {
        self.text(at, "SHA-256 of the bearer token", value);
        let new = format!("{}{NEW_TOKEN_SUFFIX}", at.as_str());
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

    fn choice(&mut self, at: &FaultPath, label: &'static str, list: Named, value: &mut Scalar) {
        let shown = value.shown();
        let mut names = self.names(list);
        if !shown.is_empty() && !names.contains(&shown) {
            names.push(shown.clone());
        }
        self.field(at, label, |writer, remarks| {
            let id = at.as_str();
            let attributes = [("id", id), ("name", id), ("aria-describedby", remarks)];
            writer.html.open("select", &attributes);
            writer.option("", "(choose)", shown.is_empty());
            for name in &names {
                writer.option(name, name, *name == shown);
            }
            writer.html.close("select");
        });
    }

    fn choices(
        &mut self,
        at: &FaultPath,
        label: &'static str,
        list: Named,
        values: &mut Vec<Scalar>,
    ) {
        let chosen: Vec<String> = values.iter().map(Scalar::shown).collect();
        let mut names = self.names(list);
        // A name that the list has no more stays to be seen and taken away.
        let gone = chosen.iter().filter(|name| !names.contains(name));
        let gone: Vec<String> = gone.cloned().collect();
        names.extend(gone);
        self.html.open("fieldset", &[("id", at.as_str())]);
        self.html.element("legend", &[], label);
        for (position, name) in names.iter().enumerate() {
            let id = format!("{}.{position}", at.as_str());
            self.tick_box(&id, at.as_str(), name, name, chosen.contains(name));
        }
        self.remarks(at);
        self.entry_remarks(at, values.len());
        self.html.close("fieldset");
    }

    fn words(&mut self, at: &FaultPath, label: &'static str, values: &mut Vec<Scalar>) {
        let shown: Vec<String> = values.iter().map(Scalar::shown).collect();
        let shown = shown.join(", ");
        self.field(at, label, |writer, remarks| {
            writer.input(at, "text", &shown, remarks);
        });
        self.entry_remarks(at, values.len());
    }

    fn pool_kind(&mut self, at: &FaultPath, kind: &mut RawPoolKind) {
        let (value, label) = match kind {
            RawPoolKind::Engine(_) => (ENGINE_KIND, "Model engines"),
            RawPoolKind::Service(_) => (SERVICE_KIND, "Plain services"),
        };
        hidden(self.html, at.as_str(), value);
        self.html.element("p", &[("id", at.as_str())], label);
    }

    fn pool_hosts(&mut self, at: &FaultPath, hosts: &mut Vec<RawPoolHosts>) {
        let mut rows = hosts.clone();
        for name in self.names(Named::FailureDomains) {
            if !rows.iter().any(|row| row.failure_domain.shown() == name) {
                let failure_domain = Scalar::from(name);
                rows.push(RawPoolHosts {
                    failure_domain,
                    ..RawPoolHosts::default()
                });
            }
        }
        self.html
            .open("fieldset", &[("id", at.as_str()), ("class", "entry wide")]);
        self.html
            .element("legend", &[], "Hosts in each failure domain");
        for (position, row) in rows.iter().enumerate() {
            let at = at.index(position);
            let domain = row.failure_domain.shown();
            let domain_at = at.field("failure_domain");
            hidden(self.html, domain_at.as_str(), &domain);
            let count_at = at.field("count");
            let count = row.count.shown();
            self.field(&count_at, &domain, |writer, remarks| {
                writer.input(&count_at, "numeric", &count, remarks);
                writer.remarks(&domain_at);
            });
        }
        self.remarks(at);
        self.html.close("fieldset");
    }

    fn section(&mut self, title: &'static str, hint: &'static str, fields: impl FnOnce(&mut Self)) {
        self.html
            .open("fieldset", &[("class", "entry"), ("id", "measure")]);
        self.html.element("legend", &[], title);
        self.html.element("p", &[("class", "hint wide")], hint);
        fields(self);
        self.remarks(&FaultPath::root().field("measure"));
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
        self.remarks(&list);
        for (position, item) in entries.iter_mut().enumerate() {
            let at = list.index(position);
            let name = match (group.name)(item).shown() {
                name if name.is_empty() => String::from("(new)"),
                name => name,
            };
            self.html
                .open("fieldset", &[("id", at.as_str()), ("class", "entry")]);
            self.html.element("legend", &[], &name);
            entry(self, &at, item);
            self.html.open("div", &[("class", "wide")]);
            self.remarks(&at);
            self.button(
                &format!("remove {}", at.as_str()),
                &format!("Remove {name}"),
            );
            self.html.close("div");
            self.html.close("fieldset");
        }
        for adding in group.adding {
            self.button(adding.action, adding.label);
        }
        self.html.close("fieldset");
    }
}

fn names<T>(entries: &[T], name: fn(&T) -> &Scalar) -> Vec<String> {
    let names = entries.iter().map(|entry| name(entry).shown());
    names.filter(|name| !name.is_empty()).collect()
}
