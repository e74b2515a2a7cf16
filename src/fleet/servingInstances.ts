/**
 * The instances that are attached to a control member and serve callers, and the list that it announced to its
 * followers.
 */
import type { FleetFrame, InstancesChangedFrame } from "../model/fleetMessages.ts";
import { isSameInstance, type PeerInstance } from "../model/peerMessages.ts";

export class ServingInstances {
    private readonly instances = new Map<string, PeerInstance>();
    /** Latest attachment of each instance; the end of an earlier one is ignored. */
    private readonly attachmentIdByInstance = new Map<string, string>();
    private readonly instanceIdByAttachment = new Map<string, string>();
    private readonly announced = new Map<string, PeerInstance>();
    private listFrame: FleetFrame | undefined;
    private readonly changed = new Set<string>();

    get count(): number {
        return this.instances.size;
    }

    get hasChanges(): boolean {
        return this.changed.size > 0;
    }

    add(attachmentId: string, instance: PeerInstance): void {
        const { instanceId } = instance;
        this.instances.set(instanceId, instance);
        this.attachmentIdByInstance.set(instanceId, attachmentId);
        this.instanceIdByAttachment.set(attachmentId, instanceId);
        this.updateChanged(instanceId);
    }

    remove(attachmentId: string): void {
        const instanceId = this.instanceIdByAttachment.get(attachmentId);
        this.instanceIdByAttachment.delete(attachmentId);
        if (instanceId === undefined || this.attachmentIdByInstance.get(instanceId) !== attachmentId) {
            return;
        }
        this.attachmentIdByInstance.delete(instanceId);
        this.instances.delete(instanceId);
        this.updateChanged(instanceId);
    }

    /**
     * The list as last announced. A new follower starts from this list and receives the next changes like all others.
     */
    announcedListFrame(): FleetFrame {
        // All followers share one frame object, so that it is encoded only once.
        this.listFrame ??= { kind: "instances", instances: [...this.announced.values()] };
        return this.listFrame;
    }

    /** The changes since the last call. */
    takeChanges(): InstancesChangedFrame {
        const ids = [...this.changed];
        this.changed.clear();
        const joined = ids.flatMap(instanceId => this.instances.get(instanceId) ?? []);
        const left = ids.filter(instanceId => !this.instances.has(instanceId));
        joined.forEach(instance => this.announced.set(instance.instanceId, instance));
        left.forEach(instanceId => this.announced.delete(instanceId));
        this.listFrame = undefined;
        return { kind: "instances_changed", joined, left };
    }

    /** An instance that left and came back between two announcements counts as unchanged. */
    private updateChanged(instanceId: string): void {
        if (isSameInstance(this.instances.get(instanceId), this.announced.get(instanceId))) {
            this.changed.delete(instanceId);
        }
        else {
            this.changed.add(instanceId);
        }
    }
}
