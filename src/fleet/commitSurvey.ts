/** Asks the instances, before a promotion, for the commits of a service that they have seen acknowledged. */
import { type CommitsSeenFrame, FleetKind, type SendFrame } from "../model/fleetMessages.ts";
import { hasReached, type Position } from "../model/position.ts";
import type { ClosedInstances } from "./closedInstances.ts";
import type { CommitWitnesses } from "./commitWitnesses.ts";

/**
 * Delay before instances that have not reported their acknowledged commits are asked again; longer than the round trip
 * on a congested network link.
 */
const questionRetryMs = 500;

/** The acknowledged commits that an instance reported, with times on the clock of this member. */
interface CommitReport {
    readonly highest: Position | undefined;
    /** Lower bound of the time at which the highest commit was sent; undefined if unknown. */
    readonly sentAtMs: number | undefined;
    /** Upper bound of the time at which the instance's process began to record commits. */
    readonly watchedFromMs: number;
}

export interface CommitSurveyOptions {
    readonly service: string;
    /** Fencing token of the promotion; unique among the promotions of the service. */
    readonly fence: number;
    /** Instances that may have seen acknowledgements. */
    readonly witnesses: CommitWitnesses;
    readonly closedInstances: ClosedInstances;
}

export class CommitSurvey {
    private readonly options: CommitSurveyOptions;
    private readonly reports = new Map<string, CommitReport>();
    /** Incremented whenever commits can be acknowledged again, which invalidates earlier answers. */
    private round = 0;
    /** Time at which the first question of the round was sent. */
    private roundStartedAtMs = 0;
    private lastQuestionAtMs: number | undefined;
    /** When each instance was last asked to acknowledge no further commits, by attachment id. */
    private readonly closingAskedAtMs = new Map<string, number>();

    constructor(options: CommitSurveyOptions) {
        this.options = options;
    }

    /** Attachments that were asked to acknowledge no further commits. */
    get closingAsked(): readonly string[] {
        return [...this.closingAskedAtMs.keys()];
    }

    /**
     * Asks the instances to acknowledge no further commits until the promotion is complete. Their answers don't depend on
     * what the databases do meanwhile.
     */
    close(nowMs: number): readonly SendFrame[] {
        const { witnesses, closedInstances } = this.options;
        // An instance that attaches again is asked again: its process may be another one.
        const due = [...witnesses.serving.keys()].filter(attachmentId =>
            !closedInstances.has(attachmentId)
            && nowMs - (this.closingAskedAtMs.get(attachmentId) ?? -Infinity) >= questionRetryMs
        );
        return due.map(attachmentId => {
            this.closingAskedAtMs.set(attachmentId, nowMs);
            return this.question(attachmentId, this.closingId());
        });
    }

    /** Whether all instances are there and have stopped to acknowledge commits without having seen one. */
    hasSeenNoCommit(): boolean {
        const { witnesses, closedInstances } = this.options;
        return witnesses.absent().length === 0
            && [...witnesses.serving.keys()].every(attachmentId => closedInstances.hasSeenNoCommit(attachmentId));
    }

    /** Asks the instances that have not answered. To be called only while no commit can be acknowledged. */
    ask(nowMs: number): readonly SendFrame[] {
        if (nowMs - (this.lastQuestionAtMs ?? -Infinity) < questionRetryMs) {
            return [];
        }
        if (this.lastQuestionAtMs === undefined) {
            this.roundStartedAtMs = nowMs;
        }
        this.lastQuestionAtMs = nowMs;
        const { witnesses } = this.options;
        return [...witnesses.serving].filter(([, { instanceId }]) => !this.reports.has(instanceId))
            .map(([attachmentId]) => this.question(attachmentId, this.questionId()));
    }

    /** Records the answer of an instance to the current question. */
    record(attachmentId: string, frame: CommitsSeenFrame, nowMs: number): void {
        const { highest, sentAgeMs, watchedMs, questionId } = frame;
        const instance = this.options.witnesses.serving.get(attachmentId);
        if (instance !== undefined && questionId === this.closingId()) {
            this.options.closedInstances.add(attachmentId, frame, nowMs);
        }
        if (instance !== undefined && this.lastQuestionAtMs !== undefined && questionId === this.questionId()) {
            this.reports.set(instance.instanceId, {
                highest,
                sentAtMs: sentAgeMs === undefined ? undefined : this.roundStartedAtMs - sentAgeMs,
                // The maximum guards against clock steps: one on the instance makes the first value too early, one on
                // this member the second.
                watchedFromMs: Math.max(nowMs - watchedMs, instance.attachedAtMs),
            });
        }
    }

    /** Discards all answers, because commits can be acknowledged again. */
    discard(): void {
        if (this.lastQuestionAtMs !== undefined) {
            this.round++;
            this.reports.clear();
            this.lastQuestionAtMs = undefined;
        }
    }

    /** Instances whose answer is missing, or that are absent and not covered by an answer of another one. */
    awaitedWitnesses(): readonly string[] {
        const { witnesses } = this.options;
        const attached = [...witnesses.serving.values()].map(({ instanceId }) => instanceId);
        const unanswered = attached.filter(instanceId => !this.reports.has(instanceId));
        const uncovered = witnesses.absent().filter(({ mayHaveSentUntilMs }) =>
            !this.hasCommitSince(mayHaveSentUntilMs)
        );
        return [...new Set([...unanswered, ...uncovered.map(({ instanceId }) => instanceId)])];
    }

    /** Whether a log up to `position` contains all commits that the instances and their earlier processes saw. */
    isCoveredBy(position: Position): boolean {
        return [...this.reports.values()].every(({ highest, watchedFromMs }) =>
            highest === undefined ? this.hasCommitSince(watchedFromMs) : hasReached(position, highest)
        );
    }

    /**
     * Whether an instance has reported a commit that was sent at `sinceMs` or later. Its position is higher than those of
     * all commits that processes which had ended by then, or had lost their right to send commits, saw acknowledged.
     */
    private hasCommitSince(sinceMs: number): boolean {
        return [...this.reports.values()].some(({ sentAtMs }) => sentAtMs !== undefined && sentAtMs >= sinceMs);
    }

    private question(attachmentId: string, questionId: string): SendFrame {
        const { service, fence } = this.options;
        return {
            kind: FleetKind.SendFrame,
            attachmentId,
            frame: { kind: "commits_asked", questionId, service, fence },
        };
    }

    private closingId(): string {
        return `${this.options.fence}/close`;
    }

    /** Distinguishes answers to the current question from late answers to earlier ones. */
    private questionId(): string {
        return `${this.options.fence}/${this.round}`;
    }
}
