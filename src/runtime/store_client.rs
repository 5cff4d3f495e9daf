//! HTTP calls to the state service.

use super::http_clients::{HttpResponse, RequestError, send_request};
use awc::Client;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::net::SocketAddr;
use swiftsail_controller::constants::{KEY_LIST_PAGE_SIZE, WATCH_BLOCK_MS};
use swiftsail_controller::store::{StoreCall, StoreOutcome};
use swiftsail_protocol::state::{LeaseRequest, LeaseResponse, Mutation, TransactionResponse, path};
use swiftsail_protocol::{decode, encode};

/// Makes one call. The outcome is `Unknown` if there is no valid response; the state service may still have executed the
/// call.
pub(super) async fn call_store(
    client: &Client,
    address: SocketAddr,
    call: &StoreCall,
) -> StoreOutcome {
    match send_call(client, address, call).await {
        Ok(response) => outcome_of(call, &response),
        Err(_) => StoreOutcome::Unknown,
    }
}

async fn send_call(
    client: &Client,
    address: SocketAddr,
    call: &StoreCall,
) -> Result<HttpResponse, RequestError> {
    let url = |rest: String| format!("http://{address}{rest}");
    let watch_url = |prefix: &str, from: u64, block_ms: u64| {
        url(format!("{}?starts={prefix}&from={from}&block_ms={block_ms}", path::WATCH))
    };
    match call {
        StoreCall::Get(key) => {
            send_request(client.get(url(format!("{}/{key}", path::KEYS))), None).await
        }
        StoreCall::List { prefix, from } => {
            let from = from.as_ref().map(|key| format!("&from={key}")).unwrap_or_default();
            let rest = format!("{}?starts={prefix}{from}&most={KEY_LIST_PAGE_SIZE}", path::KEYS);
            send_request(client.get(url(rest)), None).await
        }
        StoreCall::Commit(transaction) => {
            let body = encode(transaction);
            send_request(client.post(url(path::TRANSACTIONS.into())), Some(body)).await
        }
        StoreCall::GrantLease { ttl_ms } => {
            let body = encode(&LeaseRequest { ttl_ms: *ttl_ms });
            send_request(client.post(url(path::LEASES.into())), Some(body)).await
        }
        StoreCall::RenewLease(lease) => {
            let rest = format!("{}/{lease}/{}", path::LEASES, path::LEASE_RENEWAL);
            let body = encode(&HashMap::<String, u64>::new());
            send_request(client.post(url(rest)), Some(body)).await
        }
        StoreCall::RevokeLease(lease) => {
            send_request(client.delete(url(format!("{}/{lease}", path::LEASES))), None).await
        }
        StoreCall::ReadChanges { prefix, from } => {
            send_request(client.get(watch_url(prefix, *from, 0)), None).await
        }
        StoreCall::Watch { prefix, from } => {
            send_request(client.get(watch_url(prefix, *from, WATCH_BLOCK_MS)), None).await
        }
    }
}

/// Maps a response to the outcome of its call, by the status codes of the protocol.
fn outcome_of(call: &StoreCall, response: &HttpResponse) -> StoreOutcome {
    let body = &response.body;
    match (response.status, call) {
        (200, _) => success_of(call, body),
        (404, StoreCall::RenewLease(_) | StoreCall::RevokeLease(_)) => StoreOutcome::NoSuchLease,
        (404, _) => StoreOutcome::Missing { revision: 0 },
        (409, _) => decode_outcome(body, |response: TransactionResponse| {
            StoreOutcome::Conflict(response.failed_keys)
        }),
        (410, _) => StoreOutcome::Compacted,
        (429, _) => StoreOutcome::RateLimited,
        (503, _) => StoreOutcome::Unavailable,
        (400, StoreCall::Commit(transaction))
            if transaction.mutations.iter().any(is_attached_to_lease) =>
        {
            StoreOutcome::NoSuchLease
        }
        (400, _) => StoreOutcome::Malformed(String::from_utf8_lossy(body).into_owned()),
        _ => StoreOutcome::Unknown,
    }
}

fn success_of(call: &StoreCall, body: &[u8]) -> StoreOutcome {
    match call {
        StoreCall::Get(_) => decode_outcome(body, StoreOutcome::Found),
        StoreCall::List { .. } => decode_outcome(body, StoreOutcome::Page),
        StoreCall::Commit(_) => decode_outcome(body, |response: TransactionResponse| {
            StoreOutcome::Committed(response.revision)
        }),
        StoreCall::GrantLease { .. } => decode_outcome(body, |response: LeaseResponse| {
            StoreOutcome::LeaseGranted(response.lease)
        }),
        StoreCall::RenewLease(lease) | StoreCall::RevokeLease(lease) => {
            StoreOutcome::LeaseGranted(*lease)
        }
        StoreCall::Watch { .. } | StoreCall::ReadChanges { .. } => {
            decode_outcome(body, StoreOutcome::Changes)
        }
    }
}

fn decode_outcome<T: DeserializeOwned>(
    body: &[u8],
    outcome: impl Fn(T) -> StoreOutcome,
) -> StoreOutcome {
    decode::<T>(body).map(outcome).unwrap_or(StoreOutcome::Unknown)
}

fn is_attached_to_lease(mutation: &Mutation) -> bool {
    matches!(mutation, Mutation::Put { lease: Some(_), .. })
}
