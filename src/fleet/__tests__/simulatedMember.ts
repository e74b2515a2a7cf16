/** One process of a control member: its filters, with timers, links and streams of their own. */
import { DeadlineQueue } from "../../pipeline/deadlineQueue.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { AttachmentHub } from "../attachmentHub.ts";
import { FleetDatabaseDirectory } from "../fleetDatabaseDirectory.ts";
import { Promotions } from "../promotions.ts";
import type { SimulatedDatabase } from "./simulatedDatabase.ts";
import type { SimulatedInstance } from "./simulatedInstance.ts";

export class SimulatedMember {
    readonly memberId: string;
    readonly deadlines = new DeadlineQueue();
    readonly links = new Map<string, SimulatedDatabase | undefined>();
    /** Attachment ids of the instances that are attached. */
    readonly attachments = new Map<SimulatedInstance, string>();
    running = true;
    /** The process believes that it leads. */
    leads = false;
    /** Nothing passes between this member and the others. */
    cutFromMembers = false;
    /** Index of the newest command whose effect it has applied. */
    appliedIndex = 0;
    readonly pipe: Pipe;
    /** What has arrived at a process that stands still; undefined while it goes on. */
    private arrived: (() => void)[] | undefined;

    /** @param passesReportsOn there are other members */
    constructor(memberId: string, reportIntervalMs: number, passesReportsOn: boolean) {
        this.memberId = memberId;
        this.pipe = new Pipe("fleet", [
            new FleetDatabaseDirectory(),
            ...passesReportsOn ? [new AttachmentHub({ instanceId: memberId })] : [],
            new Promotions({ reportIntervalMs }),
        ]);
    }

    get standsStill(): boolean {
        return this.arrived !== undefined;
    }

    standStill(): void {
        this.arrived ??= [];
    }

    /** What has arrived meanwhile, in order. */
    wake(): readonly (() => void)[] {
        const { arrived = [] } = this;
        this.arrived = undefined;
        return arrived;
    }

    /** Something has arrived at the process. */
    arrive(action: () => void): void {
        if (this.arrived !== undefined) {
            this.arrived.push(action);
        }
        else if (this.running) {
            action();
        }
    }
}
