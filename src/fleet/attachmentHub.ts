/** The accepting side of attachments, on control members: tells the others who leads and which databases report here. */
import { match, P } from "ts-pattern";
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import { ControlKind, type ControlLeaderChanged, type ControlMembersAgreed } from "../model/controlMessages.ts";
import {
    type Attached,
    type DatabaseLeft,
    type DatabaseReport,
    type DatabaseReported,
    type Detached,
    type FleetFrame,
    FleetKind,
    type FrameReceived,
} from "../model/fleetMessages.ts";
import type { PeerInstance } from "../model/peerMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { sendFrame } from "./attachments.ts";

type HubInput =
    | Attached
    | Detached
    | FrameReceived
    | DatabaseReported
    | DatabaseLeft
    | ControlLeaderChanged
    | ControlMembersAgreed
    | ConfigurationApplied;

type HelloFrame = Extract<FleetFrame, { readonly kind: "hello"; }>;

interface Heard {
    readonly report: DatabaseReport;
    readonly heardMs: number;
}

export class AttachmentHub implements Filter<HubInput, Message> {
    readonly step = "attachment_hub";
    readonly accepts = [
        FleetKind.Attached,
        FleetKind.Detached,
        FleetKind.FrameReceived,
        FleetKind.DatabaseReported,
        FleetKind.DatabaseLeft,
        ControlKind.LeaderChanged,
        ControlKind.MembersAgreed,
        ClusterKind.ConfigurationApplied,
    ];
    private readonly instanceId: string;
    /** Whether each attachment serves callers; undefined until its hello. */
    private readonly attachments = new Map<string, boolean | undefined>();
    private readonly instances = new Map<string, PeerInstance>();
    /** Databases that reported to this instance. */
    private readonly heard = new Map<string, Heard>();
    private members: readonly string[] = [];
    private leading = false;
    private term = 0;
    private configurationVersion = 0;

    constructor({ instanceId }: { readonly instanceId: string; }) {
        this.instanceId = instanceId;
    }

    process(message: HubInput, nowMs: number): readonly Message[] {
        return match<HubInput, readonly Message[]>(message)
            .with({ kind: FleetKind.Attached, address: undefined }, found => {
                this.attachments.set(found.attachmentId, undefined);
                return [];
            })
            .with({ kind: FleetKind.Attached }, found => [found])
            .with({ kind: FleetKind.Detached }, found => {
                this.attachments.delete(found.attachmentId);
                const served = this.instances.delete(found.attachmentId);
                return [found, ...served ? this.broadcast(this.instanceList()) : []];
            })
            .with(
                { kind: FleetKind.FrameReceived, frame: { kind: "hello" } },
                found => [found, ...this.greet(found.attachmentId, found.frame, nowMs)],
            )
            .with({ kind: FleetKind.FrameReceived, frame: { kind: "leaving" } }, found => {
                const served = this.instances.delete(found.attachmentId);
                return served ? this.broadcast(this.instanceList()) : [];
            })
            .with({ kind: FleetKind.FrameReceived, frame: P.any }, found => [found])
            .with({ kind: FleetKind.DatabaseReported }, found => this.publish(found.report, nowMs))
            .with({ kind: FleetKind.DatabaseLeft }, found => this.publishLeft(found.databaseId))
            .with({ kind: ControlKind.LeaderChanged }, found => {
                this.leading = found.leading;
                this.term = found.term;
                return [found, ...this.broadcast(this.status())];
            })
            .with({ kind: ControlKind.MembersAgreed }, found => {
                this.members = found.addresses;
                return [found, ...this.broadcast(this.status())];
            })
            .with({ kind: ClusterKind.ConfigurationApplied }, found => {
                this.configurationVersion = found.configuration.version;
                return [found, ...this.broadcast(this.status())];
            })
            .exhaustive();
    }

    private greet(
        attachmentId: string,
        { serves, instanceId, address, dataCentre }: HelloFrame,
        nowMs: number,
    ): readonly Message[] {
        if (!this.attachments.has(attachmentId)) {
            return [];
        }
        this.attachments.set(attachmentId, serves);
        const databases = [...this.heard.values()].map(({ report, heardMs }): FleetFrame => ({
            kind: "database",
            report,
            ageMs: nowMs - heardMs,
        }));
        const greeting = [this.status(), ...databases].map(frame => sendFrame(attachmentId, frame));
        if (!serves) {
            return greeting;
        }
        this.instances.set(attachmentId, { instanceId, address, dataCentre });
        return [...greeting, ...this.broadcast(this.instanceList())];
    }

    private instanceList(): FleetFrame {
        const byId = new Map([...this.instances.values()].map(instance => [instance.instanceId, instance]));
        return { kind: "instances", instances: [...byId.values()] };
    }

    private publish(report: DatabaseReport, nowMs: number): readonly Message[] {
        const known = this.heard.get(report.databaseId)?.report;
        this.heard.set(report.databaseId, { report, heardMs: nowMs });
        const changed = known === undefined
            || JSON.stringify({ ...known, sequence: 0 }) !== JSON.stringify({ ...report, sequence: 0 });
        const frame: FleetFrame = { kind: "database", report, ageMs: 0 };
        // Control members follow how recently a database reported; instances only need what changed.
        return [...this.attachments].filter(([, serves]) => changed || serves === false)
            .map(([attachmentId]) => sendFrame(attachmentId, frame));
    }

    private publishLeft(databaseId: string): readonly Message[] {
        this.heard.delete(databaseId);
        return this.broadcast({ kind: "database_left", databaseId });
    }

    private status(): FleetFrame {
        const { instanceId, leading, term, members, configurationVersion } = this;
        return { kind: "status", instanceId, leading, term, members, configurationVersion };
    }

    private broadcast(frame: FleetFrame): readonly Message[] {
        return [...this.attachments].filter(([, serves]) => serves !== undefined)
            .map(([attachmentId]) => sendFrame(attachmentId, frame));
    }
}
