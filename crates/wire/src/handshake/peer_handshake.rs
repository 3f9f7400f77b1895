use bronzelb_kernel::error::{ErrorKind, MeshError};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::handshake::MeshKey;

const MAGIC: [u8; 4] = *b"bzl1";
const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
const CLIENT_ROLE: u8 = b'c';
const SERVER_ROLE: u8 = b's';

/// Authenticates an outgoing connection by mutual proof of knowledge of the mesh key.
///
/// `nonce` must be random and used only once, so that a recorded handshake cannot be replayed.
///
/// # Errors
///
/// [`ErrorKind::Unauthorized`] if the server does not know the key, and [`ErrorKind::LocalIo`] if
/// the connection fails.
pub async fn connect_peer(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &MeshKey,
    nonce: [u8; NONCE_BYTES],
) -> Result<(), MeshError> {
    stream.write_all(&MAGIC).await.map_err(io_error)?;
    stream.write_all(&nonce).await.map_err(io_error)?;
    let mut server_nonce = [0; NONCE_BYTES];
    stream
        .read_exact(&mut server_nonce)
        .await
        .map_err(io_error)?;
    let proof = compute_proof(key, CLIENT_ROLE, &nonce, &server_nonce);
    stream.write_all(proof.as_bytes()).await.map_err(io_error)?;
    verify_proof(
        stream,
        compute_proof(key, SERVER_ROLE, &nonce, &server_nonce),
    )
    .await
}

/// Authenticates an incoming connection by mutual proof of knowledge of the mesh key.
///
/// The server sends its proof only after verifying the client's. `nonce` must be random and used
/// only once, so that a recorded handshake cannot be replayed.
///
/// # Errors
///
/// [`ErrorKind::Invalid`] if the client does not speak the peer protocol,
/// [`ErrorKind::Unauthorized`] if it does not know the key, and [`ErrorKind::LocalIo`] if the
/// connection fails.
pub async fn accept_peer(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &MeshKey,
    nonce: [u8; NONCE_BYTES],
) -> Result<(), MeshError> {
    let mut magic = [0; MAGIC.len()];
    stream.read_exact(&mut magic).await.map_err(io_error)?;
    if magic != MAGIC {
        return Err(MeshError::invalid(
            "connection does not start with the magic bytes of the peer protocol",
        ));
    }
    let mut client_nonce = [0; NONCE_BYTES];
    stream
        .read_exact(&mut client_nonce)
        .await
        .map_err(io_error)?;
    stream.write_all(&nonce).await.map_err(io_error)?;
    verify_proof(
        stream,
        compute_proof(key, CLIENT_ROLE, &client_nonce, &nonce),
    )
    .await?;
    let proof = compute_proof(key, SERVER_ROLE, &client_nonce, &nonce);
    stream.write_all(proof.as_bytes()).await.map_err(io_error)
}

fn compute_proof(
    key: &MeshKey,
    role: u8,
    client_nonce: &[u8; NONCE_BYTES],
    server_nonce: &[u8; NONCE_BYTES],
) -> blake3::Hash {
    let mut transcript = Vec::with_capacity(1 + 2 * NONCE_BYTES);
    transcript.push(role);
    transcript.extend_from_slice(client_nonce);
    transcript.extend_from_slice(server_nonce);
    key.compute_proof(&transcript)
}

async fn verify_proof(
    stream: &mut (impl AsyncRead + Unpin),
    expected: blake3::Hash,
) -> Result<(), MeshError> {
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await.map_err(io_error)?;
    // `blake3::Hash` compares in constant time.
    if blake3::Hash::from_bytes(proof) == expected {
        return Ok(());
    }
    Err(MeshError::new(
        ErrorKind::Unauthorized,
        "peer does not know the mesh key",
    ))
}

fn io_error(error: std::io::Error) -> MeshError {
    MeshError::new(ErrorKind::LocalIo, format!("peer handshake: {error}"))
}
