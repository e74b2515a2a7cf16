/** Defines which fields the event log of a process on the users' platform contains for each message. */
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import {
    CommandKind,
    ControlKind,
    type ControlLeaderChanged,
    type ControlMembersAgreed,
    type ControlPropose,
} from "../model/controlMessages.ts";
import { type EvacuationAnswered, EvacuationKind, EvacuationResult } from "../model/evacuation.ts";
import {
    type ConfigurationUpdate,
    FeedKind,
    type FeedLost,
    type FeedOpened,
    type FeedReceived,
    UpdateKind,
} from "../model/feedMessages.ts";
import {
    type Attached,
    type DatabaseChanged,
    type DatabaseRemoved,
    type DatabaseSuspected,
    type Detached,
    type DiscoveryProgressed,
    type FleetDrainStarted,
    FleetKind,
    type FrameRefused,
    type MembersKnown,
    type PolicyApplied,
    type ReadinessChanged,
} from "../model/fleetMessages.ts";
import {
    LinkCommandKind,
    LinkKind,
    type LinkLost,
    type LinkReplyDiscarded,
    type LinkSend,
} from "../model/linkMessages.ts";
import { type PeerFrameRefused, PeerKind, type PeerLoadIgnored } from "../model/peerMessages.ts";
import { PromotionKind, type PromotionProgressed } from "../model/promotionMessages.ts";
import { type PaceChanged, SchedulingKind, type SchedulingRefused } from "../model/schedulingMessages.ts";
import {
    type SessionAnswer,
    type SessionAnswerRefused,
    SessionKind,
    type SessionMessageRefused,
    type SessionRefuse,
    type SessionStopProgressed,
} from "../model/sessionMessages.ts";
import { StorageKind, type StorageResumed, type StorageSuspended } from "../model/storageMessages.ts";
import { type TaskAttempted, type TaskEnded, TaskKind } from "../session/taskMessages.ts";
import type { LineFormatter } from "../telemetry/eventLog.ts";
import type { LogFields } from "../telemetry/logger.ts";
import { logLine as line } from "./logLine.ts";

/** Longest name in a line; an operator may send one of any length. */
const maximumNameLength = 128;

/**
 * Formatters by message kind for what happens to single requests, which the load can multiply. No line contains a key of a
 * caller, a value or the text of a statement.
 */
export const requestLogFormatters: ReadonlyMap<string, LineFormatter> = new Map([
    line<TaskEnded>(TaskKind.Ended, ({ task, fault, detail }) =>
        fault === undefined ? undefined : {
            request: task.statement?.id,
            session: task.sessionId,
            workspace: task.workspace,
            service: task.service,
            mode: task.mode,
            fault,
            detail,
        }),
    line<TaskAttempted>(
        TaskKind.Attempted,
        ({ task, databaseId, reply, fault, sent }) =>
            reply !== undefined && reply.fault === undefined ? undefined : {
                request: task.statement?.id,
                mode: task.mode,
                database: databaseId,
                answered: reply !== undefined,
                fault: reply?.fault ?? fault,
                sent,
            },
    ),
    line<SchedulingRefused>(SchedulingKind.Refused, refused => ({
        database: refused.databaseId,
        reason: refused.reason,
        priority: refused.priority,
        window: refused.window,
        inFlight: refused.inFlight,
        slots: refused.slots,
        waiting: refused.waiting,
        drainMs: Math.round(refused.drainMs),
    })),
    line<SessionRefuse>(SessionKind.Refuse, ({ sessionId, fault, detail, proofAgeMs }) => ({
        session: sessionId,
        fault,
        detail,
        // Infinite without any proof, which JSON has no number for.
        proofAgeMs: proofAgeMs === undefined || !Number.isFinite(proofAgeMs) ? undefined : Math.round(proofAgeMs),
    })),
    line<SessionAnswer>(
        SessionKind.Answer,
        ({ sessionId, answer }) =>
            answer.fault === undefined || answer.position !== undefined
                ? undefined
                : { session: sessionId, fault: answer.fault, detail: answer.detail },
    ),
    line<SessionMessageRefused>(SessionKind.MessageRefused, ({ sessionId, defect, bytes }) => ({
        session: sessionId,
        defect,
        bytes,
    })),
    line<SessionAnswerRefused>(SessionKind.AnswerRefused, ({ sessionId, reason }) => ({ session: sessionId, reason })),
    line<LinkLost>(LinkKind.Lost, ({ linkId, loss, fault, defect }) => ({ link: linkId, loss, fault, defect })),
    line<LinkReplyDiscarded>(LinkKind.ReplyDiscarded, ({ linkId, databaseId, reason, fault }) => ({
        link: linkId,
        database: databaseId,
        reason,
        fault,
    })),
    line<DatabaseSuspected>(FleetKind.DatabaseSuspected, ({ databaseId }) => ({ database: databaseId })),
]);

/** Formatters by message kind for what is set up on links, of which a few lines a second are enough. */
export const linkLogFormatters: ReadonlyMap<string, LineFormatter> = new Map([
    line<LinkSend>(LinkKind.Send, ({ linkId, commands }) => {
        const prepare = commands.find(command => command.kind === LinkCommandKind.Prepare);
        return prepare === undefined ? undefined : {
            link: linkId,
            prepared: prepare.name,
            writes: prepare.prepared.writes,
            shapeBytes: prepare.prepared.shape.length,
        };
    }),
]);

/** Formatters by message kind for changes of state. They have a limit of their own, so that failures don't hide them. */
export const stateLogFormatters: ReadonlyMap<string, LineFormatter> = new Map([
    line<DatabaseChanged>(FleetKind.DatabaseChanged, ({ report }) => ({
        database: report.databaseId,
        service: report.service,
        address: report.address,
        state: report.state,
        leads: report.leads,
    })),
    line<DatabaseRemoved>(FleetKind.DatabaseRemoved, ({ databaseId }) => ({ database: databaseId })),
    line<PaceChanged>(SchedulingKind.PaceChanged, ({ databaseId, phase, window, slots, waiting }) => ({
        database: databaseId,
        phase,
        window,
        slots,
        waiting,
    })),
    line<FleetDrainStarted>(FleetKind.DrainStarted, ({ final, transactionsUntilMs }) => ({
        final,
        transactionsUntilMs: Math.round(transactionsUntilMs),
    })),
    line<FrameRefused>(FleetKind.FrameRefused, ({ attachmentId, reason }) => ({ attachment: attachmentId, reason })),
    line<PeerFrameRefused>(PeerKind.FrameRefused, ({ peer, reason }) => ({ peer, reason })),
    line<PeerLoadIgnored>(PeerKind.LoadIgnored, ({ peer }) => ({ peer })),
    line<ReadinessChanged>(FleetKind.ReadinessChanged, ({ ready }) => ({ ready })),
    // Control members accept hundreds of attachments, which the other side logs.
    line<Attached>(
        FleetKind.Attached,
        ({ attachmentId, address }) => address === undefined ? undefined : { attachment: attachmentId, address },
    ),
    line<Detached>(
        FleetKind.Detached,
        ({ attachmentId, reason }) => reason === undefined ? undefined : { attachment: attachmentId, reason },
    ),
    line<MembersKnown>(FleetKind.MembersKnown, ({ addresses }) => ({ members: addresses.join(",") })),
    line<DiscoveryProgressed>(FleetKind.DiscoveryProgressed, progress => ({
        searchedForMs: Math.round(progress.searchedForMs),
        addresses: progress.addresses.join(","),
        attached: progress.attachedMembers,
        asked: progress.askedInstances.join(","),
    })),
    line<FeedOpened>(FeedKind.Opened, ({ address, version }) => ({ from: address, version })),
    line<FeedLost>(FeedKind.Lost, ({ address, reason }) => ({ from: address, reason })),
    line<FeedReceived>(FeedKind.Received, ({ address, update }) => ({ from: address, ...versionsOf(update) })),
    line<ConfigurationApplied>(ClusterKind.ConfigurationApplied, ({ configuration }) => ({
        configuration: configuration.version,
        version: configuration.documentHeads[0]?.documentVersion,
    })),
    line<PolicyApplied>(FleetKind.PolicyApplied, ({ policy, confirmed, promoted, evacuated }) => ({
        version: policy.version,
        confirmed,
        promoted: [...promoted].map(([service, databaseId]) => `${service}=${databaseId}`).join(","),
        evacuated: evacuated === undefined || evacuated.size === 0 ? undefined : [...evacuated].join(","),
    })),
    line<EvacuationAnswered>(EvacuationKind.Answered, answered => {
        const { action, orderedBy, result, detail } = answered;
        const dataCentre = answered.dataCentre.slice(0, maximumNameLength);
        return result === EvacuationResult.Redirect ? undefined : { action, dataCentre, orderedBy, result, detail };
    }),
    line<ControlPropose>(ControlKind.Propose, ({ proposalId, command }) =>
        command.kind === CommandKind.PutDocument
            ? {
                proposal: proposalId,
                version: command.head.documentVersion,
                base: command.baseVersion,
                changed: command.upserts.length,
                removed: command.removals.length,
            }
            : { proposal: proposalId, command: command.kind }),
    line<ControlLeaderChanged>(ControlKind.LeaderChanged, ({ leading, term, leaderId }) => ({
        leading,
        term,
        leader: leaderId,
    })),
    line<ControlMembersAgreed>(ControlKind.MembersAgreed, ({ addresses }) => ({ members: addresses.join(",") })),
    line<StorageSuspended>(StorageKind.Suspended, ({ reason }) => ({ reason })),
    line<StorageResumed>(StorageKind.Resumed, () => ({})),
    line<PromotionProgressed>(PromotionKind.Progressed, progress => ({
        service: progress.service,
        phase: progress.phase,
        fence: progress.fence,
        database: progress.databaseId,
        wait: progress.wait,
        databases: progress.databases,
        acknowledged: progress.acknowledged,
        instances: progress.awaitedInstances.join(","),
    })),
]);

/** Formatters by message kind for the end of a stop, whose lines must not be displaced by the load of that moment. */
export const stopLogFormatters: ReadonlyMap<string, LineFormatter> = new Map([
    line<SessionStopProgressed>(
        SessionKind.StopProgressed,
        ({ phase, sessions, running, transactions, crossed }) => ({ phase, sessions, running, transactions, crossed }),
    ),
]);

/** Kinds that leave the pipes for good; the event loop shows observers only messages that a pipe accepts. */
export const loggedEffects: readonly string[] = [
    SessionKind.Answer,
    SessionKind.StopProgressed,
    LinkKind.ReplyDiscarded,
    LinkKind.Send,
    FleetKind.ReadinessChanged,
    FleetKind.MembersKnown,
    FleetKind.DiscoveryProgressed,
    PromotionKind.Progressed,
    PromotionKind.Decided,
    PromotionKind.DatabaseDropped,
    PromotionKind.Order,
    EvacuationKind.Answered,
    SchedulingKind.PaceChanged,
    SchedulingKind.Refused,
];

function versionsOf(update: ConfigurationUpdate): LogFields {
    return update.kind === UpdateKind.Snapshot
        ? { update: update.kind, configuration: update.configuration.version }
        : { update: update.kind, since: update.fromVersion, configuration: update.toVersion };
}
