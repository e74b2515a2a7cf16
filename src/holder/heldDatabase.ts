/** Slots, connections and waiting work of one held database. */
import type { DatabaseView } from "../model/clusterMessages.ts";
import { DatabaseRole } from "../model/database.ts";
import type { HolderRequest } from "../model/holderMessages.ts";
import { type HolderAcquired, HolderPipeKind, type HolderReleased } from "../model/holderPipeMessages.ts";
import { type Refusal, RefusalCode } from "../model/refusal.ts";
import { StatementKind } from "../model/statement.ts";
import type { Message } from "../pipeline/message.ts";
import { acquireStep, checkAdmission, outcomeWithoutLink } from "./admission.ts";
import { createAnswer, refusedOutcome, sessionKey, sessionKeyOf } from "./answers.ts";
import { type Link, LinkState } from "./linkSet.ts";
import { ServiceTimeEstimate } from "./serviceTimeEstimate.ts";
import { WaitingStatements } from "./waitingStatements.ts";
import type { WorkLinkPool } from "./workLinkPool.ts";

export class HeldDatabase {
    readonly pool: WorkLinkPool;
    private view: DatabaseView;
    private readonly waitingStatements = new WaitingStatements();
    private readonly serviceTimes = new ServiceTimeEstimate();
    /** Sessions whose connection ended between two statements; their next statement is told so. */
    private readonly lostSessions = new Set<string>();
    private confirmationLag = { lagMs: 0, measuredAtMs: 0 };
    private draining = false;
    private stopped = false;
    /** Role that the database itself reported last. */
    private reportedRole: DatabaseRole | undefined;

    constructor(view: DatabaseView, pool: WorkLinkPool) {
        this.view = view;
        this.pool = pool;
    }

    updateView(view: DatabaseView): void {
        this.view = view;
        this.pool.updateView(view);
    }

    /** Runs, queues or refuses a statement. */
    submit(request: HolderRequest, nowMs: number): readonly Message[] {
        const session = sessionKeyOf(request);
        if (this.pool.links.ownedBy(session) !== undefined) {
            return [this.waitingStatements.addPinned(request), ...this.dispatch(nowMs)];
        }
        const linkWasLost = this.lostSessions.delete(session);
        const outcome = outcomeWithoutLink(request, linkWasLost, this.view.databaseId)
            ?? this.checkAdmission(request, nowMs);
        if (outcome !== undefined) {
            return [createAnswer(request, outcome)];
        }
        return [this.waitingStatements.add(request, this.serviceTimes.expectedMs(request)), ...this.dispatch(nowMs)];
    }

    linkOpened(link: Link, nowMs: number): readonly Message[] {
        this.pool.linkOpened(link, nowMs);
        return this.dispatch(nowMs);
    }

    linkOpenFailed(link: Link, nowMs: number): readonly Message[] {
        const outputs = this.pool.linkOpenFailed(link, nowMs);
        const refusals = this.pool.isUnreachable
            ? this.refuseAllWaiting(RefusalCode.ConnectFailed, { detail: this.view.address })
            : [];
        return [...outputs, ...refusals, ...this.dispatch(nowMs)];
    }

    linkProbed(link: Link, executionId: string, nowMs: number): readonly Message[] {
        this.pool.linkProbed(link, executionId, nowMs);
        return this.dispatch(nowMs);
    }

    /** A statement ended: frees its slot, and its connection unless that keeps state. */
    linkReleased(link: Link, message: HolderReleased, nowMs: number): readonly Message[] {
        const request = link.runningRequest;
        if (request === undefined || link.state !== LinkState.Running) {
            return [];
        }
        this.serviceTimes.recordServiceTime(request, nowMs - link.stateSinceMs);
        link.inTransaction = message.inTransaction;
        link.sessionState = message.sessionState;
        const keepsState = message.inTransaction || message.sessionState;
        if (message.broken || (keepsState && link.sessionEnded)) {
            return [...this.pool.close(link, nowMs), ...this.dispatch(nowMs)];
        }
        link.runningRequest = undefined;
        link.sessionEnded = false;
        this.pool.links.setOwner(link, keepsState ? sessionKeyOf(request) : undefined);
        this.pool.links.setState(link, LinkState.Idle, nowMs);
        return this.dispatch(nowMs);
    }

    linkClosed(link: Link, nowMs: number): readonly Message[] {
        const { owner } = link;
        this.pool.links.remove(link);
        const ownerStatements = owner === undefined ? [] : this.waitingStatements.ofSession(owner);
        // The answer to a statement that runs or waits tells the session about the loss.
        if (
            owner !== undefined && link.runningRequest === undefined && ownerStatements.length === 0
            && !link.sessionEnded
        ) {
            this.lostSessions.add(owner);
        }
        const answers = ownerStatements.flatMap(request => this.refuseWaiting(request, RefusalCode.TransactionLost));
        return [...answers, ...this.dispatch(nowMs)];
    }

    /** Rolls back what the session left and forgets the session. */
    sessionEnded(session: string, nowMs: number): readonly Message[] {
        this.lostSessions.delete(session);
        const outputs: Message[] = this.waitingStatements.ofSession(session).map(request =>
            this.waitingStatements.remove(request)
        );
        for (const link of this.pool.links.all) {
            const isAffected = link.owner === session
                || (link.runningRequest !== undefined && sessionKeyOf(link.runningRequest) === session);
            link.sessionEnded ||= isAffected;
            if (link.owner === session) {
                outputs.push(...this.pool.close(link, nowMs));
            }
        }
        return [...outputs, ...this.reportWorkEndedIfIdle()];
    }

    /** Sessions that came over the given stream, as far as this database knows them. */
    sessionsOfOrigin(origin: string): readonly string[] {
        const sessions = [
            ...this.pool.links.all.flatMap(link => link.owner ?? []),
            ...this.pool.links.all.flatMap(link =>
                link.runningRequest === undefined ? [] : sessionKeyOf(link.runningRequest)
            ),
            ...this.waitingStatements.all.map(sessionKeyOf),
            ...this.lostSessions,
        ];
        return [...new Set(sessions)].filter(session => session.startsWith(sessionKey(origin, "")));
    }

    /** Refuses a waiting statement whose deadline has passed; undefined when it does not wait here. */
    expireWait(key: string): readonly Message[] | undefined {
        const request = this.waitingStatements.get(key);
        return request === undefined ? undefined : this.refuseWaiting(request, RefusalCode.WaitExceeded);
    }

    /** Regular check of connections. */
    checkLinks(nowMs: number): readonly Message[] {
        return [...this.pool.checkLinks(nowMs), ...this.dispatch(nowMs)];
    }

    /** The database said which role it has; a new primary takes changes only once it knows of its promotion. */
    roleReported(role: DatabaseRole, nowMs: number): readonly Message[] {
        const changed = this.reportedRole !== role;
        this.reportedRole = role;
        return changed ? this.dispatch(nowMs) : [];
    }

    updateConfirmationLag(lagMs: number, nowMs: number): void {
        this.confirmationLag = { lagMs, measuredAtMs: nowMs };
    }

    /** From now on new transactions are refused; once none is open, everything is. */
    startDrain(): readonly Message[] {
        this.draining = true;
        return this.reportWorkEndedIfIdle();
    }

    /** The drain limit passed: ends the transactions that are still open. */
    forceDrain(nowMs: number): readonly Message[] {
        this.draining = true;
        const ownedLinks = this.pool.links.all.filter(link => link.owner !== undefined);
        return [...ownedLinks.flatMap(link => this.pool.close(link, nowMs)), ...this.reportWorkEndedIfIdle()];
    }

    /** The lease ended: another instance needs the connections soon. */
    stopAfterLeaseEnd(nowMs: number): readonly Message[] {
        this.stopped = true;
        const refusals = this.refuseAllWaiting(RefusalCode.HolderUnavailable, { detail: "the lease ended" });
        return [...refusals, ...this.pool.links.all.flatMap(link => this.pool.close(link, nowMs))];
    }

    /** Gives free slots to waiting work and keeps connections open ahead of need. */
    private dispatch(nowMs: number): readonly Message[] {
        if (this.stopped) {
            return [];
        }
        const outputs: Message[] = [];
        while (this.pool.links.runningCount < this.view.slots) {
            const started = this.startNext(nowMs);
            if (started.length === 0) {
                break;
            }
            outputs.push(...started);
        }
        return [...outputs, ...this.pool.replenish(nowMs), ...this.reportWorkEndedIfIdle()];
    }

    private startNext(nowMs: number): readonly Message[] {
        const { links } = this.pool;
        const idleLink = (request: HolderRequest): Link | undefined => {
            const link = links.ownedBy(sessionKeyOf(request));
            return link?.state === LinkState.Idle ? link : undefined;
        };
        const pinned = this.waitingStatements.findPinned(request => idleLink(request) !== undefined);
        if (pinned !== undefined) {
            return this.start(pinned, idleLink(pinned)!, nowMs);
        }
        const freeLink = links.nextFree;
        const request = freeLink === undefined
            ? undefined
            : this.waitingStatements.dequeue({ nonReads: this.mayStartNonRead });
        return request === undefined ? [] : this.start(request, freeLink!, nowMs);
    }

    /**
     * Each open transaction keeps a slot for its next statement, which only reads may use meanwhile. Otherwise
     * statements that wait for the transaction's locks could fill all slots, and nothing would go on until they time out.
     */
    private get mayStartNonRead(): boolean {
        const { links } = this.pool;
        return this.reportedRole === DatabaseRole.Primary
            && links.ownedCount + links.runningNonReadCount < this.view.slots;
    }

    private start(request: HolderRequest, link: Link, nowMs: number): readonly Message[] {
        const session = sessionKeyOf(request);
        const ownedLink = this.pool.links.ownedBy(session);
        if (nowMs > request.deadlineMs || (ownedLink !== undefined && ownedLink !== link)) {
            return this.refuseWaiting(request, RefusalCode.WaitExceeded);
        }
        const cleared = this.waitingStatements.remove(request);
        link.runningRequest = request;
        this.pool.links.setState(link, LinkState.Running, nowMs);
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

    private checkAdmission(request: HolderRequest, nowMs: number): ReturnType<typeof checkAdmission> {
        const { view, draining, confirmationLag } = this;
        // Without open transactions nothing speaks for running more: the next holder takes the work.
        const stopped = this.stopped || (draining && this.pool.links.ownedCount === 0);
        const { isUnreachable: unreachable } = this.pool;
        const expectedWaitMs = this.waitingStatements.costAheadMs(request) / view.slots;
        const state = { view, draining, stopped, unreachable, expectedWaitMs, confirmationLag };
        return checkAdmission(request, state, nowMs);
    }

    private refuseAllWaiting(code: RefusalCode, parts: Partial<Refusal>): readonly Message[] {
        return this.waitingStatements.all.flatMap(request => this.refuseWaiting(request, code, parts));
    }

    private refuseWaiting(
        request: HolderRequest,
        code: RefusalCode,
        parts: Partial<Refusal> = {},
    ): readonly Message[] {
        const link = this.pool.links.ownedBy(sessionKeyOf(request));
        const inTransaction = link?.inTransaction ?? false;
        const state = { inTransaction, pinned: link !== undefined, written: undefined };
        const outcome = refusedOutcome(code, acquireStep, { peer: this.view.databaseId, ...parts });
        return [this.waitingStatements.remove(request), createAnswer(request, outcome, state)];
    }

    private reportWorkEndedIfIdle(): readonly Message[] {
        const { links } = this.pool;
        if (
            !this.draining || this.stopped || links.ownedCount > 0 || links.runningCount > 0
            || !this.waitingStatements.isEmpty
        ) {
            return [];
        }
        this.stopped = true;
        return [{ kind: HolderPipeKind.WorkEnded, databaseId: this.view.databaseId } as Message];
    }
}
