//! Software versions at which streams may begin, as all nodes agree on them through the store.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Cursor, Engine, Engines, Era, Millis, ServiceId, VersionKey};

/// Versions of a service that are admitted one by one. A service with more admits all, and none is proven to be the
/// only one.
const MAX_VERSIONS: usize = 32;

/// The record in the store that names the versions at which streams that may be taken up may begin.
///
/// A version is in the record before any stream of it begins, so whoever reads the record after a stream began finds its
/// version there, whatever else it knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmittedVersions {
    /// Position of the record in the store's log; the default if there is none yet.
    #[serde(default, rename = "at")]
    pub position: Cursor,
    services: IndexMap<ServiceId, ServiceVersions>,
}

/// The versions of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceVersions {
    admitted: Vec<VersionKey>,
    /// Whether streams of other versions may still be taken up.
    #[serde(rename = "others")]
    may_have_others: bool,
    /// Whether streams may begin at any version.
    #[serde(default, rename = "all")]
    admits_all: bool,
}

impl AdmittedVersions {
    /// What holds while there is no record, up to this position.
    pub fn none_at(position: Cursor) -> Self {
        AdmittedVersions { position, ..AdmittedVersions::default() }
    }

    /// The record as it was written at this position.
    pub fn at(self, position: Cursor) -> Self {
        AdmittedVersions { position, ..self }
    }

    /// The newest record, as read in an era of the store. One from an earlier era may lack versions that were admitted
    /// since.
    pub fn from_record(mut record: AdmittedVersions, position: Cursor, written_in: Era) -> Self {
        if written_in != position.era {
            record.services.values_mut().for_each(|service| service.may_have_others = true);
        }
        AdmittedVersions { position, ..record }
    }

    /// The versions of a service. Without an entry, streams may begin at any.
    pub fn service(&self, service: &ServiceId) -> Option<&ServiceVersions> {
        self.services.get(service)
    }

    /// The version of all streams of a service, if there is only one.
    pub fn only_version(&self, service: &ServiceId) -> Option<VersionKey> {
        let service = self.services.get(service)?;
        match service.admitted.as_slice() {
            [version] if !service.may_have_others && !service.admits_all => Some(*version),
            _ => None,
        }
    }

    /// Number of admitted versions of each service.
    pub fn counts(&self) -> impl Iterator<Item = (&ServiceId, usize)> {
        self.services.iter().map(|(service, versions)| (service, versions.admitted.len()))
    }
}

impl ServiceVersions {
    /// Whether a stream may begin at an engine.
    pub fn admits(&self, engine: &Engine) -> bool {
        self.admits_all || self.admitted.contains(&engine.version_key())
    }
}

/// What the leader has to know besides the list to keep the record.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionParams<'a> {
    /// Services with routes on which streams may be taken up.
    pub services: &'a [ServiceId],
    /// Whether the system starts for the first time, so that no stream is older than the first record.
    pub is_first_start: bool,
    /// Longest time after which a stream is still taken up.
    pub stream_life: Millis,
}

/// The leader's part: which versions to admit, and when to take one out.
#[derive(Debug, Clone, Default)]
pub struct VersionAdmission {
    /// When an engine of each version was last listed; of one that was not listed since, when that was first noticed.
    last_listed: IndexMap<(ServiceId, VersionKey), Millis>,
    /// When a service was first seen to have streams of unknown versions.
    others_since: IndexMap<ServiceId, Millis>,
    /// The longest life of streams that still counts, and when it was last in force.
    longest_life: Option<(Millis, Millis)>,
}

impl VersionAdmission {
    /// The record that should follow `current`; `None` if that holds.
    pub fn next_record(
        &mut self,
        current: &AdmittedVersions,
        engines: &Engines,
        params: &AdmissionParams<'_>,
        now: Millis,
    ) -> Option<AdmittedVersions> {
        let mut next = current.clone();
        let stream_life = self.stream_life(params.stream_life, now);
        let has_earlier_streams = !params.is_first_start || !current.services.is_empty();
        for service in params.services {
            let listed = engines.of_service(service);
            let listed = listed.filter(|e| e.accepts_requests() && !e.awaits_entry());
            let mut listed: Vec<VersionKey> = listed.map(Engine::version_key).collect();
            listed.sort_unstable();
            listed.dedup();
            if listed.is_empty() && !next.services.contains_key(service) {
                continue;
            }
            let is_new = !next.services.contains_key(service);
            let entry = next.services.entry(service.clone()).or_default();
            entry.may_have_others |= is_new && has_earlier_streams;
            for version in &listed {
                self.last_listed.insert((service.clone(), *version), now);
                if !entry.admitted.contains(version) {
                    entry.admitted.push(*version);
                }
            }
            let has_aged = |since: &mut Millis| now.saturating_sub(*since) >= stream_life;
            entry.admitted.retain(|version| {
                let key = (service.clone(), *version);
                !has_aged(self.last_listed.entry(key).or_insert(now))
            });
            if entry.admitted.len() > MAX_VERSIONS {
                *entry = ServiceVersions { admits_all: true, ..ServiceVersions::default() };
            } else if entry.admits_all && listed.len() <= MAX_VERSIONS / 2 {
                (entry.admits_all, entry.may_have_others) = (false, true);
            }
            if entry.may_have_others {
                let since = self.others_since.entry(service.clone()).or_insert(now);
                entry.may_have_others = !has_aged(since);
            } else {
                self.others_since.shift_remove(service);
            }
        }
        self.last_listed.retain(|(service, version), _| {
            next.services.get(service).is_some_and(|entry| entry.admitted.contains(version))
        });
        (next != *current).then_some(next)
    }

    /// The life of streams by which versions are taken out. A configuration with shorter timeouts does not shorten that of
    /// streams that began before it.
    fn stream_life(&mut self, in_force: Millis, now: Millis) -> Millis {
        let longer = self.longest_life.filter(|(life, last_in_force)| {
            *life > in_force && now.saturating_sub(*last_in_force) < *life
        });
        if let Some((life, _)) = longer {
            return life;
        }
        self.longest_life = Some((in_force, now));
        in_force
    }
}
