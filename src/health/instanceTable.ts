/** The instances of which the leader has heard since it took office. */
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

/** Silence after which an instance gets no new lease: three heartbeats. */
const suspectAfterMs = 1_500;

/** Silence after which an instance is forgotten; its leases have ended long before. */
const forgetAfterMs = 60_000;

export class InstanceTable {
    private readonly instances = new Map<string, Instance>();

    /** Data centres from which an instance has been heard. */
    readonly dataCentres = new Set<string>();

    clear(): void {
        this.instances.clear();
        this.dataCentres.clear();
    }

    recordHeartbeat({ instanceId, address, dataCentre, incarnation, draining }: Heartbeat, nowMs: number): void {
        this.dataCentres.add(dataCentre);
        const known = this.instances.get(instanceId);
        const firstHeartbeatAtMs = known?.incarnation === incarnation ? known.firstHeartbeatAtMs : nowMs;
        const instance = {
            instanceId,
            address,
            dataCentre,
            incarnation,
            draining,
            lastHeartbeatAtMs: nowMs,
            firstHeartbeatAtMs: firstHeartbeatAtMs,
        };
        this.instances.set(instanceId, instance);
    }

    /** Heard of within `suspectAfterMs`; a draining instance is alive but takes nothing new. */
    isAlive(instanceId: string, nowMs: number): boolean {
        const instance = this.instances.get(instanceId);
        return instance !== undefined && nowMs - instance.lastHeartbeatAtMs < suspectAfterMs;
    }

    /** Instances that can take leases, by data centre. */
    candidatesByDataCentre(nowMs: number): Map<string, Instance[]> {
        const byDataCentre = new Map<string, Instance[]>();
        for (const instance of this.instances.values()) {
            if (nowMs - instance.lastHeartbeatAtMs >= forgetAfterMs) {
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
