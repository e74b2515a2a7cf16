/**
 * Proves to instances, on the leader, that a version of the configuration is the newest one. A read barrier in the log
 * shows that this member still leads; it is shared by all questions that have arrived before it.
 */
import { match } from "ts-pattern";
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import {
    CommandKind,
    ControlKind,
    type ControlLeaderChanged,
    type ControlProposalEnded,
    type ControlPropose,
    ProposalStatus,
} from "../model/controlMessages.ts";
import { type Detached, FleetKind, type FleetTimer, type FrameReceived } from "../model/fleetMessages.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { sendFrame } from "./attachments.ts";

/**
 * Minimum interval between two barriers, each of which is sent to all members and synced by their disks. A question waits
 * for it only behind another one; together with the barrier it is below the time after which an instance asks again.
 */
const barrierIntervalMs = 200;

/** Barriers under way at most; an instance no longer uses an answer that takes longer than these. */
const maximumBarriers = 5;

type ProofsInput =
    | FrameReceived
    | Detached
    | ControlProposalEnded
    | ControlLeaderChanged
    | ConfigurationApplied
    | FleetTimer;

interface Question {
    readonly attachmentId: string;
    readonly questionId: string;
}

interface Barrier {
    readonly proposalId: string;
    readonly questions: readonly Question[];
}

export class ConfigurationProofs implements Filter<ProofsInput, Message> {
    readonly step = "proofs";
    readonly accepts = [
        FleetKind.FrameReceived,
        FleetKind.Detached,
        FleetKind.ProofBarrierDue,
        ControlKind.ProposalEnded,
        ControlKind.LeaderChanged,
        ClusterKind.ConfigurationApplied,
    ];
    private leading = false;
    private version = 0;
    /** Questions that arrived since the last barrier was proposed. */
    private waiting: readonly Question[] = [];
    /** Barriers under way; on slow disks a question would wait for two if it waited for the end of an earlier one. */
    private barriers: readonly Barrier[] = [];
    private lastBarrierAtMs = -Infinity;
    private nextProposal = 0;

    process(message: ProofsInput, nowMs: number): readonly Message[] {
        return match<ProofsInput, readonly Message[]>(message)
            .with(
                { kind: FleetKind.FrameReceived, frame: { kind: "proof_asked" } },
                ({ attachmentId, frame }) => this.ask({ attachmentId, questionId: frame.questionId }, nowMs),
            )
            .with({ kind: FleetKind.Detached }, matched => {
                this.waiting = this.waiting.filter(({ attachmentId }) => attachmentId !== matched.attachmentId);
                return [matched];
            })
            .with({ kind: FleetKind.ProofBarrierDue }, () => this.proposeBarrier(nowMs))
            .with({ kind: ControlKind.ProposalEnded }, matched => {
                const barrier = this.barriers.find(({ proposalId }) => proposalId === matched.proposalId);
                return barrier === undefined ? [matched] : this.endBarrier(barrier, matched, nowMs);
            })
            .with({ kind: ControlKind.LeaderChanged }, matched => {
                this.leading = matched.leading;
                this.waiting = [];
                this.barriers = [];
                return [matched];
            })
            .with({ kind: ClusterKind.ConfigurationApplied }, matched => {
                this.version = matched.configuration.version;
                return [matched];
            })
            .otherwise(other => [other]);
    }

    /** A member that does not lead has no answer; the instance asks every member that claims to lead. */
    private ask(question: Question, nowMs: number): readonly Message[] {
        if (!this.leading) {
            return [];
        }
        this.waiting = [...this.waiting, question];
        return this.proposeBarrier(nowMs);
    }

    private proposeBarrier(nowMs: number): readonly Message[] {
        if (this.barriers.length >= maximumBarriers || this.waiting.length === 0) {
            return [];
        }
        const dueMs = this.lastBarrierAtMs + barrierIntervalMs;
        if (nowMs < dueMs) {
            return [setDeadline("fleet.proof_barrier", dueMs, { kind: FleetKind.ProofBarrierDue })];
        }
        const proposalId = `proof/${this.nextProposal++}`;
        this.barriers = [...this.barriers, { proposalId, questions: this.waiting }];
        this.waiting = [];
        this.lastBarrierAtMs = nowMs;
        const command = { kind: CommandKind.ReadBarrier };
        return [{ kind: ControlKind.Propose, proposalId, operationId: "", command } as ControlPropose];
    }

    /** The configuration that this member had applied before the barrier includes every earlier change. */
    private endBarrier(
        barrier: Barrier,
        { status }: ControlProposalEnded,
        nowMs: number,
    ): readonly Message[] {
        this.barriers = this.barriers.filter(other => other !== barrier);
        const isProved = status === ProposalStatus.Applied || status === ProposalStatus.Conflict;
        const proofs = barrier.questions.map(({ attachmentId, questionId }) =>
            sendFrame(attachmentId, { kind: "proof", questionId, configurationVersion: this.version })
        );
        return [...isProved ? proofs : [], ...this.proposeBarrier(nowMs)];
    }
}
