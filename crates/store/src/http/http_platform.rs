use std::rc::Rc;

use awc::http::{Method, StatusCode};
use bronzelb_kernel::{
    clock::ClockInstant,
    error::{ErrorKind, MeshError},
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    client::{EraTracker, PlatformCalls, PlatformKind, PlatformTarget},
    http::{HttpClient, HttpRequest, HttpResponse, decode_json, percent_encode},
    table::{RowKey, RowRevision, RowWrite, ScanPage, TableRow},
};

const MAX_ROW_BYTES: usize = 1024 * 1024;
const MAX_SCAN_BYTES: usize = 8 * 1024 * 1024;
const MAX_OBJECT_BYTES: usize = 8 * 1024 * 1024;

inventory::submit! {
    PlatformKind {
        name: "http",
        connect,
    }
}

struct HttpPlatform {
    http: HttpClient,
}

#[derive(Deserialize)]
struct RowResponse {
    value: String,
    revision: RowRevision,
}

#[derive(Serialize)]
struct TransactRequest {
    writes: Vec<RowWrite>,
}

#[derive(Deserialize)]
struct TransactResponse {
    revision: RowRevision,
}

#[derive(Deserialize)]
struct ConflictResponse {
    key: RowKey,
    revision: RowRevision,
}

// Rows of this kind state their whole revisions, so eras need not be tracked.
fn connect(target: &PlatformTarget, _eras: EraTracker) -> Result<PlatformCalls, MeshError> {
    let http = HttpClient::new(target)?;
    let platform = Rc::new(HttpPlatform { http });
    Ok(build_calls(&platform))
}

fn build_calls(platform: &Rc<HttpPlatform>) -> PlatformCalls {
    let row_reader = Rc::clone(platform);
    let row_scanner = Rc::clone(platform);
    let row_writer = Rc::clone(platform);
    let object_writer = Rc::clone(platform);
    let object_reader = Rc::clone(platform);
    PlatformCalls {
        get_row: Box::new(move |key, deadline| {
            let platform = Rc::clone(&row_reader);
            Box::pin(async move { platform.get_row(key, deadline).await })
        }),
        scan_rows: Box::new(move |prefix, after, limit, deadline| {
            let platform = Rc::clone(&row_scanner);
            Box::pin(async move { platform.scan_rows(&prefix, after, limit, deadline).await })
        }),
        transact: Box::new(move |writes, deadline| {
            let platform = Rc::clone(&row_writer);
            Box::pin(async move { platform.transact(writes, deadline).await })
        }),
        put_object: Box::new(move |name, body, deadline| {
            let platform = Rc::clone(&object_writer);
            Box::pin(async move { platform.put_object(&name, body, deadline).await })
        }),
        get_object: Box::new(move |name, deadline| {
            let platform = Rc::clone(&object_reader);
            Box::pin(async move { platform.get_object(&name, deadline).await })
        }),
        operators: None,
    }
}

impl HttpPlatform {
    async fn get_row(
        &self,
        key: RowKey,
        deadline: ClockInstant,
    ) -> Result<Option<TableRow>, MeshError> {
        let path = format!("/table/rows/{}", percent_encode(key.as_str()));
        let response = self.get(&path, MAX_ROW_BYTES, deadline).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let body: RowResponse = decode_json(&response.into_body()?)?;
        Ok(Some(TableRow {
            key,
            value: body.value,
            revision: body.revision,
        }))
    }

    async fn scan_rows(
        &self,
        prefix: &str,
        after: Option<RowKey>,
        limit: usize,
        deadline: ClockInstant,
    ) -> Result<ScanPage, MeshError> {
        let mut path = format!(
            "/table/scan?prefix={}&limit={limit}",
            percent_encode(prefix)
        );
        if let Some(after) = after {
            path.push_str("&after=");
            path.push_str(&percent_encode(after.as_str()));
        }
        let response = self.get(&path, MAX_SCAN_BYTES, deadline).await?;
        decode_json(&response.into_body()?)
    }

    async fn transact(
        &self,
        writes: Vec<RowWrite>,
        deadline: ClockInstant,
    ) -> Result<RowRevision, MeshError> {
        let body = serde_json::to_vec(&TransactRequest { writes })
            .map_err(|error| MeshError::invalid(format!("transaction: {error}")))?;
        let response = self
            .send(
                Method::POST,
                "/table/transact",
                body.into(),
                MAX_ROW_BYTES,
                deadline,
            )
            .await?;
        if response.status == StatusCode::CONFLICT {
            return Err(conflict_error(&response.body));
        }
        let written: TransactResponse = decode_json(&response.into_body()?)?;
        Ok(written.revision)
    }

    async fn put_object(
        &self,
        name: &str,
        body: Bytes,
        deadline: ClockInstant,
    ) -> Result<(), MeshError> {
        let path = format!("/objects/{}", percent_encode(name));
        let response = self
            .send(Method::PUT, &path, body, MAX_ROW_BYTES, deadline)
            .await?;
        response.into_body().map(|_| ())
    }

    async fn get_object(
        &self,
        name: &str,
        deadline: ClockInstant,
    ) -> Result<Option<Bytes>, MeshError> {
        let path = format!("/objects/{}", percent_encode(name));
        let response = self.get(&path, MAX_OBJECT_BYTES, deadline).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        response.into_body().map(Some)
    }

    async fn get(
        &self,
        path: &str,
        max_bytes: usize,
        deadline: ClockInstant,
    ) -> Result<HttpResponse, MeshError> {
        self.send(Method::GET, path, Bytes::new(), max_bytes, deadline)
            .await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        max_bytes: usize,
        deadline: ClockInstant,
    ) -> Result<HttpResponse, MeshError> {
        let content_type = if method == Method::POST {
            "application/json"
        } else {
            "application/octet-stream"
        };
        let request = HttpRequest {
            method,
            path,
            content_type,
            body,
            max_bytes,
        };
        self.http.send(request, deadline).await
    }
}

fn conflict_error(body: &[u8]) -> MeshError {
    match decode_json::<ConflictResponse>(body) {
        Ok(ConflictResponse { key, revision }) if revision == RowRevision::default() => {
            MeshError::new(ErrorKind::Conflict, format!("row {key} does not exist"))
        }
        Ok(ConflictResponse { key, revision }) => MeshError::new(
            ErrorKind::Conflict,
            format!("row {key} is at revision {revision}"),
        ),
        Err(error) => error,
    }
}
