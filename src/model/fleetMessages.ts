/** Messages between instances and control members over their attachments, and about what those carry. */
import type { Message } from "../pipeline/message.ts";
import type { PeerInstance } from "./peerMessages.ts";
import type { Position } from "./position.ts";
import type { TrafficPolicy } from "./trafficPolicy.ts";

export const FleetKind = {
    /** A database said what it is. */
    DatabaseReported: "fleet.database_reported",
    /** A database left for good. */
    DatabaseLeft: "fleet.database_left",
    /** What is known of one database changed. */
    DatabaseChanged: "fleet.database_changed",
    DatabaseRemoved: "fleet.database_removed",
    /** The control members to attach to. */
    MembersKnown: "fleet.members_known",
    Attached: "fleet.attached",
    Detached: "fleet.detached",
    /** A frame that arrived on an attachment. */
    FrameReceived: "fleet.frame_received",
    SendFrame: "fleet.send_frame",
    PolicyApplied: "fleet.policy_applied",
    /** A policy that no leader has confirmed is due to be used. */
    ConfirmationDue: "fleet.confirmation_due",
    /** Something about the readiness of this instance changed. */
    ReadinessChanged: "fleet.readiness",
    /** What an instance holds and lacks of one workspace's permits changed. */
    PermitsNeeded: "fleet.permits_needed",
    /** The leader of the rates answered. */
    PermitsGranted: "fleet.permits_granted",
    /** No leader of the rates is known, or it does not answer. */
    RateLeaderSilent: "fleet.rate_leader_silent",
    PermitRequestDue: "fleet.permit_ask_due",
    PermitCheckDue: "fleet.permit_check_due",
    /** A database reported, changed or not. */
    DatabaseReportAccepted: "fleet.database_heard",
    ConfigurationLagCheckDue: "fleet.directory_due",
    /** Attached instances are due to hear what changed at a member. */
    AnnouncementDue: "fleet.announcement_due",
    /** The list of instances, or the member that it comes from, is due to be looked at. */
    InstancesCheckDue: "fleet.instances_due",
    /** A link of this instance met a database that does not answer. */
    DatabaseSuspected: "fleet.database_suspected",
    AssessmentRequested: "fleet.assessment_asked",
    DrainStarted: "fleet.drain_started",
    Drained: "fleet.drained",
} as const;

export const ReportedState = {
    Ready: "ready",
    Draining: "draining",
} as const;
export type ReportedState = typeof ReportedState[keyof typeof ReportedState];

/** What a database says of itself. */
export interface DatabaseReport {
    readonly databaseId: string;
    readonly service: string;
    readonly address: string;
    readonly dataCentre: string;
    readonly slots: number;
    readonly state: ReportedState;
    /** It considers itself the primary. */
    readonly leads: boolean;
    /** Rises with each report of one start of the database. */
    readonly sequence: number;
    /** Unix milliseconds of its start; 0 when it does not say. */
    readonly bornUnixMs: number;
}

export interface DatabaseReported extends Message {
    readonly kind: typeof FleetKind.DatabaseReported;
    readonly report: DatabaseReport;
}

export interface DatabaseLeft extends Message {
    readonly kind: typeof FleetKind.DatabaseLeft;
    readonly databaseId: string;
}

export interface DatabaseChanged extends Message {
    readonly kind: typeof FleetKind.DatabaseChanged;
    readonly report: DatabaseReport;
}

export interface DatabaseRemoved extends Message {
    readonly kind: typeof FleetKind.DatabaseRemoved;
    readonly databaseId: string;
}

export interface MembersKnown extends Message {
    readonly kind: typeof FleetKind.MembersKnown;
    /** `host:port` of gRPC listeners. */
    readonly addresses: readonly string[];
}

/** An attachment was opened, by either side. */
export interface Attached extends Message {
    readonly kind: typeof FleetKind.Attached;
    readonly attachmentId: string;
    /** `host:port` of the control member at the other end; undefined on the accepting side. */
    readonly address: string | undefined;
}

export interface Detached extends Message {
    readonly kind: typeof FleetKind.Detached;
    readonly attachmentId: string;
}

/**
 * What an instance says of one workspace, as an array because many are sent: its name, operations that wait, permits
 * wanted beyond those, permits held, and operations that ran at the fallback rate since the first answer of this term.
 */
export type WorkspacePermitRequest = readonly [
    workspace: string,
    waiting: number,
    prefetch: number,
    held: number,
    fallbackUsed: number,
];

/**
 * An answer for one workspace: its name, permits, milliseconds until more may be asked for, and for a time without a
 * leader the instance's share of the rate in millionths and operations at once in hundredths. What is left out is 0; the
 * last two are left out when what was told before goes on.
 */
export type PermitAnswer = readonly [
    workspace: string,
    count: number,
    retryMs?: number,
    shareMillionths?: number,
    burstHundredths?: number,
];

/** Instances that came, or came back with another address, and ids of those whose attachments ended. */
export interface InstancesChangedFrame {
    readonly kind: "instances_changed";
    readonly joined: readonly PeerInstance[];
    readonly left: readonly string[];
}

/** What an instance knows of the commits of a service. It says nothing of earlier processes under its id. */
export interface CommitsSeenFrame {
    readonly kind: "commits_seen";
    /** Of the question, so that answers to earlier ones don't count. */
    readonly questionId: string;
    readonly service: string;
    /** Highest position of a commit that this process has seen acknowledged; undefined when it has seen none. */
    readonly highest: Position | undefined;
    /** Time since that commit was sent, or more; undefined when it ran on a link of another instance. */
    readonly sentAgeMs: number | undefined;
    /** Time since this process began to watch. */
    readonly watchedMs: number;
}

/** A frame of an attachment. The attaching side sends hello first, the accepting side answers with status. */
export type FleetFrame =
    | {
        readonly kind: "hello";
        readonly instanceId: string;
        /** It serves callers. */
        readonly serves: boolean;
        /** It stops and takes no more tasks of others. */
        readonly leaving: boolean;
        readonly dataCentre: string;
        /** `host:port` of its gRPC listener. */
        readonly address: string;
    }
    /** The instance stops and takes no more tasks of others. */
    | { readonly kind: "leaving"; }
    /** Starts or ends the list of instances: a whole one, then differences. An instance follows one member at a time. */
    | { readonly kind: "follow_instances"; readonly followed: boolean; }
    | { readonly kind: "instances"; readonly instances: readonly PeerInstance[]; }
    | InstancesChangedFrame
    | {
        readonly kind: "status";
        readonly instanceId: string;
        readonly leading: boolean;
        readonly term: number;
        readonly members: readonly string[];
        readonly configurationVersion: number;
        /** Instances that serve callers and are attached to the member. */
        readonly instanceCount: number;
    }
    /** Asks a member for its status as it is now. */
    | { readonly kind: "status_asked"; }
    | { readonly kind: "configuration"; readonly version: number; }
    | { readonly kind: "databases"; readonly reports: readonly DatabaseReport[]; }
    | { readonly kind: "database_left"; readonly databaseId: string; }
    | {
        readonly kind: "want";
        /** Rises with each question of a process. */
        readonly sequence: number;
        /** Sequence of the last question that was answered; 0 before. */
        readonly heard: number;
        /** Control term of the last answer; 0 before. */
        readonly term: number;
        /** Workspaces about which something changed. */
        readonly wants: readonly WorkspacePermitRequest[];
    }
    | {
        readonly kind: "permits";
        /** Control term of the leader. */
        readonly term: number;
        /** Of the question. */
        readonly sequence: number;
        readonly answers: readonly PermitAnswer[];
    }
    | { readonly kind: "suspect"; readonly databaseId: string; }
    | { readonly kind: "assess"; readonly databaseId: string; }
    | {
        readonly kind: "assessment";
        readonly databaseId: string;
        /** Age of the last answer of the database to this instance; undefined when there was none. */
        readonly answeredAgeMs: number | undefined;
        /** Age of the oldest request to it that is unanswered or failed since its last answer. */
        readonly unansweredAgeMs: number | undefined;
    }
    /** Asks an instance for the commits that it has seen acknowledged. */
    | { readonly kind: "commits_asked"; readonly questionId: string; readonly service: string; }
    | CommitsSeenFrame;

export interface FrameReceived extends Message {
    readonly kind: typeof FleetKind.FrameReceived;
    readonly attachmentId: string;
    readonly frame: FleetFrame;
}

export interface SendFrame extends Message {
    readonly kind: typeof FleetKind.SendFrame;
    readonly attachmentId: string;
    readonly frame: FleetFrame;
}

export interface PolicyApplied extends Message {
    readonly kind: typeof FleetKind.PolicyApplied;
    readonly policy: TrafficPolicy;
    /**
     * Since the start of this process, a control leader has said that nothing newer was in force. Until then nobody is
     * refused for what the policy lacks.
     */
    readonly confirmed: boolean;
    /** Database chosen by the last completed promotion, by service. */
    readonly promoted: ReadonlyMap<string, string>;
}

export interface ReadinessChanged extends Message {
    readonly kind: typeof FleetKind.ReadinessChanged;
    readonly ready: boolean;
}

export interface PermitsNeeded extends Message {
    readonly kind: typeof FleetKind.PermitsNeeded;
    readonly workspace: string;
    /** Operations for which permits may be asked for now. */
    readonly waiting: number;
    /** Permits wanted beyond those. */
    readonly prefetch: number;
    readonly held: number;
    /** Operations that ran at the fallback rate since the start of this process. */
    readonly fallbackUsed: number;
}

export interface PermitGrant {
    readonly workspace: string;
    readonly count: number;
    /** Time until more may be asked for; 0 when nothing is missing. */
    readonly retryMs: number;
    /** Undefined when what was told before goes on. */
    readonly fallback: {
        /** Part of the rate. */
        readonly share: number;
        /** Operations at once, beside what the rate brings. */
        readonly burst: number;
    } | undefined;
}

export interface PermitsGranted extends Message {
    readonly kind: typeof FleetKind.PermitsGranted;
    readonly grants: readonly PermitGrant[];
    readonly validUntilMs: number;
}

export interface RateLeaderSilent extends Message {
    readonly kind: typeof FleetKind.RateLeaderSilent;
}

export interface DatabaseReportAccepted extends Message {
    readonly kind: typeof FleetKind.DatabaseReportAccepted;
    readonly databaseId: string;
}

/** A timer of the fleet pipe. */
export interface FleetTimer extends Message {
    readonly kind:
        | typeof FleetKind.PermitRequestDue
        | typeof FleetKind.PermitCheckDue
        | typeof FleetKind.ConfigurationLagCheckDue
        | typeof FleetKind.AnnouncementDue
        | typeof FleetKind.InstancesCheckDue
        | typeof FleetKind.ConfirmationDue;
}

export interface DatabaseSuspected extends Message {
    readonly kind: typeof FleetKind.DatabaseSuspected;
    readonly databaseId: string;
    /** The instance whose link it was; undefined for this one. */
    readonly address: string | undefined;
    /** A statement reached the database, or may have; otherwise that instance may be the one that is cut off. */
    readonly sent: boolean;
}

export interface AssessmentRequested extends Message {
    readonly kind: typeof FleetKind.AssessmentRequested;
    readonly attachmentId: string;
    readonly databaseId: string;
}

/** The instance stops. */
export interface FleetDrainStarted extends Message {
    readonly kind: typeof FleetKind.DrainStarted;
    /** Open transactions may go on until then. */
    readonly transactionsUntilMs: number;
    /** Every request has its final answer by then. */
    readonly answersUntilMs: number;
    /**
     * Callers no longer arrive; idle sessions are closed, and the instance ends with its last session. Before, idle
     * sessions stay open, because a caller that reconnects may come back here.
     */
    readonly final: boolean;
}

export interface FleetDrained extends Message {
    readonly kind: typeof FleetKind.Drained;
}
