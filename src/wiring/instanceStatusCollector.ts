/** What this instance tells operators about itself. */
import {
    ClusterKind,
    type ConfigurationProved,
    type DrainStarted,
    type LeasesRenewed,
} from "../model/clusterMessages.ts";
import { HealthKind, type HeartbeatAnswered, type HeartbeatReceived } from "../model/healthMessages.ts";
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

type Input = ConfigurationProved | LeasesRenewed | DrainStarted;

/** Follows the messages that change the picture. */
export class InstanceStatusCollector implements Sink<Input>, LoopObserver, ManagedInstance {
    readonly accepts = [ClusterKind.ConfigurationProved, ClusterKind.LeasesRenewed, ClusterKind.DrainStarted];
    private readonly parts: InstanceStatusCollectorOptions;
    private readonly addresses = new Map<string, string>();
    private provedAtMs: number | undefined;
    private leasesHeld = 0;
    private draining = false;
    private leader = "";

    constructor(parts: InstanceStatusCollectorOptions) {
        this.parts = parts;
        this.addresses.set(parts.options.instanceId, parts.options.rpcAddress);
        parts.options.controlMembers.forEach(member => this.addresses.set(member.instanceId, member.address));
    }

    deliver(message: Input): void {
        if (message.kind === ClusterKind.ConfigurationProved) {
            this.provedAtMs = message.provedAtMs;
        }
        else if (message.kind === ClusterKind.LeasesRenewed) {
            this.leasesHeld = message.leases.length;
        }
        else {
            this.draining = true;
        }
    }

    onEvent(message: Message): void {
        if (message.kind === HealthKind.HeartbeatAnswered) {
            this.followLeader(message as HeartbeatAnswered);
        }
        else if (message.kind === HealthKind.HeartbeatReceived) {
            const { heartbeat } = message as HeartbeatReceived;
            this.addresses.set(heartbeat.instanceId, heartbeat.address);
        }
    }

    onOutput(): void {
        // Only events matter here.
    }

    instanceStatus(configurationVersion: number): InstanceStatus {
        const { options, clock, frontend } = this.parts;
        return {
            instanceId: options.instanceId,
            dataCentre: options.dataCentre,
            configurationVersion,
            connections: frontend.connectionCount,
            draining: this.draining,
            provedAgeMs: this.provedAtMs === undefined ? -1 : clock.nowMs() - this.provedAtMs,
            leaderAddress: this.leader,
            leasesHeld: this.leasesHeld,
        };
    }

    counters(): ReadonlyMap<string, number> {
        return this.parts.counters.totals();
    }

    burnSnapshot(): string {
        const { options, clock, recorder } = this.parts;
        return JSON.stringify(recorder.snapshot(options.instanceId, clock.nowMs()));
    }

    knownInstances(): ReadonlyMap<string, string> {
        return this.addresses;
    }

    leaderAddress(): string {
        return this.leader;
    }

    drain(): void {
        this.parts.drain();
    }

    private followLeader({ answer, peerAddress }: HeartbeatAnswered): void {
        if (answer?.leading === true) {
            this.leader = peerAddress;
        }
    }
}
