use std::collections::BTreeMap;

use bronzelb_kernel::{
    clock::TimeBudget,
    config::{MAX_DATA_CENTRES, ProxySpec},
    ids::DataCentre,
};
use bronzelb_yaml::reader::{FieldNode, parse_from_str};
use compact_str::format_compact;

use crate::model::CentreLatencies;

/// Reads the data centres and derives their spill orders from the latencies.
pub(super) fn read_centres(section: &FieldNode<'_>) -> BTreeMap<DataCentre, ProxySpec> {
    let Some(reader) = section.read_map() else {
        return BTreeMap::new();
    };
    let fields = reader.into_named_fields(parse_from_str::<DataCentre>);
    if fields.len() > MAX_DATA_CENTRES {
        section.push_problem(format_compact!(
            "{} data centres are more than the limit of {MAX_DATA_CENTRES}",
            fields.len()
        ));
        return BTreeMap::new();
    }
    let mut table = CentreLatencies::new(fields.iter().map(|(centre, _)| centre.clone()));
    for (centre, field) in &fields {
        read_centre(centre, field, &mut table);
    }
    for (from, to) in table.missing_pairs() {
        section.push_problem(format_compact!(
            "the latency between \"{from}\" and \"{to}\" is missing; add it under one of the two, \
             such as `{from}: {{latency: {{{to}: 500us}}}}`"
        ));
    }
    table.to_proxies()
}

fn read_centre(centre: &DataCentre, field: &FieldNode<'_>, table: &mut CentreLatencies) {
    let Some(mut reader) = field.read_map() else {
        return;
    };
    let latencies = reader
        .take("latency")
        .and_then(|section| section.read_map());
    reader.finish();
    let Some(latencies) = latencies else {
        return;
    };
    for (other, field) in latencies.into_named_fields(parse_from_str::<DataCentre>) {
        if other == *centre {
            field.push_problem("a data centre has no latency to itself; remove the line");
        } else if !table.contains(&other) {
            field.push_problem(format_compact!("data centre \"{other}\" does not exist"));
        } else if let Some(latency) = field.read_value(parse_from_str::<TimeBudget>) {
            record_latency(centre, &other, latency, &field, table);
        }
    }
}

fn record_latency(
    centre: &DataCentre,
    other: &DataCentre,
    latency: TimeBudget,
    field: &FieldNode<'_>,
    table: &mut CentreLatencies,
) {
    if let Some(earlier) = table.record(centre, other, latency) {
        field.push_problem(format_compact!(
            "the latency is {latency} here and {earlier} under the other data centre; write it once"
        ));
    }
}
