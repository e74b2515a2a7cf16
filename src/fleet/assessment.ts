/** Assesses a suspected primary: collects whether the leader and the instances can reach it. */
import { type DatabaseReport, type FleetFrame, FleetKind, type SendFrame } from "../model/fleetMessages.ts";
import {
    LinkCommandKind,
    LinkKind,
    LinkLoss,
    type LinkLost,
    type LinkOpened,
    type LinkReplied,
} from "../model/linkMessages.ts";
import type { Message } from "../pipeline/message.ts";

type AssessmentFrame = Extract<FleetFrame, { readonly kind: "assessment"; }>;

/** Time that instances have to answer; several times the longest round trip. */
const answerTimeoutMs = 250;

/** Time for which the assessment waits for the leader's own connection to the database. */
const probeTimeoutMs = 500;

/** Maximum age of the database's last answer with which an instance counts as reaching the database. */
const recentAnswerMs = 400;

/** Age at which an unanswered request counts as a failure of the database. */
const unansweredLimitMs = 350;

const Probe = {
    Pending: "pending",
    Reached: "reached",
    NoListener: "no_listener",
    Unreachable: "unreachable",
} as const;
type Probe = typeof Probe[keyof typeof Probe];

export class Assessment {
    /** Minimum interval between two assessments of one service. */
    static readonly intervalMs = 400;

    private readonly report: DatabaseReport;
    private readonly linkId: string;
    private readonly answers = new Map<string, AssessmentFrame>();
    private probe: Probe = Probe.Pending;
    private askedCount = 0;

    constructor(report: DatabaseReport, linkId: string) {
        this.report = report;
        this.linkId = linkId;
    }

    /** Asks all instances and connects to the database. */
    open(attachmentIds: readonly string[]): readonly Message[] {
        const { databaseId, address, service } = this.report;
        this.askedCount = attachmentIds.length;
        return [
            { kind: LinkKind.Open, linkId: this.linkId, address, service, workspace: "", databaseId } as Message,
            ...attachmentIds.map((attachmentId): SendFrame => ({
                kind: FleetKind.SendFrame,
                attachmentId,
                frame: { kind: "assess", databaseId },
            })),
        ];
    }

    recordAnswer(attachmentId: string, frame: AssessmentFrame): void {
        if (frame.databaseId === this.report.databaseId) {
            this.answers.set(attachmentId, frame);
        }
    }

    linkOpened({ linkId }: LinkOpened): readonly Message[] {
        return linkId === this.linkId
            ? [{ kind: LinkKind.Send, linkId, commands: [{ kind: LinkCommandKind.Rollback }] } as Message]
            : [];
    }

    linkReplied({ linkId }: LinkReplied): readonly Message[] {
        if (linkId === this.linkId) {
            this.probe = Probe.Reached;
        }
        return [];
    }

    linkLost({ linkId, loss }: LinkLost): void {
        if (linkId !== this.linkId || this.probe !== Probe.Pending) {
            return;
        }
        this.probe = loss === LinkLoss.NoListener
            ? Probe.NoListener
            // A database that refuses the connection with a fault is running.
            : loss === LinkLoss.Refused
            ? Probe.Reached
            : Probe.Unreachable;
    }

    /**
     * Whether the database should be replaced; undefined while answers are missing.
     * @param elapsedMs time since the questions were sent
     */
    shouldReplace(elapsedMs: number): boolean | undefined {
        const allAnswered = this.answers.size >= this.askedCount;
        if (this.probe === Probe.Pending && elapsedMs < probeTimeoutMs || !allAnswered && elapsedMs < answerTimeoutMs) {
            return undefined;
        }
        const reaching = [...this.answers.values()].filter(reachesDatabase).length;
        const lost = [...this.answers.values()].filter(hasLostDatabase).length;
        if (this.probe === Probe.NoListener) {
            return true;
        }
        if (this.probe === Probe.Reached) {
            // The database is running; replacing it only helps if most instances have lost their connection to it.
            return lost > this.askedCount / 2;
        }
        return lost >= reaching && this.hasEvidence(lost);
    }

    /**
     * Whether there is evidence against the database. Late answers and a connection that is still opening are none.
     * Links drop requests soon after they count as unanswered, so the answer of an instance that has lost the database
     * may count as neither reaching nor lost; such answers from at least half of the instances are evidence too.
     */
    private hasEvidence(lost: number): boolean {
        const answered = this.answers.size;
        return lost > 0 || this.probe === Probe.Unreachable || answered > 0 && answered >= this.askedCount / 2;
    }

    close(): readonly Message[] {
        return [{ kind: LinkKind.Close, linkId: this.linkId } as Message];
    }
}

function reachesDatabase({ answeredAgeMs, unansweredAgeMs }: AssessmentFrame): boolean {
    return answeredAgeMs !== undefined && answeredAgeMs < recentAnswerMs && (unansweredAgeMs ?? 0) < unansweredLimitMs;
}

function hasLostDatabase({ answeredAgeMs, unansweredAgeMs }: AssessmentFrame): boolean {
    return (unansweredAgeMs ?? 0) >= unansweredLimitMs && (answeredAgeMs ?? Infinity) >= recentAnswerMs;
}
