/** How the workspaces use the links of one pool. */
import type { LinkReply } from "../model/linkMessages.ts";
import { TaskMode } from "../model/sessionStatement.ts";
import { type LinkSupply, LinkUse } from "../scheduling/linkChoice.ts";
import { type Link, type LinkAttempt, LinkState } from "./link.ts";

/** Time for which a statement occupies a link, before any was measured, and weight of the newest measurement. */
const initialBusyMs = 15;
const busySmoothing = 0.1;

/** Multiple of the mean time, and time, from which a statement on a link may hang. */
const hangFactor = 4;
const minimumHangMs = 60;

export class LinkDemand {
    private readonly use = new LinkUse();
    private meanBusyMs = initialBusyMs;

    recordAttempt({ placed: { task }, sentMs }: LinkAttempt, reply: LinkReply | undefined, nowMs: number): void {
        this.use.recordUse(task.workspace, nowMs);
        if (reply !== undefined && sentMs !== undefined) {
            this.meanBusyMs += busySmoothing * (nowMs - sentMs - this.meanBusyMs);
        }
    }

    /** Returns the link that is least likely to be used again soon. */
    leastUseful(idle: readonly Link[], nowMs: number): Link | undefined {
        return this.use.chooseToClose(idle, nowMs);
    }

    /**
     * @param links those of one workspace
     * @param waiting number of its tasks that wait for a link
     */
    supplyOf(links: Iterable<Link>, waiting: number, nowMs: number): LinkSupply {
        const { meanBusyMs } = this;
        const own = [...links];
        return {
            busy: own.filter(link => this.willBeFreeSoon(link, nowMs)).length,
            opening: own.filter(({ state }) => state === LinkState.Opening).length,
            waiting,
            meanBusyMs,
        };
    }

    /** A link with a statement of a transaction stays reserved for it. */
    private willBeFreeSoon({ state, attempt }: Link, nowMs: number): boolean {
        return state === LinkState.Busy && attempt?.sentMs !== undefined
            && attempt.placed.task.mode === TaskMode.Single
            && nowMs - attempt.sentMs < Math.max(minimumHangMs, hangFactor * this.meanBusyMs);
    }
}
