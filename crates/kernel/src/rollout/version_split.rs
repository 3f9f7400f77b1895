use crate::{config::ShareRatio, ids::BuildVersion};

/// Which versions of a service take the requests of one route at one instant.
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
    barred: Option<BuildVersion>,
    /// Whether the move leaves every other version rather than one.
    replaces_all: bool,
    /// Further versions that get nothing.
    excluded: Vec<BuildVersion>,
}

/// Versions that one request may go to.
///
/// A move that leaves every other version has no stable one: the others serve alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionChoice<'a> {
    /// Version to send the request to; any version serves if there is none.
    pub preferred: Option<&'a BuildVersion>,
    /// Version to turn to while no server of the preferred one takes work.
    pub fallback: Option<&'a BuildVersion>,
    /// Version that must get no request.
    pub barred: Option<&'a BuildVersion>,
    /// Version to turn to only while no server of any other takes work.
    pub last_resort: Option<&'a BuildVersion>,
    /// Whether every other version serves while no server of the preferred one takes work.
    pub accepts_others: bool,
    /// Further versions that must get no request.
    pub excluded: &'a [BuildVersion],
}

impl VersionSplit {
    /// Builds the split of a service without any move: every version serves.
    #[must_use]
    pub fn any() -> Self {
        Self::default()
    }

    /// Builds the split of a running move; one from a version to itself leaves all others.
    #[must_use]
    pub fn moving(stable: BuildVersion, candidate: BuildVersion, share: ShareRatio) -> Self {
        let replaces_all = stable == candidate;
        Self {
            stable: (!replaces_all).then_some(stable),
            candidate: Some(candidate),
            share,
            barred: None,
            replaces_all,
            excluded: Vec::new(),
        }
    }

    /// Builds the split after a move was done: the old version serves only where no server of
    /// the new one does.
    #[must_use]
    pub fn done(from: BuildVersion, to: BuildVersion) -> Self {
        Self::moving(from, to, ShareRatio::ALL)
    }

    /// Builds the split of a move whose fault showed only after it was done: the new version
    /// serves only where no server of the old one does.
    #[must_use]
    pub fn fault_after_done(from: BuildVersion, to: BuildVersion) -> Self {
        if from == to {
            return Self::moving(from, to, ShareRatio::NONE);
        }
        Self::done(to, from)
    }

    /// Builds the split after a move was taken back: the new version gets nothing.
    #[must_use]
    pub fn taken_back(from: BuildVersion, to: BuildVersion) -> Self {
        let replaces_all = from == to;
        Self {
            stable: (!replaces_all).then_some(from),
            candidate: None,
            share: ShareRatio::NONE,
            barred: Some(to),
            replaces_all,
            excluded: Vec::new(),
        }
    }

    /// Keeps the requests from further versions.
    #[must_use]
    pub fn without(mut self, excluded: &[BuildVersion]) -> Self {
        self.excluded = excluded.to_vec();
        self
    }

    /// Returns the share of the version that is moved to.
    #[must_use]
    pub const fn share(&self) -> ShareRatio {
        self.share
    }

    /// Chooses for one request; `point` is a uniform random number or a hash of the request.
    #[must_use]
    pub fn choose(&self, point: u64) -> VersionChoice<'_> {
        let ppm = u64::from(ShareRatio::ALL.as_ppm());
        let takes_candidate = self.candidate.is_some() && point % ppm < self.share_ppm();
        let (preferred, fallback) = if takes_candidate {
            (self.candidate.as_ref(), self.stable.as_ref())
        } else if self.replaces_all || self.share == ShareRatio::NONE {
            (self.stable.as_ref(), None)
        } else {
            (self.stable.as_ref(), self.candidate.as_ref())
        };
        let avoided = self.candidate.as_ref();
        VersionChoice {
            preferred,
            fallback,
            barred: self.barred.as_ref(),
            last_resort: avoided.filter(|_| self.replaces_all && !takes_candidate),
            accepts_others: self.replaces_all,
            excluded: &self.excluded,
        }
    }

    fn share_ppm(&self) -> u64 {
        u64::from(self.share.as_ppm())
    }
}

impl VersionChoice<'_> {
    /// Returns the rank of a server that runs `version`: 0 preferred, 1 fallback, none barred.
    #[must_use]
    pub fn rank(&self, version: &BuildVersion) -> Option<u8> {
        if self.barred == Some(version) || self.excluded.contains(version) {
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
