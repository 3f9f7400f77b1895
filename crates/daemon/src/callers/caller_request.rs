use std::sync::Arc;

use actix_http::Request;
use actix_web::http::header::{HOST, HeaderMap};
use bronzelb_kernel::{
    clock::{ClockInstant, TimeBudget},
    config::{ConfigVersion, HttpMethod, RouteRule},
    error::{ErrorKind, MeshError},
    ids::RouteName,
    plugin::CallerDialect,
    request::RunRank,
};
use bytes::Bytes;

use crate::{callers::account_check::AccountCheck, node::NodeState};

/// Delay after which a caller may retry at a node that has no configuration.
const CONFIG_RETRY_DELAY: TimeBudget = TimeBudget::from_secs(1);

/// A caller's request, either read to its end or rejected while it was read.
pub(crate) struct CallerRequest {
    pub(crate) head: Request,
    /// The route of the request, or why the request is rejected.
    pub(crate) route_match: Result<RouteMatch, MeshError>,
    pub(crate) body: Bytes,
    /// When the head was read.
    pub(crate) started_at: ClockInstant,
}

/// Route of a request under the configuration that was active when its head was read.
pub(crate) struct RouteMatch {
    pub(crate) config: Arc<ConfigVersion>,
    pub(crate) route: RouteName,
    pub(crate) method: HttpMethod,
    pub(crate) deadline: ClockInstant,
    /// Client account of the request.
    pub(crate) account: AccountCheck,
    /// Time that the caller has already spent on earlier attempts.
    pub(crate) waited: TimeBudget,
    /// Rank of the run beside this node that may have made the request.
    pub(crate) run_rank: Option<RunRank>,
}

impl CallerRequest {
    /// Returns whether the request may run before earlier requests of its connection are answered.
    ///
    /// If an earlier response closes the connection, the caller sends the later requests again, so
    /// only idempotent requests may start early.
    pub(crate) fn may_start_early(&self) -> bool {
        let route_match = self.route_match.as_ref().ok();
        let rule = route_match.and_then(RouteMatch::rule);
        rule.is_some_and(|rule| rule.idempotent)
    }
}

impl RouteMatch {
    /// Finds the route of a request and computes its deadline.
    ///
    /// # Errors
    ///
    /// - [`ErrorKind::NotReady`]: the node has no configuration or lost its lease.
    /// - [`ErrorKind::UnknownRoute`]: no route matches.
    /// - [`ErrorKind::Unauthorized`]: the route needs a key that the request does not present.
    /// - [`ErrorKind::Invalid`]: the method or the deadline cannot be read.
    pub(crate) fn find(state: &NodeState, head: &Request) -> Result<Self, MeshError> {
        state.check_lease()?;
        let now = state.now();
        let config = state.config().ok_or_else(|| {
            MeshError::new(ErrorKind::NotReady, "the node has no configuration yet")
                .with_retry_at(now.after(CONFIG_RETRY_DELAY))
        })?;
        let method: HttpMethod = head.method().as_str().parse()?;
        let host = request_host(head);
        let found = config.route(host, method, head.path());
        let (route, rule) = found.ok_or_else(|| {
            let message = format!("no route matches {method} {:?}", head.path());
            MeshError::new(ErrorKind::UnknownRoute, message)
        })?;
        let (dialect, headers) = (&state.settings.dialect.callers, head.head().headers());
        let account = AccountCheck::new(dialect, headers, &config, route)?;
        let caller_timeout = read_caller_timeout(dialect, headers)?;
        let deadline =
            now.after(caller_timeout.map_or(rule.timeout, |timeout| timeout.min(rule.timeout)));
        let waited = caller_timeout.map_or(TimeBudget::ZERO, |timeout| {
            state.requests.record_caller_wait(route, timeout)
        });
        let run_rank =
            caller_timeout.and_then(|timeout| state.requests.rank_of_call(now.after(timeout)));
        let route = route.clone();
        Ok(Self {
            route,
            method,
            deadline,
            account,
            waited,
            run_rank,
            config,
        })
    }

    /// Returns the size limit of the request's body, in bytes.
    pub(crate) fn body_limit(&self) -> usize {
        let limit = self.rule().map_or(0, |rule| rule.max_body.get());
        usize::try_from(limit).unwrap_or(usize::MAX)
    }

    /// Returns the rule of the route.
    pub(crate) fn rule(&self) -> Option<&RouteRule> {
        self.config.snapshot().routes.get(&self.route)
    }
}

/// Returns the host that the request names, including the port if there is one.
pub(crate) fn request_host(head: &Request) -> &str {
    let header = head.head().headers().get(HOST);
    let sent = header.and_then(|value| value.to_str().ok());
    head.uri().host().or(sent).unwrap_or("")
}

/// Parses the caller's own timeout from the dialect's deadline header, if present.
fn read_caller_timeout(
    dialect: &CallerDialect,
    headers: &HeaderMap,
) -> Result<Option<TimeBudget>, MeshError> {
    let Some(value) = headers.get(dialect.deadline_header) else {
        return Ok(None);
    };
    let millis: i64 = value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| {
            let name = dialect.deadline_header;
            MeshError::invalid(format!("{name} is not a number of milliseconds"))
        })?;
    let millis = u64::try_from(millis).unwrap_or(0);
    if millis == 0 {
        return Err(MeshError::invalid(format!(
            "{} leaves no time; send the time that is left, in milliseconds",
            dialect.deadline_header
        )));
    }
    Ok(Some(TimeBudget::from_millis(millis)))
}
