/** Filter that gives each statement a slot and a connection of its database. */
import { match, P } from "ts-pattern";
import {
    type BackendClosed,
    BackendKind,
    type BackendOpened,
    type BackendOpenFailed,
    type BackendPositionRead,
} from "../model/backendMessages.ts";
import {
    ClusterKind,
    type DatabasesChanged,
    type DatabaseView,
    type DrainStarted,
    type LeasesRenewed,
} from "../model/clusterMessages.ts";
import { HealthKind, type ReleaseLease } from "../model/healthMessages.ts";
import {
    HolderKind,
    type HolderRequest,
    type HolderSessionEnd,
    type HolderStreamLost,
} from "../model/holderMessages.ts";
import {
    type HolderConfirmationLag,
    HolderPipeKind,
    type HolderPositionKnown,
    type HolderReleased,
    type HolderRetry,
    type HolderTimer,
} from "../model/holderPipeMessages.ts";
import { RefusalCode } from "../model/refusal.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import { acquireStep } from "./admission.ts";
import { answerRequest, refused, sessionKey } from "./answers.ts";
import { HeldDatabase } from "./heldDatabase.ts";
import type { HolderSettings } from "./holderSettings.ts";
import { LeaseTable } from "./leaseTable.ts";
import { LinkKeeper } from "./linkKeeper.ts";
import type { Link } from "./linkSet.ts";

export interface AcquireOptions {
    readonly settings: HolderSettings;
    readonly random: SeededRandom;
}

type LinkEvent = BackendOpened | BackendOpenFailed | BackendClosed | BackendPositionRead | HolderReleased;
type AcquireTimer = HolderTimer<
    | typeof HolderPipeKind.WaitDue
    | typeof HolderPipeKind.LinksDue
    | typeof HolderPipeKind.LeaseDue
    | typeof HolderPipeKind.DrainDue
>;
type AcquireInput =
    | LinkEvent
    | AcquireTimer
    | DatabasesChanged
    | DrainStarted
    | ReleaseLease
    | HolderPositionKnown
    | LeasesRenewed
    | HolderRequest
    | HolderRetry
    | HolderSessionEnd
    | HolderStreamLost
    | HolderConfirmationLag;

export class Acquire implements Filter<AcquireInput, Message> {
    readonly step = acquireStep;
    readonly accepts = [
        BackendKind.Opened,
        BackendKind.OpenFailed,
        BackendKind.Closed,
        BackendKind.PositionRead,
        HolderPipeKind.Released,
        HolderPipeKind.WaitDue,
        HolderPipeKind.LinksDue,
        HolderPipeKind.LeaseDue,
        HolderPipeKind.DrainDue,
        HolderPipeKind.Retry,
        HolderPipeKind.ConfirmationLag,
        HolderKind.Request,
        HolderKind.SessionEnd,
        HolderKind.StreamLost,
        ClusterKind.DatabasesChanged,
        ClusterKind.DrainStarted,
        HealthKind.ReleaseLease,
        HolderPipeKind.PositionKnown,
        ClusterKind.LeasesRenewed,
    ];
    private readonly options: AcquireOptions;
    private readonly leases = new LeaseTable();
    private readonly views = new Map<string, DatabaseView>();
    private readonly held = new Map<string, HeldDatabase>();
    /** Databases whose lease ended while connections were open; they stay until these have closed. */
    private readonly linkHomes = new Map<string, HeldDatabase>();
    private draining = false;
    private nextNumber = 0;

    constructor(options: AcquireOptions) {
        this.options = options;
    }

    process(message: AcquireInput, nowMs: number): readonly Message[] {
        const outputs = this.handle(message, nowMs);
        outputs.forEach(output => this.noteLink(output));
        return outputs;
    }

    private handle(message: AcquireInput, nowMs: number): readonly Message[] {
        return match(message)
            .with({ kind: HolderKind.Request }, request => this.submit(request, nowMs))
            .with({ kind: HolderPipeKind.Retry }, retry => this.submit(retry.request, nowMs))
            .with(
                {
                    kind: P.union(
                        BackendKind.Opened,
                        BackendKind.OpenFailed,
                        BackendKind.Closed,
                        BackendKind.PositionRead,
                        HolderPipeKind.Released,
                    ),
                },
                event => this.linkEvent(event, nowMs),
            )
            .with(
                {
                    kind: P.union(
                        HolderPipeKind.WaitDue,
                        HolderPipeKind.LinksDue,
                        HolderPipeKind.LeaseDue,
                        HolderPipeKind.DrainDue,
                    ),
                },
                timer => this.timerDue(timer, nowMs),
            )
            .with(
                { kind: HolderKind.SessionEnd },
                ({ origin, sessionId, databaseId }) =>
                    this.held.get(databaseId)?.sessionEnded(sessionKey(origin, sessionId), nowMs) ?? [],
            )
            .with({ kind: HolderKind.StreamLost }, lost => [lost, ...this.streamLost(lost, nowMs)])
            .with({ kind: ClusterKind.DatabasesChanged }, changed => [changed, ...this.updateViews(changed, nowMs)])
            .with({ kind: ClusterKind.LeasesRenewed }, renewed => [renewed, ...this.renewLeases(renewed, nowMs)])
            .with({ kind: ClusterKind.DrainStarted }, drain => [drain, ...this.startDrain(drain)])
            .with({ kind: HolderPipeKind.PositionKnown }, known => [
                known,
                ...this.held.get(known.databaseId)?.roleReported(known.role, nowMs) ?? [],
            ])
            .with({ kind: HealthKind.ReleaseLease }, ({ databaseId }) => this.held.get(databaseId)?.drain() ?? [])
            .with({ kind: HolderPipeKind.ConfirmationLag }, ({ databaseId, lagMs }) => {
                this.held.get(databaseId)?.confirmationLagKnown(lagMs, nowMs);
                return [];
            })
            .exhaustive();
    }

    private submit(request: HolderRequest, nowMs: number): readonly Message[] {
        const database = this.held.get(request.databaseId);
        if (database === undefined || !this.leases.isValid(request.databaseId, nowMs)) {
            const parts = { peer: request.databaseId, detail: "this instance does not hold the database" };
            return [answerRequest(request, refused(RefusalCode.HolderUnavailable, this.step, parts))];
        }
        return database.submit(request, nowMs);
    }

    private linkEvent(event: LinkEvent, nowMs: number): readonly Message[] {
        const database = this.linkHomes.get(event.linkId);
        const link = database?.keeper.links.get(event.linkId);
        const isOwnInternal = event.kind === HolderPipeKind.Released;
        if (database === undefined || link === undefined) {
            return isOwnInternal ? [] : [event];
        }
        const outputs = this.changeLink(database, link, event, nowMs);
        return isOwnInternal ? outputs : [event, ...outputs];
    }

    private changeLink(database: HeldDatabase, link: Link, event: LinkEvent, nowMs: number): readonly Message[] {
        return match(event)
            .with({ kind: BackendKind.Opened }, () => database.opened(link, nowMs))
            .with({ kind: BackendKind.OpenFailed }, () => {
                this.linkHomes.delete(event.linkId);
                return database.openFailed(link, nowMs);
            })
            .with({ kind: BackendKind.Closed }, () => {
                this.linkHomes.delete(event.linkId);
                return database.closed(link, nowMs);
            })
            .with({ kind: BackendKind.PositionRead }, read => database.probed(link, read.executionId, nowMs))
            .with({ kind: HolderPipeKind.Released }, released => database.released(link, released, nowMs))
            .exhaustive();
    }

    private timerDue(timer: AcquireTimer, nowMs: number): readonly Message[] {
        return match(timer.kind)
            .with(HolderPipeKind.WaitDue, () => this.waitDue(timer.subject))
            .with(HolderPipeKind.LinksDue, () => this.held.get(timer.subject)?.check(nowMs) ?? [])
            .with(HolderPipeKind.LeaseDue, () => [timer, ...this.dropExpired(nowMs)])
            .with(HolderPipeKind.DrainDue, () => [...this.held.values()].flatMap(database => database.drainNow(nowMs)))
            .exhaustive();
    }

    private waitDue(key: string): readonly Message[] {
        for (const database of this.held.values()) {
            const outputs = database.waitExpired(key);
            if (outputs !== undefined) {
                return outputs;
            }
        }
        return [];
    }

    private streamLost(lost: HolderStreamLost, nowMs: number): readonly Message[] {
        const { origin } = lost;
        if (origin === undefined) {
            return [];
        }
        return [...this.held.values()].flatMap(database =>
            database.sessionsFrom(origin).flatMap(session => database.sessionEnded(session, nowMs))
        );
    }

    private updateViews(changed: DatabasesChanged, nowMs: number): readonly Message[] {
        this.views.clear();
        changed.databases.forEach(view => this.views.set(view.databaseId, view));
        for (const [databaseId, database] of this.held) {
            const view = this.views.get(databaseId);
            if (view !== undefined) {
                database.update(view);
            }
        }
        return this.holdLeased(nowMs);
    }

    private renewLeases(renewed: LeasesRenewed, nowMs: number): readonly Message[] {
        const changed = this.leases.renew(renewed);
        const lost = changed.flatMap(databaseId => this.drop(databaseId, nowMs));
        const due: HolderTimer = { kind: HolderPipeKind.LeaseDue, subject: "" };
        return [...lost, ...this.holdLeased(nowMs), setDeadline("holder.lease", renewed.validUntilMs, due)];
    }

    /** Starts to hold each database that has a valid lease and is known by address. */
    private holdLeased(nowMs: number): readonly Message[] {
        return this.leases.databaseIds
            .filter(databaseId => this.leases.isValid(databaseId, nowMs) && !this.held.has(databaseId))
            .flatMap(databaseId => this.hold(databaseId, nowMs));
    }

    private hold(databaseId: string, nowMs: number): readonly Message[] {
        const view = this.views.get(databaseId);
        if (view === undefined) {
            return [];
        }
        const { settings, random } = this.options;
        const keeper = new LinkKeeper(view, settings, random, prefix => `${prefix}:${this.nextNumber++}`);
        const database = new HeldDatabase(view, keeper);
        this.held.set(databaseId, database);
        return [...database.check(nowMs), ...(this.draining ? database.drain() : [])];
    }

    private dropExpired(nowMs: number): readonly Message[] {
        return nowMs < this.leases.validUntilMs
            ? []
            : [...this.held.keys()].flatMap(databaseId => this.drop(databaseId, nowMs));
    }

    private drop(databaseId: string, nowMs: number): readonly Message[] {
        const database = this.held.get(databaseId);
        this.held.delete(databaseId);
        return database?.abandon(nowMs) ?? [];
    }

    private startDrain(drain: DrainStarted): readonly Message[] {
        this.draining = true;
        const due: HolderTimer = { kind: HolderPipeKind.DrainDue, subject: "" };
        const ended = [...this.held.values()].flatMap(database => database.drain());
        return [setDeadline("holder.drain", drain.deadlineMs, due), ...ended];
    }

    private noteLink(output: Message): void {
        if (output.kind === BackendKind.Open) {
            const { linkId, databaseId } = output as BackendOpened;
            const database = this.held.get(databaseId);
            if (database !== undefined) {
                this.linkHomes.set(linkId, database);
            }
        }
    }
}
