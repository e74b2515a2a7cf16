/** One instance of the rate model: the proxy's rate filters in the proxy's event loop, with a simulated clock. */
import { ClusterKind, type ConfigurationApplied } from "../src/model/clusterMessages.ts";
import type { Configuration } from "../src/model/configuration.ts";
import { clockDriftFraction, leaseDurationMs, permitLeaseDurationMs } from "../src/model/lease.ts";
import {
    type PermitForward,
    PermitKind,
    type PermitReply,
    type PermitRetire,
    type PermitRetireReply,
} from "../src/model/permitMessages.ts";
import { RateKind, type RatesDemandMeasured } from "../src/model/rateMessages.ts";
import { EventLoop } from "../src/pipeline/eventLoop.ts";
import type { Message } from "../src/pipeline/message.ts";
import { Pipe } from "../src/pipeline/pipe.ts";
import type { Sink } from "../src/pipeline/sink.ts";
import { GrantPermitsFilter } from "../src/rates/grantPermits.ts";
import { AdmitFilter, AdmitKind } from "../src/request/admit.ts";
import { InstanceClock, type Simulation } from "./simulation.ts";

/** Receives the messages that an instance sends to callers, permit homes and the control leader. */
export interface InstanceEffects {
    admitted(arrivalId: number): void;
    refused(arrivalId: number): void;
    forward(from: RateInstance, message: PermitForward): void;
    reply(from: RateInstance, message: PermitReply): void;
    retire(from: RateInstance, message: PermitRetire): void;
    retireReply(from: RateInstance, message: PermitRetireReply): void;
    demand(from: RateInstance, message: RatesDemandMeasured): void;
}

export interface RateInstanceOptions {
    readonly simulation: Simulation;
    readonly id: string;
    readonly dataCentre: string;
    readonly restartCount: number;
    readonly clockSpeed: number;
    readonly refillFraction: number | undefined;
    readonly effects: InstanceEffects;
}

export class RateInstance {
    readonly id: string;
    readonly dataCentre: string;
    readonly clock: InstanceClock;
    isAlive = true;
    private version = 0;
    private readonly loop: EventLoop;

    constructor(options: RateInstanceOptions) {
        this.id = options.id;
        this.dataCentre = options.dataCentre;
        this.clock = new InstanceClock(options.simulation, options.clockSpeed, 1_000 * options.restartCount);
        const { id: instanceId, dataCentre, effects, refillFraction } = options;
        const grantPermits = new GrantPermitsFilter({
            dataCentre,
            ...(refillFraction === undefined ? {} : { refillFraction }),
        });
        this.loop = new EventLoop({
            clock: this.clock,
            pipes: [
                new Pipe("request", [
                    new AdmitFilter({ instanceId, dataCentre, incarnation: `${instanceId}.${options.restartCount}` }),
                ]),
                new Pipe("rate", [grantPermits]),
            ],
            sinks: this.sinks(effects),
        });
    }

    post(message: Message): void {
        if (this.isAlive) {
            this.loop.post(message);
        }
    }

    /** Ends the instance without a graceful shutdown. */
    kill(): void {
        this.isAlive = false;
        void this.loop[Symbol.asyncDispose]();
    }

    applyConfiguration(configuration: Configuration): void {
        if (configuration.version > this.version) {
            this.version = configuration.version;
            const applied: ConfigurationApplied = { kind: ClusterKind.ConfigurationApplied, configuration };
            this.post(applied);
        }
    }

    /** Processes the leader's response to a heartbeat; `sentMs` is the simulation time at which it was sent. */
    renewLeases(configuration: Configuration, sentMs: number): void {
        const sentLocalMs = this.clock.toLocalMs(sentMs);
        if (configuration.version <= this.version) {
            this.post({
                kind: ClusterKind.ConfigurationProved,
                version: configuration.version,
                provedAtMs: sentLocalMs,
            } as Message);
        }
        this.post({
            kind: ClusterKind.LeasesRenewed,
            leases: configuration.leases.filter(lease => lease.instanceId === this.id),
            validUntilMs: sentLocalMs + leaseDurationMs * (1 - clockDriftFraction),
            permitsUntilMs: sentLocalMs + permitLeaseDurationMs * (1 - clockDriftFraction),
        } as Message);
    }

    private sinks(effects: InstanceEffects): readonly Sink[] {
        return [
            sink(AdmitKind.Admitted, message => effects.admitted(message.connectionId as number)),
            sink(AdmitKind.Refused, message => effects.refused(message.connectionId as number)),
            sink(PermitKind.Forward, message => effects.forward(this, message as unknown as PermitForward)),
            sink(PermitKind.Reply, message => effects.reply(this, message as unknown as PermitReply)),
            sink(PermitKind.Retire, message => effects.retire(this, message as unknown as PermitRetire)),
            sink(PermitKind.RetireReply, message => effects.retireReply(this, message as unknown as PermitRetireReply)),
            sink(RateKind.DemandMeasured, message => effects.demand(this, message as unknown as RatesDemandMeasured)),
        ];
    }
}

function sink(kind: string, deliver: (message: Record<string, unknown>) => void): Sink {
    return { accepts: [kind], deliver: message => deliver(message as unknown as Record<string, unknown>) };
}
