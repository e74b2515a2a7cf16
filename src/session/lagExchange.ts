/** Tells other instances of databases that lag, with the questions about floors and the answers to them. */
import { type FloorResult, type PeerAnswer, PeerKind, type ReplicaPosition } from "../model/peerMessages.ts";
import type { Message } from "../pipeline/message.ts";
import { type ObservedPosition, withKnownLag } from "../scheduling/replicaLag.ts";
import { PositionChange, ReplicaPositions } from "../scheduling/replicaPositions.ts";
import { observedPositions } from "./attemptOutcome.ts";
import { type FloorSample, FloorSamples } from "./floorSamples.ts";
import {
    type FloorWanted,
    type PositionProbeWanted,
    type PositionsLearned,
    type TaskAttempted,
    TaskKind,
} from "./taskMessages.ts";

/** Time after the last question of an instance for which it is told when a database begins to lag, or ceases to. */
const listenerTimeoutMs = 60_000;

/**
 * The part of the floor exchange that is about replicas. The instance that others of its data centre ask about a service
 * asks the databases of this service that lag for their positions, and tells the others.
 */
export class LagExchange {
    /** Positions of the primary of each service, by which the lag of the others is known. */
    private readonly samples = new FloorSamples();
    private readonly positions = new ReplicaPositions();
    /** Streams on which other instances have asked about a service, and when they did last. */
    private readonly listeners = new Map<string, Map<string, number>>();

    addSample(service: string, sample: FloorSample, nowMs: number): void {
        this.samples.add(service, sample, nowMs);
    }

    /** Records that an instance has asked about a service. */
    addListener(service: string, streamId: string, nowMs: number): void {
        const listeners = this.listeners.get(service) ?? new Map<string, number>();
        if (!listeners.has(streamId)) {
            removeSilent(listeners, nowMs);
        }
        this.listeners.set(service, listeners.set(streamId, nowMs));
    }

    /** @returns whether the database of the attempt began to lag, or ceased to */
    recordAttempt({ task: { service }, databaseId, reply, load }: TaskAttempted, nowMs: number): boolean {
        return observedPositions(reply, load, nowMs)
            .map(observed => this.record(service, databaseId, observed))
            .includes(PositionChange.Lag);
    }

    /** Returns what other instances should know. */
    toTell(service: string, nowMs: number): readonly ReplicaPosition[] {
        return this.positions.toTell(service, nowMs);
    }

    /** Passes on the positions that are newer than the known ones. */
    learn(service: string, replicas: readonly ReplicaPosition[] = [], nowMs: number): readonly Message[] {
        const told = replicas.map(({ databaseId, position, ageMs, lagMs }) =>
            [databaseId, { position, atMs: nowMs - ageMs, lagMs }] as const
        );
        const changes = told.map(([databaseId, observed]) => this.record(service, databaseId, observed));
        const positions = new Map(told.filter((_, index) => changes[index] !== PositionChange.None));
        const learned: PositionsLearned = { kind: TaskKind.PositionsLearned, service, positions };
        return [
            ...positions.size === 0 ? [] : [learned],
            ...changes.includes(PositionChange.Lag) ? this.tellListeners(service, nowMs) : [],
        ];
    }

    /** Tells all instances that have asked about a service, without a new question. */
    tellListeners(service: string, nowMs: number): readonly Message[] {
        const listeners = this.listeners.get(service) ?? new Map<string, number>();
        removeSilent(listeners, nowMs);
        const replicas = this.toTell(service, nowMs);
        if (replicas.length === 0) {
            return [];
        }
        const result: FloorResult = {
            kind: "floor",
            questionId: "",
            position: undefined,
            proofAgeMs: 0,
            service,
            replicas,
        };
        return [...listeners.keys()].map(streamId => ({ kind: PeerKind.Answer, streamId, result } as PeerAnswer));
    }

    /** Asks databases that lag for their positions, on behalf of the instances that ask this one. */
    probe({ service, workspace }: Pick<FloorWanted, "service" | "workspace">, nowMs: number): readonly Message[] {
        return this.positions.takeProbes(service, nowMs).map((databaseId): PositionProbeWanted => (
            { kind: TaskKind.PositionProbeWanted, service, workspace, databaseId }
        ));
    }

    private record(service: string, databaseId: string, observed: ObservedPosition): PositionChange {
        const known = withKnownLag(observed, position => this.samples.exceededByMs(service, position));
        return databaseId === "" ? PositionChange.None : this.positions.record(service, databaseId, known);
    }
}

function removeSilent(listeners: Map<string, number>, nowMs: number): void {
    [...listeners].filter(([, askedAtMs]) => nowMs - askedAtMs > listenerTimeoutMs)
        .forEach(([streamId]) => listeners.delete(streamId));
}
