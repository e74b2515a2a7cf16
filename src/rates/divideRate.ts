/** Moves shares of workspaces' rates between data centres with demand; active at the control leader only. */
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

/** Age of a report up to which a share may be moved by it; after one missed report the data centre may be cut off. */
const reportLifeMs = 1.5 * demandIntervalMs;

/**
 * Every change goes to every instance, about 200 bytes each. Shares may thus use a fifth of the 3 KB/s that control may
 * cost a node, and a rush on many workspaces at once is followed without delay.
 */
const changesPerSecond = 3;
const changeBurst = 100;

interface Proposed {
    readonly workspace: string;
    /** Configuration version that holds the result; Infinity while the result is not known. */
    readonly doneAtVersion: number;
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
    private readonly ledgers = new Map<string, ShareTracker>();
    /** Proposals on their way or not yet part of the applied configuration, by id. */
    private readonly proposed = new Map<string, Proposed>();
    private configuration: Configuration = emptyConfiguration;
    private term = 0;
    private leading = false;
    private nextProposal = 0;
    private dividedMs = 0;
    private changeBudget = changeBurst;
    private divideDueMs = Infinity;

    process(message: Input, nowMs: number): readonly Output[] {
        return match(message)
            .with({ kind: RateKind.Demand }, demand => this.report(demand, nowMs))
            .with({ kind: RateKind.DivideDue }, () => this.divide(nowMs))
            .with({ kind: P.union(RateKind.MeasureDue, RateKind.TakeoverDue) }, other => [other])
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => this.configure(applied))
            .with({ kind: ControlKind.LeaderChanged }, changed => this.changeLeader(changed, nowMs))
            .with({ kind: ControlKind.ProposalEnded }, ended => this.endProposal(ended))
            .exhaustive();
    }

    private changeLeader(changed: ControlLeaderChanged, nowMs: number): readonly Output[] {
        if (changed.leading && this.leading && changed.term === this.term) {
            return [changed];
        }
        this.leading = changed.leading;
        this.term = changed.term;
        this.ledgers.clear();
        this.proposed.clear();
        this.recordShares();
        this.divideDueMs = Infinity;
        return changed.leading
            ? [changed, ...this.divideBy(nowMs + demandIntervalMs)]
            : [changed, clearDeadline(RateKind.DivideDue)];
    }

    private configure(applied: ConfigurationApplied): readonly Output[] {
        this.configuration = applied.configuration;
        this.recordShares();
        for (const [proposalId, { doneAtVersion }] of this.proposed) {
            if (doneAtVersion <= applied.configuration.version) {
                this.proposed.delete(proposalId);
            }
        }
        return [applied];
    }

    private report(demand: RatesDemand, nowMs: number): readonly Output[] {
        const { dataCentre, wantedPerSecond, versionInForce } = demand;
        const ledger = this.ledgers.get(demand.workspace);
        if (ledger === undefined) {
            return [];
        }
        const wasUnsettled = ledger.hasUnconfirmedReduction(nowMs - reportLifeMs);
        ledger.recordDemand(dataCentre, wantedPerSecond, versionInForce, nowMs);
        const isUrgent = wasUnsettled || isUndersupplied(wantedPerSecond, ledger.currentShare(dataCentre));
        return isUrgent ? this.divideBy(Math.max(nowMs, this.dividedMs + urgentDemandIntervalMs)) : [];
    }

    /** Takes the shares of the applied configuration into the ledgers. */
    private recordShares(): void {
        if (!this.leading) {
            return;
        }
        const { version, leases, rateShares, workspaces } = this.configuration;
        for (const workspace of workspaces) {
            if (!this.ledgers.has(workspace.name)) {
                this.ledgers.set(workspace.name, new ShareTracker(version));
            }
        }
        for (const share of rateShares) {
            this.ledgers.get(share.workspace)?.recordShare(share.dataCentre, version, {
                ratePerSecond: share.ratePerSecond,
                burst: share.burst,
            });
        }
        for (const lease of leases.filter(candidate => candidate.resource === ResourceKind.Permits)) {
            const { workspace, dataCentre } = parsePermitResourceId(lease.resourceId);
            const ledger = this.ledgers.get(workspace);
            if (ledger !== undefined && !ledger.dataCentres.includes(dataCentre)) {
                ledger.recordShare(dataCentre, version, zeroShare);
            }
        }
    }

    private divide(nowMs: number): readonly Output[] {
        if (!this.leading) {
            return [];
        }
        this.refillBudget(nowMs);
        this.dividedMs = nowMs;
        this.divideDueMs = Infinity;
        const inFlight = new Set([...this.proposed.values()].map(({ workspace }) => workspace));
        const proposals = this.configuration.workspaces
            .filter(workspace => !inFlight.has(workspace.name))
            .map(workspace => ({ workspace, ledger: this.ledgers.get(workspace.name) }))
            .sort((left, right) => (right.ledger?.shortagePerSecond ?? 0) - (left.ledger?.shortagePerSecond ?? 0))
            .flatMap(({ workspace, ledger }) => this.propose(workspace, ledger, nowMs));
        return [...proposals, ...this.divideBy(nowMs + demandIntervalMs)];
    }

    /** Changes that may be proposed now. */
    private refillBudget(nowMs: number): void {
        const arrived = (nowMs - this.dividedMs) * changesPerSecond / 1_000;
        this.changeBudget = Math.min(changeBurst, this.changeBudget + arrived);
    }

    private propose(
        workspace: Workspace,
        ledger: ShareTracker | undefined,
        nowMs: number,
    ): readonly ControlPropose[] {
        const isNew = ledger?.isUndivided ?? true;
        if (ledger === undefined || ledger.dataCentres.length === 0 || this.changeBudget < 1 && !isNew) {
            return [];
        }
        const shares = planShares(workspace, ledger, nowMs - reportLifeMs);
        if (shares === undefined) {
            return [];
        }
        this.changeBudget -= isNew ? 0 : 1;
        const proposalId = `rates-${this.term}-${this.nextProposal++}`;
        this.proposed.set(proposalId, { workspace: workspace.name, doneAtVersion: Infinity });
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

    // After an unknown end the proposal may still be applied. The workspace then rests until the next change of
    // leader, which ends every doubt; a new plan made now could give the same part of the rate out twice.
    private endProposal(ended: ControlProposalEnded): readonly Output[] {
        const proposal = this.proposed.get(ended.proposalId);
        if (proposal === undefined) {
            return [ended];
        }
        const isPending = ended.status === ProposalStatus.Applied
            && ended.configurationVersion > this.configuration.version;
        if (isPending) {
            this.proposed.set(ended.proposalId, { ...proposal, doneAtVersion: ended.configurationVersion });
        }
        else if (ended.status !== ProposalStatus.Unknown) {
            this.proposed.delete(ended.proposalId);
        }
        return [];
    }

    private divideBy(atMs: number): readonly SetDeadline[] {
        if (atMs >= this.divideDueMs) {
            return [];
        }
        this.divideDueMs = atMs;
        return [setDeadline(RateKind.DivideDue, atMs, { kind: RateKind.DivideDue })];
    }
}
