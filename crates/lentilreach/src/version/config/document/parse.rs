//! From the text of an operators' file to a document.

use std::net::SocketAddr;

use jsonc_parser::ast::{Object, ObjectProp, Value};

use super::{Document, Marks, RENAME, Source};
use crate::process::input::{Errors, Place, Reader, nearest};
use crate::process::name::Name;
use crate::version::config::limits::{Limits, Parameter};
use crate::version::config::{Service, is_address};

/// The keys of the file.
const KEYS: [&str; 4] = ["organisation", "domains", "templates", "services"];

/// The keys of a template.
const TEMPLATE: [&str; 7] = parameters();

/// The keys of a service: its own, then the parameters that it overrides.
const SERVICE: [&str; 10] = {
    let p = parameters();
    ["template", "address", "set", p[0], p[1], p[2], p[3], p[4], p[5], p[6]]
};

/// Parses and checks a file.
pub fn document(file: &str, text: &str) -> Result<Document, Errors> {
    let mut reader = Reader::new(file, text);
    let document = reader.root().and_then(|root| {
        let draft = read(&mut reader, &root);
        let (services, marks) = draft.services.into_iter().unzip();
        let file = reader.file().clone();
        let source = Source { file, domains: draft.place, services: marks };
        let organisation = draft.organisation?;
        Some(Document { organisation, domains: draft.domains, services, source })
    });
    reader.finish(document)
}

/// What could be read of a file.
struct Draft {
    /// The organisation, if valid.
    organisation: Option<Name>,
    /// The valid failure domains.
    domains: Vec<Name>,
    /// Where they are listed.
    place: Place,
    /// The valid services, sorted by name.
    services: Vec<(Service, Marks)>,
}

/// A template as far as it could be read.
struct Template<'a> {
    /// Its name.
    name: &'a str,
    /// Its parameters.
    values: Values,
}

/// The value of each parameter by its position in [`Parameter::ALL`].
type Values = [Option<u64>; Parameter::ALL.len()];

/// Reads the whole file.
fn read<'a>(reader: &mut Reader<'a>, root: &Object<'a>) -> Draft {
    reader.keys(root, "the file", &KEYS);
    let organisation = reader.require(root, "the file", "organisation");
    let organisation = organisation.and_then(|value| reader.name(value, "organisation"));
    let domains = reader.require(root, "the file", "domains");
    let place = domains.map_or_else(Place::default, |value| reader.place(value));
    let domains = domains.map(|value| domain_names(reader, value)).unwrap_or_default();
    let templates =
        root.get("templates").and_then(|p| reader.object(&p.value, "templates"));
    let templates = templates.map(|object| read_templates(reader, object));
    let services = reader.require(root, "the file", "services");
    let services = services.and_then(|value| reader.object(value, "services"));
    let services = services.map(|object| {
        let owner = organisation.clone().unwrap_or_default();
        read_services(reader, object, &owner, &templates.unwrap_or_default())
    });
    Draft { organisation, domains, place, services: services.unwrap_or_default() }
}

/// Reads the list of failure domains.
fn domain_names<'a>(reader: &mut Reader<'a>, value: &Value<'a>) -> Vec<Name> {
    let mut names: Vec<Name> = Vec::new();
    let Some(list) = reader.list(value, "domains") else { return names };
    if list.is_empty() {
        let hint = "list the failure domains in which the organisation has VMs";
        reader.fault(value, "domains is empty", Some(hint.into()));
    }
    for value in list {
        let Some(name) = reader.name(value, "failure domain") else { continue };
        if names.contains(&name) {
            reader.fault(value, format!("failure domain {name} is listed twice"), None);
        } else {
            names.push(name);
        }
    }
    names
}

/// Reads all templates, sorted by name.
fn read_templates<'a, 'o>(
    reader: &mut Reader<'a>,
    object: &'o Object<'a>,
) -> Vec<Template<'o>> {
    reader.unique(object, "templates");
    let mut templates = Vec::new();
    for property in &object.properties {
        let name = property.name.as_str();
        reader.key_name(property, "template");
        let what = format!("template {name}");
        let mut values = Values::default();
        if let Some(template) = reader.object(&property.value, &what) {
            reader.keys(template, &what, &TEMPLATE);
            values = read_values(reader, template);
            check_complete(reader, property, template, &what);
            check_cold(reader, template, &values);
        }
        templates.push(Template { name, values });
    }
    templates.sort_by_key(|template| template.name);
    templates
}

/// Reads the parameters that an object sets.
fn read_values<'a>(reader: &mut Reader<'a>, object: &Object<'a>) -> Values {
    Parameter::ALL.map(|parameter| {
        let value = &object.get(parameter.name())?.value;
        let unit = if parameter.is_time() { "ms" } else { "" };
        reader.integer(value, parameter.name(), parameter.range(), unit)
    })
}

/// Notes the parameters that a template lacks.
fn check_complete<'a>(
    reader: &mut Reader<'a>,
    property: &ObjectProp<'a>,
    template: &Object<'a>,
    what: &str,
) {
    let lacks = |parameter: &Parameter| template.get(parameter.name()).is_none();
    let missing: Vec<_> =
        Parameter::ALL.into_iter().filter(lacks).map(Parameter::name).collect();
    if !missing.is_empty() {
        let message = format!("{what} lacks {}", missing.join(", "));
        let hint = "there are no defaults; a template sets every parameter";
        reader.fault(&property.name, message, Some(hint.into()));
    }
}

/// Notes a cold limit above the slots, at the object that sets one of them.
fn check_cold<'a>(reader: &mut Reader<'a>, object: &Object<'a>, values: &Values) {
    let get = |parameter: Parameter| {
        Parameter::ALL
            .iter()
            .position(|other| *other == parameter)
            .and_then(|i| values[i])
    };
    let own = |parameter: Parameter| object.get(parameter.name());
    let (Some(cold), Some(slots)) = (get(Parameter::ColdSlots), get(Parameter::Slots))
    else {
        return;
    };
    let at = own(Parameter::ColdSlots).or_else(|| own(Parameter::Slots));
    if let Some(property) = at.filter(|_| cold > slots) {
        let message = format!("cold_slots is {cold}, above slots, which is {slots}");
        let hint = "a cold backend server bears less than a warm one";
        reader.fault(&property.value, message, Some(hint.into()));
    }
}

/// Reads all services, sorted by name, and notes clashes between them.
fn read_services<'a>(
    reader: &mut Reader<'a>,
    object: &Object<'a>,
    organisation: &Name,
    templates: &[Template<'_>],
) -> Vec<(Service, Marks)> {
    reader.unique(object, "services");
    let mut services = Vec::new();
    let mut addresses = Vec::new();
    for property in &object.properties {
        let entry = read_service(reader, property, organisation, templates);
        if let Some((address, value)) = entry.address {
            addresses.push((address, property.name.as_str(), value));
        }
        services.extend(entry.service.map(|service| (service, entry.marks, property)));
    }
    check_addresses(reader, addresses);
    check_ids(reader, &services);
    let mut services: Vec<_> = services.into_iter().map(|(s, m, _)| (s, m)).collect();
    services.sort_by(|(a, _), (b, _)| a.name.cmp(&b.name));
    services
}

/// One service as far as it could be read.
struct Entry<'a, 'o> {
    /// Its address, if valid, and where it is.
    address: Option<(SocketAddr, &'o Value<'a>)>,
    /// The service, if valid.
    service: Option<Service>,
    /// Where its parts are.
    marks: Marks,
}

/// Reads one service.
fn read_service<'a, 'o>(
    reader: &mut Reader<'a>,
    property: &'o ObjectProp<'a>,
    organisation: &Name,
    templates: &[Template<'_>],
) -> Entry<'a, 'o> {
    let name = reader.key_name(property, "service");
    let what = format!("service {}", property.name.as_str());
    let mut marks = Marks { name: reader.place(&property.name), ..Marks::default() };
    let Some(object) = reader.object(&property.value, &what) else {
        return Entry { address: None, service: None, marks };
    };
    reader.keys(object, &what, &SERVICE);
    let value = reader.require(object, &what, "address");
    let address =
        value.and_then(|value| Some((service_address(reader, value, &what)?, value)));
    if let Some(value) = value {
        marks.address = reader.place(value);
    }
    let set = reader.require(object, &what, "set");
    let set = set.and_then(|value| reader.name(value, "set"));
    let limits = read_limits(reader, object, &what, templates);
    let service = || {
        Some(Service {
            organisation: organisation.clone(),
            name: name?,
            address: address?.0,
            set: set?,
            limits: limits?,
            operation: None,
        })
    };
    Entry { address, service: service(), marks }
}

/// Reads an address that callers can reach.
fn service_address<'a>(
    reader: &mut Reader<'a>,
    value: &Value<'a>,
    what: &str,
) -> Option<SocketAddr> {
    let address = reader.address(value, &format!("the address of {what}"))?;
    if !is_address(address) {
        let message = format!("{address} cannot be the address of {what}");
        let hint = "name the one address at which callers reach the service";
        reader.fault(value, message, Some(hint.into()));
        return None;
    }
    Some(address)
}

/// Reads the limits of a service: its template's, then its own.
fn read_limits<'a>(
    reader: &mut Reader<'a>,
    object: &Object<'a>,
    what: &str,
    templates: &[Template<'_>],
) -> Option<Limits> {
    let own = read_values(reader, object);
    let base = reader.require(object, what, "template");
    let base = base.and_then(|value| find_template(reader, value, templates))?;
    let mut values = base.values;
    for (value, own) in values.iter_mut().zip(own) {
        *value = own.or(*value);
    }
    check_cold(reader, object, &values);
    let mut limits = Limits::lowest();
    for (parameter, value) in Parameter::ALL.into_iter().zip(values) {
        limits = limits.with(parameter, value?).ok()?;
    }
    Some(limits)
}

/// Finds the template that a service names.
fn find_template<'a, 't>(
    reader: &mut Reader<'a>,
    value: &Value<'a>,
    templates: &'t [Template<'t>],
) -> Option<&'t Template<'t>> {
    let name = reader.text(value, "template")?;
    let found = templates.binary_search_by(|template| template.name.cmp(name));
    if let Ok(index) = found {
        return templates.get(index);
    }
    let hint = match nearest(name, templates.iter().map(|template| template.name)) {
        Some(near) => format!("did you mean {near:?}?"),
        None => "define it under \"templates\"".into(),
    };
    reader.fault(value, format!("there is no template {name:?}"), Some(hint));
    None
}

/// Notes services that share an address.
fn check_addresses<'a>(
    reader: &mut Reader<'a>,
    mut addresses: Vec<(SocketAddr, &str, &Value<'a>)>,
) {
    // The sort is stable, so the first of the file stays first.
    addresses.sort_by_key(|(address, ..)| *address);
    for pair in addresses.windows(2) {
        let ((first, owner, _), (second, _, value)) = (&pair[0], &pair[1]);
        if first == second {
            let message = format!("{second} already belongs to service {owner}");
            let hint = "give the service an address of its own";
            reader.fault(*value, message, Some(hint.into()));
        }
    }
}

/// Notes services that have the same identifier.
fn check_ids<'a>(
    reader: &mut Reader<'a>,
    services: &[(Service, Marks, &ObjectProp<'a>)],
) {
    let mut ids: Vec<_> = services.iter().map(|(s, _, p)| (s.id(), s, p)).collect();
    ids.sort_by_key(|(id, ..)| *id);
    for pair in ids.windows(2) {
        let ((a, first, _), (b, second, property)) = (&pair[0], &pair[1]);
        // The same name twice is noted as a duplicate key.
        if a == b && first.name != second.name {
            let message = format!("{} has the same id as {}", second.name, first.name);
            reader.fault(&property.name, message, Some(RENAME.into()));
        }
    }
}

/// The names of all parameters.
const fn parameters() -> [&'static str; 7] {
    let mut names = [""; 7];
    let mut i = 0;
    while i < names.len() {
        names[i] = Parameter::ALL[i].name();
        i += 1;
    }
    names
}
