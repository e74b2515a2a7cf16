/**
 * The instances that may have passed on the acknowledgement of a commit. An instance stays a witness when its
 * attachment ends, and the replicated state names the witnesses, so that a new leader knows them too.
 */
import { formerLeaderMs, leaseEndMs } from "../model/acknowledgementLease.ts";
import type { CommitWitness } from "../model/promotion.ts";
import { fallbackLimitMs } from "../model/rateLimits.ts";

/** Longest time for which an operation may go on after its admission, with all statements and pauses. */
const operationLimitMs = 60_000;

/**
 * Time for which an instance without a leader may go on to send commits: it admits operations for `fallbackLimitMs`.
 */
export const commitHorizonMs = fallbackLimitMs + operationLimitMs;

/** Absence after which an instance is taken off the record: it has been replaced under another name. */
const retirementMs = 15 * 60_000;

/** An attached instance that serves callers. */
export interface ServingInstance {
    readonly instanceId: string;
    readonly attachedAtMs: number;
}

/** An instance that cannot be asked. */
export interface AbsentWitness {
    readonly instanceId: string;
    /** Time until which it may have sent commits that it was told were acknowledged. */
    readonly mayHaveSentUntilMs: number;
}

/** A lease that an instance may hold. */
export interface WitnessLease {
    /** Attachment of the process that holds it; undefined if the process is not attached. */
    readonly attachmentId: string | undefined;
    readonly untilMs: number;
}

export class CommitWitnesses {
    private readonly byAttachment = new Map<string, ServingInstance>();
    /** Since when instances are known to be without an attachment, by id. */
    private readonly absentSinceMs = new Map<string, number>();
    private recorded: ReadonlySet<string> = new Set();
    /** The last lease of each instance that this member granted, by id. */
    private readonly leasesById = new Map<string, WitnessLease>();
    /** Time until which leases that earlier leaders granted may be in force. */
    private earlierLeasesUntilMs = -Infinity;

    /** Attached instances, by attachment id. */
    get serving(): ReadonlyMap<string, ServingInstance> {
        return this.byAttachment;
    }

    attach(attachmentId: string, instanceId: string, nowMs: number): void {
        this.byAttachment.set(attachmentId, { instanceId, attachedAtMs: nowMs });
        this.absentSinceMs.delete(instanceId);
    }

    detach(attachmentId: string, nowMs: number): void {
        const instance = this.byAttachment.get(attachmentId);
        this.byAttachment.delete(attachmentId);
        if (instance !== undefined && !this.isAttached(instance.instanceId)) {
            this.absentSinceMs.set(instance.instanceId, nowMs);
        }
    }

    /** Applies the recorded list. Instances that this process doesn't know may have been attached to another member. */
    setRecorded(witnesses: readonly CommitWitness[], nowMs: number): void {
        const before = this.recorded;
        this.recorded = new Set(witnesses.map(({ instanceId }) => instanceId));
        [...before].filter(instanceId => !this.recorded.has(instanceId))
            .forEach(instanceId => this.absentSinceMs.delete(instanceId));
        this.recorded.forEach(instanceId => {
            if (!this.isAttached(instanceId) && !this.absentSinceMs.has(instanceId)) {
                this.absentSinceMs.set(instanceId, nowMs);
            }
        });
    }

    /** An absent instance may have been attached to the previous leader until now. */
    startLeading(nowMs: number): void {
        [...this.absentSinceMs.keys()].forEach(instanceId => this.absentSinceMs.set(instanceId, nowMs));
        this.leasesById.clear();
        this.earlierLeasesUntilMs = nowMs + formerLeaderMs + leaseEndMs;
    }

    /** @returns whether the instance may have a lease, which a later leader must know of */
    grantLease(attachmentId: string, nowMs: number): boolean {
        const instanceId = this.byAttachment.get(attachmentId)?.instanceId;
        if (instanceId === undefined || !this.recorded.has(instanceId)) {
            return false;
        }
        this.leasesById.set(instanceId, { attachmentId, untilMs: nowMs + leaseEndMs });
        return true;
    }

    /** The leases that instances may hold or have held, of this and of earlier leaders. */
    leases(): readonly WitnessLease[] {
        const untilMs = this.earlierLeasesUntilMs;
        const attached = [...this.byAttachment].map(([attachmentId, { instanceId }]) =>
            this.leasesById.get(instanceId) ?? { attachmentId, untilMs }
        );
        const absent = [...this.absentSinceMs.keys()].map(instanceId =>
            this.leasesById.get(instanceId) ?? { attachmentId: undefined, untilMs }
        );
        return [...attached, ...absent];
    }

    /** Instances that are absent, whether or not they are recorded yet. */
    absent(): readonly AbsentWitness[] {
        return [...this.absentSinceMs].map(([instanceId, sinceMs]) => ({
            instanceId,
            mayHaveSentUntilMs: sinceMs + commitHorizonMs,
        }));
    }

    /** Instances that are not recorded yet. */
    unrecorded(): readonly string[] {
        const attached = [...this.byAttachment.values()].map(({ instanceId }) => instanceId);
        const known = new Set([...attached, ...this.absentSinceMs.keys()]);
        return [...known].filter(instanceId => !this.recorded.has(instanceId));
    }

    /** Recorded instances that have been absent for so long that they don't come back. */
    retired(nowMs: number): readonly string[] {
        return [...this.recorded].filter(instanceId =>
            nowMs - (this.absentSinceMs.get(instanceId) ?? nowMs) >= retirementMs
        );
    }

    private isAttached(instanceId: string): boolean {
        return [...this.byAttachment.values()].some(instance => instance.instanceId === instanceId);
    }
}
