/** The instances that have stopped to acknowledge commits of a service, for as long as its primary is being replaced. */
import type { CommitsSeenFrame } from "../model/fleetMessages.ts";
import { comparePositions, hasReached, type Position } from "../model/position.ts";

export interface ClosingAnswer {
    /**
     * End of the primary's log when it answered the last acknowledged commit; the commit itself may lie before that.
     * Undefined if the instance has seen no commit.
     */
    readonly logEnd: Position | undefined;
    /** Position that the acknowledged commits have certainly reached. */
    readonly reached: Position | undefined;
    readonly arrivedMs: number;
}

export class ClosedInstances {
    private readonly answers = new Map<string, ClosingAnswer>();

    /** The answers by attachment id. */
    get byAttachment(): ReadonlyMap<string, ClosingAnswer> {
        return this.answers;
    }

    has(attachmentId: string): boolean {
        return this.answers.has(attachmentId);
    }

    add(attachmentId: string, { highest, reached }: CommitsSeenFrame, nowMs: number): void {
        if (!this.answers.has(attachmentId)) {
            this.answers.set(attachmentId, { logEnd: highest, reached, arrivedMs: nowMs });
        }
    }

    hasSeenNoCommit(attachmentId: string): boolean {
        const answer = this.answers.get(attachmentId);
        return answer !== undefined && answer.logEnd === undefined;
    }

    /** Upper bound of the commits that were acknowledged, as far as instances have answered. */
    highestLogEnd(): Position | undefined {
        return this.highest(({ logEnd }) => logEnd);
    }

    /** Lower bound of the commits that were acknowledged, as far as instances have answered. */
    highestReached(): Position | undefined {
        return this.highest(({ reached }) => reached);
    }

    /** When the last answer came that tells of commits beyond `position`; -Infinity if none does. */
    lastAnswerBeyond(position: Position): number {
        const beyond = [...this.answers.values()].filter(({ logEnd }) =>
            logEnd !== undefined && !hasReached(position, logEnd)
        );
        return Math.max(...beyond.map(({ arrivedMs }) => arrivedMs));
    }

    private highest(positionOf: (answer: ClosingAnswer) => Position | undefined): Position | undefined {
        return [...this.answers.values()].flatMap(answer => positionOf(answer) ?? []).sort(comparePositions).at(-1);
    }
}
