/** Lets a process that stops wait until its control member no longer leads. */
import { ControlKind, type ControlLeaderChanged } from "../model/controlMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";

/** Time for the hand-over: several attempts of the leader, and an election between regions with its disk syncs. */
const handOverLimitMs = 700;

export class LeadHandOver implements Sink<ControlLeaderChanged> {
    readonly accepts = [ControlKind.LeaderChanged];
    private readonly post: (message: Message) => void;
    private isLeading = false;
    private onEnd: () => void = () => undefined;

    /** @param post posts to the event loop of the process */
    constructor(post: (message: Message) => void) {
        this.post = post;
    }

    deliver({ leading }: ControlLeaderChanged): void {
        this.isLeading = leading;
        if (!leading) {
            this.onEnd();
        }
    }

    /** Announces the stop to the control member. Resolves when it does not lead, or after the limit. */
    async complete(): Promise<void> {
        this.post({ kind: ControlKind.StopAnnounced });
        if (!this.isLeading) {
            return;
        }
        await new Promise<void>(resolve => {
            const timer = setTimeout(resolve, handOverLimitMs);
            this.onEnd = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }
}
