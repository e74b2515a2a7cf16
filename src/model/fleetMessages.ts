/**
 * Messages of the fleet pipe, and the frames that instances and control members exchange. An attachment is a long-lived
 * gRPC stream that an instance or a control member opens to a control member.
 */
import type { Message } from "../pipeline/message.ts";
import type { OmittedEntry } from "./document.ts";
import type { PeerInstance } from "./peerMessages.ts";
import type { Position } from "./position.ts";
import type { TrafficPolicy } from "./trafficPolicy.ts";

export const FleetKind = {
    /** A database sent its periodic report to this instance. */
    DatabaseReported: "fleet.database_reported",
    /** A database deregistered itself for good. */
    DatabaseLeft: "fleet.database_left",
    /** A report differs from the previous one of the database in more than its sequence. */
    DatabaseChanged: "fleet.database_changed",
    DatabaseRemoved: "fleet.database_removed",
    /** A control member has started; its disk lists databases that reported before. */
    DatabasesRemembered: "fleet.databases_remembered",
    /** The databases that a control member must remember over a restart changed. */
    DatabaseListChanged: "fleet.database_list_changed",
    DatabaseListDue: "fleet.database_list_due",
    /** A control member remembers a database that has not reported to anyone since. */
    DatabaseRecalled: "fleet.database_recalled",
    /** Recalled databases that have not reported in the meantime are forgotten. */
    RecallEnded: "fleet.recall_ended",
    /** The list of control members to attach to changed. */
    MembersKnown: "fleet.members_known",
    /** Makes the next step of the search for the control members. */
    DiscoveryDue: "fleet.discovery_due",
    /** No leader is known; tells what is tried, for the log. */
    DiscoveryProgressed: "fleet.discovery_progressed",
    Attached: "fleet.attached",
    Detached: "fleet.detached",
    /** A frame that arrived on an attachment. */
    FrameReceived: "fleet.frame_received",
    /** A malformed frame arrived on an attachment, which is closed. */
    FrameRefused: "fleet.frame_refused",
    SendFrame: "fleet.send_frame",
    PolicyApplied: "fleet.policy_applied",
    /** The policy lacks entries of the newest document, or all of it, because they cannot be decoded. */
    PolicyIncomplete: "fleet.policy_incomplete",
    /** The wait for a leader to confirm the first policy timed out; the unconfirmed policy takes effect. */
    ConfirmationDue: "fleet.confirmation_due",
    /** A caller would be refused because the policy lacks an entry, which needs a recent proof that it is the newest. */
    PolicyProofNeeded: "fleet.policy_proof_needed",
    PolicyProved: "fleet.policy_proved",
    /** A proof is needed, and no control leader is known that could give one. */
    PolicyProofUnavailable: "fleet.policy_proof_unavailable",
    /** A proof covers the policy that was applied before; publishes it after that policy. */
    PolicyProofDue: "fleet.policy_proof_due",
    /** The control leader may propose the next read barrier for the proofs that instances asked for. */
    ProofBarrierDue: "fleet.proof_barrier_due",
    ReadinessChanged: "fleet.readiness",
    /** The permits that this instance needs or holds for one workspace changed. */
    PermitsNeeded: "fleet.permits_needed",
    /** The control leader, which enforces the rates of workspaces, answered a permit request. */
    PermitsGranted: "fleet.permits_granted",
    /** No control leader is known, or it does not answer permit requests. */
    RateLeaderSilent: "fleet.rate_leader_silent",
    PermitRequestDue: "fleet.permit_ask_due",
    PermitCheckDue: "fleet.permit_check_due",
    /** The number of tasks changed that wait for the right to be sent to a cold database. */
    ColdNeeded: "fleet.cold_needed",
    /** The control leader allowed some of them. */
    ColdGranted: "fleet.cold_granted",
    ColdRequestDue: "fleet.cold_ask_due",
    /** A report that is newer than the previous one of its database arrived, whether or not its content changed. */
    DatabaseReportAccepted: "fleet.database_heard",
    /** The lease on acknowledgements of this instance was extended, or is needed from now on, or isn't any more. */
    LeaseChanged: "fleet.lease_changed",
    LeaseDue: "fleet.lease_due",
    ConfigurationLagCheckDue: "fleet.directory_due",
    /** A control member announces the changes since its last announcement to the attached instances. */
    AnnouncementDue: "fleet.announcement_due",
    /** An instance expires absent peers and checks which control member it gets the list of instances from. */
    InstancesCheckDue: "fleet.instances_due",
    /** A database does not answer on a link of this instance. */
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

/** The state that a database reports about itself. */
export interface DatabaseReport {
    readonly databaseId: string;
    readonly service: string;
    readonly address: string;
    readonly dataCentre: string;
    readonly slots: number;
    readonly state: ReportedState;
    /** The database considers itself the primary. */
    readonly leads: boolean;
    /** Increases with each report of one database process. */
    readonly sequence: number;
    /** Start time of the database process in Unix milliseconds; 0 if not reported. */
    readonly bornUnixMs: number;
    /** Time for which the database stays slow after its start, by its own estimate; undefined if it reported none. */
    readonly coldLeftMs?: number | undefined;
}

export interface DatabaseReported extends Message {
    readonly kind: typeof FleetKind.DatabaseReported;
    readonly report: DatabaseReport;
}

export interface DatabasesRemembered extends Message {
    readonly kind: typeof FleetKind.DatabasesRemembered;
    /** The last report of each database, with the sequence that it had when the list was written. */
    readonly reports: readonly DatabaseReport[];
}

export interface DatabaseListChanged extends Message {
    readonly kind: typeof FleetKind.DatabaseListChanged;
    readonly reports: readonly DatabaseReport[];
}

export interface DatabaseRecalled extends Message {
    readonly kind: typeof FleetKind.DatabaseRecalled;
    readonly report: DatabaseReport;
}

export interface RecallEnded extends Message {
    readonly kind: typeof FleetKind.RecallEnded;
}

export interface DatabaseLeft extends Message {
    readonly kind: typeof FleetKind.DatabaseLeft;
    readonly databaseId: string;
    /** Start time of the process that left, in Unix milliseconds; undefined if it is unknown. */
    readonly bornUnixMs: number | undefined;
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

export interface DiscoveryProgressed extends Message {
    readonly kind: typeof FleetKind.DiscoveryProgressed;
    readonly searchedForMs: number;
    /** `host:port` of the gRPC listeners that are tried. */
    readonly addresses: readonly string[];
    /** Number of members that answered on an attachment that is open. */
    readonly attachedMembers: number;
    /** `host:port` of the other instances that were asked for the members. */
    readonly askedInstances: readonly string[];
}

/** An attachment was opened by this process or accepted from another one. */
export interface Attached extends Message {
    readonly kind: typeof FleetKind.Attached;
    readonly attachmentId: string;
    /** `host:port` of the control member at the other end; undefined on the accepting side. */
    readonly address: string | undefined;
}

export interface Detached extends Message {
    readonly kind: typeof FleetKind.Detached;
    readonly attachmentId: string;
    /** Why the attaching side closed the attachment, for the log; undefined on the accepting side. */
    readonly reason?: string;
}

/**
 * Permit request of an instance for one workspace, sent as an array to save bytes: workspace name, waiting operations,
 * permits to prefetch beyond those, unused permits held, and operations that the instance admitted at the fallback rate
 * since the leader's first answer of this term.
 */
export type WorkspacePermitRequest = readonly [
    workspace: string,
    waiting: number,
    prefetch: number,
    held: number,
    fallbackUsed: number,
];

/**
 * Answer for one workspace: its name, the permits granted, and the milliseconds until the instance may request more.
 * The last two elements set the fallback rate that applies while the instance reaches no leader: its share of the
 * workspace's rate in millionths and its burst in hundredths of an operation. An omitted retry time is 0; without a
 * share, the fallback rate sent earlier stays in force.
 */
export type PermitAnswer = readonly [
    workspace: string,
    count: number,
    retryMs?: number,
    shareMillionths?: number,
    burstHundredths?: number,
];

/** Instances that joined or changed their address, and ids of those that left or whose attachments ended. */
export interface InstancesChangedFrame {
    readonly kind: "instances_changed";
    readonly joined: readonly PeerInstance[];
    readonly left: readonly string[];
}

/**
 * The commits of a service that a process of an instance has seen acknowledged. It does not cover earlier processes of
 * the same instance.
 */
export interface CommitsSeenFrame {
    readonly kind: "commits_seen";
    /** Id of the question that this frame answers; answers to earlier questions are ignored. */
    readonly questionId: string;
    readonly service: string;
    /**
     * Position with which a database answered the last acknowledged commit; undefined if the process has seen none. The log
     * may have had later commits by then, which were not acknowledged.
     */
    readonly highest: Position | undefined;
    /** Position that the acknowledged commits have certainly reached; undefined if unknown. */
    readonly reached?: Position | undefined;
    /** Upper bound of the time since that commit was sent; undefined if another instance sent it to the database. */
    readonly sentAgeMs: number | undefined;
    /** Time since the process began to record commits. */
    readonly watchedMs: number;
}

/** A frame on an attachment. The attaching side sends "hello" first, and the accepting member answers with "status". */
export type FleetFrame =
    | {
        readonly kind: "hello";
        readonly instanceId: string;
        /** The sender serves callers; false for control members. */
        readonly serves: boolean;
        /** The sender is shutting down and accepts no more tasks from other instances. */
        readonly leaving: boolean;
        readonly dataCentre: string;
        /** `host:port` of the sender's gRPC listener. */
        readonly address: string;
        /** The release of the sender knows evacuations; undefined in the frames of earlier ones. */
        readonly knowsEvacuations?: boolean | undefined;
    }
    /** The instance is shutting down and accepts no more tasks from other instances. */
    | { readonly kind: "leaving"; }
    /**
     * Subscribes to the member's list of instances or ends the subscription. The member sends the full list, then
     * changes. An instance follows one member at a time.
     */
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
        /** The release of the member grants leases on acknowledgements; undefined in the frames of earlier ones. */
        readonly grantsLeases?: boolean | undefined;
    }
    /** Requests the current status of a member. */
    | { readonly kind: "status_asked"; }
    | { readonly kind: "configuration"; readonly version: number; }
    | { readonly kind: "databases"; readonly reports: readonly DatabaseReport[]; }
    /** Requests the databases that the member remembers from before its start. A member without any does not answer. */
    | { readonly kind: "remembered_asked"; }
    | { readonly kind: "remembered"; readonly reports: readonly DatabaseReport[]; }
    | {
        readonly kind: "database_left";
        readonly databaseId: string;
        /** Start time of the process that left, in Unix milliseconds; undefined if it is unknown. */
        readonly bornUnixMs: number | undefined;
    }
    /** Permit request of an instance to the control leader. */
    | {
        readonly kind: "want";
        /** Increases with each request of a process. */
        readonly sequence: number;
        /** Sequence of the last request that was answered; 0 before the first answer. */
        readonly heard: number;
        /** Control term of the last answer; 0 before the first answer. */
        readonly term: number;
        /** Workspaces whose need changed since the last request. */
        readonly wants: readonly WorkspacePermitRequest[];
    }
    /** Answer of the control leader to a permit request. */
    | {
        readonly kind: "permits";
        /** Control term of the leader. */
        readonly term: number;
        /** Sequence of the request. */
        readonly sequence: number;
        readonly answers: readonly PermitAnswer[];
    }
    /** Asks the control leader for the right to send tasks to cold databases: database id and number of tasks. */
    | {
        readonly kind: "cold_want";
        /** Increases with each request of a process. */
        readonly sequence: number;
        readonly wants: readonly (readonly [databaseId: string, count: number])[];
    }
    /** Answer of the control leader to such a request. */
    | {
        readonly kind: "cold_grant";
        /** Sequence of the request. */
        readonly sequence: number;
        /** Time from the sending of the request in which the tasks may be sent. */
        readonly validMs: number;
        readonly grants: readonly (readonly [databaseId: string, count: number])[];
    }
    /** Asks the control leader for a lease on acknowledgements. */
    | {
        readonly kind: "lease_asked";
        /** Increases with each request of a process. */
        readonly sequence: number;
    }
    | {
        readonly kind: "lease_granted";
        /** Sequence of the request. */
        readonly sequence: number;
        /** Time from the sending of the request. */
        readonly validMs: number;
    }
    /** Reports to the control leader that a database does not answer. */
    | { readonly kind: "suspect"; readonly databaseId: string; }
    /** Asks an instance how it reaches a suspected primary. */
    | { readonly kind: "assess"; readonly databaseId: string; }
    | {
        readonly kind: "assessment";
        readonly databaseId: string;
        /** Age of the last answer of the database to this instance; undefined if there was none. */
        readonly answeredAgeMs: number | undefined;
        /** Age of the oldest request to the database that is unanswered or has failed since its last answer. */
        readonly unansweredAgeMs: number | undefined;
    }
    /** Asks the control leader to prove which version of the configuration is the newest. */
    | { readonly kind: "proof_asked"; readonly questionId: string; }
    /** No version newer than this one had been acknowledged when the question arrived. */
    | { readonly kind: "proof"; readonly questionId: string; readonly configurationVersion: number; }
    /**
     * Asks an instance for the commits that it has seen acknowledged. From its answer on, the instance passes no
     * acknowledgement of the service on until the promotion is complete, except those of the ordered database.
     */
    | {
        readonly kind: "commits_asked";
        readonly questionId: string;
        readonly service: string;
        /** Fencing token of the promotion that asks; undefined if a leader of an earlier version asks. */
        readonly fence: number | undefined;
    }
    | CommitsSeenFrame;

export interface FrameReceived extends Message {
    readonly kind: typeof FleetKind.FrameReceived;
    readonly attachmentId: string;
    readonly frame: FleetFrame;
}

export interface FrameRefused extends Message {
    readonly kind: typeof FleetKind.FrameRefused;
    readonly attachmentId: string;
    readonly reason: string;
}

export interface SendFrame extends Message {
    readonly kind: typeof FleetKind.SendFrame;
    readonly attachmentId: string;
    readonly frame: FleetFrame;
}

export interface PolicyApplied extends Message {
    readonly kind: typeof FleetKind.PolicyApplied;
    readonly policy: TrafficPolicy;
    /** The newest document cannot be decoded, so the policy is that of an earlier one, or the empty one. */
    readonly outdated?: boolean;
    /** Since this process started, a control leader has confirmed that the policy was up to date. For the log. */
    readonly confirmed: boolean;
    /** Database that the last promotion made the primary, or is about to, by service. */
    readonly promoted: ReadonlyMap<string, string>;
    /**
     * Database that was ordered to take the lead and hasn't been seen to, by service. Commits that another database
     * acknowledges meanwhile are lost when it does.
     */
    readonly ordered: ReadonlyMap<string, string>;
    /** Fencing token of each of these orders, by service; undefined if there are none. */
    readonly orderedFences?: ReadonlyMap<string, number>;
    /** Fencing token of the last promotion, by service, unless that one is under way. */
    readonly completedFences: ReadonlyMap<string, number>;
    /** Data centres whose databases get no more work, by order of an operator; undefined if there are none. */
    readonly evacuated?: ReadonlySet<string>;
}

export interface LeaseChanged extends Message {
    readonly kind: typeof FleetKind.LeaseChanged;
    /** Time until which this instance may pass acknowledgements of commits on; Infinity if it needs no lease. */
    readonly untilMs: number;
}

export interface ReadinessChanged extends Message {
    readonly kind: typeof FleetKind.ReadinessChanged;
    readonly ready: boolean;
}

export interface PermitsNeeded extends Message {
    readonly kind: typeof FleetKind.PermitsNeeded;
    readonly workspace: string;
    /** Waiting operations for which permits may be requested now. */
    readonly waiting: number;
    /** Permits wanted beyond those, for operations expected soon. */
    readonly prefetch: number;
    /** Unused permits that are still valid. */
    readonly held: number;
    /** Operations admitted at the fallback rate since this process started. */
    readonly fallbackUsed: number;
}

export interface PermitGrant {
    readonly workspace: string;
    readonly count: number;
    /** Time until more permits may be requested; 0 if all waiting operations got one. */
    readonly retryMs: number;
    /** Fallback rate while no leader answers; undefined if the previous one stays in force. */
    readonly fallback: {
        /** Fraction of the workspace's rate. */
        readonly share: number;
        /** Operations that may run at once, in addition to the rate. */
        readonly burst: number;
    } | undefined;
}

export interface PermitsGranted extends Message {
    readonly kind: typeof FleetKind.PermitsGranted;
    readonly grants: readonly PermitGrant[];
    readonly validUntilMs: number;
}

export interface ColdNeeded extends Message {
    readonly kind: typeof FleetKind.ColdNeeded;
    readonly databaseId: string;
    /** Tasks that wait now. */
    readonly waiting: number;
}

export interface ColdGranted extends Message {
    readonly kind: typeof FleetKind.ColdGranted;
    readonly grants: readonly { readonly databaseId: string; readonly count: number; }[];
    /** Time at which the request was sent. */
    readonly askedMs: number;
    readonly validUntilMs: number;
}

export interface RateLeaderSilent extends Message {
    readonly kind: typeof FleetKind.RateLeaderSilent;
}

export interface PolicyIncomplete extends Message {
    readonly kind: typeof FleetKind.PolicyIncomplete;
    readonly documentVersion: number;
    /** Version of the document in force; 0 if this process has not decoded one yet. */
    readonly versionInForce: number;
    readonly omittedEntries: readonly OmittedEntry[];
}

export interface PolicyProofNeeded extends Message {
    readonly kind: typeof FleetKind.PolicyProofNeeded;
}

export interface PolicyProved extends Message {
    readonly kind: typeof FleetKind.PolicyProved;
    /** Time at which the policy in effect was the newest one: every change acknowledged before is part of it. */
    readonly provedAtMs: number;
}

export interface PolicyProofUnavailable extends Message {
    readonly kind: typeof FleetKind.PolicyProofUnavailable;
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
        | typeof FleetKind.ColdRequestDue
        | typeof FleetKind.LeaseDue
        | typeof FleetKind.ConfigurationLagCheckDue
        | typeof FleetKind.AnnouncementDue
        | typeof FleetKind.InstancesCheckDue
        | typeof FleetKind.DiscoveryDue
        | typeof FleetKind.ConfirmationDue
        | typeof FleetKind.PolicyProofDue
        | typeof FleetKind.ProofBarrierDue
        | typeof FleetKind.DatabaseListDue;
}

export interface DatabaseSuspected extends Message {
    readonly kind: typeof FleetKind.DatabaseSuspected;
    readonly databaseId: string;
    /** Address of the instance whose link failed; undefined for this instance. */
    readonly address: string | undefined;
    /** A statement was sent to the database. If false, the instance itself may be the one that is disconnected. */
    readonly sent: boolean;
}

export interface AssessmentRequested extends Message {
    readonly kind: typeof FleetKind.AssessmentRequested;
    readonly attachmentId: string;
    readonly databaseId: string;
}

/** The instance shuts down gracefully. */
export interface FleetDrainStarted extends Message {
    readonly kind: typeof FleetKind.DrainStarted;
    /** Time until which open transactions may continue. */
    readonly transactionsUntilMs: number;
    /** Time by which every request has its final answer. */
    readonly answersUntilMs: number;
    /**
     * No new callers arrive any more: idle sessions are closed, and the instance stops with its last session. While
     * false, idle sessions stay open, because a caller that reconnects may reach this instance again.
     */
    readonly final: boolean;
}

export interface FleetDrained extends Message {
    readonly kind: typeof FleetKind.Drained;
}
