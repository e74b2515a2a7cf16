/** Collects the status of this instance for operators. */
import {
    ClusterKind,
    type ConfigurationProved,
    type DrainStarted,
    type LeasesRenewed,
} from "../model/clusterMessages.ts";
import { HealthKind, type HeartbeatAnswered, type HeartbeatReceived } from "../model/healthMessages.ts";
import { StorageKind, type StorageSuspended } from "../model/storageMessages.ts";
import type { LoopObserver } from "../pipeline/eventLoop.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import type { RecordOutcomesFilter } from "../report/recordOutcomes.ts";
import type { InstanceStatus } from "../rpc/generated/operator.ts";
import type { ManagedInstance } from "../rpc/operatorService.ts";
import type { Counters } from "../telemetry/counters.ts";
import type { PipeOptions } from "./buildPipes.ts";
import type { SystemClock } from "./systemClock.ts";

export interface InstanceStatusCollectorOptions {
    readonly options: PipeOptions;
    readonly clock: SystemClock;
    readonly counters: Counters;
    readonly frontend: { readonly connectionCount: number; };
    readonly recorder: RecordOutcomesFilter;
    readonly drain: () => void;
}

type ConsumedMessage = ConfigurationProved | LeasesRenewed | DrainStarted;

/** Updates the status from the events and outputs of the event loop. */
export class InstanceStatusCollector implements Sink<ConsumedMessage>, LoopObserver, ManagedInstance {
    readonly accepts = [ClusterKind.ConfigurationProved, ClusterKind.LeasesRenewed, ClusterKind.DrainStarted];
    private readonly dependencies: InstanceStatusCollectorOptions;
    private readonly addressByInstance = new Map<string, string>();
    private provedAtMs: number | undefined;
    private leasesHeld = 0;
    private isDraining = false;
    private controlLeaderAddress = "";
    /** Why the disk takes no writes; empty while it does. */
    private storageSuspension = "";

    constructor(dependencies: InstanceStatusCollectorOptions) {
        this.dependencies = dependencies;
        this.addressByInstance.set(dependencies.options.instanceId, dependencies.options.rpcAddress);
        dependencies.options.controlMembers.forEach(member =>
            this.addressByInstance.set(member.instanceId, member.address)
        );
    }

    deliver(message: ConsumedMessage): void {
        if (message.kind === ClusterKind.ConfigurationProved) {
            this.provedAtMs = message.provedAtMs;
        }
        else if (message.kind === ClusterKind.LeasesRenewed) {
            this.leasesHeld = message.leases.length;
        }
        else {
            this.isDraining = true;
        }
    }

    onEvent(message: Message): void {
        if (message.kind === HealthKind.HeartbeatAnswered) {
            this.updateLeader(message as HeartbeatAnswered);
        }
        else if (message.kind === HealthKind.HeartbeatReceived) {
            const { heartbeat } = message as HeartbeatReceived;
            this.addressByInstance.set(heartbeat.instanceId, heartbeat.address);
        }
        else if (message.kind === StorageKind.Suspended) {
            this.storageSuspension = (message as StorageSuspended).reason;
        }
        else if (message.kind === StorageKind.Resumed) {
            this.storageSuspension = "";
        }
    }

    onOutput(): void {
        // The status depends on events only, and on the outputs that `deliver` receives.
    }

    instanceStatus(configurationVersion: number): InstanceStatus {
        const { options, clock, frontend } = this.dependencies;
        return {
            instanceId: options.instanceId,
            dataCentre: options.dataCentre,
            configurationVersion,
            connections: frontend.connectionCount,
            draining: this.isDraining,
            provedAgeMs: this.provedAtMs === undefined ? -1 : clock.nowMs() - this.provedAtMs,
            leaderAddress: this.controlLeaderAddress,
            leasesHeld: this.leasesHeld,
            storageSuspension: this.storageSuspension,
        };
    }

    counters(): ReadonlyMap<string, number> {
        return this.dependencies.counters.totals();
    }

    burnSnapshot(): string {
        const { options, clock, recorder } = this.dependencies;
        return JSON.stringify(recorder.snapshot(options.instanceId, clock.nowMs()));
    }

    knownInstances(): ReadonlyMap<string, string> {
        return this.addressByInstance;
    }

    leaderAddress(): string {
        return this.controlLeaderAddress;
    }

    drain(): void {
        this.dependencies.drain();
    }

    private updateLeader({ answer, peerAddress }: HeartbeatAnswered): void {
        if (answer?.leading === true) {
            this.controlLeaderAddress = peerAddress;
        }
    }
}
