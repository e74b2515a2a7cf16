/** Moves shares of workspace rates between data centres according to demand; active on the control leader only. */
import { match, P } from "ts-pattern";
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import { type Configuration, emptyConfiguration } from "../model/configuration.ts";
import {
    CommandKind,
    ControlKind,
    type ControlLeaderChanged,
    type ControlProposalEnded,
    type ControlPropose,
    ProposalStatus,
} from "../model/controlMessages.ts";
import { ResourceKind } from "../model/lease.ts";
import { parsePermitResourceId } from "../model/permitResource.ts";
import {
    demandIntervalMs,
    RateKind,
    type RatesDemand,
    type RatesTimer,
    urgentDemandIntervalMs,
} from "../model/rateMessages.ts";
import type { Workspace } from "../model/workspace.ts";
import { type ClearDeadline, clearDeadline, type SetDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import { isUndersupplied, planShares } from "./planShares.ts";
import { zeroShare } from "./shareTable.ts";
import { ShareTracker } from "./shareTracker.ts";

type Input = RatesDemand | RatesTimer | ConfigurationApplied | ControlLeaderChanged | ControlProposalEnded;
type Output = Input | ControlPropose | SetDeadline | ClearDeadline;

/** Maximum age of a report that may change a share; after one missed report the data centre may be partitioned. */
const reportValidityMs = 1.5 * demandIntervalMs;

/**
 * Every change goes to every instance, about 200 bytes each. Share changes may thus use a fifth of the 3 KB/s that
 * control traffic may cost a node, and the burst lets shares follow a load peak on many workspaces without delay.
 */
const maximumChangesPerSecond = 3;
const maximumChangeBurst = 100;

interface PendingProposal {
    readonly workspace: string;
    /** Configuration version that contains the result; Infinity while the result is unknown. */
    readonly appliedAtVersion: number;
}

export class DivideRateFilter implements Filter<Input, Output> {
    readonly step = "divideRate";
    readonly accepts = [
        RateKind.Demand,
        RateKind.DivideDue,
        ClusterKind.ConfigurationApplied,
        ControlKind.LeaderChanged,
        ControlKind.ProposalEnded,
    ];
    private readonly trackers = new Map<string, ShareTracker>();
    /** Proposals in flight or not yet part of the applied configuration, by id. */
    private readonly pendingProposals = new Map<string, PendingProposal>();
    private configuration: Configuration = emptyConfiguration;
    private term = 0;
    private isLeader = false;
    private nextProposalNumber = 0;
    private dividedAtMs = 0;
    /** Number of changes that may be proposed now. */
    private changeBudget = maximumChangeBurst;
    private nextDivideAtMs = Infinity;

    process(message: Input, nowMs: number): readonly Output[] {
        return match(message)
            .with({ kind: RateKind.Demand }, matched => this.recordDemand(matched, nowMs))
            .with({ kind: RateKind.DivideDue }, () => this.divide(nowMs))
            .with({ kind: P.union(RateKind.MeasureDue, RateKind.TakeoverDue) }, matched => [matched])
            .with({ kind: ClusterKind.ConfigurationApplied }, matched => this.applyConfiguration(matched))
            .with({ kind: ControlKind.LeaderChanged }, matched => this.changeLeader(matched, nowMs))
            .with({ kind: ControlKind.ProposalEnded }, matched => this.handleProposalEnded(matched))
            .exhaustive();
    }

    private changeLeader(changed: ControlLeaderChanged, nowMs: number): readonly Output[] {
        if (changed.leading && this.isLeader && changed.term === this.term) {
            return [changed];
        }
        this.isLeader = changed.leading;
        this.term = changed.term;
        this.trackers.clear();
        this.pendingProposals.clear();
        this.recordShares();
        this.nextDivideAtMs = Infinity;
        return changed.leading
            ? [changed, ...this.scheduleDivide(nowMs + demandIntervalMs)]
            : [changed, clearDeadline(RateKind.DivideDue)];
    }

    private applyConfiguration(applied: ConfigurationApplied): readonly Output[] {
        this.configuration = applied.configuration;
        this.recordShares();
        for (const [proposalId, { appliedAtVersion }] of this.pendingProposals) {
            if (appliedAtVersion <= applied.configuration.version) {
                this.pendingProposals.delete(proposalId);
            }
        }
        return [applied];
    }

    private recordDemand(demand: RatesDemand, nowMs: number): readonly Output[] {
        const { dataCentre, wantedPerSecond, versionInForce } = demand;
        const tracker = this.trackers.get(demand.workspace);
        if (tracker === undefined) {
            return [];
        }
        const hadUnconfirmedReduction = tracker.hasUnconfirmedReduction(nowMs - reportValidityMs);
        tracker.recordDemand(dataCentre, wantedPerSecond, versionInForce, nowMs);
        const isUrgent = hadUnconfirmedReduction || isUndersupplied(wantedPerSecond, tracker.currentShare(dataCentre));
        return isUrgent ? this.scheduleDivide(Math.max(nowMs, this.dividedAtMs + urgentDemandIntervalMs)) : [];
    }

    /** Records the shares of the applied configuration in the trackers. */
    private recordShares(): void {
        if (!this.isLeader) {
            return;
        }
        const { version, leases, rateShares, workspaces } = this.configuration;
        for (const workspace of workspaces) {
            if (!this.trackers.has(workspace.name)) {
                this.trackers.set(workspace.name, new ShareTracker(version));
            }
        }
        for (const share of rateShares) {
            this.trackers.get(share.workspace)?.recordShare(share.dataCentre, version, {
                ratePerSecond: share.ratePerSecond,
                burst: share.burst,
            });
        }
        for (const lease of leases.filter(candidate => candidate.resource === ResourceKind.Permits)) {
            const { workspace, dataCentre } = parsePermitResourceId(lease.resourceId);
            const tracker = this.trackers.get(workspace);
            if (tracker !== undefined && !tracker.dataCentres.includes(dataCentre)) {
                tracker.recordShare(dataCentre, version, zeroShare);
            }
        }
    }

    private divide(nowMs: number): readonly Output[] {
        if (!this.isLeader) {
            return [];
        }
        this.refillChangeBudget(nowMs);
        this.dividedAtMs = nowMs;
        this.nextDivideAtMs = Infinity;
        const workspacesInFlight = new Set([...this.pendingProposals.values()].map(({ workspace }) => workspace));
        const proposals = this.configuration.workspaces
            .filter(workspace => !workspacesInFlight.has(workspace.name))
            .map(workspace => ({ workspace, tracker: this.trackers.get(workspace.name) }))
            .sort((left, right) => (right.tracker?.shortagePerSecond ?? 0) - (left.tracker?.shortagePerSecond ?? 0))
            .flatMap(({ workspace, tracker }) => this.propose(workspace, tracker, nowMs));
        return [...proposals, ...this.scheduleDivide(nowMs + demandIntervalMs)];
    }

    private refillChangeBudget(nowMs: number): void {
        const arrivedChanges = (nowMs - this.dividedAtMs) * maximumChangesPerSecond / 1_000;
        this.changeBudget = Math.min(maximumChangeBurst, this.changeBudget + arrivedChanges);
    }

    private propose(
        workspace: Workspace,
        tracker: ShareTracker | undefined,
        nowMs: number,
    ): readonly ControlPropose[] {
        const isNew = tracker?.isUndivided ?? true;
        if (tracker === undefined || tracker.dataCentres.length === 0 || this.changeBudget < 1 && !isNew) {
            return [];
        }
        const shares = planShares(workspace, tracker, nowMs - reportValidityMs);
        if (shares === undefined) {
            return [];
        }
        this.changeBudget -= isNew ? 0 : 1;
        const proposalId = `rates-${this.term}-${this.nextProposalNumber++}`;
        this.pendingProposals.set(proposalId, { workspace: workspace.name, appliedAtVersion: Infinity });
        return [{
            kind: ControlKind.Propose,
            proposalId,
            operationId: "",
            command: {
                kind: CommandKind.SetRateShares,
                workspace: workspace.name,
                workspaceVersion: workspace.version,
                shares,
            },
        }];
    }

    // A proposal whose result is unknown may still be applied. The workspace keeps its shares until the next change of
    // leader, which settles the result; a new plan before that could allocate the same part of the rate twice.
    private handleProposalEnded(ended: ControlProposalEnded): readonly Output[] {
        const proposal = this.pendingProposals.get(ended.proposalId);
        if (proposal === undefined) {
            return [ended];
        }
        const awaitsConfiguration = ended.status === ProposalStatus.Applied
            && ended.configurationVersion > this.configuration.version;
        if (awaitsConfiguration) {
            this.pendingProposals.set(ended.proposalId, { ...proposal, appliedAtVersion: ended.configurationVersion });
        }
        else if (ended.status !== ProposalStatus.Unknown) {
            this.pendingProposals.delete(ended.proposalId);
        }
        return [];
    }

    private scheduleDivide(atMs: number): readonly SetDeadline[] {
        if (atMs >= this.nextDivideAtMs) {
            return [];
        }
        this.nextDivideAtMs = atMs;
        return [setDeadline(RateKind.DivideDue, atMs, { kind: RateKind.DivideDue })];
    }
}
