/**
 * Obtains log positions of primaries, which serve as floors of reads. Per service and data centre one instance asks the
 * primary (a probe), and the others ask this instance.
 */
import { match, P } from "ts-pattern";
import { FleetKind, type PolicyApplied } from "../model/fleetMessages.ts";
import {
    type FloorQuestion,
    type FloorResult,
    type InstancesKnown,
    type PeerAnswer,
    type PeerAnswered,
    type PeerAsked,
    type PeerInstance,
    PeerKind,
    type PeerLost,
    type PeerSend,
} from "../model/peerMessages.ts";
import { TaskMode } from "../model/sessionStatement.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import type { FloorSample } from "./floorSamples.ts";
import { Responsiveness } from "./responsiveness.ts";
import {
    type FloorLearned,
    type FloorProbeFailed,
    type FloorWanted,
    type TaskAttempted,
    TaskKind,
    type TaskTimer,
    taskTimer,
} from "./taskMessages.ts";

/** Lower bound of the timeout for another instance's answer; above two round trips between regions. */
const minimumTimeoutMs = 250;

/** Upper bound of this timeout; more than the time left when a position with the shortest usual age is renewed. */
const maximumTimeoutMs = 1_000;

/** Time after which a probe that has not ended is repeated; above the deadline of the probe itself. */
const probeTimeoutMs = 1_000;

/** Maximum of unanswered questions that are remembered, because a late answer is still useful. */
const maximumQuestions = 256;

/** Instances that are asked before this one probes the primary itself; a fault may affect one of them, seldom two. */
const maximumAskedInstances = 2;

/** A floor that this instance waits for. */
interface PendingFloor {
    readonly wanted: FloorWanted;
    readonly askedAddresses: readonly string[];
    readonly questionId: string;
    readonly address: string;
}

interface Question {
    readonly service: string;
    readonly sentMs: number;
}

/** Another instance that waits for a floor. */
interface WaitingPeer {
    readonly streamId: string;
    readonly question: FloorQuestion;
    readonly arrivedMs: number;
}

type ExchangeInput =
    | FloorWanted
    | FloorProbeFailed
    | TaskAttempted
    | TaskTimer
    | PeerAsked
    | PeerAnswered
    | PeerLost
    | InstancesKnown
    | PolicyApplied;

export interface FloorExchangeOptions {
    readonly instanceId: string;
    readonly dataCentre: string;
}

/** Stands first in its pipe, because every attempt may prove a position, also one for another instance. */
export class FloorExchange implements Filter<ExchangeInput, Message> {
    readonly step = "floor_exchange";
    readonly accepts = [
        TaskKind.FloorWanted,
        TaskKind.FloorProbeFailed,
        TaskKind.Attempted,
        TaskKind.FloorDue,
        PeerKind.Asked,
        PeerKind.Answered,
        PeerKind.Lost,
        PeerKind.InstancesKnown,
        FleetKind.PolicyApplied,
    ];
    private readonly options: FloorExchangeOptions;
    /** Instances of this data centre, sorted by id so that all instances use the same order. */
    private localInstances: readonly PeerInstance[] = [];
    /** Index of each service in the sorted list of services. */
    private serviceIndexes: ReadonlyMap<string, number> = new Map();
    private readonly responsiveness = new Responsiveness({
        minimumTimeoutMs,
        maximumTimeoutMs,
    });
    /** Unanswered questions by id, oldest first. */
    private readonly questions = new Map<string, Question>();
    /** By service. */
    private readonly pendingFloors = new Map<string, PendingFloor>();
    /** By service. */
    private readonly waitingPeers = new Map<string, readonly WaitingPeer[]>();
    /** The newest position that the primary of each service gave to this instance itself. */
    private readonly proofs = new Map<string, FloorSample>();
    /** Time until which a probe of this instance for a service counts as in progress. */
    private readonly probingUntilMs = new Map<string, number>();
    private nextQuestionNumber = 0;

    constructor(options: FloorExchangeOptions) {
        this.options = options;
    }

    process(message: ExchangeInput, nowMs: number): readonly Message[] {
        return match<ExchangeInput, readonly Message[]>(message)
            .with({ kind: TaskKind.FloorWanted }, input => this.handleFloorWanted(input, nowMs))
            .with({ kind: TaskKind.FloorProbeFailed }, input => this.endProbe(input.service))
            .with({ kind: TaskKind.Attempted }, input => [...this.recordAttempt(input), input])
            .with({ kind: TaskKind.FloorDue }, input => this.handleTimeout(input.id, nowMs))
            .with(
                { kind: PeerKind.Asked, question: { kind: "floor" } },
                input => this.handleQuestion(input.streamId, input.question, nowMs),
            )
            .with(
                { kind: PeerKind.Answered, result: { kind: "floor" } },
                input => this.handleAnswer(input.address, input.result, nowMs),
            )
            .with({ kind: PeerKind.Lost }, input => [...this.handleDisconnect(input.address, nowMs), input])
            .with({ kind: PeerKind.InstancesKnown }, input => {
                this.responsiveness.retain(new Set(input.instances.map(({ address }) => address)));
                this.localInstances = input.instances.filter(({ dataCentre }) => dataCentre === this.options.dataCentre)
                    .sort((left, right) => left.instanceId < right.instanceId ? -1 : 1);
                return [input];
            })
            .with({ kind: FleetKind.PolicyApplied }, input => {
                const names = [...input.policy.services.keys()].sort();
                this.serviceIndexes = new Map(names.map((name, index) => [name, index]));
                return [input];
            })
            .with({ kind: P.union(PeerKind.Asked, PeerKind.Answered) }, input => [input])
            .otherwise(() => []);
    }

    private handleFloorWanted(wanted: FloorWanted, nowMs: number): readonly Message[] {
        const { service, maximumProofAgeMs } = wanted;
        const proof = this.proofs.get(service);
        if (proof !== undefined && proof.atMs >= nowMs - maximumProofAgeMs) {
            return [floorLearned(service, proof)];
        }
        return this.pendingFloors.has(service) ? [] : this.askNextInstance(wanted, [], nowMs);
    }

    /** Asks the next instance, or probes the primary when this instance is the next one or enough have been asked. */
    private askNextInstance(wanted: FloorWanted, askedAddresses: readonly string[], nowMs: number): readonly Message[] {
        const { service, workspace, maximumProofAgeMs } = wanted;
        const chosen = askedAddresses.length < maximumAskedInstances
            ? this.chooseInstance(service, askedAddresses, nowMs)
            : undefined;
        if (chosen === undefined) {
            this.pendingFloors.delete(service);
            return [
                ...askedAddresses.length > 0 ? [clearDeadline(timerKey(service))] : [],
                ...this.probe(wanted, nowMs),
            ];
        }
        const { address } = chosen;
        const questionId = `f${this.nextQuestionNumber++}`;
        this.pendingFloors.set(service, { wanted, askedAddresses: [...askedAddresses, address], questionId, address });
        this.questions.set(questionId, { service, sentMs: nowMs });
        if (this.questions.size > maximumQuestions) {
            this.questions.delete(this.questions.keys().next().value!);
        }
        const timeoutAtMs = nowMs + this.responsiveness.timeoutMs(address);
        const question: FloorQuestion = { kind: "floor", questionId, service, workspace, maximumProofAgeMs };
        return [
            { kind: PeerKind.Send, address, question } as PeerSend,
            setDeadline(timerKey(service), timeoutAtMs, taskTimer(TaskKind.FloorDue, questionId)),
        ];
    }

    /**
     * Chooses the instance to ask about a service; undefined when this is the own instance. Instances of a data centre
     * that know the same list choose the same one, and the services are spread evenly over the instances.
     */
    private chooseInstance(
        service: string,
        askedAddresses: readonly string[],
        nowMs: number,
    ): PeerInstance | undefined {
        const firstIndex = this.serviceIndexes.get(service) ?? 0;
        const chosen = this.localInstances.map((_, index) =>
            this.localInstances[(firstIndex + index) % this.localInstances.length]!
        )
            .find(({ address }) => !askedAddresses.includes(address) && !this.responsiveness.isAvoided(address, nowMs));
        return chosen?.instanceId === this.options.instanceId ? undefined : chosen;
    }

    private probe({ service, workspace, maximumProofAgeMs }: FloorWanted, nowMs: number): readonly Message[] {
        if (nowMs < (this.probingUntilMs.get(service) ?? 0)) {
            return [];
        }
        this.probingUntilMs.set(service, nowMs + probeTimeoutMs);
        return [{ kind: TaskKind.FloorProbeWanted, service, workspace, maximumProofAgeMs } as FloorWanted];
    }

    private handleQuestion(streamId: string, question: FloorQuestion, nowMs: number): readonly Message[] {
        const { service, workspace, maximumProofAgeMs } = question;
        const peer = { streamId, question, arrivedMs: nowMs };
        const proof = this.proofs.get(service);
        if (isRecentEnough(proof, peer)) {
            return [toAnswer(peer, proof)];
        }
        this.waitingPeers.set(service, [...this.waitingPeers.get(service) ?? [], peer]);
        return this.probe({ kind: TaskKind.FloorProbeWanted, service, workspace, maximumProofAgeMs }, nowMs);
    }

    private recordAttempt({ task, reply, leads, sentMs }: TaskAttempted): readonly Message[] {
        const { service, mode, taskId } = task;
        if (leads && reply?.position !== undefined && sentMs !== undefined) {
            const existing = this.proofs.get(service);
            if (existing === undefined || existing.atMs < sentMs) {
                this.proofs.set(service, { position: reply.position, atMs: sentMs });
            }
        }
        return [
            ...this.answerWaitingPeers(service),
            ...mode === TaskMode.Probe && !taskId.includes("/") ? this.endProbe(service) : [],
        ];
    }

    /** Answers the waiting instances for which the newest position is recent enough. */
    private answerWaitingPeers(service: string): readonly Message[] {
        const proof = this.proofs.get(service);
        const waitingPeers = this.waitingPeers.get(service) ?? [];
        this.waitingPeers.set(service, waitingPeers.filter(peer => !isRecentEnough(proof, peer)));
        return waitingPeers.filter(peer => isRecentEnough(proof, peer)).map(peer => toAnswer(peer, proof));
    }

    /** Ends a probe; instances that it did not help get an empty answer and ask the next one. */
    private endProbe(service: string): readonly Message[] {
        this.probingUntilMs.delete(service);
        const waitingPeers = this.waitingPeers.get(service) ?? [];
        this.waitingPeers.delete(service);
        return waitingPeers.map(peer => toAnswer(peer, undefined));
    }

    private handleAnswer(address: string, result: FloorResult, nowMs: number): readonly Message[] {
        const { questionId, position, proofAgeMs } = result;
        const question = this.questions.get(questionId);
        this.questions.delete(questionId);
        this.responsiveness.recordAnswer(address, question?.sentMs, nowMs);
        if (question === undefined) {
            return [];
        }
        const { service, sentMs } = question;
        const pending = this.pendingFloors.get(service);
        if (position === undefined) {
            return pending?.questionId === questionId
                ? this.askNextInstance(pending.wanted, pending.askedAddresses, nowMs)
                : [];
        }
        this.pendingFloors.delete(service);
        // The age was counted from the arrival of the question, which follows its sending, so the position is at least
        // as recent as the time computed here.
        return [clearDeadline(timerKey(service)), floorLearned(service, { position, atMs: sentMs - proofAgeMs })];
    }

    private handleTimeout(questionId: string, nowMs: number): readonly Message[] {
        const pending = [...this.pendingFloors.values()].find(other => other.questionId === questionId);
        const question = this.questions.get(questionId);
        if (pending === undefined || question === undefined) {
            return [];
        }
        this.responsiveness.recordTimeout(pending.address, question.sentMs, nowMs);
        return this.askNextInstance(pending.wanted, pending.askedAddresses, nowMs);
    }

    private handleDisconnect(address: string, nowMs: number): readonly Message[] {
        this.responsiveness.recordDisconnect(address, nowMs);
        return [...this.pendingFloors.values()].filter(pending => pending.address === address)
            .flatMap(({ wanted, askedAddresses }) => this.askNextInstance(wanted, askedAddresses, nowMs));
    }
}

function isRecentEnough(proof: FloorSample | undefined, { arrivedMs, question }: WaitingPeer): boolean {
    return proof !== undefined && proof.atMs >= arrivedMs - question.maximumProofAgeMs;
}

function toAnswer({ streamId, question, arrivedMs }: WaitingPeer, proof: FloorSample | undefined): PeerAnswer {
    const result: FloorResult = {
        kind: "floor",
        questionId: question.questionId,
        position: proof?.position,
        proofAgeMs: proof === undefined ? 0 : Math.max(0, arrivedMs - proof.atMs),
    };
    return { kind: PeerKind.Answer, streamId, result };
}

function floorLearned(service: string, sample: FloorSample): FloorLearned {
    return { kind: TaskKind.FloorLearned, service, sample };
}

function timerKey(service: string): string {
    return `floor/${service}`;
}
