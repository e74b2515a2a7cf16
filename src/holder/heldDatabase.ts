/** Schedules the statements for one held database onto its slots and connections. */
import type { DatabaseView } from "../model/clusterMessages.ts";
import { DatabaseRole } from "../model/database.ts";
import type { HolderRequest } from "../model/holderMessages.ts";
import { type HolderAcquired, HolderPipeKind, type HolderReleased } from "../model/holderPipeMessages.ts";
import { type Refusal, RefusalCode } from "../model/refusal.ts";
import { StatementKind } from "../model/statement.ts";
import type { Message } from "../pipeline/message.ts";
import { EvacuationStage } from "../scheduling/evacuations.ts";
import { ServiceTimeEstimate } from "../scheduling/serviceTimeEstimate.ts";
import { acquireStep, checkAdmission, evacuatedRefusal, outcomeWithoutLink } from "./admission.ts";
import { createAnswer, refusedOutcome, sessionKey, sessionKeyOf } from "./answers.ts";
import { type Link, LinkState } from "./linkSet.ts";
import { WaitingStatements } from "./waitingStatements.ts";
import type { WorkLinkPool } from "./workLinkPool.ts";

export class HeldDatabase {
    readonly pool: WorkLinkPool;
    private view: DatabaseView;
    private readonly waiting = new WaitingStatements();
    private readonly serviceTimes = new ServiceTimeEstimate();
    /** Sessions whose connection ended between two statements; the next statement gets `transaction_lost`. */
    private readonly lostSessions = new Set<string>();
    private confirmationLag = { lagMs: 0, measuredAtMs: 0 };
    private draining = false;
    private stopped = false;
    private evacuationStage: EvacuationStage = EvacuationStage.Open;
    /** Role that the database itself reported most recently. */
    private reportedRole: DatabaseRole | undefined;

    constructor(view: DatabaseView, pool: WorkLinkPool) {
        this.view = view;
        this.pool = pool;
    }

    updateView(view: DatabaseView): void {
        this.view = view;
        this.pool.updateView(view);
    }

    get currentView(): DatabaseView {
        return this.view;
    }

    /**
     * Ends the work that the evacuation of the data centre no longer allows: waiting statements are refused as not run,
     * connections close unless a statement runs on them. Their sessions lose their transactions.
     */
    updateEvacuationStage(stage: EvacuationStage, nowMs: number): readonly Message[] {
        if (stage === this.evacuationStage) {
            return [];
        }
        this.evacuationStage = stage;
        const refused = stage === EvacuationStage.Open
            ? []
            : this.waiting.all.filter(request => this.pool.links.ownedBy(sessionKeyOf(request)) === undefined);
        const [code, fields] = evacuatedRefusal(this.view.role === DatabaseRole.Primary);
        return [
            ...refused.flatMap(request => this.refuseWaiting(request, code, fields)),
            ...this.pool.links.all.flatMap(link => this.closeEvacuated(link, nowMs)),
            ...this.dispatch(nowMs),
        ];
    }

    /** Runs, queues or refuses a statement. */
    submit(request: HolderRequest, nowMs: number): readonly Message[] {
        const session = sessionKeyOf(request);
        if (this.pool.links.ownedBy(session) !== undefined) {
            return [this.waiting.addPinned(request), ...this.dispatch(nowMs)];
        }
        const linkWasLost = this.lostSessions.delete(session);
        const outcome = outcomeWithoutLink(request, linkWasLost, this.view.databaseId)
            ?? this.checkAdmission(request, nowMs);
        if (outcome !== undefined) {
            return [createAnswer(request, outcome)];
        }
        return [
            this.waiting.add(request, this.serviceTimes.expectedMs(serviceTimeKey(request))),
            ...this.dispatch(nowMs),
        ];
    }

    linkOpened(link: Link, nowMs: number): readonly Message[] {
        this.pool.linkOpened(link, nowMs);
        return [...this.closeEvacuated(link, nowMs), ...this.dispatch(nowMs)];
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

    /** A statement ended: frees its slot, and its connection too unless that holds session state. */
    linkReleased(link: Link, message: HolderReleased, nowMs: number): readonly Message[] {
        const request = link.runningRequest;
        if (request === undefined || link.state !== LinkState.Running) {
            return [];
        }
        this.serviceTimes.recordServiceTime(serviceTimeKey(request), nowMs - link.stateSinceMs);
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
        return [...this.closeEvacuated(link, nowMs), ...this.dispatch(nowMs)];
    }

    linkClosed(link: Link, nowMs: number): readonly Message[] {
        const { owner } = link;
        this.pool.links.remove(link);
        const ownerStatements = owner === undefined ? [] : this.waiting.ofSession(owner);
        // A running or waiting statement informs the session of the loss by its own answer.
        if (
            owner !== undefined && link.runningRequest === undefined && ownerStatements.length === 0
            && !link.sessionEnded
        ) {
            this.lostSessions.add(owner);
        }
        const answers = ownerStatements.flatMap(request => this.refuseWaiting(request, RefusalCode.TransactionLost));
        return [...answers, ...this.dispatch(nowMs)];
    }

    /** Removes the session: cancels its waiting statements and closes its connection, which ends its transaction. */
    endSession(session: string, nowMs: number): readonly Message[] {
        this.lostSessions.delete(session);
        const outputs: Message[] = this.waiting.ofSession(session).map(request => this.waiting.remove(request));
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

    /** Sessions of the given stream that have a connection, a statement or a recorded loss here. */
    sessionsOfOrigin(origin: string): readonly string[] {
        const sessions = [
            ...this.pool.links.all.flatMap(link => link.owner ?? []),
            ...this.pool.links.all.flatMap(link =>
                link.runningRequest === undefined ? [] : sessionKeyOf(link.runningRequest)
            ),
            ...this.waiting.all.map(sessionKeyOf),
            ...this.lostSessions,
        ];
        return [...new Set(sessions)].filter(session => session.startsWith(sessionKey(origin, "")));
    }

    /** Refuses a waiting statement whose deadline has passed; undefined when no statement with this key waits here. */
    expireWait(key: string): readonly Message[] | undefined {
        const request = this.waiting.get(key);
        return request === undefined ? undefined : this.refuseWaiting(request, RefusalCode.WaitExceeded);
    }

    /** Periodic check of the connections. */
    checkLinks(nowMs: number): readonly Message[] {
        return [...this.pool.checkLinks(nowMs), ...this.dispatch(nowMs)];
    }

    /**
     * The database reported its role. A newly promoted primary accepts writes only after it has carried out the
     * promotion, so they wait until it reports the role.
     */
    updateReportedRole(role: DatabaseRole, nowMs: number): readonly Message[] {
        const changed = this.reportedRole !== role;
        this.reportedRole = role;
        return changed ? this.dispatch(nowMs) : [];
    }

    updateConfirmationLag(lagMs: number, nowMs: number): void {
        this.confirmationLag = { lagMs, measuredAtMs: nowMs };
    }

    /** Refuses new transactions from now on, and every statement once no transaction is open. */
    startDrain(): readonly Message[] {
        this.draining = true;
        return this.reportWorkEndedIfIdle();
    }

    /** The drain deadline passed: closes the connections of transactions and session state that are still open. */
    forceDrain(nowMs: number): readonly Message[] {
        this.draining = true;
        const ownedLinks = this.pool.links.all.filter(link => link.owner !== undefined);
        return [...ownedLinks.flatMap(link => this.pool.close(link, nowMs)), ...this.reportWorkEndedIfIdle()];
    }

    /** The lease ended: refuses all work and closes the connections, which the next holder needs. */
    stopAfterLeaseEnd(nowMs: number): readonly Message[] {
        this.stopped = true;
        const refusals = this.refuseAllWaiting(RefusalCode.HolderUnavailable, { detail: "the lease ended" });
        return [...refusals, ...this.pool.links.all.flatMap(link => this.pool.close(link, nowMs))];
    }

    /** Assigns free slots to waiting statements and opens spare connections. */
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
        const opened = this.evacuationStage === EvacuationStage.Open ? this.pool.replenish(nowMs) : [];
        return [...outputs, ...opened, ...this.reportWorkEndedIfIdle()];
    }

    private closeEvacuated(link: Link, nowMs: number): readonly Message[] {
        const mayStay = this.evacuationStage === EvacuationStage.Open
            || this.evacuationStage === EvacuationStage.TransactionsOnly && link.owner !== undefined
            || link.runningRequest !== undefined
            || link.state === LinkState.Opening;
        return mayStay ? [] : this.pool.close(link, nowMs);
    }

    private startNext(nowMs: number): readonly Message[] {
        const { links } = this.pool;
        const idleLink = (request: HolderRequest): Link | undefined => {
            const link = links.ownedBy(sessionKeyOf(request));
            return link?.state === LinkState.Idle ? link : undefined;
        };
        const pinned = this.waiting.findPinned(request => idleLink(request) !== undefined);
        if (pinned !== undefined) {
            return this.start(pinned, idleLink(pinned)!, nowMs);
        }
        const freeLink = links.nextFree;
        const request = freeLink === undefined
            ? undefined
            : this.waiting.dequeue({ nonReads: this.mayStartNonRead });
        return request === undefined ? [] : this.start(request, freeLink!, nowMs);
    }

    /**
     * Reserves one slot per open transaction for its next statement; only reads may use that slot in the meantime.
     * Otherwise statements waiting for the transaction's locks could occupy all slots and block it until they time out.
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
        const cleared = this.waiting.remove(request);
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
        const { view, draining, confirmationLag, evacuationStage } = this;
        // Once no session is pinned, nothing needs this holder any more: the next holder can serve further statements.
        const stopped = this.stopped || (draining && this.pool.links.ownedCount === 0);
        const { isUnreachable } = this.pool;
        const expectedWaitMs = this.waiting.costAheadMs(request) / view.slots;
        const state = {
            view,
            draining,
            stopped,
            isUnreachable,
            evacuationStage,
            expectedWaitMs,
            confirmationLag,
        };
        return checkAdmission(request, state, nowMs);
    }

    private refuseAllWaiting(code: RefusalCode, fields: Partial<Refusal>): readonly Message[] {
        return this.waiting.all.flatMap(request => this.refuseWaiting(request, code, fields));
    }

    private refuseWaiting(
        request: HolderRequest,
        code: RefusalCode,
        fields: Partial<Refusal> = {},
    ): readonly Message[] {
        const link = this.pool.links.ownedBy(sessionKeyOf(request));
        const inTransaction = link?.inTransaction ?? false;
        const state = { inTransaction, pinned: link !== undefined, written: undefined };
        const outcome = refusedOutcome(code, acquireStep, { peer: this.view.databaseId, ...fields });
        return [this.waiting.remove(request), createAnswer(request, outcome, state)];
    }

    private reportWorkEndedIfIdle(): readonly Message[] {
        const { links } = this.pool;
        if (
            !this.draining || this.stopped || links.ownedCount > 0 || links.runningCount > 0
            || !this.waiting.isEmpty
        ) {
            return [];
        }
        this.stopped = true;
        return [{ kind: HolderPipeKind.WorkEnded, databaseId: this.view.databaseId } as Message];
    }
}

function serviceTimeKey({ workClass, workspace }: HolderRequest): string {
    return `${workClass}/${workspace}`;
}
