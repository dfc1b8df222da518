//! HTTP client for a node's operators' port.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::ProxySettings;
use attohttpc::header::{CONTENT_LENGTH, HeaderMap};
use serde::de::DeserializeOwned;

/// Timeout of one request, from connecting to the last byte of the answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer that is read, bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Why a node gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The node gave no answer.
    #[error("{address}: no answer: {cause}; is this the node's operators' address?")]
    Unreachable {
        /// Address of the node that was queried.
        address: SocketAddr,
        /// Error of the HTTP client.
        cause: attohttpc::Error,
    },
    /// The answer could not be read to its end.
    #[error("{address}: the answer ended early: {cause}")]
    Broken {
        /// Address of the node that was queried.
        address: SocketAddr,
        /// Error of reading the answer.
        cause: io::Error,
    },
    /// The answer is shorter than announced.
    #[error("{address}: the answer ended early after {received} of {announced} bytes")]
    Shortened {
        /// Address of the node that was queried.
        address: SocketAddr,
        /// Number of bytes received.
        received: u64,
        /// Number of bytes that the header `content-length` announced.
        announced: u64,
    },
    /// The node answered with an error.
    #[error("{address}: {path} was answered with status {status}")]
    Refused {
        /// Address of the node that was queried.
        address: SocketAddr,
        /// The requested path.
        path: String,
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer is larger than [`MAX_ANSWER_BYTES`].
    #[error("{address}: {path} was answered with more than {MAX_ANSWER_BYTES} bytes")]
    TooLarge {
        /// Address of the node that was queried.
        address: SocketAddr,
        /// The requested path.
        path: String,
    },
    /// The answer is not JSON of the expected form.
    #[error("{address}: {path} was answered with an unexpected body: {cause}")]
    NotUnderstood {
        /// Address of the node that was queried.
        address: SocketAddr,
        /// The requested path.
        path: String,
        /// Error of parsing the answer.
        cause: serde_json::Error,
    },
}

/// A client of one node.
#[derive(Clone, Copy, Debug)]
pub struct NodeClient {
    address: SocketAddr,
}

impl NodeClient {
    /// Creates a client of the node whose operators' port is `address`.
    pub fn new(address: SocketAddr) -> Self {
        NodeClient { address }
    }

    /// Requests `path` and parses the answer as JSON.
    pub fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        parameters: &[(&str, &str)],
    ) -> Result<T, NodeError> {
        let bytes = self.get_bytes(path, parameters)?;
        serde_json::from_slice(&bytes).map_err(|cause| NodeError::NotUnderstood {
            address: self.address,
            path: path.to_owned(),
            cause,
        })
    }

    /// Requests `path` and returns the body of the answer unchanged.
    pub fn get_bytes(&self, path: &str, parameters: &[(&str, &str)]) -> Result<Vec<u8>, NodeError> {
        let unreachable = |cause| NodeError::Unreachable {
            address: self.address,
            cause,
        };
        let response = attohttpc::get(format!("http://{}{path}", self.address))
            .params(parameters)
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(TIMEOUT)
            .timeout(TIMEOUT)
            .send()
            .map_err(unreachable)?;
        if !response.is_success() {
            return Err(NodeError::Refused {
                address: self.address,
                path: path.to_owned(),
                status: response.status().as_u16(),
            });
        }
        let (_, headers, body) = response.split();
        let bytes = self.read_body(path, body)?;
        self.check_length(&headers, &bytes)?;
        Ok(bytes)
    }

    /// Checks that the body has the length that its head announced. The HTTP client
    /// takes the end of the connection for the end of the body, even if bytes are
    /// missing.
    fn check_length(&self, headers: &HeaderMap, bytes: &[u8]) -> Result<(), NodeError> {
        let received = bytes.len() as u64;
        let announced = headers
            .get(CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .unwrap_or(received);
        if received < announced {
            return Err(NodeError::Shortened {
                address: self.address,
                received,
                announced,
            });
        }
        Ok(())
    }

    fn read_body(&self, path: &str, body: impl Read) -> Result<Vec<u8>, NodeError> {
        let mut bytes = Vec::new();
        body.take(MAX_ANSWER_BYTES + 1)
            .read_to_end(&mut bytes)
            .map_err(|cause| NodeError::Broken {
                address: self.address,
                cause,
            })?;
        if bytes.len() as u64 > MAX_ANSWER_BYTES {
            return Err(NodeError::TooLarge {
                address: self.address,
                path: path.to_owned(),
            });
        }
        Ok(bytes)
    }
}
