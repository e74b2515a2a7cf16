/** The session pipe of one instance in virtual time; the test itself replies for the databases. */
import { type ExplanationAsked, type ExplanationEnded, ExplanationKind } from "../../model/explanation.ts";
import { type DatabaseReport, FleetKind, type PolicyApplied, ReportedState } from "../../model/fleetMessages.ts";
import { type LinkCommand, LinkKind, type LinkOpen, type LinkReply, type LinkSend } from "../../model/linkMessages.ts";
import { Pace } from "../../model/pace.ts";
import { PeerKind } from "../../model/peerMessages.ts";
import type { Position } from "../../model/position.ts";
import { SchedulingKind } from "../../model/schedulingMessages.ts";
import { type SessionAnswer, type SessionEnding, SessionKind } from "../../model/sessionMessages.ts";
import {
    type SessionStatement,
    SessionStatementKind,
    type StatementFault,
    TransactionState,
} from "../../model/sessionStatement.ts";
import {
    emptyTrafficPolicy,
    RouteConsistency,
    type RoutePolicy,
    type TrafficPolicy,
} from "../../model/trafficPolicy.ts";
import { EventLoop } from "../../pipeline/eventLoop.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import type { Sink } from "../../pipeline/sink.ts";
import { VirtualClock } from "../../pipeline/virtualClock.ts";
import { Admission } from "../admission.ts";
import { FloorExchange } from "../floorExchange.ts";
import { Forwarding } from "../forwarding.ts";
import { HomeRule } from "../homeRule.ts";
import { Links } from "../links.ts";
import { PassedTasks } from "../passedTasks.ts";
import { Routing } from "../routing.ts";
import { SessionAccess } from "../sessionAccess.ts";
import { Sessions } from "../sessions.ts";
import { TaskKind } from "../taskMessages.ts";
import { askedFor } from "./explanationQuestions.ts";

export interface SentCommand {
    readonly linkId: string;
    readonly databaseId: string;
    readonly workspace: string;
    readonly command: LinkCommand;
}

/** Records all messages that leave the pipe, and replies to none by itself. */
export class SessionFixture implements Sink {
    readonly accepts = [
        ...Object.values(SessionKind).filter(kind => kind !== SessionKind.Requested && kind !== SessionKind.Opened),
        LinkKind.Open,
        LinkKind.Send,
        LinkKind.Close,
        LinkKind.ReplyDiscarded,
        ...Object.values(SchedulingKind),
        FleetKind.PermitsNeeded,
        FleetKind.DatabaseSuspected,
        FleetKind.Drained,
        FleetKind.SendFrame,
        FleetKind.PolicyProofNeeded,
        PeerKind.Send,
        PeerKind.Answer,
        ExplanationKind.Ended,
    ];
    readonly clock = new VirtualClock();
    readonly access = new SessionAccess();
    readonly sessions = new Sessions();
    readonly answers: SessionAnswer[] = [];
    readonly sent: SentCommand[] = [];
    readonly opened: LinkOpen[] = [];
    readonly closed: string[] = [];
    readonly otherMessages: Message[] = [];
    readonly explanations: ExplanationEnded[] = [];
    /** The policy of the last call of `configure`. */
    policy: TrafficPolicy = emptyTrafficPolicy;
    /** Each question for a proof of the policy is answered at once. */
    leaderProves = true;
    /** Callers close their connection when they are told that their session ends. */
    callersLeave = true;
    proofsNeeded = 0;
    private readonly loop: EventLoop;
    /** Commands without a reply, by link. */
    private readonly unanswered = new Map<string, LinkCommand[]>();
    private nextSignature = 0;

    private readonly permits: number;

    /**
     * @param permits granted to each workspace together with a policy
     * @param dataCentreRegions region of each data centre
     */
    constructor(permits = 100, dataCentreRegions: ReadonlyMap<string, string> = new Map()) {
        this.permits = permits;
        const filters = [
            new FloorExchange({ instanceId: "front1", dataCentre: "dc1" }),
            this.access,
            this.sessions,
            new Admission({ random: new SeededRandom(20261204) }),
            new PassedTasks(),
            new Routing({ dataCentre: "dc1", rules: [new HomeRule(dataCentreRegions)] }),
            new Forwarding({ instanceId: "front1", dataCentreRegions }),
            new Links({ random: new SeededRandom(1), pace: Pace.Adaptive }),
        ];
        this.loop = new EventLoop({ clock: this.clock, pipes: [new Pipe("session", filters)], sinks: [this] });
    }

    deliver(message: Message): void {
        switch (message.kind) {
            case SessionKind.Answer:
                this.answers.push(message as SessionAnswer);
                return;
            case SessionKind.Ending:
                this.otherMessages.push(message);
                if (this.callersLeave) {
                    const { sessionId } = message as SessionEnding;
                    this.loop.post({ kind: SessionKind.Closed, sessionId } as Message);
                }
                return;
            case ExplanationKind.Ended:
                this.explanations.push(message as ExplanationEnded);
                return;
            case FleetKind.PolicyProofNeeded:
                this.proofsNeeded += 1;
                if (this.leaderProves) {
                    this.provePolicy();
                }
                return;
            case LinkKind.Open:
                this.opened.push(message as LinkOpen);
                return;
            case LinkKind.Close:
                this.closed.push((message as LinkOpen).linkId);
                return;
            case LinkKind.Send: {
                const { linkId, commands } = message as LinkSend;
                const open = this.opened.find(link => link.linkId === linkId)!;
                const { databaseId, workspace } = open;
                commands.forEach(command => this.sent.push({ linkId, databaseId, workspace, command }));
                this.unanswered.set(linkId, [...this.unanswered.get(linkId) ?? [], ...commands]);
                return;
            }
            default:
                this.otherMessages.push(message);
        }
    }

    /** Proves the policy in effect at the present time. */
    provePolicy(): void {
        this.loop.post({ kind: FleetKind.PolicyProved, provedAtMs: this.clock.nowMs() } as Message);
    }

    post(message: Message): void {
        this.loop.post(message);
        this.advance(0);
    }

    advance(durationMs: number): void {
        this.clock.advanceTo(this.clock.nowMs() + durationMs);
    }

    /** Applies a policy with the workspaces "w" (key "k") and "v" (key "kv") and the routes, and grants permits. */
    configure(...routes: readonly RoutePolicy[]): void {
        this.applyPolicy(routes, []);
    }

    /** Applies a policy in which the workspace "w" has home regions. */
    configureWorkspaceHomes(policy: RoutePolicy, homeRegions: readonly string[]): void {
        this.applyPolicy([policy], homeRegions);
    }

    private applyPolicy(routes: readonly RoutePolicy[], homeRegions: readonly string[]): void {
        this.policy = {
            version: 1,
            routesByDatabase: new Map(routes.map(route => [route.database, route])),
            services: new Map([["s", { name: "s", connectionLimit: 22, synchronousReplicas: 1 }]]),
            workspaces: new Map([
                ["w", { name: "w", keys: ["k"], ratePerSecond: 100, burst: 100, homeRegions }],
                ["v", { name: "v", keys: ["kv"], ratePerSecond: 100, burst: 100 }],
            ]),
            workspaceByKey: new Map([["k", "w"], ["kv", "v"]]),
            transactionIdleMs: 3_000,
        };
        this.post(
            {
                kind: FleetKind.PolicyApplied,
                policy: this.policy,
                confirmed: true,
                promoted: new Map(),
                ordered: new Map(),
                completedFences: new Map(),
            } as PolicyApplied,
        );
        ["w", "v"].forEach(workspace => this.grantPermits(workspace, this.permits));
    }

    /** @param retryMs time until more permits may be requested */
    grantPermits(workspace: string, count: number, retryMs = 0): void {
        const grants = [{ workspace, count, retryMs, fallback: undefined }];
        this.post({ kind: FleetKind.PermitsGranted, grants, validUntilMs: Infinity } as Message);
    }

    /** Applies a policy that has the same routes and no keys. */
    configureWithoutKeys(): void {
        const orders = route(RouteConsistency.Primary, "orders");
        const policy: TrafficPolicy = {
            ...emptyTrafficPolicy,
            version: 2,
            routesByDatabase: new Map([["orders", orders]]),
        };
        this.post(
            {
                kind: FleetKind.PolicyApplied,
                policy,
                confirmed: true,
                promoted: new Map(),
                ordered: new Map(),
                completedFences: new Map(),
            } as PolicyApplied,
        );
    }

    reportDatabase(
        databaseId: string,
        leads: boolean,
        dataCentre = "dc1",
        state: ReportedState = ReportedState.Ready,
    ): void {
        const report: DatabaseReport = {
            databaseId,
            service: "s",
            address: `${databaseId}:1`,
            dataCentre,
            slots: 3,
            state,
            leads,
            sequence: 1,
            bornUnixMs: 1,
        };
        this.post({ kind: FleetKind.DatabaseChanged, report } as Message);
    }

    /** Another instance tells a position that the primary has given it just now. */
    learnFloor(floor: Position): void {
        const sample = { position: floor, atMs: this.clock.nowMs() };
        this.post({ kind: TaskKind.FloorLearned, service: "s", sample } as Message);
    }

    connect(sessionId: string, database: string, key = "k"): void {
        this.post({ kind: SessionKind.Opened, sessionId, database, key } as Message);
    }

    request(sessionId: string, statement: SessionStatement): void {
        this.post({ kind: SessionKind.Requested, sessionId, statement } as Message);
    }

    /** Asks where a statement would go; the answer is the last of `explanations`. */
    ask(request: ExplanationAsked["request"]): void {
        this.post(askedFor(request));
    }

    /** Confirms all links that are being opened. */
    openLinks(): void {
        for (const { linkId } of this.opened.filter(link => !this.confirmedLinkIds.includes(link.linkId))) {
            this.confirmedLinkIds.push(linkId);
            this.post({ kind: LinkKind.Opened, linkId, position: undefined } as Message);
        }
    }

    /** Replies to the oldest command on a link that has none; successful statements are signed. */
    reply(linkId: string, parts: Partial<LinkReply> = {}): void {
        const command = this.unanswered.get(linkId)?.shift();
        const isSigned = parts.fault === undefined && command !== undefined && "statement" in command;
        this.repeat(linkId, { signature: isSigned ? `signature${this.nextSignature++}` : undefined, ...parts });
    }

    /** Posts a reply to a command that has been answered already, or to none. */
    repeat(linkId: string, parts: Partial<LinkReply> = {}): void {
        const reply: LinkReply = {
            rows: [],
            signature: undefined,
            fault: undefined,
            detail: "",
            transaction: TransactionState.None,
            position: undefined,
            status: undefined,
            ...parts,
        };
        this.post({ kind: LinkKind.Replied, linkId, reply } as Message);
    }

    readonly confirmedLinkIds: string[] = [];

    lastFault(): StatementFault | undefined {
        return this.answers.at(-1)?.answer.fault;
    }
}

export function position(term: number, offset: number): Position {
    return { term, offset };
}

export function route(consistency: RouteConsistency, database: string, maximumAgeMs = 0): RoutePolicy {
    return {
        name: database,
        database,
        service: "s",
        consistency,
        maximumAgeMs,
        statementLimitMs: 1_000,
        targetLatencyMs: 500,
        priority: 1,
        open: false,
    };
}

export function statement(
    kind: SessionStatementKind,
    id: string,
    parts: Partial<SessionStatement> = {},
): SessionStatement {
    return { kind, id, text: `${kind} ${id}`, name: "", argument: "", prepared: undefined, ...parts };
}
