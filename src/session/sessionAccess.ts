/**
 * Admits new sessions. A session that the policy does not admit waits until the policy is proved to be the newest one,
 * because a key or a database may have been added that this instance does not know of yet. Its requests wait with it.
 */
import { match } from "ts-pattern";
import {
    type FleetDrainStarted,
    FleetKind,
    type PolicyApplied,
    type PolicyProofUnavailable,
    type PolicyProved,
} from "../model/fleetMessages.ts";
import {
    type SessionAccessDue,
    type SessionClosed,
    SessionKind,
    type SessionOpened,
    type SessionRefuse,
    type SessionRequested,
} from "../model/sessionMessages.ts";
import { StatementFault } from "../model/sessionStatement.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { type AccessFault, isFault } from "./authorization.ts";
import { PolicyAccess, proofNeeded } from "./policyAccess.ts";
import { defaultSessionLimits, openingBytes, SessionMemory, statementBytes } from "./sessionLimits.ts";
import { stoppingText } from "./taskMessages.ts";

/** Time for which a new session waits for the first configuration; callers time out after 2 s. */
const policyWaitMs = 1_500;

/** Time for which a new session waits for a proof: several round trips between regions and a sync of a slow disk. */
const proofWaitMs = 1_000;

/** Maximum of requests that wait with a session; callers normally wait until their session is accepted. */
const maximumWaitingRequests = 64;

/** Maximum of what a session that waits may keep. */
const maximumWaitingBytes = defaultSessionLimits.queuedBytes;

interface WaitingSession {
    readonly opened: SessionOpened;
    readonly requests: SessionRequested[];
    bytes: number;
}

type AccessInput =
    | SessionOpened
    | SessionRequested
    | SessionClosed
    | SessionAccessDue
    | PolicyApplied
    | PolicyProved
    | PolicyProofUnavailable
    | FleetDrainStarted;

export class SessionAccess implements Filter<AccessInput, Message> {
    readonly step = "access";
    readonly accepts = [
        SessionKind.Opened,
        SessionKind.Requested,
        SessionKind.Closed,
        SessionKind.AccessDue,
        FleetKind.PolicyApplied,
        FleetKind.PolicyProved,
        FleetKind.PolicyProofUnavailable,
        FleetKind.DrainStarted,
    ];
    private readonly access = new PolicyAccess();
    private readonly waiting = new Map<string, WaitingSession>();
    private readonly memory = new SessionMemory(defaultSessionLimits);
    /** The last step of a stop has come: the process may end before a proof arrives. */
    private isStopping = false;

    /** Bytes that the waiting sessions keep, as counted against the limits. */
    get keptBytes(): number {
        return this.memory.totalBytes;
    }

    process(message: AccessInput, nowMs: number): readonly Message[] {
        return match<AccessInput, readonly Message[]>(message)
            .with({ kind: SessionKind.Opened }, opened => this.open(opened, nowMs))
            .with({ kind: SessionKind.Requested }, requested => this.request(requested, nowMs))
            .with({ kind: SessionKind.Closed }, closed =>
                this.endWait(closed.sessionId)
                    ? [clearDeadline(limitKey(closed.sessionId))]
                    : [closed])
            .with({ kind: SessionKind.AccessDue }, due => this.giveUp(this.waiting.get(due.sessionId), nowMs))
            .with({ kind: FleetKind.PolicyApplied }, { kind: FleetKind.PolicyProved }, matched => {
                this.access.apply(matched);
                return [matched, ...this.decideWaiting(nowMs)];
            })
            // Nobody can prove anything now, so waiting would be in vain.
            .with(
                { kind: FleetKind.PolicyProofUnavailable },
                () => this.giveUpAll(nowMs),
            )
            .with({ kind: FleetKind.DrainStarted }, drain => {
                this.isStopping ||= drain.final;
                return this.isStopping ? [...this.giveUpAll(nowMs), drain] : [drain];
            })
            .exhaustive();
    }

    private open(opened: SessionOpened, nowMs: number): readonly Message[] {
        const decision = this.decide(opened, nowMs);
        if (decision !== undefined) {
            return [decision];
        }
        const { sessionId } = opened;
        if (this.isStopping) {
            return [this.refuse(opened, this.waitFault(opened), nowMs)];
        }
        const bytes = openingBytes(opened);
        if (!this.memory.tryAdd(sessionId, bytes)) {
            return [this.refuse(opened, tooMuchWaiting, nowMs)];
        }
        this.waiting.set(sessionId, { opened, requests: [], bytes });
        const { hasPolicy } = this.access;
        const due: SessionAccessDue = { kind: SessionKind.AccessDue, sessionId };
        return [
            setDeadline(limitKey(sessionId), nowMs + (hasPolicy ? proofWaitMs : policyWaitMs), due),
            ...hasPolicy ? [proofNeeded] : [],
        ];
    }

    /** Keeps a request of a session that waits; it follows the session once that is admitted. */
    private request(requested: SessionRequested, nowMs: number): readonly Message[] {
        const session = this.waiting.get(requested.sessionId);
        if (session === undefined) {
            return [requested];
        }
        const bytes = statementBytes(requested.statement);
        if (session.bytes + bytes > maximumWaitingBytes || !this.memory.tryAdd(requested.sessionId, bytes)) {
            return this.giveUp(session, nowMs, tooMuchWaiting);
        }
        session.bytes += bytes;
        session.requests.push(requested);
        return session.requests.length > maximumWaitingRequests ? this.giveUp(session, nowMs) : [];
    }

    /** Passes an admitted session on or refuses it for good; undefined while neither can be decided. */
    private decide(opened: SessionOpened, nowMs: number): Message | undefined {
        const access = this.access.authorize(opened);
        if (!isFault(access)) {
            return opened;
        }
        return this.access.isProved(nowMs) ? this.refuse(opened, access, nowMs) : undefined;
    }

    private decideWaiting(nowMs: number): readonly Message[] {
        const decisions = [...this.waiting.values()].flatMap(({ opened, requests }) => {
            const decision = this.decide(opened, nowMs);
            if (decision === undefined) {
                return [];
            }
            this.endWait(opened.sessionId);
            const admitted = decision === opened ? requests : [];
            return [clearDeadline(limitKey(opened.sessionId)), decision, ...admitted];
        });
        return [...decisions, ...this.waiting.size > 0 && this.access.hasPolicy ? [proofNeeded] : []];
    }

    private giveUpAll(nowMs: number): readonly Message[] {
        return [...this.waiting.values()].flatMap(session => this.giveUp(session, nowMs));
    }

    private giveUp(
        session: WaitingSession | undefined,
        nowMs: number,
        fault?: AccessFault,
    ): readonly Message[] {
        if (session === undefined) {
            return [];
        }
        const { opened } = session;
        this.endWait(opened.sessionId);
        return [
            clearDeadline(limitKey(opened.sessionId)),
            this.refuse(opened, fault ?? this.waitFault(opened), nowMs),
        ];
    }

    /** Returns whether the session was waiting. */
    private endWait(sessionId: string): boolean {
        this.memory.releaseSession(sessionId);
        return this.waiting.delete(sessionId);
    }

    /** The fault of a session that no proof decides: its caller may come back, here or at another instance. */
    private waitFault(opened: SessionOpened): AccessFault {
        return this.isStopping
            ? { fault: StatementFault.Busy, detail: stoppingText }
            : this.access.unprovedFault(opened);
    }

    private refuse({ sessionId }: SessionOpened, { fault, detail }: AccessFault, nowMs: number): SessionRefuse {
        return { kind: SessionKind.Refuse, sessionId, fault, detail, proofAgeMs: this.access.proofAgeMs(nowMs) };
    }
}

const tooMuchWaiting: AccessFault = {
    fault: StatementFault.Busy,
    detail: "the sessions of this instance that wait for a configuration keep too much; not run",
};

function limitKey(sessionId: string): string {
    return `access/${sessionId}`;
}
