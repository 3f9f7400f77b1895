use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};

use bronzelb_kernel::{
    error::MeshError,
    ids::{IncarnationNumber, SlotCount},
    member::{BackendIncarnation, BackendRow, BackendState, MemberRow, MemberState, StatedLimit},
};

use crate::mesh::{data_centre_name, node_name};

const DATA_CENTRES: u64 = 5;
const PEER_PORT: u16 = 4_000;

/// Builds the rows of `members` nodes in five data centres, each with one backend server.
pub(super) fn sample_members(members: u64, services: u64) -> Result<Vec<MemberRow>, MeshError> {
    (0..members)
        .map(|member| sample_member(member, services))
        .collect()
}

fn sample_member(member: u64, services: u64) -> Result<MemberRow, MeshError> {
    let centre = u8::try_from(member % DATA_CENTRES + 1).unwrap_or(u8::MAX);
    let number = member / DATA_CENTRES + 1;
    let [high, low] = u16::try_from(number).unwrap_or(u16::MAX).to_be_bytes();
    let address = Ipv4Addr::new(10, centre, high, low);
    let prefix = node_name(centre, 1);
    let service = member % services;
    Ok(MemberRow {
        node: format!("{prefix}-{number}").parse()?,
        incarnation: IncarnationNumber::new(1_796_338_827_429_172 + member),
        revision: 3,
        state: MemberState::Serving,
        data_centre: data_centre_name(centre).parse()?,
        peer_address: SocketAddr::from((address, PEER_PORT)),
        backends: vec![BackendRow {
            incarnation: BackendIncarnation::default(),
            limit: StatedLimit::Unknown,
            name: format!("service-{service}-{member}").parse()?,
            service: format!("service-{service}").parse()?,
            version: "v1".parse()?,
            slots: SlotCount::new(12),
            state: BackendState::Serving,
            is_reported_healthy: true,
            cold_until: None,
            times: BTreeMap::new(),
        }],
    })
}
