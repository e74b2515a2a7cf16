/**
 * Asks for positions of primaries on behalf of a whole data centre: for each service one instance asks the primary, and
 * the others ask that one.
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
    TaskMode,
    type TaskTimer,
    taskTimer,
} from "./taskMessages.ts";

/** Wait for another instance's answer; above the way between regions and back, twice. */
const minimumAnswerMs = 250;

/** The same where answers are slow; what is left of the shortest usual age when a position is renewed is less. */
const maximumAnswerMs = 1_000;

/** A probe that has not ended by then is begun again; above its own limit. */
const probeLimitMs = 1_000;

/** Questions whose late answers are still of use. */
const maximumQuestions = 256;

/** Instances that are asked before this one asks the primary itself; a fault may take one, seldom two. */
const maximumAsked = 2;

/** A floor that this instance waits for. */
interface Want {
    readonly wanted: FloorWanted;
    readonly asked: readonly string[];
    readonly questionId: string;
    readonly address: string;
}

interface Question {
    readonly service: string;
    readonly sentMs: number;
}

/** Another instance that waits for a floor. */
interface Asker {
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
    /** Instances of this data centre, in an order that all share. */
    private near: readonly PeerInstance[] = [];
    /** Place of each service among all. */
    private serviceOrder: ReadonlyMap<string, number> = new Map();
    private readonly responsiveness = new Responsiveness({
        minimumTimeoutMs: minimumAnswerMs,
        maximumTimeoutMs: maximumAnswerMs,
    });
    /** Questions without an answer, by id, the oldest first. */
    private readonly questions = new Map<string, Question>();
    /** By service. */
    private readonly wants = new Map<string, Want>();
    private readonly askers = new Map<string, readonly Asker[]>();
    /** The newest position of each service that was proved to this instance itself. */
    private readonly proofs = new Map<string, FloorSample>();
    /** Time until which this instance is asking the primary of a service. */
    private readonly probingUntilMs = new Map<string, number>();
    private nextQuestion = 0;

    constructor(options: FloorExchangeOptions) {
        this.options = options;
    }

    process(message: ExchangeInput, nowMs: number): readonly Message[] {
        return match<ExchangeInput, readonly Message[]>(message)
            .with({ kind: TaskKind.FloorWanted }, found => this.want(found, nowMs))
            .with({ kind: TaskKind.FloorProbeFailed }, found => this.endProbe(found.service))
            .with({ kind: TaskKind.Attempted }, found => [...this.noteAttempt(found), found])
            .with({ kind: TaskKind.FloorDue }, found => this.due(found.id, nowMs))
            .with(
                { kind: PeerKind.Asked, question: { kind: "floor" } },
                found => this.ask(found.streamId, found.question, nowMs),
            )
            .with(
                { kind: PeerKind.Answered, result: { kind: "floor" } },
                found => this.answered(found.address, found.result, nowMs),
            )
            .with({ kind: PeerKind.Lost }, found => [...this.lost(found.address, nowMs), found])
            .with({ kind: PeerKind.InstancesKnown }, found => {
                this.responsiveness.retain(new Set(found.instances.map(({ address }) => address)));
                this.near = found.instances.filter(({ dataCentre }) => dataCentre === this.options.dataCentre)
                    .sort((left, right) => left.instanceId < right.instanceId ? -1 : 1);
                return [found];
            })
            .with({ kind: FleetKind.PolicyApplied }, found => {
                const names = [...found.policy.services.keys()].sort();
                this.serviceOrder = new Map(names.map((name, index) => [name, index]));
                return [found];
            })
            .with({ kind: P.union(PeerKind.Asked, PeerKind.Answered) }, found => [found])
            .otherwise(() => []);
    }

    private want(wanted: FloorWanted, nowMs: number): readonly Message[] {
        const { service, maximumProofAgeMs } = wanted;
        const proof = this.proofs.get(service);
        if (proof !== undefined && proof.atMs >= nowMs - maximumProofAgeMs) {
            return [learned(service, proof)];
        }
        return this.wants.has(service) ? [] : this.askNext(wanted, [], nowMs);
    }

    /** Asks the next instance, or the primary when it is this one's turn. */
    private askNext(wanted: FloorWanted, asked: readonly string[], nowMs: number): readonly Message[] {
        const { service, workspace, maximumProofAgeMs } = wanted;
        const chosen = asked.length < maximumAsked ? this.choose(service, asked, nowMs) : undefined;
        if (chosen === undefined) {
            this.wants.delete(service);
            return [...asked.length > 0 ? [clearDeadline(floorKey(service))] : [], ...this.probe(wanted, nowMs)];
        }
        const { address } = chosen;
        const questionId = `f${this.nextQuestion++}`;
        this.wants.set(service, { wanted, asked: [...asked, address], questionId, address });
        this.questions.set(questionId, { service, sentMs: nowMs });
        if (this.questions.size > maximumQuestions) {
            this.questions.delete(this.questions.keys().next().value!);
        }
        const limitMs = nowMs + this.responsiveness.timeoutMs(address);
        const question: FloorQuestion = { kind: "floor", questionId, service, workspace, maximumProofAgeMs };
        return [
            { kind: PeerKind.Send, address, question } as PeerSend,
            setDeadline(floorKey(service), limitMs, taskTimer(TaskKind.FloorDue, questionId)),
        ];
    }

    /**
     * The same instance for all of a data centre that know the same others, with equal numbers of services for each;
     * undefined when it is this one.
     */
    private choose(service: string, asked: readonly string[], nowMs: number): PeerInstance | undefined {
        const first = this.serviceOrder.get(service) ?? 0;
        const chosen = this.near.map((_, index) => this.near[(first + index) % this.near.length]!)
            .find(({ address }) => !asked.includes(address) && !this.responsiveness.isAvoided(address, nowMs));
        return chosen?.instanceId === this.options.instanceId ? undefined : chosen;
    }

    private probe({ service, workspace, maximumProofAgeMs }: FloorWanted, nowMs: number): readonly Message[] {
        if (nowMs < (this.probingUntilMs.get(service) ?? 0)) {
            return [];
        }
        this.probingUntilMs.set(service, nowMs + probeLimitMs);
        return [{ kind: TaskKind.FloorProbeWanted, service, workspace, maximumProofAgeMs } as FloorWanted];
    }

    private ask(streamId: string, question: FloorQuestion, nowMs: number): readonly Message[] {
        const { service, workspace, maximumProofAgeMs } = question;
        const asker = { streamId, question, arrivedMs: nowMs };
        const proof = this.proofs.get(service);
        if (isUseful(proof, asker)) {
            return [answer(asker, proof)];
        }
        this.askers.set(service, [...this.askers.get(service) ?? [], asker]);
        return this.probe({ kind: TaskKind.FloorProbeWanted, service, workspace, maximumProofAgeMs }, nowMs);
    }

    private noteAttempt({ task, reply, leads, sentMs }: TaskAttempted): readonly Message[] {
        const { service, mode, taskId } = task;
        if (leads && reply?.position !== undefined && sentMs !== undefined) {
            const known = this.proofs.get(service);
            if (known === undefined || known.atMs < sentMs) {
                this.proofs.set(service, { position: reply.position, atMs: sentMs });
            }
        }
        return [
            ...this.answerAskers(service),
            ...mode === TaskMode.Probe && !taskId.includes("/") ? this.endProbe(service) : [],
        ];
    }

    /** Answers the instances for which the newest proof is recent enough. */
    private answerAskers(service: string): readonly Message[] {
        const proof = this.proofs.get(service);
        const askers = this.askers.get(service) ?? [];
        this.askers.set(service, askers.filter(asker => !isUseful(proof, asker)));
        return askers.filter(asker => isUseful(proof, asker)).map(asker => answer(asker, proof));
    }

    /** The primary was asked, and those who still wait have to ask others. */
    private endProbe(service: string): readonly Message[] {
        this.probingUntilMs.delete(service);
        const askers = this.askers.get(service) ?? [];
        this.askers.delete(service);
        return askers.map(asker => answer(asker, undefined));
    }

    private answered(address: string, result: FloorResult, nowMs: number): readonly Message[] {
        const { questionId, position, proofAgeMs } = result;
        const question = this.questions.get(questionId);
        this.questions.delete(questionId);
        this.responsiveness.recordAnswer(address, question?.sentMs, nowMs);
        if (question === undefined) {
            return [];
        }
        const { service, sentMs } = question;
        const want = this.wants.get(service);
        if (position === undefined) {
            return want?.questionId === questionId ? this.askNext(want.wanted, want.asked, nowMs) : [];
        }
        this.wants.delete(service);
        // The question arrived after it was sent, so the proof is at most this much older by any clock.
        return [clearDeadline(floorKey(service)), learned(service, { position, atMs: sentMs - proofAgeMs })];
    }

    private due(questionId: string, nowMs: number): readonly Message[] {
        const want = [...this.wants.values()].find(other => other.questionId === questionId);
        const question = this.questions.get(questionId);
        if (want === undefined || question === undefined) {
            return [];
        }
        this.responsiveness.recordTimeout(want.address, question.sentMs, nowMs);
        return this.askNext(want.wanted, want.asked, nowMs);
    }

    private lost(address: string, nowMs: number): readonly Message[] {
        this.responsiveness.recordDisconnect(address, nowMs);
        return [...this.wants.values()].filter(want => want.address === address)
            .flatMap(({ wanted, asked }) => this.askNext(wanted, asked, nowMs));
    }
}

function isUseful(proof: FloorSample | undefined, { arrivedMs, question }: Asker): boolean {
    return proof !== undefined && proof.atMs >= arrivedMs - question.maximumProofAgeMs;
}

function answer({ streamId, question, arrivedMs }: Asker, proof: FloorSample | undefined): PeerAnswer {
    const result: FloorResult = {
        kind: "floor",
        questionId: question.questionId,
        position: proof?.position,
        proofAgeMs: proof === undefined ? 0 : Math.max(0, arrivedMs - proof.atMs),
    };
    return { kind: PeerKind.Answer, streamId, result };
}

function learned(service: string, sample: FloorSample): FloorLearned {
    return { kind: TaskKind.FloorLearned, service, sample };
}

function floorKey(service: string): string {
    return `floor/${service}`;
}
