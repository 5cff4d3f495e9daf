//! Executes the controller's actions. Calls run in the background, and their outcomes are sent to the actor as events.

use super::{ControllerActor, EventOccurred};
use super::{cloud_client, peer_client, store_client, worker_client};
use actix::prelude::{Addr, AsyncContext, Context};
use swiftsail_controller::cloud::CloudCall;
use swiftsail_controller::controller::{Action, Event};
use swiftsail_controller::store::StoreCall;
use swiftsail_policy::outbox::EventDelivery;
use swiftsail_protocol::controllers::{ForwardedReports, Heartbeat};
use swiftsail_protocol::encode;
use swiftsail_protocol::workers::DirectCommands;

impl ControllerActor {
    pub(super) fn execute_action(&mut self, action: Action, ctx: &mut Context<Self>) {
        let actor = ctx.address();
        match action {
            Action::Reply(id, reply) => {
                if let Some(reply_sender) = self.pending_replies.remove(&id) {
                    // The client may have closed the connection.
                    let _ = reply_sender.send(reply);
                }
            }
            Action::CallStore(id, call) => self.call_store(id, call, actor),
            Action::CallCloud(call) => self.call_cloud(call, actor),
            Action::SendCommands(address, commands) => {
                self.send_commands(address, commands, actor);
            }
            Action::ProbeMachine(machine, address) => {
                let client = self.clients.probe.clone();
                actix::spawn(async move {
                    let probe = worker_client::probe_worker(&client, &address).await;
                    let report = probe.report.map(Box::new);
                    actor.do_send(EventOccurred(Event::ProbeFinished(
                        machine,
                        probe.outcome,
                        report,
                    )));
                });
            }
            Action::ForwardReports(batch_number, leader, reports) => {
                self.forward_reports(batch_number, &leader, reports, actor);
            }
            Action::DeliverEvents(delivery) => self.deliver_events(delivery, actor),
            Action::SendHeartbeat(heartbeat) => self.send_heartbeats(&heartbeat, &actor),
        }
    }

    fn call_store(&self, id: u64, call: StoreCall, actor: Addr<Self>) {
        let is_watch = matches!(call, StoreCall::Watch { .. });
        let client = if is_watch { &self.clients.long_call } else { &self.clients.short_call };
        let (client, address) = (client.clone(), self.settings.endpoints.state);
        actix::spawn(async move {
            let outcome = store_client::call_store(&client, address, &call).await;
            actor.do_send(EventOccurred(Event::StoreResponse(id, outcome)));
        });
    }

    fn call_cloud(&self, call: CloudCall, actor: Addr<Self>) {
        let client = self.clients.long_call.clone();
        let address = self.settings.endpoints.cloud;
        actix::spawn(async move {
            let outcome = cloud_client::call_cloud(&client, address, &call).await;
            actor.do_send(EventOccurred(Event::CloudResponse(Box::new(call), outcome)));
        });
    }

    fn send_commands(&self, address: String, commands: DirectCommands, actor: Addr<Self>) {
        let client = self.clients.short_call.clone();
        actix::spawn(async move {
            if let Some(report) = worker_client::send_commands(&client, &address, &commands).await {
                actor.do_send(EventOccurred(Event::CommandResponse(Box::new(report))));
            }
        });
    }

    fn forward_reports(
        &self,
        batch_number: u64,
        leader: &str,
        reports: Box<ForwardedReports>,
        actor: Addr<Self>,
    ) {
        let peer = self.settings.others.iter().find(|other| other.host_name == leader);
        let Some(peer) = peer else {
            return actor.do_send(EventOccurred(Event::ForwardedAnswers(batch_number, None)));
        };
        let client = self.clients.long_call.clone();
        let address = peer.address;
        actix::spawn(async move {
            let answers = peer_client::forward_reports(&client, address, &reports).await;
            actor.do_send(EventOccurred(Event::ForwardedAnswers(batch_number, answers)));
        });
    }

    fn deliver_events(&self, delivery: EventDelivery, actor: Addr<Self>) {
        let client = self.clients.short_call.clone();
        actix::spawn(async move {
            let is_accepted = peer_client::deliver_events(&client, &delivery).await;
            actor.do_send(EventOccurred(Event::DeliveryEnded(delivery.plugin, is_accepted)));
        });
    }

    fn send_heartbeats(&self, heartbeat: &Heartbeat, actor: &Addr<Self>) {
        let body = encode(heartbeat);
        for peer in &self.settings.others {
            let client = self.clients.short_call.clone();
            let (address, actor, body) = (peer.address, actor.clone(), body.clone());
            actix::spawn(async move {
                if let Some(response) = peer_client::send_heartbeat(&client, address, body).await {
                    actor.do_send(EventOccurred(Event::Heartbeat(response)));
                }
            });
        }
    }
}
