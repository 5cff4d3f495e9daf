//! HTTP calls to the other controllers, and the delivery of events to the receivers of plug-ins.

use super::http_clients::send_request;
use crate::constants::PEER_TIMEOUT_MS;
use awc::Client;
use std::net::SocketAddr;
use std::time::Duration;
use swiftsail_controller::constants::FORWARD_TIMEOUT_MS;
use swiftsail_policy::constants::DELIVERY_TIMEOUT_MS;
use swiftsail_policy::outbox::EventDelivery;
use swiftsail_protocol::controllers::{ForwardedAnswers, ForwardedReports, Heartbeat, path};
use swiftsail_protocol::{decode, encode};

/// Forwards workers' status reports to the leader. `None` if there is no valid response; the leader may still have
/// processed them.
pub(super) async fn forward_reports(
    client: &Client,
    leader: SocketAddr,
    reports: &ForwardedReports,
) -> Option<ForwardedAnswers> {
    let url = format!("http://{leader}{}", path::FORWARDED_REPORTS);
    let request = client.post(url).timeout(Duration::from_millis(FORWARD_TIMEOUT_MS));
    let response = send_request(request, Some(encode(reports))).await.ok()?;
    if response.status != 200 {
        return None;
    }
    decode(&response.body).ok()
}

/// Sends an encoded heartbeat to another controller and returns that controller's heartbeat. `None` if there is no valid
/// response.
pub(super) async fn send_heartbeat(
    client: &Client,
    peer: SocketAddr,
    body: Vec<u8>,
) -> Option<Heartbeat> {
    let url = format!("http://{peer}{}", path::HEARTBEAT);
    let request = client.post(url).timeout(Duration::from_millis(PEER_TIMEOUT_MS));
    let response = send_request(request, Some(body)).await.ok()?;
    if response.status != 200 {
        return None;
    }
    decode(&response.body).ok()
}

/// Delivers events to a plug-in's receiver. Returns whether the receiver responded with a success status.
pub(super) async fn deliver_events(client: &Client, delivery: &EventDelivery) -> bool {
    let url = format!("http://{}{}", delivery.to, delivery.path);
    let request = client
        .post(url)
        .timeout(Duration::from_millis(DELIVERY_TIMEOUT_MS))
        .insert_header(("Content-Type", "application/json"))
        .send_body(delivery.body.clone());
    request.await.is_ok_and(|response| response.status().is_success())
}
