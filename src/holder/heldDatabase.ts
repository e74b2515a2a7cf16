/** Slots, connections and waiting work of one held database. */
import type { DatabaseView } from "../model/clusterMessages.ts";
import { DatabaseRole } from "../model/database.ts";
import type { HolderRequest } from "../model/holderMessages.ts";
import { type HolderAcquired, HolderPipeKind, type HolderReleased } from "../model/holderPipeMessages.ts";
import { type Refusal, RefusalCode } from "../model/refusal.ts";
import { StatementKind } from "../model/statement.ts";
import type { Message } from "../pipeline/message.ts";
import { acquireStep, answerWithoutState, refuseEarly } from "./admission.ts";
import { answerRequest, refused, sessionKey, sessionOf } from "./answers.ts";
import type { LinkKeeper } from "./linkKeeper.ts";
import { type Link, LinkState } from "./linkSet.ts";
import { ServiceEstimate } from "./serviceEstimate.ts";
import { WaitingWork } from "./waitingWork.ts";

export class HeldDatabase {
    readonly keeper: LinkKeeper;
    private view: DatabaseView;
    private readonly waiting = new WaitingWork();
    private readonly estimate = new ServiceEstimate();
    /** Sessions whose connection ended between two statements; their next statement is told so. */
    private readonly lostSessions = new Set<string>();
    private confirmationLag = { lagMs: 0, atMs: 0 };
    private draining = false;
    private stopped = false;
    /** Role that the database itself reported last. */
    private reportedRole: DatabaseRole | undefined;

    constructor(view: DatabaseView, keeper: LinkKeeper) {
        this.view = view;
        this.keeper = keeper;
    }

    update(view: DatabaseView): void {
        this.view = view;
        this.keeper.update(view);
    }

    /** Runs, queues or refuses a statement. */
    submit(request: HolderRequest, nowMs: number): readonly Message[] {
        const session = sessionOf(request);
        if (this.keeper.links.ownedBy(session) !== undefined) {
            return [this.waiting.addPinned(request), ...this.dispatch(nowMs)];
        }
        const wasLost = this.lostSessions.delete(session);
        const outcome = answerWithoutState(request, wasLost, this.view.databaseId) ?? this.refuseEarly(request, nowMs);
        if (outcome !== undefined) {
            return [answerRequest(request, outcome)];
        }
        return [this.waiting.add(request, this.estimate.expectedMs(request)), ...this.dispatch(nowMs)];
    }

    opened(link: Link, nowMs: number): readonly Message[] {
        this.keeper.opened(link, nowMs);
        return this.dispatch(nowMs);
    }

    openFailed(link: Link, nowMs: number): readonly Message[] {
        const effects = this.keeper.openFailed(link, nowMs);
        const refusals = this.keeper.unreachable
            ? this.refuseWaiting(RefusalCode.ConnectFailed, { detail: this.view.address })
            : [];
        return [...effects, ...refusals, ...this.dispatch(nowMs)];
    }

    probed(link: Link, executionId: string, nowMs: number): readonly Message[] {
        this.keeper.probed(link, executionId, nowMs);
        return this.dispatch(nowMs);
    }

    /** A statement ended: frees its slot, and its connection unless that keeps state. */
    released(link: Link, message: HolderReleased, nowMs: number): readonly Message[] {
        const request = link.running;
        if (request === undefined || link.state !== LinkState.Running) {
            return [];
        }
        this.estimate.record(request, nowMs - link.sinceMs);
        link.inTransaction = message.inTransaction;
        link.sessionState = message.sessionState;
        const keepsState = message.inTransaction || message.sessionState;
        if (message.broken || (keepsState && link.sessionEnded)) {
            return [...this.keeper.close(link, nowMs), ...this.dispatch(nowMs)];
        }
        link.running = undefined;
        link.sessionEnded = false;
        this.keeper.links.setOwner(link, keepsState ? sessionOf(request) : undefined);
        this.keeper.links.setState(link, LinkState.Idle, nowMs);
        return this.dispatch(nowMs);
    }

    closed(link: Link, nowMs: number): readonly Message[] {
        const { owner } = link;
        this.keeper.links.remove(link);
        const orphans = owner === undefined ? [] : this.waiting.ofSession(owner);
        // The answer to a statement that runs or waits tells the session about the loss.
        if (owner !== undefined && link.running === undefined && orphans.length === 0 && !link.sessionEnded) {
            this.lostSessions.add(owner);
        }
        const answers = orphans.flatMap(request => this.refuseWaitingOne(request, RefusalCode.TransactionLost));
        return [...answers, ...this.dispatch(nowMs)];
    }

    /** Rolls back what the session left and forgets the session. */
    sessionEnded(session: string, nowMs: number): readonly Message[] {
        this.lostSessions.delete(session);
        const effects: Message[] = this.waiting.ofSession(session).map(request => this.waiting.leave(request));
        for (const link of this.keeper.links.all) {
            const concerns = link.owner === session
                || (link.running !== undefined && sessionOf(link.running) === session);
            link.sessionEnded ||= concerns;
            if (link.owner === session) {
                effects.push(...this.keeper.close(link, nowMs));
            }
        }
        return [...effects, ...this.endWorkWhenIdle()];
    }

    /** Sessions that came over the given stream, as far as this database knows them. */
    sessionsFrom(origin: string): readonly string[] {
        const sessions = [
            ...this.keeper.links.all.flatMap(link => link.owner ?? []),
            ...this.keeper.links.all.flatMap(link => link.running === undefined ? [] : sessionOf(link.running)),
            ...this.waiting.all.map(sessionOf),
            ...this.lostSessions,
        ];
        return [...new Set(sessions)].filter(session => session.startsWith(sessionKey(origin, "")));
    }

    /** Refuses a waiting statement whose deadline has passed; undefined when it does not wait here. */
    waitExpired(key: string): readonly Message[] | undefined {
        const request = this.waiting.get(key);
        return request === undefined ? undefined : this.refuseWaitingOne(request, RefusalCode.WaitExceeded);
    }

    /** Regular check of connections. */
    check(nowMs: number): readonly Message[] {
        return [...this.keeper.check(nowMs), ...this.dispatch(nowMs)];
    }

    /** The database said which role it has; a new primary takes changes only once it knows of its promotion. */
    roleReported(role: DatabaseRole, nowMs: number): readonly Message[] {
        const changed = this.reportedRole !== role;
        this.reportedRole = role;
        return changed ? this.dispatch(nowMs) : [];
    }

    confirmationLagKnown(lagMs: number, nowMs: number): void {
        this.confirmationLag = { lagMs, atMs: nowMs };
    }

    /** From now on new transactions are refused; once none is open, everything is. */
    drain(): readonly Message[] {
        this.draining = true;
        return this.endWorkWhenIdle();
    }

    /** The drain limit passed: ends the transactions that are still open. */
    drainNow(nowMs: number): readonly Message[] {
        this.draining = true;
        const owned = this.keeper.links.all.filter(link => link.owner !== undefined);
        return [...owned.flatMap(link => this.keeper.close(link, nowMs)), ...this.endWorkWhenIdle()];
    }

    /** The lease ended: another instance needs the connections soon. */
    abandon(nowMs: number): readonly Message[] {
        this.stopped = true;
        const refusals = this.refuseWaiting(RefusalCode.HolderUnavailable, { detail: "the lease ended" });
        return [...refusals, ...this.keeper.links.all.flatMap(link => this.keeper.close(link, nowMs))];
    }

    /** Gives free slots to waiting work and keeps connections open ahead of need. */
    private dispatch(nowMs: number): readonly Message[] {
        if (this.stopped) {
            return [];
        }
        const outputs: Message[] = [];
        while (this.keeper.links.running < this.view.slots) {
            const started = this.startNext(nowMs);
            if (started.length === 0) {
                break;
            }
            outputs.push(...started);
        }
        return [...outputs, ...this.keeper.openAhead(nowMs), ...this.endWorkWhenIdle()];
    }

    private startNext(nowMs: number): readonly Message[] {
        const { links } = this.keeper;
        const idleLink = (request: HolderRequest): Link | undefined => {
            const link = links.ownedBy(sessionOf(request));
            return link?.state === LinkState.Idle ? link : undefined;
        };
        const pinned = this.waiting.findPinned(request => idleLink(request) !== undefined);
        if (pinned !== undefined) {
            return this.start(pinned, idleLink(pinned)!, nowMs);
        }
        const free = links.firstFree;
        const request = free === undefined ? undefined : this.waiting.take({ changes: this.mayStartChange });
        return request === undefined ? [] : this.start(request, free!, nowMs);
    }

    /**
     * Each open transaction keeps a slot for its next statement, which only reads may use meanwhile. Otherwise
     * statements that wait for the transaction's locks could fill all slots, and nothing would go on until they time out.
     */
    private get mayStartChange(): boolean {
        const { links } = this.keeper;
        return this.reportedRole === DatabaseRole.Primary && links.owned + links.runningChanges < this.view.slots;
    }

    private start(request: HolderRequest, link: Link, nowMs: number): readonly Message[] {
        const session = sessionOf(request);
        const owned = this.keeper.links.ownedBy(session);
        if (nowMs > request.deadlineMs || (owned !== undefined && owned !== link)) {
            return this.refuseWaitingOne(request, RefusalCode.WaitExceeded);
        }
        const cleared = this.waiting.leave(request);
        link.running = request;
        this.keeper.links.setState(link, LinkState.Running, nowMs);
        const { linkId, inTransaction } = link;
        const sessionState = link.sessionState || request.statementKind === StatementKind.SessionState;
        const acquired: HolderAcquired = {
            kind: HolderPipeKind.Acquired,
            request,
            linkId,
            inTransaction,
            sessionState,
        };
        return [cleared, acquired];
    }

    private refuseEarly(request: HolderRequest, nowMs: number): ReturnType<typeof refuseEarly> {
        const { view, draining, confirmationLag } = this;
        // Without open transactions nothing speaks for running more: the next holder takes the work.
        const stopped = this.stopped || (draining && this.keeper.links.owned === 0);
        const { unreachable } = this.keeper;
        const expectedWaitMs = this.waiting.costAheadMs(request) / view.slots;
        const state = { view, draining, stopped, unreachable, expectedWaitMs, confirmationLag };
        return refuseEarly(request, state, nowMs);
    }

    private refuseWaiting(code: RefusalCode, parts: Partial<Refusal>): readonly Message[] {
        return this.waiting.all.flatMap(request => this.refuseWaitingOne(request, code, parts));
    }

    private refuseWaitingOne(
        request: HolderRequest,
        code: RefusalCode,
        parts: Partial<Refusal> = {},
    ): readonly Message[] {
        const link = this.keeper.links.ownedBy(sessionOf(request));
        const inTransaction = link?.inTransaction ?? false;
        const state = { inTransaction, pinned: link !== undefined, written: undefined };
        const outcome = refused(code, acquireStep, { peer: this.view.databaseId, ...parts });
        return [this.waiting.leave(request), answerRequest(request, outcome, state)];
    }

    private endWorkWhenIdle(): readonly Message[] {
        const { links } = this.keeper;
        if (!this.draining || this.stopped || links.owned > 0 || links.running > 0 || !this.waiting.isEmpty) {
            return [];
        }
        this.stopped = true;
        return [{ kind: HolderPipeKind.WorkEnded, databaseId: this.view.databaseId } as Message];
    }
}
