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
import { LagExchange } from "./lagExchange.ts";
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

/** The age of the proof does not matter to a question that only tells of lag, so that the answer needs no probe. */
const anyProofAgeMs = 60_000;

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
    private readonly lag = new LagExchange();
    /** Time until which a probe of this instance for a service counts as in progress. */
    private readonly probingUntilMs = new Map<string, number>();
    private nextQuestionNumber = 0;

    constructor(options: FloorExchangeOptions) {
        this.options = options;
    }

    process(message: ExchangeInput, nowMs: number): readonly Message[] {
        return match<ExchangeInput, readonly Message[]>(message)
            .with({ kind: TaskKind.FloorWanted }, input => this.handleFloorWanted(input, nowMs))
            .with({ kind: TaskKind.FloorProbeFailed }, input => this.endProbe(input.service, nowMs))
            .with({ kind: TaskKind.Attempted }, input => [...this.recordAttempt(input, nowMs), input])
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
            return [floorLearned(service, proof), ...this.lag.probe(wanted, nowMs)];
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
        const questionId = this.addQuestion(service, nowMs);
        this.pendingFloors.set(service, { wanted, askedAddresses: [...askedAddresses, address], questionId, address });
        const timeoutAtMs = nowMs + this.responsiveness.timeoutMs(address);
        const question = this.toQuestion({ questionId, service, workspace, maximumProofAgeMs }, nowMs);
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
        this.lag.addListener(service, streamId, nowMs);
        const learned = [
            ...this.lag.learn(service, question.replicas, nowMs),
            ...this.lag.probe(question, nowMs),
        ];
        if (isRecentEnough(proof, peer)) {
            return [...learned, this.toAnswer(peer, proof, nowMs)];
        }
        this.waitingPeers.set(service, [...this.waitingPeers.get(service) ?? [], peer]);
        return [
            ...learned,
            ...this.probe({ kind: TaskKind.FloorProbeWanted, service, workspace, maximumProofAgeMs }, nowMs),
        ];
    }

    private recordAttempt(attempted: TaskAttempted, nowMs: number): readonly Message[] {
        const { task: { service, mode, taskId, needsPrimary }, reply, leads, sentMs } = attempted;
        if (leads && reply?.position !== undefined && sentMs !== undefined) {
            const existing = this.proofs.get(service);
            if (existing === undefined || existing.atMs < sentMs) {
                this.proofs.set(service, { position: reply.position, atMs: sentMs });
                this.lag.addSample(service, { position: reply.position, atMs: sentMs }, nowMs);
            }
        }
        const isOwnProbe = mode === TaskMode.Probe && !taskId.includes("/");
        const lagChanged = this.lag.recordAttempt(attempted, nowMs);
        return [
            ...this.answerWaitingPeers(service, nowMs),
            ...isOwnProbe && needsPrimary ? this.endProbe(service, nowMs) : [],
            ...isOwnProbe && !needsPrimary
                ? this.lag.tellListeners(service, nowMs)
                : lagChanged
                ? this.tellLag(service, nowMs)
                : [],
        ];
    }

    /**
     * Tells at once that a database began to lag or ceased to: the instance that is asked about the service, which tells
     * those that ask it.
     */
    private tellLag(service: string, nowMs: number): readonly Message[] {
        const chosen = this.chooseInstance(service, [], nowMs);
        if (chosen === undefined) {
            return this.lag.tellListeners(service, nowMs);
        }
        // Not remembered, because its answer is no answer to a pending question for a floor.
        const questionId = `f${this.nextQuestionNumber++}`;
        const question = this.toQuestion(
            { questionId, service, workspace: "", maximumProofAgeMs: anyProofAgeMs },
            nowMs,
        );
        return [{ kind: PeerKind.Send, address: chosen.address, question } as PeerSend];
    }

    private toQuestion(question: Omit<FloorQuestion, "kind">, nowMs: number): FloorQuestion {
        const replicas = this.lag.toTell(question.service, nowMs);
        return { kind: "floor", ...question, ...replicas.length === 0 ? {} : { replicas } };
    }

    private addQuestion(service: string, nowMs: number): string {
        const questionId = `f${this.nextQuestionNumber++}`;
        this.questions.set(questionId, { service, sentMs: nowMs });
        if (this.questions.size > maximumQuestions) {
            this.questions.delete(this.questions.keys().next().value!);
        }
        return questionId;
    }

    /** Answers the waiting instances for which the newest position is recent enough. */
    private answerWaitingPeers(service: string, nowMs: number): readonly Message[] {
        const proof = this.proofs.get(service);
        const waitingPeers = this.waitingPeers.get(service) ?? [];
        this.waitingPeers.set(service, waitingPeers.filter(peer => !isRecentEnough(proof, peer)));
        return waitingPeers.filter(peer => isRecentEnough(proof, peer))
            .map(peer => this.toAnswer(peer, proof, nowMs));
    }

    /** Ends a probe; instances that it did not help get an empty answer and ask the next one. */
    private endProbe(service: string, nowMs: number): readonly Message[] {
        this.probingUntilMs.delete(service);
        const waitingPeers = this.waitingPeers.get(service) ?? [];
        this.waitingPeers.delete(service);
        return waitingPeers.map(peer => this.toAnswer(peer, undefined, nowMs));
    }

    private handleAnswer(address: string, result: FloorResult, nowMs: number): readonly Message[] {
        const { questionId, position, proofAgeMs, replicas } = result;
        const question = this.questions.get(questionId);
        this.questions.delete(questionId);
        this.responsiveness.recordAnswer(address, question?.sentMs, nowMs);
        const learned = result.service === undefined ? [] : this.lag.learn(result.service, replicas, nowMs);
        if (question === undefined) {
            return learned;
        }
        const { service, sentMs } = question;
        const pending = this.pendingFloors.get(service);
        if (position === undefined) {
            return pending?.questionId === questionId
                ? [...learned, ...this.askNextInstance(pending.wanted, pending.askedAddresses, nowMs)]
                : learned;
        }
        this.pendingFloors.delete(service);
        const sample = { position, atMs: sentMs - proofAgeMs };
        this.lag.addSample(service, sample, nowMs);
        // The age was counted from the arrival of the question, which follows its sending, so the position is at least
        // as recent as the time computed here.
        return [
            clearDeadline(timerKey(service)),
            ...learned,
            floorLearned(service, sample),
        ];
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

    private toAnswer(
        { streamId, question, arrivedMs }: WaitingPeer,
        proof: FloorSample | undefined,
        nowMs: number,
    ): PeerAnswer {
        const replicas = this.lag.toTell(question.service, nowMs);
        const result: FloorResult = {
            kind: "floor",
            questionId: question.questionId,
            position: proof?.position,
            proofAgeMs: proof === undefined ? 0 : Math.max(0, arrivedMs - proof.atMs),
            ...replicas.length === 0 ? {} : { replicas, service: question.service },
        };
        return { kind: PeerKind.Answer, streamId, result };
    }
}

function isRecentEnough(proof: FloorSample | undefined, { arrivedMs, question }: WaitingPeer): boolean {
    return proof !== undefined && proof.atMs >= arrivedMs - question.maximumProofAgeMs;
}

function floorLearned(service: string, sample: FloorSample): FloorLearned {
    return { kind: TaskKind.FloorLearned, service, sample };
}

function timerKey(service: string): string {
    return `floor/${service}`;
}
