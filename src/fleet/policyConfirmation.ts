/**
 * Withholds the first policy of a process until a control leader confirms that it is up to date, and obtains proofs that
 * the policy in effect is the newest one.
 */
import { match } from "ts-pattern";
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import {
    type Detached,
    type FleetFrame,
    FleetKind,
    type FleetTimer,
    type FrameReceived,
    type PolicyApplied,
    type PolicyProofNeeded,
    type PolicyProofUnavailable,
    type PolicyProved,
} from "../model/fleetMessages.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { sendFrame } from "./attachments.ts";

/**
 * Time after which an unconfirmed policy takes effect, so that a data centre that is disconnected from the leader keeps
 * serving. Callers time out after 2 s, so a caller that waits during a restart does not encounter an unconfirmed
 * policy.
 */
const confirmationWaitMs = 2_000;

const confirmationKey = "fleet.confirmation";

/** Time after which an unanswered question for a proof is sent again: several round trips and a sync of a slow disk. */
const proofTimeoutMs = 400;

/** Time for which an answer to a question is of use: sessions use a proof up to this age (`policyAccess.ts`). */
const questionLifetimeMs = 1_000;

type ConfirmationInput =
    | ConfigurationApplied
    | FrameReceived
    | Detached
    | PolicyApplied
    | PolicyProofNeeded
    | FleetTimer;

interface Leader {
    readonly term: number;
    /** First version that the leader reported; it includes all changes acknowledged before this process started. */
    readonly configurationVersion: number;
}

interface ProofQuestion {
    readonly questionId: string;
    readonly askedAtMs: number;
}

/** A proof for a version that this instance may not have applied yet. */
interface Proof {
    readonly askedAtMs: number;
    readonly configurationVersion: number;
}

/**
 * A member publishes the configuration that it has, also while it catches up or is partitioned. Applied versions never
 * decrease, so an outdated version can only take effect in a process that has none yet. A leader has every change that
 * was acknowledged before it claimed to be the leader.
 *
 * That a policy lacks an entry says nothing about the newest one while this instance is cut off, stands still or follows
 * a feed that is behind. A proof states it for the time at which the question for it was sent, whatever happens to the
 * instance in between.
 */
export class PolicyConfirmation implements Filter<ConfirmationInput, Message> {
    readonly step = "policy_confirmation";
    readonly accepts = [
        ClusterKind.ConfigurationApplied,
        FleetKind.FrameReceived,
        FleetKind.Detached,
        FleetKind.PolicyApplied,
        FleetKind.ConfirmationDue,
        FleetKind.PolicyProofNeeded,
        FleetKind.PolicyProofDue,
    ];
    /** Members that claim to be the leader, by attachment. */
    private readonly leaders = new Map<string, Leader>();
    private version = 0;
    private latest: PolicyApplied | undefined;
    /** Policies that this filter emitted; each message that leaves the pipe comes back to it as an event. */
    private readonly emitted = new WeakSet<PolicyApplied>();
    /** The newest document cannot be decoded; what the policy lacks may be in it, and no proof tells otherwise. */
    private isOutdated = false;
    private confirmed = false;
    private waitEnded = false;
    /** Questions whose answers are of use, oldest first. */
    private questions: readonly ProofQuestion[] = [];
    private proof: Proof | undefined;
    private nextQuestion = 0;

    process(message: ConfirmationInput, nowMs: number): readonly Message[] {
        return match<ConfirmationInput, readonly Message[]>(message)
            .with({ kind: ClusterKind.ConfigurationApplied }, matched => {
                this.version = matched.configuration.version;
                return [matched, ...this.publishProofLater(nowMs)];
            })
            .with({ kind: FleetKind.FrameReceived }, matched => {
                this.updateLeaders(matched.attachmentId, matched.frame);
                return [
                    matched,
                    ...this.confirm(),
                    ...this.receiveProof(matched.frame, nowMs),
                    ...this.abandonQuestions(),
                ];
            })
            .with({ kind: FleetKind.Detached }, matched => {
                this.leaders.delete(matched.attachmentId);
                return [matched, ...this.abandonQuestions()];
            })
            .with({ kind: FleetKind.PolicyApplied }, matched => this.apply(matched, nowMs))
            .with({ kind: FleetKind.PolicyProofNeeded }, () => this.askForProof(nowMs))
            .with({ kind: FleetKind.PolicyProofDue }, () => this.publishProof())
            .otherwise(() => this.endWait());
    }

    private updateLeaders(attachmentId: string, frame: FleetFrame): void {
        if (frame.kind !== "status") {
            return;
        }
        const { leading, term, configurationVersion } = frame;
        if (!leading) {
            this.leaders.delete(attachmentId);
        }
        else if (this.leaders.get(attachmentId)?.term !== term) {
            this.leaders.set(attachmentId, { term, configurationVersion });
        }
    }

    private apply(policy: PolicyApplied, nowMs: number): readonly Message[] {
        if (this.emitted.has(policy)) {
            return [policy];
        }
        this.isOutdated = policy.outdated === true;
        if (this.confirmed) {
            return [this.emit({ ...policy, confirmed: true })];
        }
        const first = this.latest === undefined;
        this.latest = policy;
        const confirmed = this.confirm();
        if (confirmed.length > 0) {
            return confirmed;
        }
        const timer = setDeadline(confirmationKey, nowMs + confirmationWaitMs, { kind: FleetKind.ConfirmationDue });
        return [...first ? [timer] : [], ...this.waitEnded ? [this.emit(policy)] : []];
    }

    /** Emits the latest policy once it is at least as new as the leader's. */
    private confirm(): readonly Message[] {
        const { latest } = this;
        if (this.confirmed || latest === undefined) {
            return [];
        }
        const [leader] = [...this.leaders.values()].sort((left, right) =>
            right.term - left.term || left.configurationVersion - right.configurationVersion
        );
        if (leader === undefined || this.version < leader.configurationVersion) {
            return [];
        }
        this.confirmed = true;
        return [clearDeadline(confirmationKey), this.emit({ ...latest, confirmed: true })];
    }

    private endWait(): readonly Message[] {
        this.waitEnded = true;
        return this.latest === undefined ? [] : [this.emit(this.latest)];
    }

    /** Asks all members that claim to lead; only one that still does can answer. */
    private askForProof(nowMs: number): readonly Message[] {
        if (this.leaders.size === 0 || this.isOutdated) {
            return [proofUnavailable];
        }
        this.questions = this.questions.filter(({ askedAtMs }) => nowMs - askedAtMs < questionLifetimeMs);
        const latest = this.questions.at(-1);
        if (latest !== undefined && nowMs - latest.askedAtMs < proofTimeoutMs) {
            return [];
        }
        const questionId = `p${this.nextQuestion++}`;
        this.questions = [...this.questions, { questionId, askedAtMs: nowMs }];
        return [...this.leaders.keys()].map(attachmentId =>
            sendFrame(attachmentId, { kind: "proof_asked", questionId })
        );
    }

    /** Without a leader, nobody answers the questions any more. */
    private abandonQuestions(): readonly Message[] {
        if (this.questions.length === 0 || this.leaders.size > 0) {
            return [];
        }
        this.questions = [];
        return [proofUnavailable];
    }

    private receiveProof(frame: FleetFrame, nowMs: number): readonly Message[] {
        if (frame.kind !== "proof") {
            return [];
        }
        const answered = this.questions.find(({ questionId }) => questionId === frame.questionId);
        if (answered === undefined) {
            return [];
        }
        const { askedAtMs } = answered;
        this.questions = this.questions.filter(question => question.askedAtMs > askedAtMs);
        this.proof = { askedAtMs, configurationVersion: frame.configurationVersion };
        return this.publishProofLater(nowMs);
    }

    /** The policy of an applied configuration leaves the pipe after this message, and must take effect first. */
    private publishProofLater(nowMs: number): readonly Message[] {
        return this.coveredProof() === undefined
            ? []
            : [setDeadline("fleet.policy_proof", nowMs, { kind: FleetKind.PolicyProofDue })];
    }

    /** A later proof, which is not covered yet, may have arrived since the timer was set. */
    private publishProof(): readonly Message[] {
        const proof = this.coveredProof();
        if (proof === undefined) {
            return [];
        }
        this.proof = undefined;
        return [{ kind: FleetKind.PolicyProved, provedAtMs: proof.askedAtMs } as PolicyProved];
    }

    private coveredProof(): Proof | undefined {
        const isCovered = this.proof !== undefined && this.version >= this.proof.configurationVersion;
        return isCovered && !this.isOutdated ? this.proof : undefined;
    }

    private emit(policy: PolicyApplied): PolicyApplied {
        this.emitted.add(policy);
        return policy;
    }
}

const proofUnavailable: PolicyProofUnavailable = { kind: FleetKind.PolicyProofUnavailable };
