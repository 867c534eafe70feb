//! Orders to targets and their replies, each with delays of its own.

use crate::{
    mix::{exponential, log_uniform, ms},
    target::{Origin, Rejection, TargetRun},
    world::{Event, Input, World},
};
use cranberrytray::{
    coordination::dispatch::{
        RunRequest,
        ownership::LeaseRenewal,
        replies::{LeaseRenewalError, StartRefusal, StartReply, StopReply},
    },
    state::{
        target::{RunOutcome, TargetId, TargetIncarnation, TargetReport, TargetTime},
        time::Moment,
    },
};
use rand::Rng;
use std::time::Duration;

/// Longest time that a stop takes.
const MAX_STOP: Duration = Duration::from_millis(50);
/// Usual one-way delay.
const USUAL_DELAY: Duration = Duration::from_micros(500);
/// Pause after a renewal that failed at once.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
pub enum Order {
    Start { request: RunRequest, duration: Duration, lease_end: TargetTime },
    Stop(RunRequest),
    Renewal(LeaseRenewal),
}

#[derive(Clone, Debug)]
pub enum Reply {
    Start(StartReply),
    Stop(StopReply),
    Renewal(Result<TargetReport, LeaseRenewalError>),
}

/// A request of a dispatcher to a target.
#[derive(Debug)]
pub struct Call {
    dispatcher: usize,
    target: usize,
    order: Order,
    decided_at: Moment,
    sent_to: TargetIncarnation,
    /// Whether the dispatcher still waits for the reply.
    is_open: bool,
    /// Whether the target holds back the reply until a run ends.
    is_waiting: bool,
}

impl Order {
    fn timeout(&self) -> Duration {
        match self {
            Order::Start { request, .. } | Order::Stop(request) => request.timeout,
            Order::Renewal(renewal) => renewal.wait + renewal.timeout,
        }
    }

    fn target(&self) -> &TargetId {
        match self {
            Order::Start { request, .. } | Order::Stop(request) => &request.target,
            Order::Renewal(renewal) => &renewal.target,
        }
    }

    /// Reply to an order that was not sent.
    fn not_sent(&self) -> Reply {
        match self {
            Order::Start { .. } => Reply::Start(StartReply::NotSent),
            Order::Stop(_) => Reply::Stop(StopReply::Unknown),
            Order::Renewal(_) => Reply::Renewal(Err(LeaseRenewalError::Unreachable)),
        }
    }

    /// Reply to an order that has no answer.
    fn unanswered(&self) -> Reply {
        match self {
            Order::Start { .. } => Reply::Start(StartReply::Unknown),
            Order::Stop(_) => Reply::Stop(StopReply::Unknown),
            Order::Renewal(_) => Reply::Renewal(Err(LeaseRenewalError::NoAnswer)),
        }
    }
}

impl World {
    pub fn order_start(
        &mut self,
        dispatcher: usize,
        request: RunRequest,
        spec: &str,
        lease_end: TargetTime,
    ) {
        let usual = ms(spec.parse().unwrap());
        let duration = usual.mul_f64(self.rng.random_range(0.7..1.6));
        self.order(dispatcher, Order::Start { request, duration, lease_end });
    }

    pub fn order_stop(&mut self, dispatcher: usize, request: RunRequest) {
        self.order(dispatcher, Order::Stop(request));
    }

    pub fn renew(&mut self, dispatcher: usize, target: usize) {
        let id = TargetId::from(format!("t{target}"));
        let renewal = self.processes[dispatcher].core.next_lease_renewal(&id, self.now);
        self.take_actions(dispatcher);
        if let Some(renewal) = renewal {
            self.order(dispatcher, Order::Renewal(renewal));
        }
    }

    fn order(&mut self, dispatcher: usize, order: Order) {
        let target = World::target_number(order.target());
        if !matches!(order, Order::Renewal(_)) {
            self.note(|| format!("d{dispatcher} decides {}", brief(&order)));
        }
        self.calls.push(Call {
            dispatcher,
            target,
            order,
            decided_at: self.now,
            sent_to: self.targets[target].incarnation,
            is_open: true,
            is_waiting: false,
        });
        let call = self.calls.len() - 1;
        let delay = match self.rng.random_bool(self.mix.late_sends) {
            true => log_uniform(&mut self.rng, ms(1), ms(1_000)),
            false => Duration::ZERO,
        };
        self.push_in(delay, Event::Process(dispatcher, Input::Send(call)));
    }

    /// Sends an order, unless no connection can be made.
    pub fn send(&mut self, call: usize) {
        let Call { dispatcher, target, ref order, .. } = self.calls[call];
        let (timeout, not_sent, unanswered) =
            (order.timeout(), order.not_sent(), order.unanswered());
        let state = &self.targets[target];
        let is_cut = state.cut_until > self.now;
        let has_connection = state.is_connected && self.rng.random_bool(0.7);
        if state.down_until > self.now || is_cut && !has_connection {
            return self.push_in(ms(1), Event::Process(dispatcher, Input::Reply(call, not_sent)));
        }
        let cut_until = state.cut_until;
        self.calls[call].sent_to = self.targets[target].incarnation;
        self.push_in(timeout, Event::Process(dispatcher, Input::Reply(call, unanswered)));
        let now = self.now;
        let usual = exponential(&mut self.rng, USUAL_DELAY);
        let share = self.rng.random_range(0.0..1.0);
        let mut delay = if share < self.mix.very_late_orders {
            log_uniform(&mut self.rng, ms(2_000), ms(12_000))
        } else if share < self.mix.very_late_orders + self.mix.late_orders {
            log_uniform(&mut self.rng, ms(50), ms(1_000))
        } else {
            usual
        };
        if is_cut {
            if self.rng.random_bool(0.5) {
                return;
            }
            delay = delay.max(cut_until - now + usual);
        }
        self.push_in(delay, Event::Order(call));
    }

    /// Carries an order out at its target.
    pub fn carry_out_order(&mut self, call: usize) {
        let now = self.now;
        let Call { dispatcher, target, ref order, decided_at, sent_to, .. } = self.calls[call];
        let order = order.clone();
        let state = &mut self.targets[target];
        if state.frozen_until > now {
            let until = state.frozen_until;
            return self.push(until, Event::Order(call));
        }
        let is_lost = sent_to != state.incarnation && !self.mix.orders_outlive_crashes;
        if state.down_until > now || is_lost {
            return;
        }
        state.is_connected = true;
        let clock = state.clock(now);
        let refused = |refusal| StartReply::Refused(refusal, Some(clock));
        let reply = match &order {
            Order::Start { request, duration, lease_end } => {
                let origin = Origin { dispatcher, decided_at, sent_to };
                let outcome = match self.rng.random_bool(0.03) {
                    true => RunOutcome::Failed,
                    false => RunOutcome::Done,
                };
                let run = TargetRun {
                    number: request.run,
                    started_at: now,
                    ends_at: now + *duration,
                    outcome,
                    origin,
                };
                let started =
                    state.start(request.task, run, request.fencing_token, *lease_end, now);
                if started == Ok(true) {
                    self.check_start(target, request.task, origin);
                }
                Reply::Start(match started {
                    Ok(_) => StartReply::Started(clock),
                    Err(Rejection::Fenced) => refused(StartRefusal::Fenced),
                    Err(Rejection::Old) => refused(StartRefusal::StaleRun),
                    Err(Rejection::Late) => refused(StartRefusal::LeaseExpired),
                    Err(Rejection::Room) => refused(StartRefusal::InsufficientCapacity),
                })
            }
            Order::Stop(request) => {
                let takes = MAX_STOP.mul_f64(self.rng.random_range(0.0..1.0));
                let ends_at = state.after(takes, now);
                let stopped =
                    state.stop(request.task, request.run, request.fencing_token, ends_at, now);
                Reply::Stop(match stopped {
                    Ok(()) => StopReply::Stopped,
                    Err(_) => StopReply::Fenced,
                })
            }
            Order::Renewal(renewal) => {
                let renewed =
                    state.renew(renewal.fencing_token, renewal.last_end, renewal.lease_end, now);
                match renewed {
                    Err(_) => Reply::Renewal(Err(LeaseRenewalError::Fenced)),
                    Ok(has_ends) => {
                        let due = state.after(renewal.wait, now);
                        self.calls[call].is_waiting = true;
                        self.schedule_wake(target);
                        return match has_ends || renewal.wait.is_zero() {
                            true => self.answer_renewal(call),
                            false => self.push(due, Event::WaitOver(call)),
                        };
                    }
                }
            }
        };
        self.note(|| format!("t{target} carries out {} -> {reply:?}", brief(&order)));
        self.schedule_wake(target);
        self.reply(call, reply);
    }

    /// Answers a renewal that waits for an end.
    pub fn answer_renewal(&mut self, call: usize) {
        let Call { target, is_waiting, .. } = self.calls[call];
        if !is_waiting {
            return;
        }
        let state = &mut self.targets[target];
        if state.frozen_until > self.now {
            let until = state.frozen_until;
            return self.push(until, Event::WaitOver(call));
        }
        state.advance(self.now);
        let report = state.report(self.now);
        self.calls[call].is_waiting = false;
        self.reply(call, Reply::Renewal(Ok(report)));
    }

    fn schedule_wake(&mut self, target: usize) {
        if let Some(at) = self.targets[target].next_end() {
            self.push(at, Event::Wake(target));
        }
    }

    /// Ends the runs of a target that are over and answers the renewals that wait for it.
    pub fn wake(&mut self, target: usize) {
        self.targets[target].advance(self.now);
        let waiting: Vec<usize> = self.waiting_calls(target);
        for call in waiting {
            let Order::Renewal(renewal) = &self.calls[call].order else { continue };
            if self.targets[target].has_ends_after(renewal.last_end) {
                self.answer_renewal(call);
            }
        }
        if let Some(at) = self.targets[target].next_end()
            && at <= self.now
        {
            self.schedule_wake(target);
        }
    }

    fn waiting_calls(&self, target: usize) -> Vec<usize> {
        let recent = self.calls.len().saturating_sub(400);
        let calls = self.calls.iter().enumerate().skip(recent);
        calls.filter(|(_, c)| c.is_waiting && c.target == target).map(|(n, _)| n).collect()
    }

    /// Loses the replies that a crashing target holds back.
    pub fn reset_connections(&mut self, target: usize) {
        for call in self.waiting_calls(target) {
            self.calls[call].is_waiting = false;
            let Call { dispatcher, ref order, .. } = self.calls[call];
            let reply = order.unanswered();
            self.push_in(ms(1), Event::Process(dispatcher, Input::Reply(call, reply)));
        }
    }

    fn reply(&mut self, call: usize, reply: Reply) {
        let Call { dispatcher, target, .. } = self.calls[call];
        if self.rng.random_bool(self.mix.lost_replies) {
            return;
        }
        let mut delay = match self.rng.random_bool(self.mix.late_replies) {
            true => log_uniform(&mut self.rng, ms(5), ms(1_000)),
            false => exponential(&mut self.rng, USUAL_DELAY),
        };
        let cut_until = self.targets[target].cut_until;
        if cut_until > self.now {
            delay = delay.max(cut_until - self.now);
        }
        self.push_in(delay, Event::Process(dispatcher, Input::Reply(call, reply)));
    }

    /// Passes the first reply to a call, or its timeout, to the core.
    pub fn on_reply(&mut self, dispatcher: usize, call: usize, reply: Reply) {
        let now = self.now;
        let state = &mut self.calls[call];
        if !std::mem::replace(&mut state.is_open, false) {
            return;
        }
        let (order, sent) = (state.order.clone(), state.decided_at);
        if !matches!(reply, Reply::Renewal(Ok(_))) {
            self.note(|| format!("d{dispatcher} gets {reply:?} for {}", brief(&order)));
        }
        match (order, reply) {
            (Order::Start { request: r, .. }, Reply::Start(reply)) => {
                self.drive(dispatcher, |c| {
                    c.on_start_reply(&r.target, r.task, r.run, reply, now);
                });
            }
            (Order::Stop(r), Reply::Stop(reply)) => {
                self.drive(dispatcher, |c| c.on_stop_reply(&r.target, r.task, r.run, reply, now));
            }
            (Order::Renewal(renewal), Reply::Renewal(reply)) => {
                let pause = match &reply {
                    Ok(_) => Duration::ZERO,
                    Err(LeaseRenewalError::NoAnswer) => RENEWAL_RETRY_DELAY / 5,
                    Err(_) => RENEWAL_RETRY_DELAY,
                };
                let target = World::target_number(&renewal.target);
                self.drive(dispatcher, |c| {
                    c.on_lease_renewal_reply(&renewal.target, sent, reply, now);
                });
                self.push_in(pause, Event::Process(dispatcher, Input::Renew(target)));
            }
            _ => unreachable!("a reply of another kind"),
        }
    }
}

fn brief(order: &Order) -> String {
    match order {
        Order::Start { request: r, lease_end, .. } => {
            format!("start {} run {} on {} until {lease_end}", r.task, r.run, r.target)
        }
        Order::Stop(r) => format!("stop {} run {} on {}", r.task, r.run, r.target),
        Order::Renewal(r) => format!("renewal on {} until {:?}", r.target, r.lease_end),
    }
}
