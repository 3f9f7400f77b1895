//! In-memory platform, registered as the kind `memory`; each address is a separate platform.

use std::{collections::BTreeMap, future::ready, sync::Mutex};

use bronzelb_kernel::error::{ErrorKind, MeshError};
use bronzelb_store::{
    client::{EraTracker, PlatformCalls, PlatformKind, PlatformTarget},
    table::{RowKey, RowRevision, RowWrite, ScanPage, TableRow},
};
use bytes::Bytes;

static STORES: Mutex<BTreeMap<String, MemoryStore>> = Mutex::new(BTreeMap::new());

inventory::submit! {
    PlatformKind { name: "memory", connect }
}

/// Fault of a transaction.
#[derive(Clone, Debug)]
pub(crate) enum WriteFault {
    /// The write is applied and its response is lost.
    LostResponse,
    /// The write is lost.
    LostWrite,
    /// Another publisher's row is written first.
    Race(String),
    /// The write is applied, its response is lost, and another publisher's row replaces it.
    LostResponseThenReplaced(String),
}

/// Rows, objects and injected faults.
#[derive(Debug, Default)]
pub(crate) struct MemoryStore {
    /// Rows by key.
    pub(crate) rows: BTreeMap<String, TableRow>,
    /// Objects by name.
    pub(crate) objects: BTreeMap<String, Bytes>,
    /// Faults of the next transactions, in reverse order.
    pub(crate) write_faults: Vec<WriteFault>,
    /// Whether every call fails.
    pub(crate) is_unavailable: bool,
    /// Whether writes to the object store fail.
    pub(crate) refuses_objects: bool,
    revision: u64,
}

/// Runs `action` on the store at `address`.
pub(crate) fn with_store<T>(address: &str, action: impl FnOnce(&mut MemoryStore) -> T) -> T {
    let mut stores = STORES
        .lock()
        .expect("no test panics while it holds the lock");
    action(stores.entry(address.to_owned()).or_default())
}

impl MemoryStore {
    fn put(&mut self, key: &str, value: String) -> RowRevision {
        self.revision += 1;
        let revision = RowRevision::new(self.revision);
        let row = TableRow {
            key: key.parse().expect("is a key"),
            value,
            revision,
        };
        self.rows.insert(key.to_owned(), row);
        revision
    }

    fn check_available(&self) -> Result<(), MeshError> {
        if self.is_unavailable {
            return Err(unavailable());
        }
        Ok(())
    }

    fn get_row(&self, key: &RowKey) -> Result<Option<TableRow>, MeshError> {
        self.check_available()?;
        Ok(self.rows.get(key.as_str()).cloned())
    }

    fn scan(&self, prefix: &str) -> Result<ScanPage, MeshError> {
        self.check_available()?;
        let rows = self.rows.values();
        let rows = rows.filter(|row| row.key.as_str().starts_with(prefix));
        Ok(ScanPage {
            rows: rows.cloned().collect(),
            more: false,
            refused: Vec::new(),
        })
    }

    fn put_object(&mut self, name: &str, body: Bytes) -> Result<(), MeshError> {
        self.check_available()?;
        if self.refuses_objects {
            return Err(unavailable());
        }
        self.objects.insert(name.to_owned(), body);
        Ok(())
    }

    fn get_object(&self, name: &str) -> Result<Option<Bytes>, MeshError> {
        self.check_available()?;
        Ok(self.objects.get(name).cloned())
    }

    fn transact(&mut self, writes: &[RowWrite]) -> Result<RowRevision, MeshError> {
        self.check_available()?;
        let key = writes[0].key.as_str();
        let fault = self.write_faults.pop();
        match &fault {
            Some(WriteFault::LostWrite) => return Err(unavailable()),
            Some(WriteFault::Race(value)) => {
                self.put(key, value.clone());
            }
            _ => {}
        }
        let current = self.rows.get(key).map(|row| row.revision);
        if !writes[0].precondition.is_met_by(current) {
            return Err(MeshError::new(ErrorKind::Conflict, "row has changed"));
        }
        let revision = self.put(key, writes[0].value.clone().expect("is no deletion"));
        match fault {
            Some(WriteFault::LostResponse) => Err(unavailable()),
            Some(WriteFault::LostResponseThenReplaced(value)) => {
                self.put(key, value);
                Err(unavailable())
            }
            _ => Ok(revision),
        }
    }
}

fn unavailable() -> MeshError {
    MeshError::new(ErrorKind::PlatformAway, "the platform does not answer")
}

fn connect(target: &PlatformTarget, _eras: EraTracker) -> Result<PlatformCalls, MeshError> {
    let getter = target.address.clone();
    let scanner = target.address.clone();
    let writer = target.address.clone();
    let storer = target.address.clone();
    let fetcher = target.address.clone();
    Ok(PlatformCalls {
        get_row: Box::new(move |key, _| {
            Box::pin(ready(with_store(&getter, |store| store.get_row(&key))))
        }),
        scan_rows: Box::new(move |prefix, _, _, _| {
            Box::pin(ready(with_store(&scanner, |store| store.scan(&prefix))))
        }),
        transact: Box::new(move |writes, _| {
            Box::pin(ready(with_store(&writer, |store| store.transact(&writes))))
        }),
        put_object: Box::new(move |name, body, _| {
            Box::pin(ready(with_store(&storer, |store| {
                store.put_object(&name, body)
            })))
        }),
        get_object: Box::new(move |name, _| {
            Box::pin(ready(with_store(&fetcher, |store| store.get_object(&name))))
        }),
        operators: None,
    })
}
