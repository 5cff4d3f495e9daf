//! HTTP calls to the cloud.

use super::http_clients::{HttpResponse, RequestError, send_request};
use awc::Client;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use swiftsail_controller::cloud::{CloudCall, CloudOutcome};
use swiftsail_controller::constants::{CLOUD_TIMEOUT_MS, MACHINE_LIST_PAGE_SIZE};
use swiftsail_protocol::cloud::{MachineNames, NO_CAPACITY, path};
use swiftsail_protocol::{decode, encode};

/// Makes one call. `Failed` means that there was no valid response; the cloud may still have executed the call.
pub(super) async fn call_cloud(
    client: &Client,
    address: SocketAddr,
    call: &CloudCall,
) -> CloudOutcome {
    match send_call(client, address, call).await {
        Ok(response) => outcome_of(call, &response),
        Err(_) => CloudOutcome::Failed,
    }
}

async fn send_call(
    client: &Client,
    address: SocketAddr,
    call: &CloudCall,
) -> Result<HttpResponse, RequestError> {
    let timeout = Duration::from_millis(CLOUD_TIMEOUT_MS);
    let url = |rest: String| format!("http://{address}{rest}");
    let get = |rest: String| client.get(url(rest)).timeout(timeout);
    let post = |rest: &str| client.post(url(rest.into())).timeout(timeout);
    match call {
        CloudCall::ListTypes => send_request(get(path::MACHINE_TYPES.into()), None).await,
        CloudCall::Provision(request) => {
            send_request(post(path::MACHINES), Some(encode(request))).await
        }
        CloudCall::Return(names) => {
            let body = encode(&MachineNames { machines: names.clone() });
            send_request(post(path::RELEASE_MACHINES), Some(body)).await
        }
        CloudCall::ListMachines(from) => {
            let from = from.as_ref().map(|name| format!("from={name}&")).unwrap_or_default();
            send_request(
                get(format!("{}?{from}most={MACHINE_LIST_PAGE_SIZE}", path::MACHINES)),
                None,
            )
            .await
        }
    }
}

/// Maps a response to the outcome of its call, by the status codes of the protocol.
fn outcome_of(call: &CloudCall, response: &HttpResponse) -> CloudOutcome {
    let body = &response.body;
    let failed = |_| CloudOutcome::Failed;
    match (response.status, call) {
        (200, CloudCall::ListTypes) => decode(body).map_or_else(failed, CloudOutcome::Types),
        (200, CloudCall::Provision(_)) => {
            decode(body).map_or_else(failed, CloudOutcome::Provisioned)
        }
        (200, CloudCall::Return(_)) => CloudOutcome::Returned,
        (200, CloudCall::ListMachines(_)) => decode(body).map_or_else(failed, CloudOutcome::Listed),
        (503, CloudCall::Provision(_)) if is_no_capacity(body) => CloudOutcome::NoCapacity,
        (400, _) => {
            let cause = String::from_utf8_lossy(body).into_owned();
            tracing::error!(%cause, "cloud rejected a request as malformed");
            CloudOutcome::Malformed(cause)
        }
        _ => CloudOutcome::Failed,
    }
}

fn is_no_capacity(body: &[u8]) -> bool {
    let body = decode::<HashMap<String, String>>(body).unwrap_or_default();
    body.get("error").is_some_and(|error| error == NO_CAPACITY)
}
