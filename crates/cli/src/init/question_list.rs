use std::{collections::BTreeSet, str::FromStr};

use bronzelb_answers::{
    draft::{LinkLatency, MeshDraft, ServiceDraft},
    parse_report_format,
};
use bronzelb_kernel::{
    clock::TimeBudget,
    error::MeshError,
    ids::{DataCentre, ServiceName, SlotCount},
};
use bronzelb_yaml::reader::{parse_from_str, parse_u32};

use crate::init::text_prompt::TextPrompt;

const NO_SERVICES: &str = "none";

/// Asks every question of the questionnaire; the values of `draft` are the defaults.
pub(super) fn ask_questions(
    prompt: &mut TextPrompt<'_, '_>,
    mut draft: MeshDraft,
) -> Result<MeshDraft, MeshError> {
    draft.mesh = prompt.ask("Name of the mesh", draft.mesh.as_str(), parse_from_str)?;
    draft.data_centres = prompt.ask(
        "Data centres, separated by spaces",
        &join(draft.data_centres.iter().map(DataCentre::as_str)),
        parse_names::<DataCentre>,
    )?;
    draft.latencies = ask_latencies(prompt, &draft.data_centres)?;
    ask_server_defaults(prompt, &mut draft)?;
    draft.services = ask_services(prompt, &draft)?;
    Ok(draft)
}

fn ask_latencies(
    prompt: &mut TextPrompt<'_, '_>,
    centres: &[DataCentre],
) -> Result<Vec<LinkLatency>, MeshError> {
    let mut pairs = Vec::new();
    for (index, from) in centres.iter().enumerate() {
        for to in &centres[index + 1..] {
            let question = format!("Latency between {from} and {to}");
            pairs.push(LinkLatency {
                from: from.clone(),
                to: to.clone(),
                latency: prompt.ask(&question, "500us", parse_from_str::<TimeBudget>)?,
            });
        }
    }
    Ok(pairs)
}

fn ask_server_defaults(
    prompt: &mut TextPrompt<'_, '_>,
    draft: &mut MeshDraft,
) -> Result<(), MeshError> {
    draft.slots = prompt.ask(
        "Requests that one backend server runs at once",
        &draft.slots.to_string(),
        |text| parse_positive(text).map(SlotCount::new),
    )?;
    draft.connections = prompt.ask(
        "Connections that one backend server accepts",
        &draft.connections.to_string(),
        parse_positive,
    )?;
    draft.report_format = prompt.ask(
        "Format of the servers' health and load reports",
        &draft.report_format.clone(),
        parse_report_format,
    )?;
    Ok(())
}

fn ask_services(
    prompt: &mut TextPrompt<'_, '_>,
    draft: &MeshDraft,
) -> Result<Vec<ServiceDraft>, MeshError> {
    let names = prompt.ask(
        "Services, separated by spaces",
        &join(draft.services.iter().map(|service| service.name.as_str())),
        parse_names::<ServiceName>,
    )?;
    let deferrable = ask_subset(
        prompt,
        "Services whose requests can wait",
        &names,
        draft.services.iter().filter(|service| service.deferrable),
    )?;
    let non_idempotent = ask_subset(
        prompt,
        "Services with requests that must not run twice",
        &names,
        draft
            .services
            .iter()
            .filter(|service| service.non_idempotent),
    )?;
    let services = names.into_iter().map(|name| {
        let is_deferrable = deferrable.contains(&name);
        let is_non_idempotent = non_idempotent.contains(&name);
        ServiceDraft::new(name)
            .deferrable(is_deferrable)
            .non_idempotent(is_non_idempotent)
    });
    Ok(services.collect())
}

fn ask_subset<'a>(
    prompt: &mut TextPrompt<'_, '_>,
    question: &str,
    names: &[ServiceName],
    defaults: impl Iterator<Item = &'a ServiceDraft>,
) -> Result<Vec<ServiceName>, MeshError> {
    let defaults: Vec<_> = defaults
        .filter(|service| names.contains(&service.name))
        .map(|service| service.name.as_str())
        .collect();
    let default = match defaults.len() {
        0 => NO_SERVICES.to_owned(),
        _ => defaults.join(" "),
    };
    prompt.ask(question, &default, |text| {
        if text == NO_SERVICES {
            return Ok(Vec::new());
        }
        let chosen = parse_names::<ServiceName>(text)?;
        match chosen.iter().find(|name| !names.contains(name)) {
            Some(name) => Err(MeshError::invalid(format!(
                "service \"{name}\" does not exist; services are {}",
                join(names.iter().map(ServiceName::as_str))
            ))),
            None => Ok(chosen),
        }
    })
}

fn parse_names<T>(text: &str) -> Result<Vec<T>, MeshError>
where
    T: FromStr<Err = MeshError> + Clone + Ord,
{
    let parts = text.split([' ', ',']).filter(|part| !part.is_empty());
    let names = parts.map(str::parse).collect::<Result<Vec<T>, _>>()?;
    let distinct: BTreeSet<_> = names.iter().collect();
    if distinct.len() < names.len() {
        return Err(MeshError::invalid("a name is listed twice"));
    }
    Ok(names)
}

fn parse_positive(text: &str) -> Result<u32, MeshError> {
    match parse_u32(text)? {
        0 => Err(MeshError::invalid("0 is too few; use 1 or more")),
        count => Ok(count),
    }
}

fn join<'a>(names: impl Iterator<Item = &'a str>) -> String {
    names.collect::<Vec<_>>().join(" ")
}
