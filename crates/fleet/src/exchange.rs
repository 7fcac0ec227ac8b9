//! Executes the actions of the membership library: datagrams, pulls and calls to the platform.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use lovagelatch_domain::{AgentAddress, ConfigRevision, Moment, PeerReport};
use lovagelatch_keys::FleetKeys;
use lovagelatch_membership::{
    FleetMember, FleetView, MemberAction, MemberMessage, MemberNotice, PlatformCall, PullPart,
    PullRequest,
};
use lovagelatch_network::{DatagramPath, PacketEnds, StreamPath, read_frame, write_frame};
use lovagelatch_telemetry::{Logger, debug};
use lovagelatch_wire::{FrameError, FrameKind, MAX_STREAM_FRAME_BYTES, open_message, seal_message};
use parking_lot::Mutex;
use thiserror::Error;
use tokio::net::{TcpStream, UdpSocket};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, watch};

use crate::clock::ProcessClock;
use crate::inbox::FleetInbox;
use crate::notice::log_notice;
use crate::platform::{PlatformError, PlatformReader};
use crate::traffic::{TrafficCounters, TrafficDirection, TrafficKind};

/// Timeout of an exchange over a stream. The next pull opens a new connection: one silent
/// connection does not show that the peer is down.
const STREAM_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of full answers that one process writes concurrently. A refused peer queries
/// another process. Without the limit, the restart of a zone could cost one process hundreds of
/// megabytes.
pub(crate) const MAX_FULL_ANSWERS: usize = 2;

/// Maximum number of frames in one answer.
const MAX_ANSWER_FRAMES: usize = 4_096;

/// Why an exchange over a stream failed.
#[derive(Debug, Error)]
pub(crate) enum ExchangeError {
    /// The stream could not be opened or was interrupted.
    #[error("stream: {0}")]
    Stream(#[from] io::Error),
    /// A frame was rejected.
    #[error("frame: {0}")]
    Frame(#[from] FrameError),
    /// The exchange did not complete within [`STREAM_TIMEOUT`].
    #[error("no complete answer within the timeout")]
    Timeout,
    /// The answer ended before its last part, or has more than [`MAX_ANSWER_FRAMES`] frames.
    #[error("answer truncated or too long")]
    Truncated,
}

/// State that the tasks of a [`FleetClient`](crate::FleetClient) share.
#[derive(Debug)]
pub(crate) struct FleetShared {
    pub(crate) member: Mutex<FleetMember>,
    pub(crate) inbox: FleetInbox,
    /// Permits for writing full answers; each takes megabytes in a large fleet.
    pub(crate) full_answers: Semaphore,
    pub(crate) control: AgentAddress,
    pub(crate) clock: ProcessClock,
    pub(crate) keys: Arc<ArcSwap<FleetKeys>>,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) datagrams: DatagramPath,
    pub(crate) streams: StreamPath,
    pub(crate) platform: PlatformReader,
    pub(crate) view: Arc<ArcSwap<FleetView>>,
    pub(crate) peers: Arc<ArcSwap<Vec<PeerReport>>>,
    pub(crate) revisions: watch::Sender<ConfigRevision>,
    pub(crate) ready: watch::Sender<bool>,
    pub(crate) traffic: TrafficCounters,
    pub(crate) log: Logger,
    pub(crate) runtime: Handle,
}

impl FleetShared {
    /// Calls the member and executes the actions it requests.
    pub(crate) fn with_member<R>(
        self: &Arc<Self>,
        call: impl FnOnce(&mut FleetMember, Moment) -> R,
    ) -> R {
        let now = self.clock.now();
        let mut member = self.member.lock();
        let result = call(&mut member, now);
        let actions = member.take_actions();
        // Publishes views under the lock, so that an older view cannot replace a newer one.
        for action in &actions {
            if let MemberAction::Publish(view) = action {
                self.publish(view);
            }
        }
        drop(member);
        for action in actions {
            self.execute(action);
        }
        result
    }

    fn publish(&self, view: &Arc<FleetView>) {
        self.view.store(Arc::clone(view));
        self.revisions.send_replace(view.revision());
    }

    fn execute(self: &Arc<Self>, action: MemberAction) {
        match action {
            MemberAction::Send { to, message } => self.send(to, &message),
            MemberAction::Pull { from, request } => {
                let shared = Arc::clone(self);
                self.runtime
                    .spawn(async move { shared.pull(from, request).await });
            }
            MemberAction::Platform(call) => {
                let shared = Arc::clone(self);
                self.runtime
                    .spawn(async move { shared.call_platform(call).await });
            }
            MemberAction::Publish(_) => {}
            MemberAction::Notice(notice) => {
                if notice == MemberNotice::Ready {
                    self.ready.send_replace(true);
                }
                log_notice(&self.log, &notice);
            }
        }
    }

    fn send(&self, to: AgentAddress, message: &MemberMessage) {
        let frame = seal_message(FrameKind::Membership, message, &self.keys.load());
        let kind = traffic_kind(message);
        self.traffic
            .count(kind, TrafficDirection::Sent, frame.len());
        let ends = PacketEnds {
            source: self.control.0,
            destination: to.0,
        };
        if let Err(error) = self.datagrams.send(&self.socket, &ends, &frame) {
            debug!(self.log, "datagram not sent"; "to" => %to, "error" => %error);
        }
    }

    /// Opens a datagram and passes its message to the member.
    pub(crate) fn accept_datagram(self: &Arc<Self>, datagram: &[u8]) {
        let opened = open_message(FrameKind::Membership, datagram, &self.keys.load());
        let message: MemberMessage = match opened {
            Ok(message) => message,
            Err(error) => return self.count_refused(&error, datagram.len()),
        };
        let kind = traffic_kind(&message);
        self.traffic
            .count(kind, TrafficDirection::Received, datagram.len());
        self.with_member(|member, now| member.accept_message(message, now));
    }

    /// Answers the pull request in the first frame of a stream.
    pub(crate) async fn accept_stream(self: &Arc<Self>, stream: TcpStream, first: &[u8]) {
        let opened = open_message(FrameKind::Membership, first, &self.keys.load());
        let request: PullRequest = match opened {
            Ok(request) => request,
            Err(error) => return self.count_refused(&error, first.len()),
        };
        self.traffic
            .count(TrafficKind::Pull, TrafficDirection::Received, first.len());
        let is_full = request.config == 0 || request.list == 0;
        let permit = is_full.then(|| self.full_answers.try_acquire()).transpose();
        let Ok(permit) = permit else {
            debug!(self.log, "full answer refused: limit reached"; "to" => %request.sender);
            return;
        };
        let parts = self.with_member(|member, now| member.answer_pull(&request, now));
        let writing = tokio::time::timeout(STREAM_TIMEOUT, self.write_parts(stream, &parts));
        match writing.await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => debug!(self.log, "answer broke off"; "error" => %error),
            Err(_) => debug!(self.log, "answer not sent within the timeout"),
        }
        drop(permit);
    }

    /// Counts a datagram that was dropped because the queue was full.
    pub(crate) fn count_dropped(&self, length: usize) {
        self.traffic
            .count(TrafficKind::Dropped, TrafficDirection::Received, length);
    }

    fn count_refused(&self, error: &FrameError, length: usize) {
        self.traffic
            .count(TrafficKind::Refused, TrafficDirection::Received, length);
        debug!(self.log, "membership frame refused"; "error" => %error);
    }

    async fn write_parts(&self, mut stream: TcpStream, parts: &[PullPart]) -> io::Result<()> {
        for part in parts {
            let frame = seal_message(FrameKind::Membership, part, &self.keys.load());
            self.traffic
                .count(TrafficKind::Answer, TrafficDirection::Sent, frame.len());
            write_frame(&mut stream, &frame).await?;
        }
        // Waits until the reader closes the stream, so that a reset does not discard unread data.
        let _closed = read_frame(&mut stream, MAX_STREAM_FRAME_BYTES).await;
        Ok(())
    }

    async fn pull(self: Arc<Self>, from: AgentAddress, request: PullRequest) {
        let fetching = tokio::time::timeout(STREAM_TIMEOUT, self.fetch_parts(from, &request));
        let answer = fetching.await.unwrap_or(Err(ExchangeError::Timeout));
        match answer {
            Ok(parts) => {
                self.with_member(|member, now| member.accept_answer(from, parts, now));
            }
            Err(error) => {
                debug!(self.log, "pull failed"; "from" => %from, "error" => %error);
                self.with_member(|member, now| member.pull_failed(from, now));
            }
        }
    }

    async fn fetch_parts(
        &self,
        from: AgentAddress,
        request: &PullRequest,
    ) -> Result<Vec<PullPart>, ExchangeError> {
        let mut stream = self.streams.connect(from.0).await?;
        let frame = seal_message(FrameKind::Membership, request, &self.keys.load());
        self.traffic
            .count(TrafficKind::Pull, TrafficDirection::Sent, frame.len());
        write_frame(&mut stream, &frame).await?;
        let mut parts = Vec::new();
        while parts.len() < MAX_ANSWER_FRAMES {
            let frame = read_frame(&mut stream, MAX_STREAM_FRAME_BYTES).await?;
            let frame = frame.ok_or(ExchangeError::Truncated)?;
            self.traffic
                .count(TrafficKind::Answer, TrafficDirection::Received, frame.len());
            let part = open_message(FrameKind::Membership, &frame, &self.keys.load())?;
            parts.push(part);
            if parts.last() == Some(&PullPart::End) {
                return Ok(parts);
            }
        }
        Err(ExchangeError::Truncated)
    }

    async fn call_platform(self: Arc<Self>, call: PlatformCall) {
        self.traffic
            .count(TrafficKind::Platform, TrafficDirection::Sent, 0);
        if let Err(error) = self.try_platform(call).await {
            debug!(self.log, "platform not read"; "error" => %error);
            self.with_member(|member, now| member.platform_failed(call, now));
        }
    }

    async fn try_platform(self: &Arc<Self>, call: PlatformCall) -> Result<(), PlatformError> {
        let config = match call {
            PlatformCall::ReadInstances => {
                let list = self.platform.read_instances().await?;
                self.with_member(|member, now| member.accept_instances(&list, now));
                return Ok(());
            }
            PlatformCall::ReadConfig => Some(self.platform.read_config().await?),
            PlatformCall::WatchConfig(after) => self.platform.watch_config(after).await?,
        };
        self.with_member(|member, now| match config {
            Some(config) => member.accept_config(config.revision, &config.text, now),
            None => member.config_unchanged(now),
        });
        Ok(())
    }
}

fn traffic_kind(message: &MemberMessage) -> TrafficKind {
    match message {
        MemberMessage::Head(_) => TrafficKind::Head,
        MemberMessage::Heartbeat(_) => TrafficKind::Heartbeat,
        MemberMessage::Ask(_) => TrafficKind::Pull,
        MemberMessage::Answer { .. } => TrafficKind::Answer,
        MemberMessage::Probe(_) | MemberMessage::Alive(_) => TrafficKind::Probe,
    }
}
