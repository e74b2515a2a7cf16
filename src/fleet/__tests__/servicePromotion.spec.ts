import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CommandKind, ControlKind, type ControlPropose, ProposalStatus } from "../../model/controlMessages.ts";
import { FleetKind, ReportedState, type SendFrame } from "../../model/fleetMessages.ts";
import { LinkCommandKind, LinkKind, LinkLoss, type LinkOpen, type LinkSend } from "../../model/linkMessages.ts";
import type { Position } from "../../model/position.ts";
import { promotionOf } from "../../model/promotion.ts";
import { TransactionState } from "../../model/sessionStatement.ts";
import type { Message } from "../../pipeline/message.ts";
import { CommitWitnesses } from "../commitWitnesses.ts";
import { KnownEvacuations } from "../knownEvacuations.ts";
import { ServicePromotion } from "../servicePromotion.ts";

const primaryId = "p";

/** A replica that answers at once. */
interface Replica {
    position: Position;
    heldTerm: number;
    linkId: string;
}

/** The promotion of one service by a leader whose proposals the test ends. */
class PromotionFixture {
    readonly replicas = new Map<string, Replica>();
    readonly ordered: string[] = [];
    private readonly promotion: ServicePromotion;
    private readonly pending: Message[] = [];
    private proposal: ControlPropose | undefined;
    private commits: { readonly highest: Position; readonly reached: Position; } | undefined;
    private questionId = "";
    private fence = 6;
    private nextLink = 0;
    private nowMs = 10_000;

    constructor(offsets: Readonly<Record<string, number>>) {
        const ids = [primaryId, ...Object.keys(offsets)];
        Object.entries(offsets).forEach(([id, offset]) =>
            this.replicas.set(id, { position: { term: 3, offset }, heldTerm: 0, linkId: "" })
        );
        const databases = ids.map(databaseId => ({
            databaseId,
            address: `${databaseId}:1`,
            bornUnixMs: 1,
            isLost: false,
        }));
        const candidates = databases.map(database => ({
            report: {
                ...database,
                service: "s",
                dataCentre: "d",
                slots: 3,
                state: ReportedState.Ready,
                leads: database.databaseId === primaryId,
                sequence: 1,
            },
            lastReportAtMs: 0,
        }));
        const witnesses = new CommitWitnesses();
        witnesses.attach("f1", "i1", 0);
        this.promotion = new ServicePromotion({
            service: "s",
            fleet: {
                databases: new Map(candidates.map(candidate => [candidate.report.databaseId, candidate])),
                departedDatabases: new Set(),
                rememberedDatabases: new Map(),
                witnesses,
                evacuations: new KnownEvacuations(5_000),
                reportIntervalMs: 1_000,
                leadingSinceMs: 0,
                nextLinkId: () => `m${this.nextLink++}`,
            },
            synchronousReplicas: () => 1,
            record: () => ({ ...promotionOf([], "s"), fence: this.fence, open: true, databases }),
        });
    }

    advance(durationMs: number): void {
        for (const untilMs = this.nowMs + durationMs; this.nowMs < untilMs; this.nowMs += 50) {
            this.run(this.promotion.tick(this.nowMs));
            if (this.proposal?.command.kind === CommandKind.ReservePromotion) {
                this.fence++;
                this.endProposal();
            }
        }
    }

    endProposal(): void {
        const { proposalId } = this.proposal!;
        this.proposal = undefined;
        const result = { status: ProposalStatus.Applied, version: this.fence, detail: "" };
        const ended = {
            kind: ControlKind.ProposalEnded,
            proposalId,
            configurationVersion: 1,
            leaderAddress: "",
        } as const;
        this.run(this.promotion.proposalEnded({ ...ended, ...result }, this.nowMs));
    }

    /** The instance answers the last question for its commits, and further ones at once. */
    reportCommits(highest: Position, reached: Position): void {
        this.commits = { highest, reached };
        this.run(this.answerQuestion());
    }

    /** The process of a replica ends, and the next one under its id has received the start of the log again. */
    restartReplica(id: string, position: Position): void {
        const replica = this.replicas.get(id)!;
        const { linkId } = replica;
        Object.assign(replica, { position, heldTerm: 0, linkId: "" });
        const loss = LinkLoss.Broken;
        this.run(this.promotion.linkLost({ kind: LinkKind.Lost, linkId, loss, fault: undefined }, this.nowMs));
    }

    private run(messages: readonly Message[]): void {
        this.pending.push(...messages);
        for (let message = this.pending.shift(); message !== undefined; message = this.pending.shift()) {
            this.pending.push(...this.handle(message));
        }
    }

    private handle(message: Message): readonly Message[] {
        switch (message.kind) {
            case ControlKind.Propose:
                this.proposal = message as ControlPropose;
                this.ordered.push(
                    ...this.proposal.command.kind === CommandKind.RecordPromotionOrder
                        ? [this.proposal.command.databaseId]
                        : [],
                );
                return [];
            case LinkKind.Open: {
                const { linkId, databaseId } = message as LinkOpen;
                const replica = this.replicas.get(databaseId);
                if (replica === undefined) {
                    const loss = LinkLoss.NoListener;
                    return this.promotion.linkLost({ kind: LinkKind.Lost, linkId, loss, fault: undefined }, this.nowMs);
                }
                replica.linkId = linkId;
                return this.promotion.linkOpened(
                    { kind: LinkKind.Opened, linkId, position: replica.position },
                    this.nowMs,
                );
            }
            case LinkKind.Send:
                return this.answer(message as LinkSend);
            case FleetKind.SendFrame: {
                const { frame } = message as SendFrame;
                this.questionId = frame.kind === "commits_asked" ? frame.questionId : this.questionId;
                return this.answerQuestion();
            }
            default:
                return [];
        }
    }

    private answerQuestion(): readonly Message[] {
        const { commits, questionId } = this;
        if (commits === undefined) {
            return [];
        }
        const ages = { sentAgeMs: undefined, watchedMs: 60_000 };
        const frame = { kind: "commits_seen", questionId, service: "s", ...commits, ...ages } as const;
        return this.promotion.commitsSeenReceived("f1", frame, this.nowMs);
    }

    private answer({ linkId, commands }: LinkSend): readonly Message[] {
        const replica = [...this.replicas.values()].find(candidate => candidate.linkId === linkId);
        const command = commands[0]!;
        if (replica === undefined) {
            return [];
        }
        replica.heldTerm = command.kind === LinkCommandKind.Pause ? command.term : replica.heldTerm;
        const { position, heldTerm } = replica;
        const reply = {
            rows: [],
            signature: "-",
            fault: undefined,
            detail: "",
            transaction: TransactionState.None,
            position,
            status: { leads: false, term: 3, receivedPosition: position, heldTerm },
        };
        return this.promotion.linkReplied({ kind: LinkKind.Replied, linkId, reply }, this.nowMs);
    }
}

describe("the promotion of a service", () => {
    it("still knows after a choice that was dropped which database has lost its log", () => {
        // Guards against a stale primary if a replica that has confirmed the last commits starts again during the choice.
        const fixture = new PromotionFixture({ a: 12, b: 13 });
        fixture.advance(200);
        assert.deepEqual(fixture.ordered, ["b"]);
        fixture.restartReplica("b", { term: 3, offset: 5 });
        fixture.advance(200);
        fixture.reportCommits({ term: 3, offset: 13 }, { term: 3, offset: 10 });
        fixture.endProposal();
        fixture.advance(500);
        assert.deepEqual(fixture.ordered, ["b"]);
    });
});
