use std::collections::BTreeMap;

use crate::{
    ids::{BuildVersion, MoveNumber, ServiceName, StoreEra},
    plugin::MoveOrder,
    rollout::MoveRecord,
};

/// How an operators' order relates to the latest known move of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderMatch {
    /// The move, or a later one, is known.
    Known,
    /// A known move has answered the order in an earlier era of the platform. The platform still
    /// has the order, or operators wrote it again because the platform had lost it.
    Repeated,
    /// The order starts a move.
    New,
}

/// Latest order of each service that a reader of the platform has seen.
///
/// When the platform returns from an older copy, orders have other revisions than before, and some
/// are missing until operators write them again. The first order of a service in an era is
/// therefore compared by its target; the history tells the first one from later ones, which may
/// order the same version on purpose.
#[derive(Clone, Debug, Default)]
pub struct OrderHistory {
    seen: BTreeMap<ServiceName, SeenOrder>,
}

#[derive(Clone, Debug)]
struct SeenOrder {
    number: MoveNumber,
    target: BuildVersion,
}

impl OrderHistory {
    /// Records an order that was read.
    pub fn record(&mut self, order: &MoveOrder) {
        let seen = SeenOrder {
            number: order.number,
            target: order.target.clone(),
        };
        self.seen.insert(order.service.clone(), seen);
    }

    /// Compares an order that was just read with the latest known move of its service.
    #[must_use]
    pub fn classify(&self, order: &MoveOrder, known: Option<&MoveRecord>) -> OrderMatch {
        let Some(known) = known else {
            return OrderMatch::New;
        };
        let era = order_era(order.number);
        // The latest number of the known move: that of its record, or of its order when read again.
        let seen = self.seen.get(&order.service);
        let read_again = seen.filter(|seen| seen.target == known.to);
        let latest = read_again.map_or(known.number, |seen| seen.number.max(known.number));
        if order.number <= latest {
            OrderMatch::Known
        } else if order_era(latest) < era && known.has_answered(&order.target) {
            OrderMatch::Repeated
        } else {
            OrderMatch::New
        }
    }
}

const fn order_era(number: MoveNumber) -> StoreEra {
    number.revision().era()
}
