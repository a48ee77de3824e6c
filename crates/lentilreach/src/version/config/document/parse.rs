//! Parses and validates the configuration file of an organisation.

use std::net::SocketAddr;

use jsonc_parser::ast::{Object, ObjectProp, Value};

use super::{Document, SAME_ID_HINT, ServicePlaces, Source};
use crate::process::input::{Errors, Place, Reader, nearest};
use crate::process::name::Name;
use crate::version::config::limits::{Limits, Parameter};
use crate::version::config::{Service, is_address};

/// The keys at the top level of the file.
const FILE_KEYS: [&str; 4] = ["organisation", "domains", "templates", "services"];

/// The keys of a template.
const TEMPLATE_KEYS: [&str; 7] = parameters();

/// The keys of a service: its own, then the template parameters that it may override.
const SERVICE_KEYS: [&str; 10] = {
    let p = parameters();
    ["template", "address", "set", p[0], p[1], p[2], p[3], p[4], p[5], p[6]]
};

/// Parses and validates a file.
pub fn document(file: &str, text: &str) -> Result<Document, Errors> {
    let mut reader = Reader::new(file, text);
    let document = reader.root().and_then(|root| {
        let partial = read(&mut reader, &root);
        let (services, places) = partial.services.into_iter().unzip();
        let file = reader.file().clone();
        let source = Source {
            file,
            domains: partial.place,
            services: places,
            unused_templates: partial.unused_templates,
        };
        let organisation = partial.organisation?;
        Some(Document { organisation, domains: partial.domains, services, source })
    });
    reader.finish(document)
}

/// The valid parts of a file.
struct PartialDocument {
    /// The organisation, if valid.
    organisation: Option<Name>,
    /// The valid failure domains.
    domains: Vec<Name>,
    /// The position of the list of failure domains.
    place: Place,
    /// The valid services, sorted by name.
    services: Vec<(Service, ServicePlaces)>,
    /// Templates that no service uses, with their positions.
    unused_templates: Vec<(Name, Place)>,
}

/// A template with its valid parameters.
struct Template<'a> {
    /// Its name.
    name: &'a str,
    /// Where the file defines it.
    property: &'a ObjectProp<'a>,
    /// Its parameters.
    values: Values,
}

/// The values of the parameters, in the order of [`Parameter::ALL`]; `None` if a parameter is
/// absent or invalid.
type Values = [Option<u64>; Parameter::ALL.len()];

/// Reads the whole file.
fn read<'a>(reader: &mut Reader<'a>, root: &Object<'a>) -> PartialDocument {
    reader.check_keys(root, "the file", &FILE_KEYS);
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
    let templates = templates.unwrap_or_default();
    let unused_templates = services.map(|object| unused(reader, object, &templates));
    let services = services.map(|object| {
        let owner = organisation.clone().unwrap_or_default();
        read_services(reader, object, &owner, &templates)
    });
    PartialDocument {
        organisation,
        domains,
        place,
        services: services.unwrap_or_default(),
        unused_templates: unused_templates.unwrap_or_default(),
    }
}

/// The templates that no service names.
fn unused<'a>(
    reader: &Reader<'a>,
    services: &Object<'a>,
    templates: &[Template<'_>],
) -> Vec<(Name, Place)> {
    let is_used = |template: &&Template<'_>| {
        services.properties.iter().any(|property| {
            let service = property.value.as_object();
            let name = service.and_then(|service| service.get("template"));
            name.and_then(|name| name.value.as_string_lit())
                .is_some_and(|name| name.value == template.name)
        })
    };
    let unused = templates.iter().filter(|template| !is_used(template));
    unused
        .map(|template| (template.name.into(), reader.place(template.property)))
        .collect()
}

/// Reads the list of failure domains.
fn domain_names<'a>(reader: &mut Reader<'a>, value: &Value<'a>) -> Vec<Name> {
    let mut names: Vec<Name> = Vec::new();
    let Some(list) = reader.list(value, "domains") else { return names };
    if list.is_empty() {
        let hint = "list the failure domains in which the organisation has VMs";
        reader.error(value, "domains is empty", Some(hint.into()));
    }
    for value in list {
        let Some(name) = reader.name(value, "failure domain") else { continue };
        if names.contains(&name) {
            reader.error(value, format!("failure domain {name} is listed twice"), None);
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
) -> Vec<Template<'o>>
where
    'a: 'o,
{
    reader.check_unique(object, "templates");
    let mut templates = Vec::new();
    for property in &object.properties {
        let name = property.name.as_str();
        reader.key_name(property, "template");
        let what = format!("template {name}");
        let mut values = Values::default();
        if let Some(template) = reader.object(&property.value, &what) {
            reader.check_keys(template, &what, &TEMPLATE_KEYS);
            values = read_values(reader, template);
            check_complete(reader, property, template, &what);
            check_cold_slots(reader, template, &values);
        }
        templates.push(Template { name, property, values });
    }
    templates.sort_by_key(|template| template.name);
    templates
}

/// Reads the parameters that are present in an object.
fn read_values<'a>(reader: &mut Reader<'a>, object: &Object<'a>) -> Values {
    Parameter::ALL.map(|parameter| {
        let value = &object.get(parameter.name())?.value;
        let unit = if parameter.is_time() { "ms" } else { "" };
        reader.integer(value, parameter.name(), parameter.range(), unit)
    })
}

/// Reports the parameters that a template lacks.
fn check_complete<'a>(
    reader: &mut Reader<'a>,
    property: &ObjectProp<'a>,
    template: &Object<'a>,
    what: &str,
) {
    let is_missing = |parameter: &Parameter| template.get(parameter.name()).is_none();
    let missing: Vec<_> =
        Parameter::ALL.into_iter().filter(is_missing).map(Parameter::name).collect();
    if !missing.is_empty() {
        let message = format!("{what} lacks {}", missing.join(", "));
        let hint = "there are no defaults; a template sets every parameter";
        reader.error(&property.name, message, Some(hint.into()));
    }
}

/// Reports `cold_slots` above `slots`, at the property of `object` that sets one of them.
fn check_cold_slots<'a>(reader: &mut Reader<'a>, object: &Object<'a>, values: &Values) {
    let get = |parameter: Parameter| {
        Parameter::ALL
            .iter()
            .position(|other| *other == parameter)
            .and_then(|i| values[i])
    };
    let find = |parameter: Parameter| object.get(parameter.name());
    let (Some(cold), Some(slots)) = (get(Parameter::ColdSlots), get(Parameter::Slots))
    else {
        return;
    };
    let found = find(Parameter::ColdSlots).or_else(|| find(Parameter::Slots));
    if let Some(property) = found.filter(|_| cold > slots) {
        let message = format!("cold_slots is {cold}, above slots, which is {slots}");
        let hint = "a cold backend server can handle less than a warm one";
        reader.error(&property.value, message, Some(hint.into()));
    }
}

/// Reads all services, sorted by name, and reports duplicate addresses and identifiers.
fn read_services<'a>(
    reader: &mut Reader<'a>,
    object: &Object<'a>,
    organisation: &Name,
    templates: &[Template<'_>],
) -> Vec<(Service, ServicePlaces)> {
    reader.check_unique(object, "services");
    let mut services = Vec::new();
    let mut addresses = Vec::new();
    for property in &object.properties {
        let partial = read_service(reader, property, organisation, templates);
        if let Some((address, value)) = partial.address {
            addresses.push((address, property.name.as_str(), value));
        }
        services
            .extend(partial.service.map(|service| (service, partial.places, property)));
    }
    check_addresses(reader, addresses);
    check_ids(reader, &services);
    let mut services: Vec<_> = services.into_iter().map(|(s, p, _)| (s, p)).collect();
    services.sort_by(|(a, _), (b, _)| a.name.cmp(&b.name));
    services
}

/// The valid parts of a service.
struct PartialService<'a, 'o> {
    /// The address, if valid, and the value that it was read from.
    address: Option<(SocketAddr, &'o Value<'a>)>,
    /// The service, if all its parts are valid.
    service: Option<Service>,
    /// The positions of its parts.
    places: ServicePlaces,
}

/// Reads one service.
fn read_service<'a, 'o>(
    reader: &mut Reader<'a>,
    property: &'o ObjectProp<'a>,
    organisation: &Name,
    templates: &[Template<'_>],
) -> PartialService<'a, 'o> {
    let name = reader.key_name(property, "service");
    let what = format!("service {}", property.name.as_str());
    let mut places =
        ServicePlaces { name: reader.place(&property.name), ..ServicePlaces::default() };
    let Some(object) = reader.object(&property.value, &what) else {
        return PartialService { address: None, service: None, places };
    };
    reader.check_keys(object, &what, &SERVICE_KEYS);
    let value = reader.require(object, &what, "address");
    let address =
        value.and_then(|value| Some((service_address(reader, value, &what)?, value)));
    if let Some(value) = value {
        places.address = reader.place(value);
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
    PartialService { address, service: service(), places }
}

/// Reads the address of a service.
fn service_address<'a>(
    reader: &mut Reader<'a>,
    value: &Value<'a>,
    what: &str,
) -> Option<SocketAddr> {
    let address = reader.address(value, &format!("the address of {what}"))?;
    if !is_address(address) {
        let message = format!("{address} cannot be the address of {what}");
        let hint = "use the address to which callers connect";
        reader.error(value, message, Some(hint.into()));
        return None;
    }
    Some(address)
}

/// Reads the limits of a service: those of its template, overridden by its own.
fn read_limits<'a>(
    reader: &mut Reader<'a>,
    object: &Object<'a>,
    what: &str,
    templates: &[Template<'_>],
) -> Option<Limits> {
    let overrides = read_values(reader, object);
    let template = reader.require(object, what, "template");
    let template = template.and_then(|value| find_template(reader, value, templates))?;
    let mut values = template.values;
    for (value, overridden) in values.iter_mut().zip(overrides) {
        *value = overridden.or(*value);
    }
    check_cold_slots(reader, object, &values);
    let mut limits = Limits::lowest();
    for (parameter, value) in Parameter::ALL.into_iter().zip(values) {
        limits = limits.with(parameter, value?).ok()?;
    }
    Some(limits)
}

/// Finds the template that a service refers to.
fn find_template<'a, 't>(
    reader: &mut Reader<'a>,
    value: &Value<'a>,
    templates: &'t [Template<'t>],
) -> Option<&'t Template<'t>> {
    let name = reader.string(value, "template")?;
    let found = templates.binary_search_by(|template| template.name.cmp(name));
    if let Ok(index) = found {
        return templates.get(index);
    }
    let hint = match nearest(name, templates.iter().map(|template| template.name)) {
        Some(near) => format!("did you mean {near:?}?"),
        None => "define it under \"templates\"".into(),
    };
    reader.error(value, format!("there is no template {name:?}"), Some(hint));
    None
}

/// Reports services with the same address.
fn check_addresses<'a>(
    reader: &mut Reader<'a>,
    mut addresses: Vec<(SocketAddr, &str, &Value<'a>)>,
) {
    // The sort is stable, so services with one address stay in the order of the file.
    addresses.sort_by_key(|(address, ..)| *address);
    for pair in addresses.windows(2) {
        let ((first, owner, _), (second, _, value)) = (&pair[0], &pair[1]);
        if first == second {
            let message = format!("{second} already belongs to service {owner}");
            let hint = "give the service an address of its own";
            reader.error(*value, message, Some(hint.into()));
        }
    }
}

/// Reports services with the same identifier.
fn check_ids<'a>(
    reader: &mut Reader<'a>,
    services: &[(Service, ServicePlaces, &ObjectProp<'a>)],
) {
    let mut ids: Vec<_> = services.iter().map(|(s, _, p)| (s.id(), s, p)).collect();
    ids.sort_by_key(|(id, ..)| *id);
    for pair in ids.windows(2) {
        let ((a, first, _), (b, second, property)) = (&pair[0], &pair[1]);
        // Services with the same name are already reported as a duplicate key.
        if a == b && first.name != second.name {
            let message = format!("{} has the same id as {}", second.name, first.name);
            reader.error(&property.name, message, Some(SAME_ID_HINT.into()));
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
