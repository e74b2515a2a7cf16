/** Filter that assigns each statement a slot and a connection of its database. */
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
import { DatabaseRole } from "../model/database.ts";
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
import { Evacuations, mysqlEvacuationBoundMs } from "../scheduling/evacuations.ts";
import { acquireStep } from "./admission.ts";
import { createAnswer, refusedOutcome, sessionKey } from "./answers.ts";
import { HeldDatabase } from "./heldDatabase.ts";
import type { HolderSettings } from "./holderSettings.ts";
import { LeaseTable } from "./leaseTable.ts";
import type { Link } from "./linkSet.ts";
import { WorkLinkPool } from "./workLinkPool.ts";

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
    | typeof HolderPipeKind.EvacuationDue
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

export class AcquireFilter implements Filter<AcquireInput, Message> {
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
        HolderPipeKind.EvacuationDue,
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
    private readonly heldDatabases = new Map<string, HeldDatabase>();
    /** Database of each open link; includes databases whose lease ended and whose links have not closed yet. */
    private readonly databaseByLink = new Map<string, HeldDatabase>();
    private readonly evacuations = new Evacuations(mysqlEvacuationBoundMs);
    private draining = false;
    private nextNumber = 0;

    constructor(options: AcquireOptions) {
        this.options = options;
    }

    process(message: AcquireInput, nowMs: number): readonly Message[] {
        const outputs = this.handle(message, nowMs);
        outputs.forEach(output => this.trackLink(output));
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
                event => this.handleLinkEvent(event, nowMs),
            )
            .with(
                {
                    kind: P.union(
                        HolderPipeKind.WaitDue,
                        HolderPipeKind.LinksDue,
                        HolderPipeKind.LeaseDue,
                        HolderPipeKind.DrainDue,
                        HolderPipeKind.EvacuationDue,
                    ),
                },
                timer => this.handleTimer(timer, nowMs),
            )
            .with(
                { kind: HolderKind.SessionEnd },
                ({ origin, sessionId, databaseId }) =>
                    this.heldDatabases.get(databaseId)?.endSession(sessionKey(origin, sessionId), nowMs) ?? [],
            )
            .with({ kind: HolderKind.StreamLost }, lost => [lost, ...this.endSessionsOfStream(lost, nowMs)])
            .with({ kind: ClusterKind.DatabasesChanged }, changed => [changed, ...this.updateViews(changed, nowMs)])
            .with({ kind: ClusterKind.LeasesRenewed }, renewed => [renewed, ...this.renewLeases(renewed, nowMs)])
            .with({ kind: ClusterKind.DrainStarted }, drain => [drain, ...this.startDrain(drain)])
            .with({ kind: HolderPipeKind.PositionKnown }, known => [
                known,
                ...this.heldDatabases.get(known.databaseId)?.updateReportedRole(known.role, nowMs) ?? [],
            ])
            .with(
                { kind: HealthKind.ReleaseLease },
                ({ databaseId }) => this.heldDatabases.get(databaseId)?.startDrain() ?? [],
            )
            .with({ kind: HolderPipeKind.ConfirmationLag }, ({ databaseId, lagMs }) => {
                this.heldDatabases.get(databaseId)?.updateConfirmationLag(lagMs, nowMs);
                return [];
            })
            .exhaustive();
    }

    private submit(request: HolderRequest, nowMs: number): readonly Message[] {
        const database = this.heldDatabases.get(request.databaseId);
        if (database === undefined || !this.leases.isValid(request.databaseId, nowMs)) {
            const fields = { peer: request.databaseId, detail: "this instance does not hold the database" };
            return [createAnswer(request, refusedOutcome(RefusalCode.HolderUnavailable, this.step, fields))];
        }
        return database.submit(request, nowMs);
    }

    private handleLinkEvent(event: LinkEvent, nowMs: number): readonly Message[] {
        const database = this.databaseByLink.get(event.linkId);
        const link = database?.pool.links.get(event.linkId);
        const isInternal = event.kind === HolderPipeKind.Released;
        if (database === undefined || link === undefined) {
            return isInternal ? [] : [event];
        }
        const outputs = this.applyLinkEvent(database, link, event, nowMs);
        return isInternal ? outputs : [event, ...outputs];
    }

    private applyLinkEvent(database: HeldDatabase, link: Link, event: LinkEvent, nowMs: number): readonly Message[] {
        return match(event)
            .with({ kind: BackendKind.Opened }, () => database.linkOpened(link, nowMs))
            .with({ kind: BackendKind.OpenFailed }, () => {
                this.databaseByLink.delete(event.linkId);
                return database.linkOpenFailed(link, nowMs);
            })
            .with({ kind: BackendKind.Closed }, () => {
                this.databaseByLink.delete(event.linkId);
                return database.linkClosed(link, nowMs);
            })
            .with({ kind: BackendKind.PositionRead }, read => database.linkProbed(link, read.executionId, nowMs))
            .with({ kind: HolderPipeKind.Released }, released => database.linkReleased(link, released, nowMs))
            .exhaustive();
    }

    private handleTimer(timer: AcquireTimer, nowMs: number): readonly Message[] {
        return match(timer.kind)
            .with(HolderPipeKind.WaitDue, () => this.expireWait(timer.subject))
            .with(HolderPipeKind.LinksDue, () => this.heldDatabases.get(timer.subject)?.checkLinks(nowMs) ?? [])
            .with(HolderPipeKind.LeaseDue, () => [timer, ...this.stopHoldingExpired(nowMs)])
            .with(
                HolderPipeKind.DrainDue,
                () => [...this.heldDatabases.values()].flatMap(database => database.forceDrain(nowMs)),
            )
            .with(HolderPipeKind.EvacuationDue, () => this.updateEvacuationStages(nowMs))
            .exhaustive();
    }

    private expireWait(key: string): readonly Message[] {
        for (const database of this.heldDatabases.values()) {
            const outputs = database.expireWait(key);
            if (outputs !== undefined) {
                return outputs;
            }
        }
        return [];
    }

    private endSessionsOfStream(lost: HolderStreamLost, nowMs: number): readonly Message[] {
        const { origin } = lost;
        if (origin === undefined) {
            return [];
        }
        return [...this.heldDatabases.values()].flatMap(database =>
            database.sessionsOfOrigin(origin).flatMap(session => database.endSession(session, nowMs))
        );
    }

    private updateViews(changed: DatabasesChanged, nowMs: number): readonly Message[] {
        this.views.clear();
        changed.databases.forEach(view => this.views.set(view.databaseId, view));
        for (const [databaseId, database] of this.heldDatabases) {
            const view = this.views.get(databaseId);
            if (view !== undefined) {
                database.updateView(view);
            }
        }
        const evacuated = changed.databases.filter(view => view.evacuated === true).map(({ dataCentre }) => dataCentre);
        this.evacuations.apply({ evacuated: new Set(evacuated) }, nowMs);
        return [...this.updateEvacuationStages(nowMs), ...this.holdLeasedDatabases(nowMs)];
    }

    private updateEvacuationStages(nowMs: number): readonly Message[] {
        const nextMs = this.evacuations.nextChangeMs(nowMs);
        const due: HolderTimer = { kind: HolderPipeKind.EvacuationDue, subject: "" };
        const outputs = [...this.heldDatabases.values()].flatMap(database =>
            this.updateEvacuationStage(database, nowMs)
        );
        return nextMs === undefined ? outputs : [...outputs, setDeadline("holder.evacuation", nextMs, due)];
    }

    private updateEvacuationStage(database: HeldDatabase, nowMs: number): readonly Message[] {
        const { dataCentre, role } = database.currentView;
        const stage = this.evacuations.stageOf({ dataCentre, leads: role === DatabaseRole.Primary }, nowMs);
        return database.updateEvacuationStage(stage, nowMs);
    }

    private renewLeases(renewed: LeasesRenewed, nowMs: number): readonly Message[] {
        const changed = this.leases.renew(renewed);
        const stopped = changed.flatMap(databaseId => this.stopHolding(databaseId, nowMs));
        const due: HolderTimer = { kind: HolderPipeKind.LeaseDue, subject: "" };
        return [...stopped, ...this.holdLeasedDatabases(nowMs), setDeadline("holder.lease", renewed.validUntilMs, due)];
    }

    /** Starts to hold each database with a valid lease and a known address. */
    private holdLeasedDatabases(nowMs: number): readonly Message[] {
        return this.leases.databaseIds
            .filter(databaseId => this.leases.isValid(databaseId, nowMs) && !this.heldDatabases.has(databaseId))
            .flatMap(databaseId => this.startHolding(databaseId, nowMs));
    }

    private startHolding(databaseId: string, nowMs: number): readonly Message[] {
        const view = this.views.get(databaseId);
        if (view === undefined) {
            return [];
        }
        const { settings, random } = this.options;
        const pool = new WorkLinkPool(view, settings, random, prefix => `${prefix}:${this.nextNumber++}`);
        const database = new HeldDatabase(view, pool);
        this.heldDatabases.set(databaseId, database);
        return [
            ...this.updateEvacuationStage(database, nowMs),
            ...database.checkLinks(nowMs),
            ...(this.draining ? database.startDrain() : []),
        ];
    }

    private stopHoldingExpired(nowMs: number): readonly Message[] {
        return nowMs < this.leases.validUntilMs
            ? []
            : [...this.heldDatabases.keys()].flatMap(databaseId => this.stopHolding(databaseId, nowMs));
    }

    private stopHolding(databaseId: string, nowMs: number): readonly Message[] {
        const database = this.heldDatabases.get(databaseId);
        this.heldDatabases.delete(databaseId);
        return database?.stopAfterLeaseEnd(nowMs) ?? [];
    }

    private startDrain(drain: DrainStarted): readonly Message[] {
        this.draining = true;
        const due: HolderTimer = { kind: HolderPipeKind.DrainDue, subject: "" };
        const drainOutputs = [...this.heldDatabases.values()].flatMap(database => database.startDrain());
        return [setDeadline("holder.drain", drain.deadlineMs, due), ...drainOutputs];
    }

    private trackLink(output: Message): void {
        if (output.kind === BackendKind.Open) {
            const { linkId, databaseId } = output as BackendOpened;
            const database = this.heldDatabases.get(databaseId);
            if (database !== undefined) {
                this.databaseByLink.set(linkId, database);
            }
        }
    }
}
