/** Instances that have sent a heartbeat to this leader since its leadership started. */
import type { Heartbeat } from "../model/healthMessages.ts";

export interface Instance {
    readonly instanceId: string;
    readonly address: string;
    readonly dataCentre: string;
    readonly incarnation: string;
    readonly draining: boolean;
    readonly lastHeartbeatAtMs: number;
    /** Time of the first heartbeat of this incarnation. */
    readonly firstHeartbeatAtMs: number;
}

/** Time without a heartbeat after which an instance gets no new lease: three heartbeat intervals. */
const silentAfterMs = 1_500;

/** Time without a heartbeat after which an instance is removed; its leases have ended long before. */
const removeAfterMs = 60_000;

export class InstanceTable {
    private readonly instances = new Map<string, Instance>();

    /** Data centres of all instances that have sent a heartbeat. */
    readonly dataCentres = new Set<string>();

    clear(): void {
        this.instances.clear();
        this.dataCentres.clear();
    }

    recordHeartbeat({ instanceId, address, dataCentre, incarnation, draining }: Heartbeat, nowMs: number): void {
        this.dataCentres.add(dataCentre);
        const previous = this.instances.get(instanceId);
        const firstHeartbeatAtMs = previous?.incarnation === incarnation ? previous.firstHeartbeatAtMs : nowMs;
        const instance = {
            instanceId,
            address,
            dataCentre,
            incarnation,
            draining,
            lastHeartbeatAtMs: nowMs,
            firstHeartbeatAtMs,
        };
        this.instances.set(instanceId, instance);
    }

    /** Whether the last heartbeat is younger than `silentAfterMs`; true for draining instances too. */
    isAlive(instanceId: string, nowMs: number): boolean {
        const instance = this.instances.get(instanceId);
        return instance !== undefined && nowMs - instance.lastHeartbeatAtMs < silentAfterMs;
    }

    /** Instances that may get new leases: alive and not draining. */
    candidatesByDataCentre(nowMs: number): Map<string, Instance[]> {
        const byDataCentre = new Map<string, Instance[]>();
        for (const instance of this.instances.values()) {
            if (nowMs - instance.lastHeartbeatAtMs >= removeAfterMs) {
                this.instances.delete(instance.instanceId);
            }
            else if (this.isAlive(instance.instanceId, nowMs) && !instance.draining) {
                const others = byDataCentre.get(instance.dataCentre) ?? [];
                others.push(instance);
                byDataCentre.set(instance.dataCentre, others);
            }
        }
        return byDataCentre;
    }
}
