use crate::{config::ShareRatio, ids::BuildVersion, rollout::ServerGroup};

/// Distribution of a route's requests over the versions of its service at one instant.
///
/// # Examples
///
/// ```
/// use bronzelb_kernel::{config::ShareRatio, ids::BuildVersion, rollout::VersionSplit};
///
/// let split = VersionSplit::moving("v1".parse()?, "v2".parse()?, "10%".parse()?);
/// let new: BuildVersion = "v2".parse()?;
/// assert_eq!(split.choose(0).preferred, Some(&new));
/// # Ok::<(), bronzelb_kernel::error::MeshError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionSplit {
    stable: Option<BuildVersion>,
    candidate: Option<BuildVersion>,
    share: ShareRatio,
    rolled_back: Option<BuildVersion>,
    /// Whether the move replaces every other version rather than one.
    replaces_all: bool,
    /// Targets of earlier moves that were not done.
    barred: Vec<BuildVersion>,
    /// Servers that get the candidate version's requests; all of them if `None`.
    group: Option<ServerGroup>,
}

/// Versions eligible for one request.
///
/// A move that replaces every other version has no stable version; all others are equivalent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionChoice<'a> {
    /// Version to send the request to; without one, any version is eligible.
    pub preferred: Option<&'a BuildVersion>,
    /// Version to use while no server of the preferred one accepts requests.
    pub fallback: Option<&'a BuildVersion>,
    /// Target of a rolled-back move, which must not get the request.
    pub rolled_back: Option<&'a BuildVersion>,
    /// Version to use only while no server of any other accepts requests.
    pub last_resort: Option<&'a BuildVersion>,
    /// Whether every other version is eligible while no server of the preferred one accepts
    /// requests.
    pub accepts_others: bool,
    /// Targets of earlier moves that were not done, which must not get the request.
    pub barred: &'a [BuildVersion],
    /// Servers of the preferred version that may get the request; all of them if `None`.
    pub group: Option<ServerGroup>,
}

impl VersionSplit {
    /// Creates the split of a service without a move: every version is eligible.
    #[must_use]
    pub fn any() -> Self {
        Self::default()
    }

    /// Creates the split of a running move; one with equal versions replaces all others.
    #[must_use]
    pub fn moving(stable: BuildVersion, candidate: BuildVersion, share: ShareRatio) -> Self {
        let replaces_all = stable == candidate;
        Self {
            stable: (!replaces_all).then_some(stable),
            candidate: Some(candidate),
            share,
            rolled_back: None,
            replaces_all,
            barred: Vec::new(),
            group: None,
        }
    }

    /// Restricts the candidate version's requests to some of its servers.
    #[must_use]
    pub const fn within(mut self, group: Option<ServerGroup>) -> Self {
        self.group = group;
        self
    }

    /// Creates the split of a done move: the old version is used only while no server of the new
    /// one accepts requests.
    #[must_use]
    pub fn done(from: BuildVersion, to: BuildVersion) -> Self {
        Self::moving(from, to, ShareRatio::ALL)
    }

    /// Creates the split of a move with a fault found after it was done: the new version is used
    /// only while no server of the old one accepts requests.
    #[must_use]
    pub fn fault_after_done(from: BuildVersion, to: BuildVersion) -> Self {
        if from == to {
            return Self::moving(from, to, ShareRatio::NONE);
        }
        Self::done(to, from)
    }

    /// Creates the split of a move that was rolled back: the new version gets no requests.
    #[must_use]
    pub fn taken_back(from: BuildVersion, to: BuildVersion) -> Self {
        let replaces_all = from == to;
        Self {
            stable: (!replaces_all).then_some(from),
            candidate: None,
            share: ShareRatio::NONE,
            rolled_back: Some(to),
            replaces_all,
            barred: Vec::new(),
            group: None,
        }
    }

    /// Bars versions from all requests.
    #[must_use]
    pub fn without(mut self, barred: &[BuildVersion]) -> Self {
        self.barred = barred.to_vec();
        self
    }

    /// Returns the share of the candidate version.
    #[must_use]
    pub const fn share(&self) -> ShareRatio {
        self.share
    }

    /// Chooses the versions for one request; `point` is a uniform random number or a hash of the
    /// request.
    #[must_use]
    pub fn choose(&self, point: u64) -> VersionChoice<'_> {
        let ppm = u64::from(ShareRatio::ALL.as_ppm());
        let takes_candidate = self.candidate.is_some() && point % ppm < self.share_ppm();
        self.choice(takes_candidate)
    }

    /// Chooses the versions for a request that a server has refused.
    ///
    /// While the versions share the traffic, a request that the candidate refused goes to the
    /// others, so that its refusals do not raise its share.
    #[must_use]
    pub fn choose_again(&self, point: u64) -> VersionChoice<'_> {
        let choice = self.choose(point);
        let is_moving = self.share != ShareRatio::NONE && self.share != ShareRatio::ALL;
        let is_candidate =
            choice.preferred.is_some() && choice.preferred == self.candidate.as_ref();
        match is_moving && is_candidate {
            true => self.choice(false),
            false => choice,
        }
    }

    fn choice(&self, takes_candidate: bool) -> VersionChoice<'_> {
        let (preferred, fallback) = if takes_candidate {
            (self.candidate.as_ref(), self.stable.as_ref())
        } else if self.replaces_all || self.share == ShareRatio::NONE {
            (self.stable.as_ref(), None)
        } else {
            (self.stable.as_ref(), self.candidate.as_ref())
        };
        let last_resort = self.candidate.as_ref();
        VersionChoice {
            preferred,
            fallback,
            rolled_back: self.rolled_back.as_ref(),
            last_resort: last_resort.filter(|_| self.replaces_all && !takes_candidate),
            accepts_others: self.replaces_all,
            barred: &self.barred,
            group: self.group.filter(|_| takes_candidate),
        }
    }

    fn share_ppm(&self) -> u64 {
        u64::from(self.share.as_ppm())
    }
}

impl VersionChoice<'_> {
    /// Returns the rank of a server with `version`: 0 if preferred, 1 if a fallback or the last
    /// resort, and `None` if not eligible.
    #[must_use]
    pub fn rank(&self, version: &BuildVersion) -> Option<u8> {
        if self.rolled_back == Some(version) || self.barred.contains(version) {
            return None;
        }
        match self.preferred {
            None if self.last_resort == Some(version) => Some(1),
            None => Some(0),
            Some(preferred) if preferred == version => Some(0),
            Some(_) if self.accepts_others || self.fallback == Some(version) => Some(1),
            Some(_) => None,
        }
    }
}
