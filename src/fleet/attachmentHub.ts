/**
 * The accepting side of attachments, on a control member: publishes its status, the reports of databases and the list
 * of instances to the attached instances and control members.
 */
import { match, P } from "ts-pattern";
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import { ControlKind, type ControlLeaderChanged, type ControlMembersAgreed } from "../model/controlMessages.ts";
import {
    type Attached,
    type DatabaseLeft,
    type DatabaseRemoved,
    type DatabaseReport,
    type DatabaseReported,
    type Detached,
    type FleetFrame,
    FleetKind,
    type FleetTimer,
    type FrameReceived,
} from "../model/fleetMessages.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { sendFrame } from "./attachments.ts";
import { ServingInstances } from "./servingInstances.ts";

/**
 * Minimum interval between two announcements of changes to all instances. Instances that start together are then
 * batched into a few announcements.
 */
const announcementIntervalMs = 250;

type HubInput =
    | Attached
    | Detached
    | FrameReceived
    | DatabaseReported
    | DatabaseLeft
    | DatabaseRemoved
    | ControlLeaderChanged
    | ControlMembersAgreed
    | ConfigurationApplied
    | FleetTimer;

type HelloFrame = Extract<FleetFrame, { readonly kind: "hello"; }>;

export class AttachmentHub implements Filter<HubInput, Message> {
    readonly step = "attachment_hub";
    readonly accepts = [
        FleetKind.Attached,
        FleetKind.Detached,
        FleetKind.FrameReceived,
        FleetKind.DatabaseReported,
        FleetKind.DatabaseLeft,
        FleetKind.DatabaseRemoved,
        FleetKind.AnnouncementDue,
        ControlKind.LeaderChanged,
        ControlKind.MembersAgreed,
        ClusterKind.ConfigurationApplied,
    ];
    private readonly instanceId: string;
    /** Accepted attachments on which no hello frame has arrived yet. */
    private readonly awaitingHello = new Set<string>();
    /** Attachments of instances that serve callers. */
    private readonly servingAttachments = new Set<string>();
    /** Instance ids of control members, by attachment. */
    private readonly memberAttachments = new Map<string, string>();
    /** Attachments that are subscribed to the list of instances. */
    private readonly listFollowers = new Set<string>();
    private readonly instances = new ServingInstances();
    /** Latest report of each database that reports to this member. */
    private readonly reportsByDatabase = new Map<string, DatabaseReport>();
    private members: readonly string[] = [];
    private leading = false;
    private term = 0;
    /** Undefined while no leader is known. */
    private leaderId: string | undefined;
    private configurationVersion = 0;
    private announcedVersion = 0;
    private lastAnnouncedAtMs = -Infinity;

    constructor({ instanceId }: { readonly instanceId: string; }) {
        this.instanceId = instanceId;
    }

    process(message: HubInput, nowMs: number): readonly Message[] {
        return match<HubInput, readonly Message[]>(message)
            .with({ kind: FleetKind.Attached, address: undefined }, matched => {
                this.awaitingHello.add(matched.attachmentId);
                return [];
            })
            .with({ kind: FleetKind.Attached }, matched => [matched])
            .with({ kind: FleetKind.Detached }, matched => [matched, ...this.detach(matched.attachmentId, nowMs)])
            .with(
                { kind: FleetKind.FrameReceived, frame: { kind: "hello" } },
                matched => [matched, ...this.acceptHello(matched.attachmentId, matched.frame, nowMs)],
            )
            .with({ kind: FleetKind.FrameReceived, frame: { kind: "leaving" } }, matched => {
                this.instances.remove(matched.attachmentId);
                return this.announceWhenDue(nowMs);
            })
            .with(
                { kind: FleetKind.FrameReceived, frame: { kind: "follow_instances" } },
                matched => this.follow(matched.attachmentId, matched.frame.followed),
            )
            .with(
                { kind: FleetKind.FrameReceived, frame: { kind: "status_asked" } },
                matched => [sendFrame(matched.attachmentId, this.status())],
            )
            .with({ kind: FleetKind.FrameReceived, frame: P.any }, matched => [matched])
            .with({ kind: FleetKind.DatabaseReported }, matched => this.publishReport(matched.report))
            .with({ kind: FleetKind.DatabaseLeft }, matched => this.publishDeparture(matched))
            .with({ kind: FleetKind.DatabaseRemoved }, matched => {
                this.reportsByDatabase.delete(matched.databaseId);
                return [matched];
            })
            .with(
                { kind: ControlKind.LeaderChanged },
                matched => {
                    this.leaderId = matched.leading ? this.instanceId : matched.leaderId;
                    return [matched, ...this.setLeader(matched.leading, matched.term)];
                },
            )
            .with({ kind: ControlKind.MembersAgreed }, matched => [matched, ...this.setMembers(matched.addresses)])
            .with({ kind: ClusterKind.ConfigurationApplied }, matched => {
                this.configurationVersion = matched.configuration.version;
                return [matched, ...this.announceWhenDue(nowMs)];
            })
            .otherwise(() => this.announce(nowMs));
    }

    private detach(attachmentId: string, nowMs: number): readonly Message[] {
        [this.awaitingHello, this.servingAttachments, this.memberAttachments, this.listFollowers].forEach(set =>
            set.delete(attachmentId)
        );
        this.instances.remove(attachmentId);
        return this.announceWhenDue(nowMs);
    }

    private acceptHello(
        attachmentId: string,
        { serves, leaving, instanceId, address, dataCentre }: HelloFrame,
        nowMs: number,
    ): readonly Message[] {
        if (!this.awaitingHello.delete(attachmentId)) {
            return [];
        }
        if (serves) {
            this.servingAttachments.add(attachmentId);
        }
        else {
            this.memberAttachments.set(attachmentId, instanceId);
        }
        const reports = [...this.reportsByDatabase.values()];
        const initialFrames = [
            sendFrame(attachmentId, this.status()),
            ...reports.length === 0 ? [] : [sendFrame(attachmentId, { kind: "databases", reports })],
        ];
        if (!serves || leaving) {
            return initialFrames;
        }
        this.instances.add(attachmentId, { instanceId, address, dataCentre });
        return [...initialFrames, ...this.announceWhenDue(nowMs)];
    }

    private follow(attachmentId: string, followed: boolean): readonly Message[] {
        if (!followed || !this.servingAttachments.has(attachmentId)) {
            this.listFollowers.delete(attachmentId);
            return [];
        }
        this.listFollowers.add(attachmentId);
        return [sendFrame(attachmentId, this.instances.announcedListFrame())];
    }

    private setLeader(leading: boolean, term: number): readonly Message[] {
        if (leading === this.leading && term === this.term) {
            return [];
        }
        this.leading = leading;
        this.term = term;
        return this.broadcastStatus();
    }

    private setMembers(members: readonly string[]): readonly Message[] {
        if (members.join() === this.members.join()) {
            return [];
        }
        this.members = members;
        return this.broadcastStatus();
    }

    private announceWhenDue(nowMs: number): readonly Message[] {
        if (!this.instances.hasChanges && this.announcedVersion === this.configurationVersion) {
            return [];
        }
        const dueMs = this.lastAnnouncedAtMs + announcementIntervalMs;
        return nowMs >= dueMs
            ? this.announce(nowMs)
            : [setDeadline("fleet.announcement", dueMs, { kind: FleetKind.AnnouncementDue })];
    }

    private announce(nowMs: number): readonly Message[] {
        this.lastAnnouncedAtMs = nowMs;
        const changes = this.instances.hasChanges ? send(this.listFollowers, this.instances.takeChanges()) : [];
        const version = this.configurationVersion;
        if (version === this.announcedVersion) {
            return changes;
        }
        this.announcedVersion = version;
        return [...changes, ...send(this.servingAttachments, { kind: "configuration", version })];
    }

    private publishReport(report: DatabaseReport): readonly Message[] {
        const previous = this.reportsByDatabase.get(report.databaseId);
        this.reportsByDatabase.set(report.databaseId, report);
        const changed = previous === undefined || hasChanged(report, previous);
        const frame: FleetFrame = { kind: "databases", reports: [report] };
        return changed ? this.broadcast(frame) : send(this.attachmentsOfLeader(), frame);
    }

    /**
     * Only a leader acts on the time of the last report, so it alone needs those that change nothing. Another member learns
     * the times after it is elected, before it judges them. All members, if none is known to lead.
     */
    private attachmentsOfLeader(): readonly string[] {
        return [...this.memberAttachments]
            .filter(([, instanceId]) => this.leaderId === undefined || instanceId === this.leaderId)
            .map(([attachmentId]) => attachmentId);
    }

    private publishDeparture({ databaseId, bornUnixMs }: DatabaseLeft): readonly Message[] {
        return this.broadcast({ kind: "database_left", databaseId, bornUnixMs });
    }

    private broadcastStatus(): readonly Message[] {
        this.announcedVersion = this.configurationVersion;
        return this.broadcast(this.status());
    }

    private status(): FleetFrame {
        const { instanceId, leading, term, members, configurationVersion, instances } = this;
        const instanceCount = instances.count;
        return {
            kind: "status",
            instanceId,
            leading,
            term,
            members,
            configurationVersion,
            instanceCount,
            grantsLeases: true,
        };
    }

    private broadcast(frame: FleetFrame): readonly Message[] {
        return [...send(this.memberAttachments.keys(), frame), ...send(this.servingAttachments, frame)];
    }
}

/** Whether a report tells more than that the database still runs, and goes on to warm up if it did. */
function hasChanged(report: DatabaseReport, previous: DatabaseReport): boolean {
    const contentOf = ({ coldLeftMs = 0, ...others }: DatabaseReport): string =>
        JSON.stringify({ ...others, sequence: 0, isCold: coldLeftMs > 0 });
    return contentOf(report) !== contentOf(previous);
}

function send(attachmentIds: Iterable<string>, frame: FleetFrame): readonly Message[] {
    return [...attachmentIds].map(attachmentId => sendFrame(attachmentId, frame));
}
