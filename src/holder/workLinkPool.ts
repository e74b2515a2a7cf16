/** Pool of the connections on which one database runs statements: opens, probes and closes them. */
import {
    type BackendClose,
    BackendKind,
    type BackendOpen,
    type BackendReadPosition,
} from "../model/backendMessages.ts";
import type { DatabaseView } from "../model/clusterMessages.ts";
import { DatabaseRole } from "../model/database.ts";
import { HolderPipeKind } from "../model/holderPipeMessages.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Message } from "../pipeline/message.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import type { HolderSettings } from "./holderSettings.ts";
import { type Link, LinkSet, LinkState } from "./linkSet.ts";

/**
 * Connections reserved for position queries and orders. A replica needs one more, for the position queries of the
 * instance that holds its primary.
 */
const reservedConnections = { [DatabaseRole.Primary]: 2, [DatabaseRole.Replica]: 3 };

/** Connections opened in excess of the slots, so that no slot idles while a broken connection is replaced. */
const spareConnections = 1;

/** Consecutive failures to open a connection, a first attempt and a new one, before waiting statements are refused. */
const failuresUntilUnreachable = 2;

const initialBackoffMs = 50;
const maximumBackoffMs = 1_000;
const checkIntervalMs = 1_000;

export class WorkLinkPool {
    readonly links = new LinkSet();
    private readonly settings: HolderSettings;
    private readonly random: SeededRandom;
    private readonly nextId: (prefix: string) => string;
    private readonly probeIdByLink = new Map<string, string>();
    private view: DatabaseView;
    private consecutiveFailures = 0;
    private nextOpenAtMs = 0;

    constructor(
        view: DatabaseView,
        settings: HolderSettings,
        random: SeededRandom,
        nextId: (prefix: string) => string,
    ) {
        this.view = view;
        this.settings = settings;
        this.random = random;
        this.nextId = nextId;
    }

    updateView(view: DatabaseView): void {
        this.view = view;
    }

    /** Whether no connection is open and the most recent attempts to open one failed. */
    get isUnreachable(): boolean {
        return this.consecutiveFailures >= failuresUntilUnreachable && !this.links.hasOpenLink;
    }

    /** Opens connections until there is one for each slot plus a spare, within the limit of the database. */
    replenish(nowMs: number): readonly Message[] {
        const limit = Math.max(1, this.view.connectionLimit - reservedConnections[this.view.role]);
        const wantedCount = this.view.slots + spareConnections;
        const missingCount = Math.min(wantedCount - this.links.unownedCount, limit - this.links.size);
        if (missingCount <= 0 || nowMs < this.nextOpenAtMs) {
            return [];
        }
        // After a failure, one attempt suffices to detect that the database is reachable again.
        return Array.from({ length: this.consecutiveFailures > 0 ? 1 : missingCount }, () => this.open(nowMs));
    }

    linkOpened(link: Link, nowMs: number): void {
        this.consecutiveFailures = 0;
        this.nextOpenAtMs = 0;
        this.links.setState(link, LinkState.Idle, nowMs);
    }

    linkOpenFailed(link: Link, nowMs: number): readonly Message[] {
        this.links.remove(link);
        this.consecutiveFailures++;
        const backoffMs = Math.min(maximumBackoffMs, initialBackoffMs * 2 ** (this.consecutiveFailures - 1));
        this.nextOpenAtMs = nowMs + backoffMs * (0.5 + 0.5 * this.random.nextFloat());
        return [this.timer(this.nextOpenAtMs)];
    }

    close(link: Link, nowMs: number): readonly BackendClose[] {
        if (link.state === LinkState.Closing) {
            return [];
        }
        this.links.setState(link, LinkState.Closing, nowMs);
        this.probeIdByLink.delete(link.linkId);
        return [{ kind: BackendKind.Close, linkId: link.linkId }];
    }

    linkProbed(link: Link, executionId: string, nowMs: number): void {
        if (link.state === LinkState.Probing && this.probeIdByLink.get(link.linkId) === executionId) {
            this.probeIdByLink.delete(link.linkId);
            this.links.setState(link, LinkState.Idle, nowMs);
        }
    }

    /** Probes idle connections; closes unresponsive ones and those with an idle transaction past its limit. */
    checkLinks(nowMs: number): readonly Message[] {
        const outputs = this.links.all.flatMap(link => this.checkLink(link, nowMs));
        return [...outputs, this.timer(nowMs + checkIntervalMs)];
    }

    private checkLink(link: Link, nowMs: number): readonly Message[] {
        const ageMs = nowMs - link.stateSinceMs;
        if (link.state === LinkState.Probing && ageMs >= this.settings.probeTimeoutMs) {
            return this.close(link, nowMs);
        }
        if (link.state !== LinkState.Idle) {
            return [];
        }
        if (link.owner !== undefined) {
            return ageMs >= this.settings.idleTransactionLimitMs && link.inTransaction ? this.close(link, nowMs) : [];
        }
        return ageMs >= this.settings.probeIdleMs ? [this.probe(link, nowMs)] : [];
    }

    private probe(link: Link, nowMs: number): BackendReadPosition {
        this.links.setState(link, LinkState.Probing, nowMs);
        const executionId = this.nextId("probe");
        this.probeIdByLink.set(link.linkId, executionId);
        return { kind: BackendKind.ReadPosition, linkId: link.linkId, executionId };
    }

    private open(nowMs: number): BackendOpen {
        const linkId = this.nextId("work");
        this.links.add(linkId, nowMs);
        const { databaseId, address } = this.view;
        return { kind: BackendKind.Open, linkId, databaseId, address, timeoutMs: this.settings.openTimeoutMs };
    }

    private timer(atMs: number): Message {
        const { databaseId } = this.view;
        return setDeadline(`holder.links:${databaseId}`, atMs, {
            kind: HolderPipeKind.LinksDue,
            subject: databaseId,
        } as Message);
    }
}
